"""Workers as the fleet has agreed on them, and the incarnations that are known to be dead."""

from collections.abc import Iterable

import msgspec

from orchidpath.state.outcomes import Effect
from orchidpath.wire.records import WorkerRecord, WorkerStatus

DEAD_INCARNATION_MEMORY = 4096
"""How many of the newest dead incarnations are remembered."""


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's agreed record and the sequence of the announcement that it came with."""

    record: WorkerRecord
    sequence: int


class DeadIncarnation(msgspec.Struct, frozen=True, kw_only=True):
    """An incarnation that is gone or replaced, and its newest known announcement."""

    worker_id: str
    incarnation: str
    sequence: int


class WorkerTable:
    """The workers in the view, the holds on workers and the dead incarnations.

    Parameters
    ----------
    entries
        Workers in the view.
    dead
        Dead incarnations, oldest first.
    held
        Ids of the workers that are held back.
    dead_limit
        How many dead incarnations are remembered.
    """

    def __init__(
        self,
        entries: Iterable[WorkerEntry] = (),
        dead: Iterable[DeadIncarnation] = (),
        cordoned: Iterable[str] = (),
        dead_limit: int = DEAD_INCARNATION_MEMORY,
    ) -> None:
        self._entries = {entry.record.worker_id: entry for entry in entries}
        self._dead = {(item.worker_id, item.incarnation): item.sequence for item in dead}
        self._cordoned = set(cordoned)
        self._dead_limit = dead_limit

    def find(self, worker_id: str) -> WorkerEntry | None:
        """Return a worker that is in the view."""
        return self._entries.get(worker_id)

    def entries(self) -> list[WorkerEntry]:
        """Return the workers in the view, by id."""
        return [self._entries[worker_id] for worker_id in sorted(self._entries)]

    def dead(self) -> list[DeadIncarnation]:
        """Return the dead incarnations, oldest first."""
        return [
            DeadIncarnation(worker_id=worker_id, incarnation=incarnation, sequence=sequence)
            for (worker_id, incarnation), sequence in self._dead.items()
        ]

    def cordoned(self) -> list[str]:
        """Return the ids of the workers that are held back, sorted."""
        return sorted(self._cordoned)

    def known(self, worker_id: str) -> bool:
        """Return whether a worker is in the view or one of its dead incarnations is remembered."""
        return worker_id in self._entries or any(key[0] == worker_id for key in self._dead)

    def announce(self, record: WorkerRecord, sequence: int) -> Effect:
        """Take a worker's announcement.

        A late announcement changes nothing: neither one with a lower sequence of the current
        incarnation, nor one of a dead incarnation that was already covered when it died.
        """
        if record.status is WorkerStatus.GONE or not record.worker_id or not record.incarnation:
            return Effect.INVALID
        agreed = self._complete(record)
        current = self._entries.get(record.worker_id)
        if current is not None and current.record.incarnation == record.incarnation:
            return self._renew(current, agreed, sequence)
        key = (record.worker_id, record.incarnation)
        if sequence <= self._dead.get(key, sequence - 1):
            return Effect.STALE
        if current is not None:
            self._bury(current, current.sequence)
        self._dead.pop(key, None)
        self._entries[record.worker_id] = WorkerEntry(record=agreed, sequence=sequence)
        return Effect.CHANGED

    def depart(self, worker_id: str, incarnation: str, sequence: int) -> WorkerRecord | None:
        """Take a worker out of the view if that incarnation is the current one.

        Returns
        -------
        WorkerRecord or None
            The record with status GONE, or nothing if the incarnation is not in the view.
        """
        current = self._entries.get(worker_id)
        if current is None or current.record.incarnation != incarnation:
            return None
        del self._entries[worker_id]
        self._bury(current, max(current.sequence, sequence))
        return msgspec.structs.replace(current.record, status=WorkerStatus.GONE)

    def cordon(self, worker_id: str, cordoned: bool) -> Effect:
        """Hold a worker back from new requests, or release it.

        The hold is kept apart from the record, so that an announcement or a restart in the
        middle of a plan does not release the worker.
        """
        if not self.known(worker_id):
            return Effect.UNKNOWN
        if (worker_id in self._cordoned) == cordoned:
            return Effect.UNCHANGED
        if cordoned:
            self._cordoned.add(worker_id)
        else:
            self._cordoned.discard(worker_id)
        current = self._entries.get(worker_id)
        if current is not None:
            record = msgspec.structs.replace(current.record, cordoned=cordoned)
            self._entries[worker_id] = WorkerEntry(record=record, sequence=current.sequence)
        return Effect.CHANGED

    def _renew(self, current: WorkerEntry, agreed: WorkerRecord, sequence: int) -> Effect:
        """Take a further announcement of the current incarnation."""
        if sequence < current.sequence:
            return Effect.STALE
        if agreed == current.record:
            self._entries[agreed.worker_id] = WorkerEntry(record=agreed, sequence=sequence)
            return Effect.UNCHANGED
        if sequence == current.sequence:
            return Effect.STALE
        self._entries[agreed.worker_id] = WorkerEntry(record=agreed, sequence=sequence)
        return Effect.CHANGED

    def _complete(self, record: WorkerRecord) -> WorkerRecord:
        """Return the record with its default failure domain and the fleet's hold."""
        return msgspec.structs.replace(
            record,
            failure_domain=record.failure_domain or record.worker_id,
            cordoned=record.worker_id in self._cordoned,
        )

    def _bury(self, entry: WorkerEntry, sequence: int) -> None:
        """Remember an incarnation as dead and forget the oldest ones beyond the limit."""
        key = (entry.record.worker_id, entry.record.incarnation)
        self._dead.pop(key, None)
        self._dead[key] = sequence
        while len(self._dead) > self._dead_limit:
            forgotten_id = next(iter(self._dead))[0]
            del self._dead[next(iter(self._dead))]
            if not self.known(forgotten_id):
                self._cordoned.discard(forgotten_id)
