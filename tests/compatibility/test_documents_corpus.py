"""Tests that configurations in each form are read and written as in the corpus."""

import msgspec
import pytest
from documents_read import (
    EXAMPLES,
    ROOT,
    full_configuration,
    read_configuration,
    read_fleet_file,
    read_platform,
    read_platform_change,
    read_unchecked,
    written,
)
from http_corpus import read_json

from orchidpath.wire.configuration import Configuration, Service, ServiceKind

BEFORE = read_json("documents_read.json")


@pytest.mark.parametrize("name", EXAMPLES)
def test_an_example_reads_as_before(name: str) -> None:
    before = BEFORE["examples"][name]
    assert read_fleet_file(before["text"]) == before
    now = read_fleet_file((ROOT / "examples" / name).read_text())
    assert now["value"] == before["value"]
    assert now["configuration"] == before["configuration"]


@pytest.mark.parametrize("before", BEFORE["configurations"])
def test_a_configuration_reads_as_before(before: dict[str, str]) -> None:
    assert read_configuration(before["text"]) == before


def test_a_configuration_with_every_field_reads_as_before() -> None:
    before = BEFORE["configuration with every field"]
    assert read_unchecked(before["text"]) == before
    assert full_configuration() == before["text"]


@pytest.mark.parametrize("before", BEFORE["platform documents"])
def test_a_document_of_the_platform_reads_as_before(before: dict[str, str]) -> None:
    assert read_platform(before["text"]) == before


@pytest.mark.parametrize("before", BEFORE["platform changes"])
def test_a_change_of_a_document_gives_what_it_gave(before: dict[str, str]) -> None:
    assert read_platform_change(before["text"], before["change"]) == before


def test_a_configuration_is_written_as_it_was_read() -> None:
    for example in BEFORE["examples"].values():
        before = example["configuration"]
        again = msgspec.json.decode(before["encoded"], type=Configuration)
        assert written(again) == before


def test_a_changed_value_changes_text_and_digest() -> None:
    before = written(Configuration(services=[Service(name="s", kind=ServiceKind.PLAIN)]))
    changed = written(Configuration(services=[Service(name="t", kind=ServiceKind.PLAIN)]))
    assert before["encoded"] != changed["encoded"]
    assert before["digest"] != changed["digest"]
