"""Property tests of log files: any content is read back as it was written, or is rejected."""

import random
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.consensus.errors import DamagedLogError, StorageError
from orchidpath.consensus.files import SimulatedFiles
from orchidpath.consensus.log_records import encode_record, read_records
from orchidpath.consensus.storage import FileLogStorage
from orchidpath.consensus.types import (
    EntryKind,
    HardState,
    LogEntry,
    Membership,
    RestoredState,
    Snapshot,
)

FOLDER = "/data"
LOG = "/data/log"
IDENTITY = "/data/identity"
FUZZ = settings(deadline=None, derandomize=True, max_examples=200)
MEMBERSHIP = Membership(("a",), (), {"a": "a:1"})


def new_identity() -> str:
    return "replica-1"


def write_log(*, snapshot_at: int | None) -> tuple[dict[str, bytes], list[RestoredState]]:
    """Write a short history; return its files, and the state after each write."""
    files = SimulatedFiles()
    storage = FileLogStorage(FOLDER, files, new_identity)
    storage.load()
    states = [RestoredState(HardState(), None, [])]
    entries: list[LogEntry] = []
    snapshot: Snapshot | None = None
    hard_state = HardState()
    for index in range(1, 9):
        entry = LogEntry(index, 1, EntryKind.COMMAND, b"payload %d" % index)
        entries.append(entry)
        storage.persist_entries(None, [entry])
        states.append(RestoredState(hard_state, snapshot, list(entries)))
        if index == 3:
            hard_state = HardState(1, "n1")
            storage.persist_hard_state(hard_state)
            states.append(RestoredState(hard_state, snapshot, list(entries)))
        if index == snapshot_at:
            snapshot = Snapshot(4, 1, MEMBERSHIP, b"state")
            storage.persist_snapshot(snapshot)
            entries = entries[-1:]
            states.append(RestoredState(hard_state, snapshot, list(entries)))
    storage.close()
    return {path: files.read(path) for path in (LOG, IDENTITY)}, states


CONTENT, STATES = write_log(snapshot_at=5)
APPENDED, APPENDED_STATES = write_log(snapshot_at=None)
SIZE = len(CONTENT[LOG])


def load(contents: dict[str, bytes]) -> RestoredState:
    """Load the state of a replica from files with these contents."""
    files = SimulatedFiles()
    for path, content in contents.items():
        file = files.open_append(path)
        file.write(content)
        file.sync()
    files.sync_folder(FOLDER)
    files.crash(random.Random(0))
    return FileLogStorage(FOLDER, files, new_identity).load()


def load_log(log: bytes) -> RestoredState:
    return load({**CONTENT, LOG: log})


def test_unchanged_files_are_read_back() -> None:
    assert load(CONTENT) == STATES[-1]


@FUZZ
@given(position=st.integers(0, SIZE * 8 - 1))
def test_a_flipped_bit_is_detected(position: int) -> None:
    log = bytearray(CONTENT[LOG])
    log[position // 8] ^= 1 << (position % 8)
    try:
        state = load_log(bytes(log))
    except DamagedLogError:
        return
    # Only the last synced marker may be torn, which has no content and is written without a sync.
    assert state == STATES[-1]


@FUZZ
@given(size=st.integers(0, SIZE - 1))
def test_a_truncated_rewritten_file_contains_only_its_beginning(size: int) -> None:
    # A crash cannot truncate this file, because it is synced completely before it is renamed.
    try:
        state = load_log(CONTENT[LOG][:size])
    except DamagedLogError:
        return
    complete = STATES[-1]
    assert state.snapshot in (None, complete.snapshot)
    assert state.hard_state in (HardState(), complete.hard_state)
    assert state.entries == complete.entries[: len(state.entries)]
    assert state.snapshot is not None or not state.entries


@FUZZ
@given(size=st.integers(0, len(APPENDED[LOG]) - 1))
def test_a_truncated_appended_file_is_an_earlier_state_or_is_rejected(size: int) -> None:
    try:
        state = load({**APPENDED, LOG: APPENDED[LOG][:size]})
    except DamagedLogError:
        return
    assert state in APPENDED_STATES


@FUZZ
@given(start=st.integers(0, SIZE - 1), length=st.integers(1, 40), noise=st.binary(max_size=40))
def test_replaced_bytes_are_detected(start: int, length: int, noise: bytes) -> None:
    log = CONTENT[LOG]
    changed = log[:start] + noise + log[start + length :]
    try:
        state = load_log(changed)
    except DamagedLogError:
        return
    assert state in STATES


@FUZZ
@given(log=st.binary(max_size=300))
def test_random_files_are_rejected(log: bytes) -> None:
    with pytest.raises(StorageError):
        load_log(log)


@FUZZ
@given(st.data())
def test_complete_records_in_any_order_are_rejected_or_a_log_without_gaps(
    data: st.DataObject,
) -> None:
    ends = [0, *(found.end for found in read_records(CONTENT[LOG]))]
    records = [CONTENT[LOG][start:end] for start, end in pairwise(ends)]
    chosen = data.draw(st.lists(st.sampled_from(records), max_size=12))
    try:
        state = load_log(b"".join(chosen))
    except StorageError:
        return
    indexes = [entry.index for entry in state.entries]
    first = state.snapshot.last_index + 1 if state.snapshot is not None else 1
    assert indexes == list(range(first, first + len(indexes)))


@FUZZ
@given(payload=st.binary(max_size=100))
def test_unknown_records_with_a_valid_checksum_are_rejected(payload: bytes) -> None:
    class Forged(msgspec.Struct):
        payload: bytes

    log = CONTENT[LOG] + encode_record(Forged(payload))  # type: ignore[arg-type]
    with pytest.raises(DamagedLogError):
        load_log(log)


@FUZZ
@given(identity=st.binary(max_size=40))
def test_another_identity_is_rejected(identity: bytes) -> None:
    if identity == CONTENT[IDENTITY]:
        return
    with pytest.raises(DamagedLogError):
        load({**CONTENT, IDENTITY: identity})


def test_one_missing_file_of_the_two_is_rejected() -> None:
    with pytest.raises(DamagedLogError):
        load({LOG: CONTENT[LOG]})
    with pytest.raises(DamagedLogError):
        load({IDENTITY: CONTENT[IDENTITY]})
