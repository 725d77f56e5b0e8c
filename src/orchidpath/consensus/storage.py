"""Durable storage of a replica: its identity, term and vote, log and snapshot.

A call that stores something returns only after the data is synced. After any error, the storage
rejects all further calls, for two reasons: the replica's state in memory is then ahead of its disk,
and after a failed sync the operating system may have discarded the unwritten pages, so that a
second sync would succeed without having written them.
"""

import errno
import uuid
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

from orchidpath.consensus.errors import (
    DamagedLogError,
    FolderInUseError,
    LogGapError,
    StorageError,
    StorageFailedError,
    StorageFullError,
)
from orchidpath.consensus.files import AppendFile, FileLayer
from orchidpath.consensus.log import ReplicaLog
from orchidpath.consensus.log_records import (
    FORMAT_VERSION,
    EntriesRecord,
    HardStateRecord,
    HeaderRecord,
    Record,
    SnapshotRecord,
    SyncedRecord,
    encode_record,
    read_records,
)
from orchidpath.consensus.types import HardState, LogEntry, RestoredState, Snapshot

LOG_NAME = "log"
IDENTITY_NAME = "identity"
LOCK_NAME = "lock"
NEW_SUFFIX = ".new"
REWRITE_BATCH_ENTRIES = 1024

_ENCODED_SYNCED_RECORD = encode_record(SyncedRecord())
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class LogStorage(ABC):
    """Durable storage of a replica.

    Every `persist_*` method returns once its record is on disk, and raises `StorageError`
    otherwise; the replica must then stop, and not retry.
    """

    @property
    @abstractmethod
    def identity(self) -> str:
        """Id of the replica, available after `load`."""

    @abstractmethod
    def load(self) -> RestoredState:
        """Read the stored state, or create a new identity if nothing is stored."""

    @abstractmethod
    def persist_hard_state(self, hard_state: HardState) -> None:
        """Store term and vote."""

    @abstractmethod
    def persist_entries(self, truncate_from: int | None, entries: list[LogEntry]) -> None:
        """Remove the entries from `truncate_from` on, unless it is None, and append `entries`."""

    @abstractmethod
    def persist_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot in place of the entries that it covers."""

    @abstractmethod
    def close(self) -> None:
        """Close the storage and release what it holds open."""


def new_replica_id() -> str:
    """Return a random id of 32 hexadecimal digits (a UUID), which no other replica has."""
    return uuid.uuid4().hex


class MemoryLogStorage(LogStorage):
    """Storage of a replica without a disk; nothing survives the end of the process.

    Such a replica has a new identity at every start and must never vote.
    """

    def __init__(self, new_identity: Callable[[], str] = new_replica_id) -> None:
        self._identity = new_identity()

    @property
    def identity(self) -> str:
        """Id of the replica."""
        return self._identity

    def load(self) -> RestoredState:
        """Return an empty state, because nothing is stored."""
        return RestoredState()

    def persist_hard_state(self, hard_state: HardState) -> None:
        """Do nothing: term and vote are not stored."""

    def persist_entries(self, truncate_from: int | None, entries: list[LogEntry]) -> None:
        """Do nothing: entries are not stored."""

    def persist_snapshot(self, snapshot: Snapshot) -> None:
        """Do nothing: snapshots are not stored."""

    def close(self) -> None:
        """Do nothing: no file is open."""


class FileLogStorage(LogStorage):
    """Storage in one log file, which is rewritten at each snapshot.

    The identity is stored in the data folder: an empty folder means a new identity, on whichever
    machine the folder is. The first record of the log repeats the identity, so that files of two
    replicas cannot be mixed unnoticed.

    Parameters
    ----------
    folder
        Data folder.
    files
        File operations.
    new_identity
        Generates the id of a new replica.
    """

    def __init__(
        self, folder: str, files: FileLayer, new_identity: Callable[[], str] = new_replica_id
    ) -> None:
        self._folder = folder
        self._files = files
        self._new_identity = new_identity
        self._identity = ""
        self._hard_state = HardState()
        self._log = ReplicaLog(None, [])
        self._log_file: AppendFile | None = None
        self._failure: StorageError | None = None

    @property
    def identity(self) -> str:
        """Id of the replica, available after `load`."""
        return self._identity

    def load(self) -> RestoredState:
        """Read the stored state, or create a new identity if the folder is empty.

        Raises
        ------
        DamagedLogError
            The files contradict each other, or a record before the tail is damaged.
        FolderInUseError
            The folder can't be locked, usually because another process uses it.
        StorageFullError, StorageFailedError
            A file operation failed; the disk is full in the first case.
        """
        with self._fail_for_good():
            self._files.make_folder(self._folder)
            self._lock()
            self._read_or_create()
            self._log_file = self._files.open_append(self._path(LOG_NAME))
        entries = self._log.entries_between(self._log.snapshot_index + 1, self._log.last_index)
        return RestoredState(self._hard_state, self._log.snapshot, entries)

    def persist_hard_state(self, hard_state: HardState) -> None:
        """Store term and vote."""
        with self._fail_for_good():
            self._append(HardStateRecord(hard_state))
            self._hard_state = hard_state

    def persist_entries(self, truncate_from: int | None, entries: list[LogEntry]) -> None:
        """Remove the entries from `truncate_from` on, unless it is None, and append `entries`."""
        with self._fail_for_good():
            record = EntriesRecord(truncate_from, entries)
            self._append(record)
            self._apply_entries(record)

    def persist_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot in place of the entries that it covers.

        The new log file is complete and synced before it is renamed over the old one, so a crash
        leaves either the old or the new file, and never a partial one.
        """
        with self._fail_for_good():
            self._log.install(snapshot)
            if self._log_file is not None:
                self._log_file.close()
                self._log_file = None
            self._write_new(LOG_NAME, self._encode_log())
            self._log_file = self._files.open_append(self._path(LOG_NAME))

    def close(self) -> None:
        """Close the log file and release the lock on the data folder."""
        if self._log_file is not None:
            self._log_file.close()
            self._log_file = None
        self._files.unlock(self._path(LOCK_NAME))
        self._failure = self._failure or StorageFailedError(
            f"{self._folder}: the storage is closed, expected no call after close"
        )

    def _path(self, name: str) -> str:
        return f"{self._folder}/{name}"

    @contextmanager
    def _fail_for_good(self) -> Iterator[None]:
        """Convert an `OSError` to a `StorageError`, and raise the same error on all later calls."""
        if self._failure is not None:
            raise self._failure
        try:
            yield
        except StorageError as error:
            self._failure = error
            raise
        except OSError as error:
            full = error.errno in _DISK_FULL_ERRNOS
            kind = StorageFullError if full else StorageFailedError
            self._failure = kind(f"{self._folder}: {error}")
            raise self._failure from error

    def _lock(self) -> None:
        """Lock the data folder, so that no second process can run as the same replica."""
        try:
            self._files.lock(self._path(LOCK_NAME))
        except OSError as error:
            raise FolderInUseError(
                f"{self._folder} is in use by another process, or can't be locked: {error}"
            ) from error

    def _read_or_create(self) -> None:
        names = set(self._files.list_names(self._folder))
        if LOG_NAME in names:
            self._read(has_identity_file=IDENTITY_NAME in names)
        elif IDENTITY_NAME in names:
            raise DamagedLogError(
                f"{self._folder} has an identity file, but its log file is missing; expected both"
            )
        else:
            self._create()
        for name in sorted(names):
            if name.endswith(NEW_SUFFIX) and name in self._files.list_names(self._folder):
                self._files.remove(self._path(name))

    def _create(self) -> None:
        """Create the files of a new replica.

        The log is created first, so that the existence of the identity file proves that a log
        existed.
        """
        self._identity = self._new_identity()
        self._write_new(LOG_NAME, self._encode_log())
        self._write_new(IDENTITY_NAME, self._identity.encode())

    def _read(self, has_identity_file: bool) -> None:
        data = self._files.read(self._path(LOG_NAME))
        found_records = read_records(data)
        header = next(found_records, None)
        if header is None:
            raise DamagedLogError(
                f"{self._path(LOG_NAME)}: no complete record in {len(data)} bytes, "
                "expected a header record first"
            )
        self._read_header(header.record)
        good_size_bytes = header.end
        for found in found_records:
            self._replay(found.record)
            good_size_bytes = found.end
        self._check_identity_file(has_identity_file)
        # The torn tail is truncated only after all checks have passed, so that a damaged log stays
        # unchanged for the operator who has to repair it.
        if good_size_bytes < len(data):
            self._files.truncate(self._path(LOG_NAME), good_size_bytes)

    def _read_header(self, record: Record) -> None:
        if not isinstance(record, HeaderRecord):
            raise DamagedLogError(
                f"{self._path(LOG_NAME)}: the first record is a {type(record).__name__}, "
                "expected a header record"
            )
        if record.version != FORMAT_VERSION:
            raise DamagedLogError(
                f"{self._path(LOG_NAME)}: unknown format {record.version}, "
                f"expected format {FORMAT_VERSION}"
            )
        self._identity = record.identity

    def _replay(self, record: Record) -> None:
        if isinstance(record, HeaderRecord):
            raise DamagedLogError(
                f"{self._path(LOG_NAME)}: a second header record, of replica {record.identity}; "
                "expected one at the start only"
            )
        if isinstance(record, HardStateRecord):
            self._hard_state = record.hard_state
        elif isinstance(record, SnapshotRecord):
            self._log.install(record.snapshot)
        elif isinstance(record, EntriesRecord):
            self._apply_entries(record)

    def _apply_entries(self, record: EntriesRecord) -> None:
        try:
            if record.truncate_from is not None:
                self._log.truncate_from(record.truncate_from)
            self._log.append(record.entries)
        except (LogGapError, msgspec.DecodeError) as error:
            raise DamagedLogError(f"{self._folder}: {error}") from error

    def _check_identity_file(self, has_identity_file: bool) -> None:
        if not has_identity_file:
            if self._hard_state != HardState() or self._log.last_index > 0:
                raise DamagedLogError(
                    f"{self._folder} has the log of replica {self._identity}, "
                    "but its identity file is missing"
                )
            # A crash interrupted the creation after the log file and before the identity file.
            self._write_new(IDENTITY_NAME, self._identity.encode())
            return
        stored = self._files.read(self._path(IDENTITY_NAME)).decode(errors="replace")
        if stored != self._identity:
            raise DamagedLogError(
                f"{self._folder}: the log belongs to replica {self._identity}, "
                f"but the identity file contains {stored!r}"
            )

    def _encode_log(self) -> bytes:
        records: list[Record] = [HeaderRecord(FORMAT_VERSION, self._identity)]
        if self._hard_state != HardState():
            records.append(HardStateRecord(self._hard_state))
        if self._log.snapshot is not None:
            records.append(SnapshotRecord(self._log.snapshot))
        first = self._log.snapshot_index + 1
        for start in range(first, self._log.last_index + 1, REWRITE_BATCH_ENTRIES):
            end = min(start + REWRITE_BATCH_ENTRIES - 1, self._log.last_index)
            records.append(EntriesRecord(None, self._log.entries_between(start, end)))
        return b"".join(encode_record(record) for record in records) + _ENCODED_SYNCED_RECORD

    def _write_new(self, name: str, content: bytes) -> None:
        """Write and sync a new file, rename it over the old one, and sync the folder."""
        path = self._path(name)
        new_path = path + NEW_SUFFIX
        if name + NEW_SUFFIX in self._files.list_names(self._folder):
            self._files.remove(new_path)
        file = self._files.open_append(new_path)
        try:
            file.write(content)
            file.sync()
        finally:
            file.close()
        self._files.rename(new_path, path)
        self._files.sync_folder(self._folder)

    def _append(self, record: Record) -> None:
        if self._log_file is None:
            raise StorageFailedError(
                f"{self._folder}: the log file is not open, expected a call of load first"
            )
        self._log_file.write(encode_record(record))
        self._log_file.sync()
        self._log_file.write(_ENCODED_SYNCED_RECORD)
