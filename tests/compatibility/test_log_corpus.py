"""Tests that commands, records and snapshots are read and written as before the first rename."""

import msgspec
import pytest
from binary_corpus import Group, case_difference, label_of, read_cases
from corpus_checks import case_parameters, groups_named

from orchidpath.consensus.errors import DamagedLogError
from orchidpath.consensus.log_records import encode_record, read_records
from orchidpath.consensus.types import HardState
from orchidpath.state.commands import CommandDecodeError, decode_command
from orchidpath.state.snapshot import (
    SNAPSHOT_FORMAT,
    SnapshotBody,
    SnapshotFormatError,
    decode_snapshot,
    encode_snapshot,
)

ZLIB_FIRST_BYTE = 0x78


class _LaterRecord(msgspec.Struct, frozen=True, tag="later"):
    """A record of a kind that this version does not define."""

    hard_state: HardState


@pytest.mark.parametrize(
    ("group", "name"), case_parameters([*groups_named("log_"), *groups_named("later_")])
)
def test_a_case_is_read_and_written_as_before(group: Group, name: str) -> None:
    case = read_cases(group.path)[name]
    label = label_of(name)
    assert not case_difference(case, lambda content: group.decode(label, content), group.encode)


@pytest.mark.parametrize(
    ("group_name", "case_name"),
    [("log_commands", "submit_configuration/large"), ("log_snapshots", "snapshot_body/large")],
)
def test_a_large_value_is_compressed(group_name: str, case_name: str) -> None:
    [group] = groups_named(group_name)
    content = bytes.fromhex(read_cases(group.path)[case_name].content)
    assert content[0] == ZLIB_FIRST_BYTE


def test_a_snapshot_of_a_later_format_is_refused() -> None:
    content = encode_snapshot(SnapshotBody(format=SNAPSHOT_FORMAT + 1))
    with pytest.raises(SnapshotFormatError, match="format 2 is not known"):
        decode_snapshot(content)


def test_a_record_of_an_unknown_kind_is_refused() -> None:
    content = encode_record(_LaterRecord(HardState()))  # type: ignore[arg-type]
    with pytest.raises(DamagedLogError, match="unknown record at byte 0"):
        list(read_records(content))


def test_a_command_of_an_unknown_kind_is_refused() -> None:
    with pytest.raises(CommandDecodeError, match="later"):
        decode_command(msgspec.msgpack.encode({"type": "later"}))
