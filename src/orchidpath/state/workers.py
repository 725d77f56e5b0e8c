"""The registered workers, the cordoned workers and the dead incarnations.

An incarnation is one run of a worker process. It is dead once it was removed or once a newer
incarnation of the same worker replaced it.
"""

from collections.abc import Iterable

import msgspec

from orchidpath.state.bounded_table import insert_newest
from orchidpath.state.outcomes import Effect
from orchidpath.wire.records import WorkerRecord, WorkerStatus

DEAD_INCARNATION_LIMIT = 4096
"""Number of newest dead incarnations that are stored."""


RUN_SEPARATOR = "#"
"""Separates an incarnation from the number of the run, in all runs but the first."""


def next_run(run: str) -> str:
    """Return the incarnation of the run that follows a run under the same announced incarnation."""
    announced, separator, number = run.rpartition(RUN_SEPARATOR)
    if not separator or not number.isdecimal():
        return f"{run}{RUN_SEPARATOR}2"
    return f"{announced}{RUN_SEPARATOR}{int(number) + 1}"


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's record and the sequence number of its newest announcement."""

    record: WorkerRecord
    sequence: int


class DeadIncarnation(msgspec.Struct, frozen=True, kw_only=True):
    """An incarnation that was removed or replaced.

    ``sequence`` is the highest sequence number of an announcement that no longer registers it.
    """

    worker_id: str
    incarnation: str
    sequence: int


class WorkerChange(msgspec.Struct, frozen=True, kw_only=True):
    """Effect of a command about a worker.

    ``record`` is the changed record if the routers' view has changed; the record of a removed
    worker has the status ``GONE``.
    """

    effect: Effect
    record: WorkerRecord | None = None


