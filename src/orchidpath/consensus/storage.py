"""Durable storage of a replica: its identity, term and vote, log and snapshot.

Nothing returns before it is synced. After any error the storage refuses all further calls: the
replica's state in memory is then ahead of its disk, and after a failed sync the system may have
dropped the unwritten pages, so that a second sync would succeed without having written them.
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

_SYNCED = encode_record(SyncedRecord())
_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)


class LogStorage(ABC):
    """Durable storage of a replica.

    Every `persist_*` method returns once its record is on disk, and raises `StorageError`
    otherwise; the replica must then stop, and not retry.
    """

    @property
    @abstractmethod
    def identity(self) -> str:
        """Id of the replica, known after `load`."""

    @abstractmethod
    def load(self) -> RestoredState:
        """Read everything back; create a new identity if there is nothing."""

    @abstractmethod
    def persist_hard_state(self, hard_state: HardState) -> None:
        """Store term and vote."""

    @abstractmethod
    def persist_entries(self, truncate_from: int | None, entries: list[LogEntry]) -> None:
        """Drop entries from `truncate_from` on, unless None, and append `entries`."""

    @abstractmethod
    def persist_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot in place of the entries it covers."""

    @abstractmethod
    def close(self) -> None:
        """Release the storage."""


def new_replica_id() -> str:
    """Return a random id that no other replica has."""
    return uuid.uuid4().hex


class MemoryLogStorage(LogStorage):
    """Storage of a replica without a disk: it ends with its process.

    Such a replica has a new identity at every start and must never vote.
    """

    def __init__(self, new_identity: Callable[[], str] = new_replica_id) -> None:
        self._identity = new_identity()

    @property
    def identity(self) -> str:
        """Id of the replica."""
        return self._identity

    def load(self) -> RestoredState:
        """Return an empty state: there is nothing to read back."""
        return RestoredState()

    def persist_hard_state(self, hard_state: HardState) -> None:
        """Do nothing."""

    def persist_entries(self, truncate_from: int | None, entries: list[LogEntry]) -> None:
        """Do nothing."""

    def persist_snapshot(self, snapshot: Snapshot) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class FileLogStorage(LogStorage):
    """Storage in one log file, which is rewritten at each snapshot.

    The identity lives in the folder: an empty folder means a new identity, whatever the
    machine. The log's first record repeats it, so files of two replicas can't be mixed.

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
        """Id of the replica, known after `load`."""
        return self._identity

    def load(self) -> RestoredState:
        """Read everything back; create a new identity if the folder is empty.

        Raises
        ------
        DamagedLogError
            The files contradict each other, or a record before the tail is damaged.
        FolderInUseError
            Another process uses the folder.
        StorageFullError, StorageFailedError
            The disk doesn't answer as it should.
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
        """Drop entries from `truncate_from` on, unless None, and append `entries`."""
        with self._fail_for_good():
            record = EntriesRecord(truncate_from, entries)
            self._append(record)
            self._apply_entries(record)

    def persist_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot in place of the entries it covers.

        The new file is complete and synced before it takes the old one's name, so a crash
        leaves one or the other.
        """
        with self._fail_for_good():
            self._log.install(snapshot)
            if self._log_file is not None:
                self._log_file.close()
                self._log_file = None
            self._write_new(LOG_NAME, self._encode_log())
            self._log_file = self._files.open_append(self._path(LOG_NAME))

    def close(self) -> None:
        """Release the folder."""
        if self._log_file is not None:
            self._log_file.close()
            self._log_file = None
        self._files.unlock(self._path(LOCK_NAME))
        self._failure = self._failure or StorageFailedError("the storage is closed")

    def _path(self, name: str) -> str:
        return f"{self._folder}/{name}"

    @contextmanager
    def _fail_for_good(self) -> Iterator[None]:
        """Turn an error into one of this package, and repeat it on every later call."""
        if self._failure is not None:
            raise self._failure
        try:
            yield
        except StorageError as error:
            self._failure = error
            raise
        except OSError as error:
            full = error.errno in _FULL_ERRORS
            kind = StorageFullError if full else StorageFailedError
            self._failure = kind(f"{self._folder}: {error}")
            raise self._failure from error

    def _lock(self) -> None:
        """Prevent a second process from running as the same replica."""
        try:
            self._files.lock(self._path(LOCK_NAME))
        except OSError as error:
            raise FolderInUseError(f"{self._folder} is in use: {error}") from error

    def _read_or_create(self) -> None:
        names = set(self._files.list_names(self._folder))
        if LOG_NAME in names:
            self._read(has_identity_file=IDENTITY_NAME in names)
        elif IDENTITY_NAME in names:
            raise DamagedLogError(f"{self._folder} has an identity, but its log is missing")
        else:
            self._create()
        for name in sorted(names):
            if name.endswith(NEW_SUFFIX) and name in self._files.list_names(self._folder):
                self._files.remove(self._path(name))

    def _create(self) -> None:
        """Create the log first: an identity file then proves that there was a log."""
        self._identity = self._new_identity()
        self._write_new(LOG_NAME, self._encode_log())
        self._write_new(IDENTITY_NAME, self._identity.encode())

    def _read(self, has_identity_file: bool) -> None:
        data = self._files.read(self._path(LOG_NAME))
        found_records = read_records(data)
        header = next(found_records, None)
        if header is None:
            raise DamagedLogError(f"{self._folder}: the log has no header")
        self._read_header(header.record)
        good_size_bytes = header.end
        for found in found_records:
            self._replay(found.record)
            good_size_bytes = found.end
        self._check_identity_file(has_identity_file)
        # Only now: a damaged log is left as it is, for whoever has to repair it.
        if good_size_bytes < len(data):
            self._files.truncate(self._path(LOG_NAME), good_size_bytes)

    def _read_header(self, record: Record) -> None:
        if not isinstance(record, HeaderRecord):
            raise DamagedLogError(f"{self._folder}: header missing or in the wrong place")
        if record.version != FORMAT_VERSION:
            raise DamagedLogError(f"{self._folder}: unknown format {record.version}")
        self._identity = record.identity

    def _replay(self, record: Record) -> None:
        if isinstance(record, HeaderRecord):
            raise DamagedLogError(f"{self._folder}: header missing or in the wrong place")
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
                raise DamagedLogError(f"{self._folder} has a log, but its identity is missing")
            # A crash interrupted the creation between the two files.
            self._write_new(IDENTITY_NAME, self._identity.encode())
            return
        stored = self._files.read(self._path(IDENTITY_NAME)).decode(errors="replace")
        if stored != self._identity:
            raise DamagedLogError(f"{self._folder}: the log belongs to {self._identity}")

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
        return b"".join(encode_record(record) for record in records) + _SYNCED

    def _write_new(self, name: str, content: bytes) -> None:
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
            raise StorageFailedError(f"{self._folder}: load was not called")
        self._log_file.write(encode_record(record))
        self._log_file.sync()
        self._log_file.write(_SYNCED)
