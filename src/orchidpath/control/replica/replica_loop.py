"""The event loop of a control replica: handles events, syncs records, then runs the other effects.

This order guarantees that a record is synced before any reply that depends on it. Events that
arrived during a sync are handled together (group commit): all their records are synced first, then
all their other effects run in the order in which the replica returned them. To sync a record before
a message that preceded it is always safe. The reverse is never safe, and does not happen.
"""

import asyncio
from collections.abc import Callable, Iterable

from orchidpath.common.clock import Clock
from orchidpath.consensus.effects import PersistEntries, PersistHardState, PersistSnapshot
from orchidpath.consensus.errors import ConsensusError
from orchidpath.consensus.storage import LogStorage
from orchidpath.control.replica.control_effects import ControlEffect, PersistEffect
from orchidpath.control.replica.control_replica import ControlReplica

ReplicaEvent = Callable[[float], list[ControlEffect]]
"""A call of the replica that takes the current time and returns the effects."""

MAX_EVENTS_PER_TURN = 256
"""Most events handled in one turn, to bound the time that a turn blocks the event loop."""


class ReplicaLoop:
    """Serializes all access to a control replica.

    Parameters
    ----------
    replica
        The replica.
    storage
        Stores the replica's records.
    clock
        Monotonic clock.
    execute
        Runs one effect that is not a record; must not block.
    on_sync
        Called with the duration of each turn's sync, in seconds.
    """

    def __init__(
        self,
        replica: ControlReplica,
        storage: LogStorage,
        clock: Clock,
        execute: Callable[[ControlEffect], None],
        on_sync: Callable[[float], None],
    ) -> None:
        self.replica = replica
        self._storage = storage
        self._clock = clock
        self._execute = execute
        self._on_sync = on_sync
        self._events: list[ReplicaEvent] = []
        self._wake = asyncio.Event()
        self._turn_ended = asyncio.Event()

    def restart(self, replica: ControlReplica, storage: LogStorage) -> None:
        """Continue with a replica restored from storage; events for the old replica are dropped."""
        self.replica = replica
        self._storage = storage
        self._events.clear()

    async def wait_until_applied(self, index: int) -> None:
        """Wait until the replica has applied all log entries up to ``index``."""
        while self.replica.raft.applied_index < index:
            await self._turn_ended.wait()

    def post(self, event: ReplicaEvent) -> None:
        """Queue a call of the replica; calls run in the order of their posting."""
        self._events.append(event)
        self._wake.set()

    async def run_forever(self) -> None:
        """Run turns until cancelled.

        Raises
        ------
        ConsensusError
            The disk failed or the log is inconsistent; the replica must stop.
        """
        while True:
            await self.run_once()
            await self._sleep_until_due()

    async def run_once(self) -> None:
        """Handle the queued events and a tick, sync their records, and run their other effects."""
        events = self._events[:MAX_EVENTS_PER_TURN]
        del self._events[:MAX_EVENTS_PER_TURN]
        effects: list[ControlEffect] = []
        for event in events:
            effects.extend(event(self._clock()))
        effects.extend(self.replica.tick(self._clock()))
        records = merge_records(effect for effect in effects if is_record(effect))
        if records:
            await self._sync(records)
        for effect in effects:
            if not is_record(effect):
                self._execute(effect)
        self._turn_ended.set()
        self._turn_ended = asyncio.Event()

    async def _sync(self, records: list[PersistEffect]) -> None:
        started_at = self._clock()
        await asyncio.to_thread(self._write, records)
        self._on_sync(self._clock() - started_at)

    def _write(self, records: list[PersistEffect]) -> None:
        for record in records:
            match record:
                case PersistHardState():
                    self._storage.persist_hard_state(record.hard_state)
                case PersistEntries():
                    self._storage.persist_entries(record.truncate_from, record.entries)
                case PersistSnapshot():
                    self._storage.persist_snapshot(record.snapshot)

    async def _sleep_until_due(self) -> None:
        if self._events:
            await asyncio.sleep(0)
            return
        self._wake.clear()
        now = self._clock()
        delay_seconds = max(0.0, self.replica.next_deadline(now) - now)
        try:
            async with asyncio.timeout(delay_seconds):
                await self._wake.wait()
        except TimeoutError:
            return


def is_record(effect: ControlEffect) -> bool:
    """Whether an effect is a record that must be synced."""
    return isinstance(effect, PersistHardState | PersistEntries | PersistSnapshot)


def merge_records(effects: Iterable[ControlEffect]) -> list[PersistEffect]:
    """Merge consecutive appends into one record, so that each run of appends costs one sync.

    Raises
    ------
    ConsensusError
        An effect is not a record.
    """
    merged: list[PersistEffect] = []
    for effect in effects:
        previous = merged[-1] if merged else None
        if not isinstance(effect, PersistHardState | PersistEntries | PersistSnapshot):
            raise ConsensusError(f"{type(effect).__name__} is not a record that can be synced")
        if (
            isinstance(effect, PersistEntries)
            and isinstance(previous, PersistEntries)
            and effect.truncate_from is None
        ):
            joined = [*previous.entries, *effect.entries]
            merged[-1] = PersistEntries(previous.truncate_from, joined)
        else:
            merged.append(effect)
    return merged
