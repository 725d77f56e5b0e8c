"""The agreed workers, the cordoned ones, and the incarnations that are known to be dead."""

from collections.abc import Iterable

import msgspec

from orchidpath.state.bounded_table import insert_newest
from orchidpath.state.outcomes import Effect
from orchidpath.wire.records import WorkerRecord, WorkerStatus

DEAD_INCARNATION_MEMORY = 4096
"""Number of the newest dead incarnations that are remembered."""


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's agreed record and the sequence of the announcement that it came with."""

    record: WorkerRecord
    sequence: int


class DeadIncarnation(msgspec.Struct, frozen=True, kw_only=True):
    """An incarnation that was removed or replaced, and the sequence of its newest announcement."""

    worker_id: str
    incarnation: str
    sequence: int


class WorkerChange(msgspec.Struct, frozen=True, kw_only=True):
    """Effect of a command about a worker.

    ``record`` is the changed record if the view has changed; its status is GONE for a removed
    worker.
    """

    effect: Effect
    record: WorkerRecord | None = None


class WorkerTable:
    """The workers in the view, the cordoned workers and the dead incarnations.

    Parameters
    ----------
    entries
        Workers in the view.
    dead
        Dead incarnations, oldest first.
    cordoned
        Ids of the cordoned workers.
    dead_limit
        Number of dead incarnations that are remembered.
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
        """Return the ids of the cordoned workers, sorted."""
        return sorted(self._cordoned)

    def is_known(self, worker_id: str) -> bool:
        """Return whether a worker is in the view or one of its dead incarnations is remembered."""
        return worker_id in self._entries or any(key[0] == worker_id for key in self._dead)

    def announce(self, record: WorkerRecord, sequence: int) -> WorkerChange:
        """Apply a worker's announcement.

        A late announcement changes nothing: neither one with a lower sequence of the current
        incarnation, nor one of a dead incarnation that was already covered when it died.
        """
        if record.status is WorkerStatus.GONE or not record.worker_id or not record.incarnation:
            return WorkerChange(effect=Effect.INVALID)
        agreed = self._complete(record)
        current = self._entries.get(record.worker_id)
        if current is not None and current.record.incarnation == record.incarnation:
            return self._renew(current, agreed, sequence)
        key = (record.worker_id, record.incarnation)
        if sequence <= self._dead.get(key, sequence - 1):
            return WorkerChange(effect=Effect.STALE)
        if current is not None:
            self._add_dead(current, current.sequence)
        self._dead.pop(key, None)
        self._entries[record.worker_id] = WorkerEntry(record=agreed, sequence=sequence)
        return WorkerChange(effect=Effect.CHANGED, record=agreed)

    def remove(self, worker_id: str, incarnation: str, sequence: int) -> WorkerChange:
        """Remove a worker from the view if that incarnation is the current one."""
        current = self._entries.get(worker_id)
        if current is None or current.record.incarnation != incarnation:
            return WorkerChange(effect=Effect.STALE)
        del self._entries[worker_id]
        self._add_dead(current, max(current.sequence, sequence))
        removed = msgspec.structs.replace(current.record, status=WorkerStatus.GONE)
        return WorkerChange(effect=Effect.CHANGED, record=removed)

    def cordon(self, worker_id: str, cordoned: bool) -> WorkerChange:
        """Cordon a worker, so that it gets no new requests, or release it.

        The cordon is stored outside the record, so that an announcement or a restart in the
        middle of a plan does not release the worker.
        """
        if not self.is_known(worker_id):
            return WorkerChange(effect=Effect.UNKNOWN)
        if (worker_id in self._cordoned) == cordoned:
            return WorkerChange(effect=Effect.UNCHANGED)
        if cordoned:
            self._cordoned.add(worker_id)
        else:
            self._cordoned.discard(worker_id)
        current = self._entries.get(worker_id)
        if current is None:
            return WorkerChange(effect=Effect.CHANGED)
        record = msgspec.structs.replace(current.record, cordoned=cordoned)
        self._entries[worker_id] = WorkerEntry(record=record, sequence=current.sequence)
        return WorkerChange(effect=Effect.CHANGED, record=record)

    def _renew(self, current: WorkerEntry, agreed: WorkerRecord, sequence: int) -> WorkerChange:
        """Apply a further announcement of the current incarnation."""
        if sequence < current.sequence:
            return WorkerChange(effect=Effect.STALE)
        if agreed == current.record:
            self._entries[agreed.worker_id] = WorkerEntry(record=agreed, sequence=sequence)
            return WorkerChange(effect=Effect.UNCHANGED)
        if sequence == current.sequence:
            return WorkerChange(effect=Effect.STALE)
        self._entries[agreed.worker_id] = WorkerEntry(record=agreed, sequence=sequence)
        return WorkerChange(effect=Effect.CHANGED, record=agreed)

    def _complete(self, record: WorkerRecord) -> WorkerRecord:
        """Return the record with its default failure domain and the agreed cordon."""
        return msgspec.structs.replace(
            record,
            failure_domain=record.failure_domain or record.worker_id,
            cordoned=record.worker_id in self._cordoned,
        )

    def _add_dead(self, entry: WorkerEntry, sequence: int) -> None:
        """Remember an incarnation as dead and forget the oldest ones beyond the limit."""
        key = (entry.record.worker_id, entry.record.incarnation)
        for forgotten_id, _ in insert_newest(self._dead, key, sequence, self._dead_limit):
            if not self.is_known(forgotten_id):
                self._cordoned.discard(forgotten_id)
