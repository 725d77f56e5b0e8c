"""The consensus state machine of one replica: no input or output, no clock.

The clock values passed in must come from one monotonic clock that also runs while the machine
is suspended; otherwise a leader could believe in a lease that has run out meanwhile.
"""

import random as random_module
from collections.abc import Callable, Sequence
from typing import Any

from orchidpath.consensus.effects import Effect, PersistSnapshot
from orchidpath.consensus.election import (
    on_election_timeout,
    on_request_vote,
    on_request_vote_reply,
)
from orchidpath.consensus.errors import CompactionError, NotLeaderError
from orchidpath.consensus.follower import on_append, on_install_snapshot
from orchidpath.consensus.log import encode_membership
from orchidpath.consensus.membership import append_membership
from orchidpath.consensus.raft_messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
)
from orchidpath.consensus.replica import Replica
from orchidpath.consensus.replication import (
    advance_commit,
    broadcast_append,
    on_append_reply,
    on_snapshot_reply,
    quorum_silent_seconds,
)
from orchidpath.consensus.types import (
    EntryKind,
    Guard,
    HardState,
    LogEntry,
    Membership,
    RaftSettings,
    ReadTicket,
    RestoredState,
    Role,
    Snapshot,
)

BOOTSTRAP_TERM = 1

_HANDLERS: dict[type, Callable[[Replica, Any, float], None]] = {
    RequestVote: on_request_vote,
    RequestVoteReply: on_request_vote_reply,
    AppendEntries: on_append,
    AppendEntriesReply: on_append_reply,
    InstallSnapshot: on_install_snapshot,
    InstallSnapshotReply: on_snapshot_reply,
}


