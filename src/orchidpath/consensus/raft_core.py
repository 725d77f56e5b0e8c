"""The Raft state machine of one replica. It does no input or output and reads no clock.

All clock values that the caller passes in must come from one monotonic clock that also advances
while the machine is suspended. With any other clock, a leader could rely on a lease that expired
during the suspension.
"""

import random as random_module
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any

from orchidpath.consensus import leadership
from orchidpath.consensus.bootstrap import bootstrap as write_bootstrap
from orchidpath.consensus.bootstrap import needs_bootstrap
from orchidpath.consensus.effects import Effect, PersistSnapshot, Proposal, ProposedMembership
from orchidpath.consensus.election import (
    on_election_timeout,
    on_request_vote,
    on_request_vote_reply,
)
from orchidpath.consensus.errors import CompactionError
from orchidpath.consensus.follower import on_append, on_install_snapshot
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
)
from orchidpath.consensus.types import (
    EntryKind,
    Guard,
    LogEntry,
    Membership,
    RaftSettings,
    ReadTicket,
    RestoredState,
    Role,
    Snapshot,
)

MessageHandler = Callable[[Replica, Any, float], None]
"""Handler of one type of message; it emits its effects on the replica."""

MESSAGE_HANDLERS: Mapping[type, MessageHandler] = MappingProxyType(
    {
        RequestVote: on_request_vote,
        RequestVoteReply: on_request_vote_reply,
        AppendEntries: on_append,
        AppendEntriesReply: on_append_reply,
        InstallSnapshot: on_install_snapshot,
        InstallSnapshotReply: on_snapshot_reply,
    }
)
"""Message handler by message type."""


