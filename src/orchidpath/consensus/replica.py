"""State of one replica that all protocol modules share, and the basic operations on it."""

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
"""Size in bits of the random id of one run of a replica."""


class ProgressMode(enum.Enum):
    """How a leader replicates to one follower."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class Progress(msgspec.Struct):
    """Replication state of one follower, tracked by the leader.

    Parameters
    ----------
    next_index
        Index of the next entry to send; in `REPLICATE` mode it runs ahead of the acknowledgements.
    match_index
        Index of the last entry known to be durable at the follower.
    mode
        How the leader replicates to the follower.
    acked_sent_at
        Send time, on the leader's clock, of the newest append that the follower has replied to.
    probe_outstanding
        Whether a probe awaits its reply; until then, heartbeats probe again without entries.
    snapshot, snapshot_offset, snapshot_sent_at
        The snapshot in transfer, the offset in bytes of its current chunk, and when that chunk was
        last sent.
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

    def matches_chunk(self, message: InstallSnapshot) -> bool:
        """Return whether a chunk belongs to this snapshot and was sent in the same term."""
        return (
            self.term == message.term
            and self.last_index == message.last_index
            and self.last_term == message.last_term
        )


class Replica:
    """Shared state of one replica; see `RaftCore` for the meaning of the parameters.

    The class has many fields because the rules of the protocol read and write them together: they
    are the state of figure 2 of the Raft paper (term, vote, log, commit index, progress), plus the
    timers and the collected votes. The rules are functions in one module for each kind of event.
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
        # After a restart, only the snapshot is known to be committed. The leader's appends carry
        # the current commit index.
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
        self._last_reported: LeadershipChanged | None = None
        if restored.snapshot is not None:
            self.emit(ApplySnapshot(restored.snapshot))

    @property
    def term(self) -> int:
        """Current term."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter of the newest membership in the log."""
        return self.node_id in self.log.membership.voters

    @property
    def other_voters(self) -> list[str]:
        """Voters except this replica."""
        return [node for node in self.log.membership.voters if node != self.node_id]

    def guarded(self, guard: Guard) -> bool:
        """Return whether a safety rule is enabled."""
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
        """Change term and vote, and make them durable before any later effect runs.

        If a restart lost a vote, the replica could vote twice in one term, and two leaders could be
        elected.
        """
        self.hard_state = hard_state
        durable = hard_state
        if not self.guarded(Guard.VOTE_PERSISTENCE):
            durable = HardState(term=hard_state.term, voted_for=None)
        self.emit(PersistHardState(durable))

    def arm_election(self, now: float) -> None:
        """Set a random election deadline; the randomness makes split votes unlikely."""
        low = self.settings.election_timeout_min_seconds
        high = self.settings.election_timeout_max_seconds
        self.election_deadline = now + self.random.uniform(low, high)

    def arm_first_election(self, now: float) -> None:
        """Set an early random election deadline for a replica that has just started."""
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
        """Change the role, and report it if role, term or leader differs from the last report.

        A follower that is not a voter becomes a learner instead.
        """
        if role is Role.FOLLOWER and not self.is_voter:
            role = Role.LEARNER
        self.role = role
        self.leader_id = leader_id
        report = LeadershipChanged(role, self.term, leader_id)
        if report != self._last_reported:
            self._last_reported = report
            self.emit(report)

    def refresh_role(self) -> None:
        """Switch between follower and learner if the membership in the log has changed."""
        if self.role in (Role.FOLLOWER, Role.LEARNER):
            self.set_role(Role.FOLLOWER, self.leader_id)

    def append_entries(self, entries: list[LogEntry], truncate_from: int | None = None) -> None:
        """Change the log in memory, and emit the effect that makes the change durable.

        A membership among the entries is effective as soon as it is appended.
        """
        if truncate_from is not None:
            self.log.truncate_from(truncate_from)
        self.log.append(entries)
        self.emit(PersistEntries(truncate_from, entries))

    def commit_up_to(self, index: int) -> None:
        """Commit the entries up to `index`, and emit effects that apply them in order."""
        if index <= self.commit_index:
            return
        for entry in self.log.entries_between(self.commit_index + 1, index):
            self.emit(Apply(entry))
        self.commit_index = index

    def quorum_acked_sent_at(self, now: float) -> float:
        """Return the latest send time whose append a quorum has acknowledged.

        Send times are on this replica's clock. The arrival time of the reply would be unsafe: the
        follower may have received the append long before, and the time for which it refuses votes
        started then.
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