class WorkerTable:
    """The registered workers, the cordoned workers and the dead incarnations.

    Parameters
    ----------
    entries
        Registered workers.
    dead
        Dead incarnations, oldest first.
    cordoned
        Ids of the cordoned workers.
    dead_limit
        Number of dead incarnations that are stored.
    """

    def __init__(
        self,
        entries: Iterable[WorkerEntry] = (),
        dead: Iterable[DeadIncarnation] = (),
        cordoned: Iterable[str] = (),
        dead_limit: int = DEAD_INCARNATION_LIMIT,
    ) -> None:
        self._entries = {entry.record.worker_id: entry for entry in entries}
        self._dead = {(ended.worker_id, ended.incarnation): ended.sequence for ended in dead}
        self._cordoned = set(cordoned)
        self._dead_limit = dead_limit

    def __len__(self) -> int:
        """Return the number of registered workers."""
        return len(self._entries)

    def find(self, worker_id: str) -> WorkerEntry | None:
        """Return the entry of a registered worker; None if it is not registered."""
        return self._entries.get(worker_id)

    def entries(self) -> list[WorkerEntry]:
        """Return the registered workers, sorted by id."""
        return [self._entries[worker_id] for worker_id in sorted(self._entries)]

    def dead_incarnations(self) -> list[DeadIncarnation]:
        """Return the dead incarnations, oldest first."""
        return [
            DeadIncarnation(worker_id=worker_id, incarnation=incarnation, sequence=sequence)
            for (worker_id, incarnation), sequence in self._dead.items()
        ]

    def cordoned(self) -> list[str]:
        """Return the ids of the cordoned workers, sorted."""
        return sorted(self._cordoned)

    def is_known(self, worker_id: str) -> bool:
        """Return whether a worker is registered or one of its dead incarnations is stored."""
        return worker_id in self._entries or any(key[0] == worker_id for key in self._dead)

    def newest_run(self, worker_id: str, incarnation: str) -> str:
        """Return the incarnation of the newest run that was announced with an incarnation.

        It is the announced one unless the worker has started anew under it (`next_run`). Only a
        worker whose incarnation is its id does not tell its runs apart itself.
        """
        if incarnation != worker_id:
            return incarnation
        current = self._entries.get(worker_id)
        if current is not None and _is_run_of(current.record.incarnation, incarnation):
            return current.record.incarnation
        run = incarnation
        while (worker_id, next_run(run)) in self._dead:
            run = next_run(run)
        return run

    def ended_sequence(self, worker_id: str, incarnation: str) -> int | None:
        """Return the sequence up to which announcements no longer register an incarnation.

        None if the incarnation has not ended, or ended too long ago to be stored.
        """
        return self._dead.get((worker_id, incarnation))

    def announce(self, record: WorkerRecord, sequence: int) -> WorkerChange:
        """Apply a worker's announcement.

        An announcement that arrives late is stale and changes nothing. An announcement of the
        current incarnation is stale if its sequence number is below the stored one, or equal to
        it with another record. An announcement of a dead incarnation is stale if its sequence
        number is not above the one that was stored when the incarnation ended.
        """
        if record.status is WorkerStatus.GONE or not record.worker_id or not record.incarnation:
            return WorkerChange(effect=Effect.INVALID)
        agreed = self._record_to_store(record)
        current = self._entries.get(record.worker_id)
        if current is not None and current.record.incarnation == record.incarnation:
            return self._update_current(current, agreed, sequence)
        key = (record.worker_id, record.incarnation)
        if sequence <= self._dead.get(key, sequence - 1):
            return WorkerChange(effect=Effect.STALE)
        if current is not None:
            self._add_dead(current, current.sequence)
        self._dead.pop(key, None)
        self._entries[record.worker_id] = WorkerEntry(record=agreed, sequence=sequence)
        return WorkerChange(effect=Effect.CHANGED, record=agreed)

    def remove(self, worker_id: str, incarnation: str, sequence: int) -> WorkerChange:
        """Remove a registered worker if the given incarnation is its current one."""
        current = self._entries.get(worker_id)
        if current is None or current.record.incarnation != incarnation:
            return WorkerChange(effect=Effect.STALE)
        del self._entries[worker_id]
        self._add_dead(current, max(current.sequence, sequence))
        removed = msgspec.structs.replace(current.record, status=WorkerStatus.GONE)
        return WorkerChange(effect=Effect.CHANGED, record=removed)

    def cordon(self, worker_id: str, cordoned: bool) -> WorkerChange:
        """Cordon a worker, so that it receives no new requests, or release it.

        The cordon is stored separately from the record, so that an announcement or a restart
        during a plan does not release the worker.
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

    def _update_current(
        self, current: WorkerEntry, agreed: WorkerRecord, sequence: int
    ) -> WorkerChange:
        """Apply another announcement of the current incarnation."""
        if sequence < current.sequence:
            return WorkerChange(effect=Effect.STALE)
        if agreed == current.record:
            self._entries[agreed.worker_id] = WorkerEntry(record=agreed, sequence=sequence)
            return WorkerChange(effect=Effect.UNCHANGED)
        if sequence == current.sequence:
            return WorkerChange(effect=Effect.STALE)
        self._entries[agreed.worker_id] = WorkerEntry(record=agreed, sequence=sequence)
        return WorkerChange(effect=Effect.CHANGED, record=agreed)

    def _record_to_store(self, record: WorkerRecord) -> WorkerRecord:
        """Return the record with its stored cordon and its failure domain, by default its id."""
        return msgspec.structs.replace(
            record,
            failure_domain=record.failure_domain or record.worker_id,
            cordoned=record.worker_id in self._cordoned,
        )

    def _add_dead(self, entry: WorkerEntry, sequence: int) -> None:
        """Store an incarnation as dead, and evict the oldest dead incarnations above the limit.

        A cordon is released when its worker is not registered and its last dead incarnation was
        evicted, so the number of cordons is bounded too.
        """
        key = (entry.record.worker_id, entry.record.incarnation)
        for evicted_id, _ in insert_newest(self._dead, key, sequence, self._dead_limit):
            if not self.is_known(evicted_id):
                self._cordoned.discard(evicted_id)


def _is_run_of(run: str, incarnation: str) -> bool:
    return run == incarnation or run.rpartition(RUN_SEPARATOR)[0] == incarnation
