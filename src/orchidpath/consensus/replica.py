"""State of one replica that the modules of the protocol share, and its elementary changes."""

import enum
import math
import random as random_module

import msgspec

from orchidpath.consensus.effects import (
    Apply,
    ApplySnapshot,
    Effect,
    LeadershipChanged,
    PersistEntries,
    PersistHardState,
    Send,
)
from orchidpath.consensus.log import ReplicaLog
from orchidpath.consensus.raft_messages import InstallSnapshot, RaftMessage
from orchidpath.consensus.types import (
    Guard,
    HardState,
    LogEntry,
    RaftSettings,
    RestoredState,
    Role,
    Snapshot,
)

START_ID_BITS = 62
"""Size of the random id of one run of a replica."""


class ProgressMode(enum.Enum):
    """How a leader replicates to one follower."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class Progress(msgspec.Struct):
    """Replication state of one follower at the leader.

    Parameters
    ----------
    next_index
        First entry to send next; in `REPLICATE` mode ahead of what was acknowledged.
    match_index
        Last entry known to be durable at the follower.
    acked_sent_at
        Leader's clock at the sending of the newest append that the follower has answered.
    probe_outstanding
        A probe with entries was sent; heartbeats repeat it without entries.
    snapshot, snapshot_offset, snapshot_sent_at
        The snapshot in transfer, the next chunk, and when that chunk was last sent.
    """

    next_index: int
    match_index: int = 0
    mode: ProgressMode = ProgressMode.PROBE
    acked_sent_at: float = -math.inf
    probe_outstanding: bool = False
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    snapshot_sent_at: float = -math.inf


class IncomingSnapshot(msgspec.Struct):
    """Chunks of a snapshot that a follower has received so far."""

    term: int
    last_index: int
    last_term: int
    data: bytearray

    def is_of(self, message: InstallSnapshot) -> bool:
        """Return whether a chunk belongs to this snapshot, sent in this leadership."""
        return (
            self.term == message.term
            and self.last_index == message.last_index
            and self.last_term == message.last_term
        )


class Replica:
    """Shared state of one replica; see `RaftCore` for the meaning of the parameters.

    One class for all of it, though it has many fields: this is the state of the Raft paper's
    figure 2 (term, vote, log, commit index, progress), with the timers and collected votes that
    its rules read and write together. The rules stand in modules of functions by event.
    """

    def __init__(
        self,
        node_id: str,
        settings: RaftSettings,
        restored: RestoredState,
        now: float,
        random: random_module.Random,
        disabled_guards: frozenset[Guard],
    ) -> None:
        self.node_id = node_id
        self.settings = settings
        self.random = random
        self.disabled_guards = disabled_guards
        self.log = ReplicaLog(restored.snapshot, list(restored.entries))
        self.hard_state = restored.hard_state
        # Only the snapshot is known to be committed; the leader's appends carry the rest.
        self.commit_index = self.log.snapshot_index
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.started_at = now
        self.start_id = random.getrandbits(START_ID_BITS) | 1
        self.last_activity = now
        self.last_leader_contact = -math.inf
        self.election_deadline = now
        self.votes: set[str] = set()
        self.idle_voters: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.became_leader_at = -math.inf
        self.term_start_index = 0
        self.heartbeat_due_at = math.inf
        self.incoming_snapshot: IncomingSnapshot | None = None
        self._effects: list[Effect] = []
        self._announced: LeadershipChanged | None = None
        if restored.snapshot is not None:
            self.emit(ApplySnapshot(restored.snapshot))

    @property
    def term(self) -> int:
        """Current term."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether the newest membership in the log counts this replica."""
        return self.node_id in self.log.membership.voters

    @property
    def other_voters(self) -> list[str]:
        """Voters except this replica."""
        return [node for node in self.log.membership.voters if node != self.node_id]

    def guarded(self, guard: Guard) -> bool:
        """Return whether a safety rule is in force."""
        return guard not in self.disabled_guards

    def emit(self, effect: Effect) -> None:
        """Add an effect for the shell."""
        self._effects.append(effect)

    def send(self, to: str, message: RaftMessage) -> None:
        """Add a message for the shell to send."""
        self.emit(Send(to, message))

    def take_effects(self) -> list[Effect]:
        """Return the effects emitted since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def set_hard_state(self, hard_state: HardState) -> None:
        """Change term and vote, durably before any later effect.

        A vote that a restart loses could be granted twice in a term, which elects two leaders.
        """
        self.hard_state = hard_state
        durable = hard_state
        if not self.guarded(Guard.VOTE_PERSISTENCE):
            durable = HardState(term=hard_state.term, voted_for=None)
        self.emit(PersistHardState(durable))

    def arm_election(self, now: float) -> None:
        """Draw a new random election deadline; randomness breaks ties between candidates."""
        low = self.settings.election_timeout_min_seconds
        high = self.settings.election_timeout_max_seconds
        self.election_deadline = now + self.random.uniform(low, high)

    def arm_first_election(self, now: float) -> None:
        """Draw an early election deadline for a replica that has just started."""
        shortest = self.settings.restart_election_seconds
        self.election_deadline = now + self.random.uniform(shortest, 2 * shortest)

    def become_follower(self, term: int, leader_id: str | None) -> None:
        """Become a follower in `term`, with no vote granted yet if the term is new."""
        if term > self.term:
            self.set_hard_state(HardState(term=term, voted_for=None))
        self.votes = set()
        self.progress = {}
        self.heartbeat_due_at = math.inf
        self.set_role(Role.FOLLOWER, leader_id)

    def set_role(self, role: Role, leader_id: str | None) -> None:
        """Change the role, and report it if role, term or leader differs from the last report."""
        if role is Role.FOLLOWER and not self.is_voter:
            role = Role.LEARNER
        self.role = role
        self.leader_id = leader_id
        report = LeadershipChanged(role, self.term, leader_id)
        if report != self._announced:
            self._announced = report
            self.emit(report)

    def refresh_role(self) -> None:
        """Adjust follower and learner after the membership in the log may have changed."""
        if self.role in (Role.FOLLOWER, Role.LEARNER):
            self.set_role(Role.FOLLOWER, self.leader_id)

    def append_entries(self, entries: list[LogEntry], truncate_from: int | None = None) -> None:
        """Change the log in memory and on disk. A membership counts from its append on."""
        if truncate_from is not None:
            self.log.truncate_from(truncate_from)
        self.log.append(entries)
        self.emit(PersistEntries(truncate_from, entries))

    def commit_up_to(self, index: int) -> None:
        """Mark entries as committed and have them applied in order."""
        if index <= self.commit_index:
            return
        for entry in self.log.entries_between(self.commit_index + 1, index):
            self.emit(Apply(entry))
        self.commit_index = index

    def quorum_acked_sent_at(self, now: float) -> float:
        """Return the latest send time whose append a quorum has acknowledged.

        Send times are on this replica's clock. The time of the reply's arrival would be unsafe:
        the follower may have received the append long before, and its promise not to vote runs
        from then.
        """
        membership = self.log.membership
        times = [self._acked_sent_at(node, now) for node in membership.voters]
        if not times:
            return -math.inf
        times.sort(reverse=True)
        return times[membership.quorum_size() - 1]

    def _acked_sent_at(self, node: str, now: float) -> float:
        if node == self.node_id:
            return now
        progress = self.progress.get(node)
        return progress.acked_sent_at if progress else -math.inf