class RaftCore:
    """One replica of a Raft group.

    Every call that may change state returns the effects to execute, in order. The first such
    call also returns those of the start (snapshot to apply, bootstrap records).

    Parameters
    ----------
    node_id
        Identity of the replica, kept in its data folder. A replica whose folder was lost must
        come back under another id: it may have voted and acknowledged under this one.
    settings
        Times and limits, the same on all replicas.
    restored
        What the disk holds.
    bootstrap
        Membership of a new group, the same value on each of its voters; None to join an
        existing group as a learner. Ignored if the disk already holds a log.
    now
        Monotonic clock in seconds.
    random
        Source of the election timeouts.
    disabled_guards
        Safety rules to leave out, in tests only.
    """

    def __init__(
        self,
        node_id: str,
        settings: RaftSettings,
        restored: RestoredState,
        bootstrap: Membership | None,
        now: float,
        random: random_module.Random,
        disabled_guards: frozenset[Guard] = frozenset(),
    ) -> None:
        self._replica = Replica(node_id, settings, restored, now, random, disabled_guards)
        if bootstrap is not None and self._is_new(restored):
            self._bootstrap(bootstrap)
        self._replica.set_role(Role.FOLLOWER, None)
        self._replica.arm_first_election(now)

    def _is_new(self, restored: RestoredState) -> bool:
        """Return whether nothing was stored, or a crash cut the bootstrap short."""
        started = restored.hard_state.term > BOOTSTRAP_TERM or restored.entries
        return not started and restored.snapshot is None

    def _bootstrap(self, membership: Membership) -> None:
        """Write the first entry, which is the same on every voter of a new group.

        Its term is below that of any election, so all logs agree on it from the start.
        """
        if self._replica.node_id not in membership.voters:
            raise ValueError(f"{self._replica.node_id} is no voter of the new group")
        self._replica.set_hard_state(HardState(term=BOOTSTRAP_TERM))
        payload = encode_membership(membership)
        entry = LogEntry(1, BOOTSTRAP_TERM, EntryKind.MEMBERSHIP, payload)
        self._replica.append_entries([entry])

    @property
    def node_id(self) -> str:
        """Identity of the replica."""
        return self._replica.node_id

    @property
    def settings(self) -> RaftSettings:
        """Times and limits."""
        return self._replica.settings

    @property
    def role(self) -> Role:
        """Role as of the last call; a leader that may have been frozen asks `has_lease`."""
        return self._replica.role

    @property
    def term(self) -> int:
        """Current term."""
        return self._replica.term

    @property
    def leader_id(self) -> str | None:
        """Leader of the current term, if known."""
        return self._replica.leader_id

    @property
    def commit_index(self) -> int:
        """Last entry known to be committed."""
        return self._replica.commit_index

    @property
    def applied_index(self) -> int:
        """Last entry handed out to be applied (by an `Apply` or `ApplySnapshot` effect)."""
        return self._replica.commit_index

    @property
    def last_index(self) -> int:
        """Last entry of the log."""
        return self._replica.log.last_index

    @property
    def snapshot_index(self) -> int:
        """Last entry that the newest snapshot covers."""
        return self._replica.log.snapshot_index

    @property
    def membership(self) -> Membership:
        """Newest membership in the log, in force from its append on."""
        return self._replica.log.membership

    @property
    def membership_committed(self) -> bool:
        """Whether the newest membership is committed."""
        return self._replica.log.membership_index <= self._replica.commit_index

    def tick(self, now: float) -> list[Effect]:
        """Let time pass: elections, heartbeats, and a leader's check of its majority."""
        replica = self._replica
        self._observe(now)
        if replica.role is Role.LEADER:
            if now >= replica.heartbeat_due_at:
                broadcast_append(replica, now, heartbeat=True)
        elif now >= replica.election_deadline:
            on_election_timeout(replica, now)
        return replica.take_effects()

    def receive(self, message: RaftMessage, now: float) -> list[Effect]:
        """Take a message from another replica.

        Raises
        ------
        ProtocolViolationError
            The message contradicts the protocol; the replica must stop.
        """
        self._observe(now)
        _HANDLERS[type(message)](self._replica, message, now)
        return self._replica.take_effects()

    def propose(self, payloads: Sequence[bytes], now: float) -> tuple[list[int], list[Effect]]:
        """Append commands, in one batch.

        Returns
        -------
        tuple[list[int], list[Effect]]
            Index of each command, and the effects. A command is committed when an `Apply` shows
            its index with the term that is current now.

        Raises
        ------
        NotLeaderError
            The replica doesn't lead, or has just found that it may not lead any more. Effects
            of that finding come with the next call.
        """
        self._require_leader(now)
        replica = self._replica
        first = replica.log.last_index + 1
        entries = [
            LogEntry(first + position, replica.term, EntryKind.COMMAND, payload)
            for position, payload in enumerate(payloads)
        ]
        if entries:
            replica.append_entries(entries)
            self._replicate(now)
        return [entry.index for entry in entries], replica.take_effects()

    def propose_membership(self, membership: Membership, now: float) -> tuple[int, list[Effect]]:
        """Append a change of the membership by at most one voter.

        Raises
        ------
        NotLeaderError
            The replica doesn't lead.
        MembershipChangeError
            The change is refused; its subclass says why.
        """
        self._require_leader(now)
        index = append_membership(self._replica, membership)
        self._replicate(now)
        return index, self._replica.take_effects()

    def _replicate(self, now: float) -> None:
        broadcast_append(self._replica, now, heartbeat=False)
        advance_commit(self._replica, now)

    def has_lease(self, now: float) -> bool:
        """Return whether this leader may answer a linearizable read from its applied state.

        A majority has acknowledged an append sent within the lease, and each of its voters
        refuses votes for longer than that after it received it: nobody else can have been
        elected. An entry of the current term must be committed, else the leader may not know
        yet which earlier entries are. The state that is read must have applied
        `applied_index`, and `now` must have been taken after the read was asked for.
        """
        replica = self._replica
        if replica.role is not Role.LEADER or replica.commit_index < replica.term_start_index:
            return False
        age_seconds = now - replica.quorum_acked_sent_at(now)
        return age_seconds < replica.settings.leader_lease_seconds

    def read_barrier(self, now: float) -> ReadTicket:
        """Start a linearizable read; a heartbeat is due at once to confirm the leadership.

        Raises
        ------
        NotLeaderError
            The replica doesn't lead.
        """
        self._require_leader(now)
        replica = self._replica
        replica.heartbeat_due_at = min(replica.heartbeat_due_at, now)
        index = max(replica.commit_index, replica.term_start_index)
        return ReadTicket(index=index, term=replica.term, issued_at=now)

    def read_is_ready(self, ticket: ReadTicket, now: float) -> bool:
        """Return whether the read of a ticket may run now, on the applied state.

        Raises
        ------
        NotLeaderError
            The leadership that issued the ticket is over; ask again.
        """
        replica = self._replica
        if replica.role is not Role.LEADER or replica.term != ticket.term:
            raise NotLeaderError(replica.leader_id)
        if replica.commit_index < ticket.index:
            return False
        return self.has_lease(now) or replica.quorum_acked_sent_at(now) >= ticket.issued_at

    def compact(self, snapshot_data: bytes, at_index: int, now: float) -> list[Effect]:
        """Replace the log up to `at_index` by a snapshot of the state machine there.

        Raises
        ------
        CompactionError
            The index isn't applied yet, or is already covered.
        """
        replica = self._replica
        self._observe(now)
        term = replica.log.term_at(at_index)
        if term is None or not replica.log.snapshot_index < at_index <= replica.commit_index:
            raise CompactionError(f"no snapshot possible at {at_index}")
        membership = replica.log.membership_at(at_index)
        snapshot = Snapshot(at_index, term, membership, snapshot_data)
        replica.log.install(snapshot)
        replica.emit(PersistSnapshot(snapshot))
        return replica.take_effects()

    def compaction_due(self) -> bool:
        """Return whether enough entries, or bytes, were applied since the last snapshot."""
        settings = self._replica.settings
        log = self._replica.log
        applied = self._replica.commit_index - log.snapshot_index
        is_large = log.payload_bytes >= settings.snapshot_threshold_bytes
        return applied >= settings.snapshot_threshold_entries or (is_large and applied > 0)

    def next_deadline(self, now: float) -> float:
        """Return when `tick` must be called next, if nothing else happens before."""
        replica = self._replica
        if replica.role is Role.LEADER:
            return min(replica.heartbeat_due_at, now + replica.settings.heartbeat_seconds)
        return replica.election_deadline

    def match_index(self, node: str) -> int:
        """Return the last entry known to be durable at a member (0 when not known).

        Only a leader knows of others. The own entries count from the execution of their
        `PersistEntries`.
        """
        if node == self._replica.node_id:
            return self._replica.log.last_index
        progress = self._replica.progress.get(node)
        return progress.match_index if progress else 0

    def last_contact(self, node: str) -> float:
        """Return when the newest append that a member has answered was sent (leader only)."""
        progress = self._replica.progress.get(node)
        return progress.acked_sent_at if progress else float("-inf")

    def _require_leader(self, now: float) -> None:
        self._observe(now)
        if self._replica.role is not Role.LEADER:
            raise NotLeaderError(self._replica.leader_id)

    def _observe(self, now: float) -> None:
        """Compare the clock with the last activity before anything believed is acted on."""
        replica = self._replica
        idle_seconds = now - replica.last_activity
        replica.last_activity = now
        if replica.role is Role.LEADER:
            self._check_leadership(idle_seconds, now)
            return
        overdue_seconds = now - replica.election_deadline
        if overdue_seconds > replica.settings.election_timeout_min_seconds:
            # The process was frozen: its silence says nothing about the leader.
            replica.arm_election(now)

    def _check_leadership(self, idle_seconds: float, now: float) -> None:
        """Step down after a freeze longer than the lease, or without a majority.

        After a freeze another leader may have been elected and have committed; a proposal
        taken now would only wait to be overwritten. A leader without a majority must tell its
        callers so, rather than let them wait for a commit that can't come.
        """
        replica = self._replica
        settings = replica.settings
        lease_over = now - replica.quorum_acked_sent_at(now) > settings.leader_lease_seconds
        frozen = idle_seconds > settings.leader_lease_seconds and lease_over
        silent = quorum_silent_seconds(replica, now) >= settings.election_timeout_max_seconds
        wakes = frozen and replica.guarded(Guard.WAKE_STEP_DOWN)
        if wakes or (silent and replica.guarded(Guard.CHECK_QUORUM)):
            replica.become_follower(replica.term, None)
            replica.arm_election(now)
