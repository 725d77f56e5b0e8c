"""In-memory replicated log: the snapshot, the entries after it, and the memberships they define."""

import msgspec

from orchidpath.consensus.errors import LogGapError
from orchidpath.consensus.types import EntryKind, LogEntry, Membership, Snapshot


def encode_membership(membership: Membership) -> bytes:
    """Return the msgpack payload of a membership entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Return the membership that the msgpack payload of a membership entry encodes."""
    return msgspec.msgpack.decode(payload, type=Membership)


class _MembershipAt(msgspec.Struct, frozen=True):
    """A membership and the index of the entry that defined it."""

    index: int
    membership: Membership


class ReplicaLog:
    """The replicated log of one replica: the newest snapshot and all entries after it.

    Parameters
    ----------
    snapshot
        Newest snapshot, or None if the log has never been compacted.
    entries
        Entries with contiguous indexes that start after the snapshot.

    Attributes
    ----------
    payload_bytes
        Total size of the payloads of all entries after the snapshot, in bytes.
    """

    def __init__(self, snapshot: Snapshot | None, entries: list[LogEntry]) -> None:
        self.snapshot = snapshot
        self._entries: list[LogEntry] = []
        self.payload_bytes = 0
        self._memberships: list[_MembershipAt] = []
        self._reset_memberships()
        self.append(entries)

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the snapshot covers, 0 without a snapshot."""
        return self.snapshot.last_index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index) or 0

    @property
    def membership(self) -> Membership:
        """Newest membership in the log, committed or not."""
        return self._memberships[-1].membership

    @property
    def membership_index(self) -> int:
        """Index of the entry that defined the newest membership."""
        return self._memberships[-1].index

    def membership_at(self, index: int) -> Membership:
        """Return the membership that is effective after the entry at `index`."""
        for change in reversed(self._memberships):
            if change.index <= index:
                return change.membership
        return self._memberships[0].membership

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if the log does not contain it.

        The term of the snapshot's last entry is known, and index 0 has term 0.
        """
        if index == self.snapshot_index:
            return self.snapshot.last_term if self.snapshot else 0
        if self.snapshot_index < index <= self.last_index:
            return self._entries[index - self.snapshot_index - 1].term
        return None

    def entries_between(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries from `first` to `last`, both included."""
        offset = self.snapshot_index + 1
        return self._entries[first - offset : last - offset + 1]

    def batch_from(self, first: int, max_bytes: int, max_entries: int) -> list[LogEntry]:
        """Return entries from `first` on within the limits, but at least one if any exists.

        `max_bytes` limits the total size of the payloads in bytes.
        """
        batch: list[LogEntry] = []
        size_bytes = 0
        last = min(self.last_index, first + max_entries - 1)
        for position in range(first - self.snapshot_index - 1, last - self.snapshot_index):
            entry = self._entries[position]
            size_bytes += len(entry.payload)
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return batch

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log whose entry has the same term as entry `index`."""
        term = self.term_at(index)
        while index > self.snapshot_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_at_most_term(self, index: int, term: int) -> int:
        """Return the last index up to `index` whose term is at most `term`."""
        while index > self.snapshot_index and (self.term_at(index) or 0) > term:
            index -= 1
        return index

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries, whose indexes must continue after the last entry.

        Raises
        ------
        LogGapError
            The index of an entry is not one above the last index.
        """
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise LogGapError(entry.index, self.last_index)
            self._entries.append(entry)
            self.payload_bytes += len(entry.payload)
            if entry.kind is EntryKind.MEMBERSHIP:
                membership = decode_membership(entry.payload)
                self._memberships.append(_MembershipAt(entry.index, membership))

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on, and the memberships that they defined."""
        offset = index - self.snapshot_index - 1
        self.payload_bytes -= sum(len(entry.payload) for entry in self._entries[offset:])
        del self._entries[offset:]
        while len(self._memberships) > 1 and self._memberships[-1].index >= index:
            self._memberships.pop()

    def install(self, snapshot: Snapshot) -> None:
        """Replace the snapshot by a newer one.

        Entries after the new snapshot are retained only if the log contains the snapshot's last
        entry with the same term. The log and the snapshot then agree up to that entry (log matching
        property); otherwise the entries may conflict with the snapshot.
        """
        retained: list[LogEntry] = []
        if self.term_at(snapshot.last_index) == snapshot.last_term:
            retained = self.entries_between(snapshot.last_index + 1, self.last_index)
        self.snapshot = snapshot
        self._entries = []
        self.payload_bytes = 0
        self._reset_memberships()
        self.append(retained)

    def _reset_memberships(self) -> None:
        membership = self.snapshot.membership if self.snapshot else Membership()
        self._memberships = [_MembershipAt(self.snapshot_index, membership)]
