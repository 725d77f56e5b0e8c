"""Tests of fault files with arbitrary content.

A file is either applied, or rejected while the active faults remain in effect.
"""

import json
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from orchidpath.wire.link_faults import (
    Fate,
    LinkFault,
    LinkFaultFile,
    LinkFaultFileError,
    LinkFaultFileReader,
    LinkFaults,
)

PARTITION = LinkFaultFile(links=[LinkFault(source="a", destination="b", partitioned=True)])
FUZZ = settings(
    deadline=None,
    derandomize=True,
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)
LINKS = st.fixed_dictionaries(
    {"source": st.just("a"), "destination": st.just("b")},
    optional={
        "loss": JSON_VALUES,
        "delay_seconds": JSON_VALUES,
        "cut": JSON_VALUES,
        "both_ways": JSON_VALUES,
        "colour": JSON_VALUES,
    },
)


def read(tmp_path: Path, content: bytes) -> tuple[bool, LinkFaults]:
    """Read a file while a link is partitioned; return whether it was accepted, and the faults."""
    path = tmp_path / "faults.json"
    path.write_bytes(content)
    faults = LinkFaults()
    faults.set_faults(PARTITION)
    try:
        LinkFaultFileReader(path, faults).refresh()
    except LinkFaultFileError:
        assert faults.is_partitioned("a", "b")
        return False, faults
    return True, faults


@FUZZ
@given(content=st.binary(min_size=1, max_size=200))
def test_random_bytes_are_rejected(tmp_path: Path, content: bytes) -> None:
    accepted, _ = read(tmp_path, content)
    assert not accepted


@FUZZ
@given(links=st.lists(LINKS, max_size=3), seed=st.integers(-5, 5))
def test_any_links_are_rejected_or_valid(
    tmp_path: Path, links: list[dict[str, object]], seed: int
) -> None:
    accepted, faults = read(tmp_path, json.dumps({"seed": seed, "links": links}).encode())
    if not accepted:
        return
    assert all("colour" not in link for link in links)
    verdict = faults.on_send("a", "b")
    assert verdict.delay_seconds >= 0.0
    assert (verdict.fate is Fate.DELAYED) == (verdict.delay_seconds > 0.0)


@pytest.mark.parametrize(
    "field", ['"loss": 1.5', '"loss": -0.1', '"delay_seconds": -1', '"loss": NaN']
)
def test_values_out_of_range_are_rejected(tmp_path: Path, field: str) -> None:
    content = f'{{"links": [{{"source": "a", "destination": "b", {field}}}]}}'
    accepted, _ = read(tmp_path, content.encode())
    assert not accepted


def test_deep_nesting_is_rejected(tmp_path: Path) -> None:
    accepted, _ = read(tmp_path, b'{"links":' + b"[" * 100_000)
    assert not accepted


def test_a_folder_is_rejected_and_a_missing_file_ends_the_faults(tmp_path: Path) -> None:
    faults = LinkFaults()
    faults.set_faults(PARTITION)
    with pytest.raises(LinkFaultFileError):
        LinkFaultFileReader(tmp_path, faults).refresh()
    assert faults.is_partitioned("a", "b")
    reader = LinkFaultFileReader(tmp_path / "missing.json", faults)
    assert reader.refresh()
    assert not faults.is_partitioned("a", "b")
