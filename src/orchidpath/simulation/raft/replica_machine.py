"""One simulated machine of a Raft group: clock, disk, replica and effect execution."""

import random as random_module
from collections import deque
from collections.abc import Callable
from typing import Protocol

import msgspec

from orchidpath.consensus.effects import (
    Apply,
    ApplySnapshot,
    Effect,
    PersistEntries,
    PersistHardState,
    PersistSnapshot,
    Send,
)
from orchidpath.consensus.errors import (
    ConsensusError,
    NotLeaderError,
    StorageError,
    StorageFailedError,
    StorageFullError,
)
from orchidpath.consensus.files import SimulatedFiles
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.raft_messages import RaftMessage, RequestVote, RequestVoteReply
from orchidpath.consensus.storage import FileLogStorage
from orchidpath.consensus.types import (
    EntryKind,
    Guard,
    LogEntry,
    Membership,
    RaftSettings,
    ReadTicket,
    Role,
)
from orchidpath.simulation.raft.digest_state import DigestState
from orchidpath.simulation.raft.invariants import History, InvariantViolationError

FOLDER = "/data"
MAX_CLOCK_RATE_ERROR = 0.02

PersistEffect = PersistHardState | PersistEntries | PersistSnapshot
Event = Callable[[RaftCore, float], list[Effect]]


class PendingRead(msgspec.Struct, frozen=True):
    """A pending read, and the last index that was acknowledged before it began."""

    ticket: ReadTicket
    required_index: int


