"""Tests that messages from before the first rename are read and written unchanged."""

import pytest
from binary_corpus import (
    ARRAY_FIELDS,
    GROUPS,
    Group,
    case_difference,
    label_of,
    read_cases,
)
from corpus_checks import (
    all_covered_types,
    case_parameters,
    covered_structs,
    groups_named,
    structs_in,
    uncovered_forms,
    uncovered_labels,
    wire_modules,
)

import orchidpath.consensus.log_records
import orchidpath.consensus.raft_messages
import orchidpath.state.commands
import orchidpath.state.plans
import orchidpath.state.snapshot
from orchidpath.consensus.log_records import FoundRecord
from orchidpath.state.snapshot import SnapshotHeader
from orchidpath.wire.compression import COMPRESSION_THRESHOLD_BYTES
from orchidpath.wire.link_faults import Verdict

WIRE_GROUPS = groups_named("wire_")
FRAME_HEADER_BYTES = 8
ZLIB_FIRST_BYTE = 0x78

NEVER_ENCODED = {FoundRecord, Verdict}
"""Structs that exist only in memory."""

READ_AS_PART = {SnapshotHeader}
"""Structs that are read from the bytes of a larger struct, whose cases cover them."""


@pytest.mark.parametrize(("group", "name"), case_parameters(WIRE_GROUPS))
def test_a_case_is_read_and_written_as_before(group: Group, name: str) -> None:
    case = read_cases(group.path)[name]
    label = label_of(name)
    assert not case_difference(case, lambda content: group.decode(label, content), group.encode)


@pytest.mark.parametrize("group", GROUPS, ids=lambda group: group.name)
def test_every_type_of_a_group_has_a_case(group: Group) -> None:
    assert not uncovered_labels(group)


@pytest.mark.parametrize("group", GROUPS, ids=lambda group: group.name)
def test_a_groups_cases_show_every_default_field_and_enum_value(group: Group) -> None:
    assert not uncovered_forms([group])


def test_every_encoded_struct_belongs_to_a_group() -> None:
    modules = [
        *wire_modules(),
        orchidpath.consensus.raft_messages,
        orchidpath.consensus.log_records,
        orchidpath.state.commands,
        orchidpath.state.plans,
        orchidpath.state.snapshot,
    ]
    defined = {struct for module in modules for struct in structs_in(module)}
    assert defined - all_covered_types() == NEVER_ENCODED | READ_AS_PART


def test_every_array_like_struct_names_all_its_fields() -> None:
    array_like = {struct for struct in covered_structs() if struct.__struct_config__.array_like}
    assert set(ARRAY_FIELDS) == array_like
    for struct in array_like:
        assert sorted(ARRAY_FIELDS[struct].values()) == sorted(struct.__struct_fields__)


def test_a_large_frame_is_compressed_and_a_small_one_is_not() -> None:
    [frames] = groups_named("wire_frames")
    cases = read_cases(frames.path)
    large = bytes.fromhex(cases["fleet_update/large"].content)
    small = bytes.fromhex(cases["hello/defaults"].content)
    assert large[FRAME_HEADER_BYTES] == ZLIB_FIRST_BYTE
    assert small[FRAME_HEADER_BYTES] != ZLIB_FIRST_BYTE
    assert len(small) < COMPRESSION_THRESHOLD_BYTES
