"""Tests that the settings have the names, defaults and forms of the corpus."""

import msgspec
import pytest
from http_corpus import read_json
from settings_read import (
    ROOT,
    fields_of,
    read_file,
    read_node,
    read_policies,
    settings_read,
)

from control_program import POLICIES_FILE

BEFORE = read_json("settings_read.json")


def test_settings_are_the_same() -> None:
    now = settings_read()
    assert now.keys() == BEFORE.keys()
    for part, before in BEFORE.items():
        assert now[part] == before


@pytest.mark.parametrize("before", BEFORE["files"])
def test_a_settings_file_reads_as_before(before: dict[str, str]) -> None:
    assert read_file(before["kind"], before["text"]) == before


@pytest.mark.parametrize("before", BEFORE["platform"])
def test_a_settings_file_of_the_platform_reads_as_before(before: dict[str, str]) -> None:
    assert read_node(before["text"]) == before


def test_the_policies_read_as_before() -> None:
    before = BEFORE["policies"]
    assert read_policies(before["text"]) == before
    assert read_policies((ROOT / POLICIES_FILE).read_text())["value"] == before["value"]


class Sample(msgspec.Struct):
    """Settings with which the altered settings are compared."""

    name: str
    seconds: float = 2.0


@pytest.mark.parametrize(
    "fields",
    [
        [("title", str), ("seconds", float, 2.0)],
        [("name", str), ("seconds", float, 2.5)],
        [("name", int), ("seconds", float, 2.0)],
        [("name", str, ""), ("seconds", float, 2.0)],
    ],
)
def test_a_changed_setting_is_noticed(fields: list[tuple[str, type]]) -> None:
    assert fields_of(msgspec.defstruct("Altered", fields)) != fields_of(Sample)