class Network(Protocol):
    """Interface of the network and the event queue that a machine uses."""

    time: float

    def schedule(self, delay_seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action to run once, after a delay."""

    def transmit(self, sender: str, receiver: str, message: RaftMessage) -> None:
        """Transmit a message; the network may lose it."""


class Machine:
    """A machine that can be killed and frozen, and whose disk can be slow, fail or be lost.

    It models the clock, the disk, the replica process and the callers of one machine.
    """

    def __init__(
        self,
        name: str,
        settings: RaftSettings,
        network: Network,
        history: History,
        random: random_module.Random,
        disabled_guards: frozenset[Guard],
    ) -> None:
        self.name = name
        self.files = SimulatedFiles()
        self.identity = ""
        self.core: RaftCore | None = None
        self.frozen = False
        self.sync_seconds = 0.0
        self.pending_reads: list[PendingRead] = []
        self._settings = settings
        self._network = network
        self._history = history
        self._random = random
        self._disabled_guards = disabled_guards
        self._clock_rate = 1 + random.uniform(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR)
        self._clock_offset = random.uniform(0, 1000)
        self._storage: FileLogStorage | None = None
        self._inbox: deque[Event] = deque()
        self._effects: deque[Effect] = deque()
        self._syncing = False
        self._incarnation = 0
        self._identity_count = 0
        self._state = DigestState("", history)
        self._proposed: dict[int, int] = {}
        self._frozen_at = 0.0
        self._tick_at = float("inf")

    @property
    def now(self) -> float:
        """Reading of the clock of this machine, in seconds; it runs slightly fast or slow."""
        return self._network.time * self._clock_rate + self._clock_offset

    def start(self, bootstrap: Membership | None) -> None:
        """Start the replica from its disk; if the disk fails or is full, the replica stays down."""
        self._incarnation += 1
        self._storage = FileLogStorage(FOLDER, self.files, self._new_identity)
        try:
            restored = self._storage.load()
        except (StorageFailedError, StorageFullError):
            self._storage.close()
            return
        self.identity = self._storage.identity
        self._effects.clear()
        self._inbox.clear()
        self.pending_reads.clear()
        self._proposed.clear()
        self._syncing = False
        self.frozen = False
        self._state = DigestState(self.identity, self._history)
        if bootstrap is not None and self.identity not in bootstrap.voters:
            bootstrap = None
        seed = random_module.Random(self._random.random())
        self.core = RaftCore(
            self.identity,
            self._settings,
            restored,
            bootstrap,
            self.now,
            seed,
            self._disabled_guards,
        )
        self._handle(lambda core, now: core.tick(now))

    def _new_identity(self) -> str:
        self._identity_count += 1
        return f"{self.name}-{self._identity_count}"

    def kill(self) -> None:
        """Kill the replica; unsynced writes are lost, the last one possibly only in part."""
        if self.core is None:
            return
        if self._syncing:
            self._write_without_sync()
        self.core = None
        self._incarnation += 1
        self.files.sync_fails = False
        self.files.crash(self._random)

    def _write_without_sync(self) -> None:
        self.files.sync_fails = True
        try:
            self._persist(self._effects[0])
        except StorageError:
            return

    def reset_disk_latency(self) -> None:
        """Reset the sync latency of the disk to zero."""
        self.sync_seconds = 0.0

    def lose_disk(self) -> None:
        """Erase the data folder; a running replica detects the loss at its next sync."""
        self.files.remove_folder(FOLDER)
        # The next replica on this machine gets a new identity, since the votes and entries that
        # the old one has acknowledged are lost.
        self.identity = ""

    def freeze(self, duration_seconds: float) -> None:
        """Freeze the machine; messages are deferred until it resumes, its clock keeps running."""
        if self.core is None or self.frozen:
            return
        self.frozen = True
        self._frozen_at = self.now
        incarnation = self._incarnation
        self._network.schedule(duration_seconds, lambda: self._resume(incarnation))

    def _resume(self, incarnation: int) -> None:
        if incarnation != self._incarnation or self.core is None:
            return
        self.frozen = False
        self._check_lease_after_freeze(self.core)
        while self._inbox and self.core is not None:
            self._handle(self._inbox.popleft())
        self._schedule_tick()
        self._drain()

    def _check_lease_after_freeze(self, core: RaftCore) -> None:
        """Check that a leader that was frozen for longer than its lease accepts no proposal."""
        frozen_seconds = self.now - self._frozen_at
        leads_others = core.role is Role.LEADER and core.membership.voters != (self.identity,)
        if not leads_others or frozen_seconds <= self._settings.leader_lease_seconds:
            return
        try:
            core.propose([b"after a freeze"], self.now)
        except NotLeaderError:
            return
        raise InvariantViolationError(
            f"{self.identity} accepted a proposal after a freeze of {frozen_seconds:.3f} s"
        )

    def deliver(self, message: RaftMessage) -> None:
        """Process a message from the network."""
        self.submit(lambda core, now: core.receive(message, now))

    def submit(self, event: Event) -> None:
        """Process an event, immediately or, if the machine is frozen, when it resumes."""
        if self.core is None:
            return
        if self.frozen:
            self._inbox.append(event)
            return
        self._handle(event)

    def _handle(self, event: Event) -> None:
        core = self.core
        if core is None:
            return
        self._effects.extend(event(core, self.now))
        if core.role is Role.LEADER:
            self._history.record_leader(core.term, self.identity)
        self._check_pending_reads(core)
        self._schedule_tick()
        self._drain()

    def propose(self, payload: bytes) -> None:
        """Propose a command on behalf of a caller; it is acknowledged once it is applied."""
        self.submit(lambda core, now: self._propose(core, payload, now))

    def _propose(self, core: RaftCore, payload: bytes, now: float) -> list[Effect]:
        try:
            indexes, effects = core.propose([payload], now)
        except NotLeaderError:
            return []
        self._proposed[indexes[0]] = core.term
        return effects

    def start_read(self) -> None:
        """Start a read on behalf of a caller; it is confirmed by a quorum instead of the lease."""
        self.submit(self._start_read)

    def _start_read(self, core: RaftCore, now: float) -> list[Effect]:
        try:
            ticket = core.read_barrier(now)
        except NotLeaderError:
            return []
        self.pending_reads.append(PendingRead(ticket, self._history.acknowledged_index))
        return []

    def _check_pending_reads(self, core: RaftCore) -> None:
        waiting: list[PendingRead] = []
        for read in self.pending_reads:
            try:
                ready = core.read_is_ready(read.ticket, self.now)
            except NotLeaderError:
                continue
            if ready:
                self._history.check_read(self.identity, core.commit_index, read.required_index)
            else:
                waiting.append(read)
        self.pending_reads = waiting

    def _schedule_tick(self) -> None:
        """Keep a single timer, which is replaced only by an earlier deadline.

        The deadline is computed again when the timer fires.
        """
        if self.core is None:
            return
        wait_seconds = max(0.0, self.core.next_deadline(self.now) - self.now) / self._clock_rate
        tick_at = self._network.time + wait_seconds + 1e-6
        if tick_at >= self._tick_at > self._network.time:
            return
        self._tick_at = tick_at
        self._network.schedule(wait_seconds + 1e-6, lambda: self._tick(tick_at))

    def _tick(self, tick_at: float) -> None:
        if tick_at != self._tick_at:
            return
        self._tick_at = float("inf")
        if not self.frozen:
            self._handle(lambda core, now: core.tick(now))

    def _drain(self) -> None:
        """Execute effects in order; an effect waits until all syncs before it have completed."""
        while self._effects and not self._syncing and not self.frozen and self.core is not None:
            effect = self._effects[0]
            if isinstance(effect, PersistEffect) and self.sync_seconds > 0:
                self._begin_slow_sync()
                return
            self._execute_first()

    def _begin_slow_sync(self) -> None:
        self._syncing = True
        incarnation = self._incarnation
        delay_seconds = self._random.uniform(0, self.sync_seconds)
        self._network.schedule(delay_seconds, lambda: self._finish_sync(incarnation))

    def _finish_sync(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        if self.frozen:
            self._network.schedule(0.05, lambda: self._finish_sync(incarnation))
            return
        self._syncing = False
        self._execute_first()
        self._drain()

    def _execute_first(self) -> None:
        effect = self._effects[0]
        try:
            self._execute(effect)
        except StorageError:
            # The replica must not continue, since its state in memory is ahead of its disk.
            self._syncing = False
            self.kill()
            return
        self._effects.popleft()

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, PersistEffect):
            self._persist(effect)
        elif isinstance(effect, Send):
            self._send(effect)
        elif isinstance(effect, Apply):
            self._apply(effect.entry)
        elif isinstance(effect, ApplySnapshot):
            self._state.apply_snapshot(effect.snapshot)

    def _persist(self, effect: Effect) -> None:
        if self._storage is None:
            raise ConsensusError(f"{self.name}: storage is not open, the machine was never started")
        if isinstance(effect, PersistHardState):
            self._storage.persist_hard_state(effect.hard_state)
        elif isinstance(effect, PersistEntries):
            self._storage.persist_entries(effect.truncate_from, effect.entries)
        elif isinstance(effect, PersistSnapshot):
            self._storage.persist_snapshot(effect.snapshot)

    def _send(self, effect: Send) -> None:
        message = effect.message
        if isinstance(message, RequestVote) and not message.pre_vote:
            self._history.record_vote(message.term, self.identity, self.identity)
        if isinstance(message, RequestVoteReply) and message.granted and not message.pre_vote:
            self._history.record_vote(message.term, self.identity, effect.to)
        self._network.transmit(self.identity, effect.to, message)

    def _apply(self, entry: LogEntry) -> None:
        self._state.apply(entry)
        if self._proposed.pop(entry.index, None) == entry.term and entry.kind is EntryKind.COMMAND:
            self._history.record_acknowledged(entry.index)
        self._maybe_compact()

    def _maybe_compact(self) -> None:
        core = self.core
        if core is None or not core.compaction_due():
            return
        applied_index = self._state.applied_index
        if applied_index <= core.snapshot_index:
            return
        self._effects.extend(core.compact(self._state.encode(), applied_index, self.now))