class RaftCore:
    """One replica of a Raft group.

    Every call that may change state returns the effects to execute, in order. The first such
    call also returns the effects of the start: the snapshot to apply and the bootstrap records.

    Parameters
    ----------
    node_id
        Identity of the replica, stored in its data folder. A replica whose folder was lost must
        rejoin under another id, because it may have voted and acknowledged entries under this id.
    settings
        Times and limits, the same on all replicas.
    restored
        State that was read from disk.
    bootstrap
        Membership of a new group, which must be the same on each of its voters; None to join an
        existing group as a learner. Ignored if the disk already holds a log.
    now
        Monotonic clock in seconds.
    random
        Random generator from which election timeouts are sampled.
    disabled_guards
        Safety rules to disable, in tests only.
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
        if bootstrap is not None and needs_bootstrap(restored):
            write_bootstrap(self._replica, bootstrap)
        self._replica.set_role(Role.FOLLOWER, None)
        self._replica.arm_first_election(now)

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
        """Role as of the last call.

        A leader whose process may have been suspended since then must also check `has_lease`.
        """
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
        """Index of the last entry known to be committed."""
        return self._replica.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry covered by an emitted `Apply` or `ApplySnapshot` effect."""
        return self._replica.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._replica.log.last_index

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the newest snapshot covers."""
        return self._replica.log.snapshot_index

    @property
    def membership(self) -> Membership:
        """Newest membership in the log, which is effective as soon as it is appended."""
        return self._replica.log.membership

    @property
    def membership_committed(self) -> bool:
        """Whether the newest membership is committed."""
        return self._replica.log.membership_index <= self._replica.commit_index

    def tick(self, now: float) -> list[Effect]:
        """Run the timers that are due: election timeout, heartbeat, and check of the quorum."""
        replica = self._replica
        leadership.observe_clock(self._replica, now)
        if replica.role is Role.LEADER:
            if now >= replica.heartbeat_due_at:
                broadcast_append(replica, now, heartbeat=True)
        elif now >= replica.election_deadline:
            on_election_timeout(replica, now)
        return replica.take_effects()

    def receive(self, message: RaftMessage, now: float) -> list[Effect]:
        """Process a message from another replica.

        Raises
        ------
        ProtocolViolationError
            The message contradicts committed state; the replica must stop.
        """
        leadership.observe_clock(self._replica, now)
        MESSAGE_HANDLERS[type(message)](self._replica, message, now)
        return self._replica.take_effects()

    def propose(self, payloads: Sequence[bytes], now: float) -> Proposal:
        """Append commands to the log in one batch.

        Returns
        -------
        Proposal
            Index of each command, and the effects. A command is committed when an `Apply` effect
            has its index and the term that is current at this call.

        Raises
        ------
        NotLeaderError
            The replica is not the leader, or has just stepped down. The next call returns the
            effects of stepping down.
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
        return Proposal([entry.index for entry in entries], replica.take_effects())

    def propose_membership(self, membership: Membership, now: float) -> ProposedMembership:
        """Append a change of the membership by at most one voter.

        Raises
        ------
        NotLeaderError
            The replica is not the leader.
        MembershipChangeError
            The change is rejected; the subclass gives the reason.
        """
        self._require_leader(now)
        index = append_membership(self._replica, membership)
        self._replicate(now)
        return ProposedMembership(index, self._replica.take_effects())

    def has_lease(self, now: float) -> bool:
        """Return whether this leader may answer a linearizable read from its applied state.

        The state machine must have applied all entries up to `applied_index`, and `now` must have
        been taken from the clock after the read was requested; see :func:`.leadership.has_lease`.
        """
        return leadership.has_lease(self._replica, now)

    def read_barrier(self, now: float) -> ReadTicket:
        """Start a linearizable read, and make a heartbeat due at once to confirm the leadership.

        Raises
        ------
        NotLeaderError
            The replica is not the leader.
        """
        self._require_leader(now)
        return leadership.issue_read_ticket(self._replica, now)

    def read_is_ready(self, ticket: ReadTicket, now: float) -> bool:
        """Return whether the read of a ticket may run now on the applied state.

        Raises
        ------
        NotLeaderError
            The replica no longer leads in the term that issued the ticket; start the read again.
        """
        return leadership.read_is_ready(self._replica, ticket, now)

    def compact(self, snapshot_data: bytes, at_index: int, now: float) -> list[Effect]:
        """Replace the log up to `at_index` by a snapshot of the state machine at that index.

        Raises
        ------
        CompactionError
            The index is not applied yet, or the newest snapshot already covers it.
        """
        replica = self._replica
        leadership.observe_clock(self._replica, now)
        term = replica.log.term_at(at_index)
        if term is None or not replica.log.snapshot_index < at_index <= replica.commit_index:
            raise CompactionError(
                f"cannot compact the log at index {at_index}: expected an index above the snapshot "
                f"({replica.log.snapshot_index}) and at most the commit index "
                f"({replica.commit_index})"
            )
        membership = replica.log.membership_at(at_index)
        snapshot = Snapshot(at_index, term, membership, snapshot_data)
        replica.log.install(snapshot)
        replica.emit(PersistSnapshot(snapshot))
        return replica.take_effects()

    def compaction_due(self) -> bool:
        """Return whether the log should be compacted.

        It should be when the entries applied since the last snapshot, or the payload bytes held
        after it, have reached their threshold.
        """
        settings = self._replica.settings
        log = self._replica.log
        applied = self._replica.commit_index - log.snapshot_index
        is_large = log.payload_bytes >= settings.snapshot_threshold_bytes
        return applied >= settings.snapshot_threshold_entries or (is_large and applied > 0)

    def next_deadline(self, now: float) -> float:
        """Return the clock value, in seconds, by which `tick` must be called next."""
        replica = self._replica
        if replica.role is Role.LEADER:
            return min(replica.heartbeat_due_at, now + replica.settings.heartbeat_seconds)
        return replica.election_deadline

    def match_index(self, node: str) -> int:
        """Return the index of the last entry known to be durable at a member, 0 if unknown.

        Only a leader tracks other members. For this replica itself, the value is the end of its
        log, which is durable once the emitted `PersistEntries` effects have been executed.
        """
        if node == self._replica.node_id:
            return self._replica.log.last_index
        progress = self._replica.progress.get(node)
        return progress.match_index if progress else 0

    def last_contact(self, node: str) -> float:
        """Return the send time of the newest append that a member has replied to (leader only).

        The value is in seconds on this replica's clock, and minus infinity without a reply.
        """
        progress = self._replica.progress.get(node)
        return progress.acked_sent_at if progress else float("-inf")

    def _require_leader(self, now: float) -> None:
        leadership.observe_clock(self._replica, now)
        leadership.require_leader(self._replica)

    def _replicate(self, now: float) -> None:
        broadcast_append(self._replica, now, heartbeat=False)
        advance_commit(self._replica, now)
