"""A scripted Raft group for tests of single rules, in which one guard can be disabled."""

import random
from collections.abc import Callable

from orchidpath.consensus.effects import (
    Apply,
    Effect,
    PersistEntries,
    PersistHardState,
    PersistSnapshot,
    Send,
)
from orchidpath.consensus.log import ReplicaLog
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.raft_messages import (
    RaftMessage,
)
from orchidpath.consensus.types import (
    Guard,
    HardState,
    LogEntry,
    Membership,
    RaftSettings,
    RestoredState,
    Role,
)

SETTINGS = RaftSettings(snapshot_chunk_bytes=10, max_batch_bytes=100, max_in_flight_entries=20)


Filter = Callable[[str, str, RaftMessage], bool]


def membership(voters: str, learners: str = "") -> Membership:
    return Membership(tuple(voters), tuple(learners), {n: f"{n}:1" for n in voters + learners})


class Group:
    """Replicas of a Raft group whose messages are delivered only when the test says so.

    The `joining` replicas start without a membership, and `disabled` is a guard to disable.
    """

    def __init__(
        self, voters: str = "abc", joining: str = "", disabled: Guard | None = None
    ) -> None:
        self.guards = frozenset({disabled}) if disabled else frozenset()
        self.outbox: list[tuple[str, str, RaftMessage]] = []
        self.applied: dict[str, list[LogEntry]] = {}
        self.logs: dict[str, ReplicaLog] = {}
        self.hard_states: dict[str, HardState] = {}
        self.cores: dict[str, RaftCore] = {}
        for name in voters + joining:
            self.logs[name] = ReplicaLog(None, [])
            self.hard_states[name] = HardState()
            self.start(name, 0.0, membership(voters) if name in voters else None)

    def start(self, name: str, now: float, bootstrap: Membership | None = None) -> RaftCore:
        log = self.logs[name]
        entries = log.entries_between(log.snapshot_index + 1, log.last_index)
        restored = RestoredState(self.hard_states[name], log.snapshot, entries)
        self.applied[name] = []
        self.cores[name] = RaftCore(
            name, SETTINGS, restored, bootstrap, now, random.Random(f"{name} {now}"), self.guards
        )
        self.run(name, self.cores[name].tick(now))
        return self.cores[name]

    def run(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.outbox.append((name, effect.to, effect.message))
            elif isinstance(effect, Apply):
                self.applied[name].append(effect.entry)
            elif isinstance(effect, PersistHardState):
                self.hard_states[name] = effect.hard_state
            elif isinstance(effect, PersistSnapshot):
                self.logs[name].install(effect.snapshot)
            elif isinstance(effect, PersistEntries):
                if effect.truncate_from is not None:
                    self.logs[name].truncate_from(effect.truncate_from)
                self.logs[name].append(effect.entries)

    def tick(self, name: str, now: float) -> None:
        self.run(name, self.cores[name].tick(now))

    def deliver(self, now: float, allow: Filter = lambda *_: True, rounds: int = 50) -> int:
        """Deliver messages until none is left or `rounds` is reached; return the number of rounds.

        Messages for which `allow` returns False are lost.
        """
        for done in range(rounds):
            if not self.outbox:
                return done
            batch, self.outbox = self.outbox, []
            for sender, receiver, message in batch:
                if receiver in self.cores and allow(sender, receiver, message):
                    self.run(receiver, self.cores[receiver].receive(message, now))
        return rounds

    def role(self, name: str) -> Role:
        return self.cores[name].role

    def elect(self, name: str, now: float) -> RaftCore:
        """Elect a replica; `now` must be past the time for which the others refuse votes."""
        self.cores[name]._replica.election_deadline = now
        self.tick(name, now)
        self.deliver(now)
        assert self.cores[name].role is Role.LEADER
        return self.cores[name]

    def propose(self, name: str, count: int, now: float) -> list[int]:
        indexes, effects = self.cores[name].propose([b"x%d" % n for n in range(count)], now)
        self.run(name, effects)
        return indexes

    def change(self, name: str, proposed: Membership, now: float) -> None:
        _, effects = self.cores[name].propose_membership(proposed, now)
        self.run(name, effects)
