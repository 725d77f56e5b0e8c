"""Storage on simulated disks with faults, and on the real file system."""

import random
from pathlib import Path

import pytest

from orchidpath.consensus.errors import (
    DamagedLogError,
    FolderInUseError,
    StorageFailedError,
    StorageFullError,
)
from orchidpath.consensus.files import FileLayer, RealFiles, SimulatedFiles
from orchidpath.consensus.log_records import EntriesRecord, encode_record
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
MEMBERSHIP = Membership(("a",), (), {"a": "a:1"})


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, b"payload %d" % index)


def opened(files: FileLayer, folder: str = FOLDER) -> FileLogStorage:
    storage = FileLogStorage(folder, files)
    storage.load()
    return storage


def reloaded(files: SimulatedFiles, seed: int = 0) -> RestoredState:
    files.crash(random.Random(seed))
    return FileLogStorage(FOLDER, files).load()


def write_history(storage: FileLogStorage, count: int) -> RestoredState:
    """Write entries, votes, truncations and snapshots; return the state that must be read back."""
    entries: list[LogEntry] = []
    snapshot = None
    hard_state = HardState()
    for index in range(1, count + 1):
        term = 1 + index // 50
        entries.append(entry(index, term))
        storage.persist_entries(None, [entry(index, term)])
        if index % 37 == 0:
            hard_state = HardState(term, f"n{index}")
            storage.persist_hard_state(hard_state)
        if index % 41 == 0:
            replaced = entry(index, term + 1)
            entries[-1] = replaced
            storage.persist_entries(index, [replaced])
        if index % 100 == 0:
            snapshot = Snapshot(index - 5, entries[-6].term, MEMBERSHIP, b"state %d" % index)
            entries = entries[-5:]
            storage.persist_snapshot(snapshot)
    return RestoredState(hard_state, snapshot, entries)


@pytest.mark.parametrize("seed", range(5))
def test_hundreds_of_entries_with_snapshots_are_read_back_exactly(seed: int) -> None:
    files = SimulatedFiles()
    expected = write_history(opened(files), 730 + seed)
    assert reloaded(files, seed) == expected


def test_real_files_are_read_back_exactly(tmp_path: Path) -> None:
    folder = str(tmp_path / "replica")
    storage = opened(RealFiles(), folder)
    expected = write_history(storage, 120)
    storage.close()
    second = FileLogStorage(folder, RealFiles())
    assert second.load() == expected
    assert second.identity == storage.identity


def test_a_data_folder_is_locked_against_a_second_storage(tmp_path: Path) -> None:
    storage = opened(RealFiles(), str(tmp_path))
    with pytest.raises(FolderInUseError):
        opened(RealFiles(), str(tmp_path))
    storage.close()
    opened(RealFiles(), str(tmp_path)).close()


@pytest.mark.parametrize("cut", range(0, 60, 3))
def test_a_torn_tail_is_truncated(cut: int) -> None:
    files = SimulatedFiles()
    opened(files).persist_entries(None, [entry(1), entry(2)])
    torn = encode_record(EntriesRecord(None, [entry(3)]))
    file = files.open_append(LOG)
    file.write(torn[: min(cut, len(torn) - 1)])
    file.sync()
    assert reloaded(files).entries == [entry(1), entry(2)]
    # Entries can be appended to the truncated log.
    again = FileLogStorage(FOLDER, files)
    files.crash(random.Random(0))
    again.load()
    again.persist_entries(None, [entry(3)])
    assert reloaded(files).entries == [entry(1), entry(2), entry(3)]


@pytest.mark.parametrize("share", [0.0, 0.1, 0.3, 0.5, 0.7, 0.9])
def test_damage_before_the_tail_is_rejected(share: float) -> None:
    files = SimulatedFiles()
    storage = opened(files)
    for index in range(1, 40):
        storage.persist_entries(None, [entry(index)])
    files.damage(LOG, int(len(files.read(LOG)) * share))
    with pytest.raises(DamagedLogError):
        reloaded(files)


def test_damage_to_the_last_synced_record_is_not_taken_for_a_torn_tail() -> None:
    files = SimulatedFiles()
    storage = opened(files)
    size = len(files.read(LOG))
    storage.persist_hard_state(HardState(7, "b"))
    files.damage(LOG, size + 12)
    storage.close()
    with pytest.raises(DamagedLogError):
        FileLogStorage(FOLDER, files).load()


def test_a_full_disk_stops_acknowledging() -> None:
    files = SimulatedFiles()
    storage = opened(files)
    storage.persist_entries(None, [entry(1)])
    files.capacity_bytes = len(files.read(LOG)) + 60
    with pytest.raises(StorageFullError):
        storage.persist_entries(None, [entry(2), entry(3)])
    files.capacity_bytes = None
    with pytest.raises(StorageFullError):
        storage.persist_entries(None, [entry(2)])
    assert reloaded(files).entries == [entry(1)]


def test_a_full_disk_during_a_snapshot_keeps_the_old_log() -> None:
    files = SimulatedFiles()
    storage = opened(files)
    storage.persist_entries(None, [entry(1), entry(2)])
    files.capacity_bytes = len(files.read(LOG)) + 100
    with pytest.raises(StorageFullError):
        storage.persist_snapshot(Snapshot(1, 1, MEMBERSHIP, bytes(1000)))
    files.capacity_bytes = None
    assert reloaded(files).entries == [entry(1), entry(2)]


def test_a_failed_sync_is_fatal_and_never_retried() -> None:
    files = SimulatedFiles()
    storage = opened(files)
    files.sync_fails = True
    with pytest.raises(StorageFailedError):
        storage.persist_hard_state(HardState(3, "b"))
    files.sync_fails = False
    with pytest.raises(StorageFailedError):
        storage.persist_hard_state(HardState(3, "b"))


def test_a_removed_folder_fails_the_next_sync_and_leads_to_a_new_identity() -> None:
    files = SimulatedFiles()
    storage = opened(files)
    storage.persist_entries(None, [entry(1)])
    files.remove_folder(FOLDER)
    with pytest.raises(StorageFailedError):
        storage.persist_entries(None, [entry(2)])
    files.crash(random.Random(0))
    fresh = FileLogStorage(FOLDER, files)
    assert fresh.load() == RestoredState()
    assert fresh.identity != storage.identity


def test_a_removed_real_log_fails_the_next_sync(tmp_path: Path) -> None:
    storage = opened(RealFiles(), str(tmp_path))
    (tmp_path / "log").unlink()
    with pytest.raises(StorageFailedError):
        storage.persist_entries(None, [entry(1)])
    storage.close()


def test_an_identity_without_its_log_is_rejected() -> None:
    files = SimulatedFiles()
    opened(files)
    files.remove(LOG)
    files.sync_folder(FOLDER)
    with pytest.raises(DamagedLogError):
        reloaded(files)


def test_a_log_under_another_identity_is_rejected() -> None:
    files = SimulatedFiles()
    opened(files)
    files.remove("/data/identity")
    file = files.open_append("/data/identity")
    file.write(b"somebody else")
    file.sync()
    files.sync_folder(FOLDER)
    with pytest.raises(DamagedLogError):
        reloaded(files)
