"""The control process's decisions: consensus, the replicated state and the leader's duties; pure.

Events come in (ticks, messages, operators' orders), typed effects go out in an order that the
shell keeps. Time is a monotonic value, randomness a generator; the simulation drives this very
module (docs/design/overview.md).
"""

import random as random_module
from collections.abc import Sequence

import msgspec

from orchidpath.circuit.circuit_table import WorkerCircuitView
from orchidpath.consensus.effects import (
    Apply,
    ApplySnapshot,
    Effect,
    LeadershipChanged,
    PersistEntries,
    PersistHardState,
    PersistSnapshot,
    Send,
)
from orchidpath.consensus.errors import MembershipChangeError, NotLeaderError
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.types import EntryKind, LogEntry, Role
from orchidpath.control.leadership.attempt_decisions import not_leader_reply
from orchidpath.control.leadership.confirmation import ConfirmationGuard
from orchidpath.control.leadership.leader_duties import LeaderDuties
from orchidpath.control.leadership.member_manager import MemberManager, MemberPolicy
from orchidpath.control.replica.consensus_codec import decode_consensus, encode_consensus
from orchidpath.control.replica.control_effects import (
    ControlEffect,
    SendToConnected,
    SendToMember,
    SendToNode,
)
from orchidpath.control.replica.leader_forwarding import ForwardedOrders
from orchidpath.control.replica.pending_plan_actions import PendingPlanActions, plan_command
from orchidpath.control.replica.pending_reads import PendingReads
from orchidpath.control.replica.pending_updates import PendingUpdates
from orchidpath.state.commands import (
    Command,
    LeaderStarted,
    RegisterControlMember,
    RemoveControlMember,
    SubmitConfiguration,
    encode_command,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import PlanResult, UpdateResult
from orchidpath.wire.backend import WorkerCommand, WorkerCommandReply
from orchidpath.wire.messages import (
    ConfigurationUpdateRequest,
    ConsensusMessage,
    ControlMembers,
    DecisionRequest,
    JoinRequest,
    Message,
    PlanActionRequest,
    ReadIndexReply,
    ReadIndexRequest,
    RouterHeartbeat,
    WhoIsControl,
    WorkerCircuitsReply,
    WorkerCircuitsRequest,
)
from orchidpath.wire.records import ControlMember

VOTER_HEARD_SECONDS = 1.0
"""A voter heard within this long is waited for before an order is called confirmed."""


FORMATION_TIMEOUT_SECONDS = 30.0
"""A new fleet takes its first order after this long even if voters are missing."""


class ControlCore:
    """One control replica.

    Parameters
    ----------
    member
        This replica as it registers itself.
    raft
        Its consensus core, already restored from disk.
    policy
        How many voters to keep.
    formation_voters
        Voters wanted before a new fleet takes its first order.
    random
        Source of jitter.
    disabled_guards
        For tests only.
    """

    def __init__(
        self,
        member: ControlMember,
        raft: RaftCore,
        policy: MemberPolicy,
        formation_voters: int,
        random: random_module.Random,
        disabled_guards: frozenset[ConfirmationGuard] = frozenset(),
    ) -> None:
        self.member = member
        self.raft = raft
        self.state = FleetState()
        self.duties: LeaderDuties | None = None
        self._policy = policy
        self._formation_voters = formation_voters
        self._random = random
        self._disabled_guards = disabled_guards
        self._members = MemberManager(policy, 0.0)
        self._leading_since = 0.0
        self._orders = PendingUpdates()
        self._plan_actions = PendingPlanActions()
        self._reads = PendingReads(raft)
        self._outbox: list[ControlEffect] = []
        self._proposals: list[Command] = []
        self._forwarded = ForwardedOrders()

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has taken up a leader's duties."""
        return self.duties is not None and self.raft.role is Role.LEADER

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the newest membership that it knows."""
        return self.member.node_id in self.raft.membership.members()

    def has_authority(self, now: float) -> bool:
        """Whether this leader may speak for the fleet at ``now``: it holds its lease."""
        return self.is_leader and self.raft.has_lease(now)

    def next_deadline(self, now: float) -> float:
        """When `tick` must be called next, if nothing else happens before."""
        return self.raft.next_deadline(now)

    def tick(self, now: float) -> list[ControlEffect]:
        """Let time pass."""
        self._run(self.raft.tick(now), now)
        if self.duties is not None and self.raft.has_lease(now):
            self.duties.tick(now)
            self._manage_members(now)
        self._outbox.extend(self._reads.finish(self.is_leader, now))
        return self._drain(now)

    def receive(self, sender_id: str, message: Message, now: float) -> list[ControlEffect]:
        """Take a message of another process of the fleet.

        Parameters
        ----------
        sender_id
            Node id that the sender's connection was opened with.
        message
            The message.
        now
            Monotonic seconds.
        """
        if isinstance(message, ConsensusMessage):
            self._receive_consensus(message, now)
        elif isinstance(message, WhoIsControl):
            self._outbox.append(SendToNode(sender_id, self.control_members()))
        elif isinstance(message, JoinRequest):
            self._join_requested(message)
        elif isinstance(message, ConfigurationUpdateRequest):
            self._take_forwarded_order(sender_id, message, now)
        elif isinstance(message, PlanActionRequest):
            self._request_plan_action(
                self._forwarded.key_for(sender_id, message.correlation), message, now
            )
        elif isinstance(message, ReadIndexRequest):
            self._answer_read_index(sender_id, message, now)
        elif isinstance(message, WorkerCircuitsRequest):
            self._answer_worker_circuits(sender_id, message, now)
        else:
            self._receive_for_leader(sender_id, message, now)
        return self._drain(now)

    def submit(self, key: int, order: SubmitConfiguration, now: float) -> list[ControlEffect]:
        """Take an operator's order; `UpdateAnswered` with ``key`` follows, now or later."""
        self._submit(key, order, now)
        return self._drain(now)

    def request_plan_action(
        self, key: int, order: PlanActionRequest, now: float
    ) -> list[ControlEffect]:
        """Take an order about a plan; `PlanActionAnswered` with ``key`` follows, now or later."""
        self._request_plan_action(key, order, now)
        return self._drain(now)

    def worker_command_answered(
        self, order: WorkerCommand, reply: WorkerCommandReply | None, now: float
    ) -> list[ControlEffect]:
        """Take a worker's answer to an order; None if there was none in time."""
        if self.duties is not None and reply is not None:
            self.duties.worker_command_answered(order, reply)
        return self._drain(now)

    def read(self, key: int, now: float) -> list[ControlEffect]:
        """Ask for a linearizable read; `ReadReady` or `ReadFailed` with ``key`` follows."""
        self._outbox.extend(self._reads.ask(key, self.has_authority(now), now))
        return self._drain(now)

    def worker_circuits(self, now: float) -> tuple[WorkerCircuitView, ...]:
        """Return the operators' view of the circuits; empty unless this replica leads."""
        return self.duties.decisions.worker_circuits(now) if self.duties is not None else ()

    def control_members(self) -> ControlMembers:
        """Answer who the control members are, as far as this replica knows."""
        membership = self.raft.membership
        registered = {member.node_id: member for member in self.state.control_members()}
        members = tuple(
            ControlMember(
                node_id=node_id,
                address=membership.addresses.get(node_id, ""),
                http_address=registered[node_id].http_address if node_id in registered else "",
                voter=node_id in membership.voters,
                may_vote=registered[node_id].may_vote if node_id in registered else True,
            )
            for node_id in membership.members()
        )
        return ControlMembers(
            term=self.raft.term,
            leader_id=self.raft.leader_id or "",
            members=members,
            may_vote=self.member.may_vote,
        )

    def _receive_consensus(self, message: ConsensusMessage, now: float) -> None:
        decoded = decode_consensus(message)
        if decoded is not None:
            self._run(self.raft.receive(decoded, now), now)

    def _receive_for_leader(self, sender_id: str, message: Message, now: float) -> None:
        if not self.has_authority(now):
            self._refuse(sender_id, message)
            return
        assert self.duties is not None
        self.duties.receive(sender_id, message, now)

    def _refuse(self, sender_id: str, message: Message) -> None:
        """Tell a sender that took this replica for the leader who leads, as far as is known."""
        if isinstance(message, DecisionRequest):
            self._outbox.append(SendToNode(sender_id, not_leader_reply(message, self.raft.term)))
        if isinstance(message, RouterHeartbeat):
            self._outbox.append(SendToNode(sender_id, self.control_members()))

    def _submit(self, key: int, order: SubmitConfiguration, now: float) -> None:
        if not self.has_authority(now):
            self._outbox.append(self._orders.rejected(key, "this process does not lead"))
            return
        voters = len(self.raft.membership.voters)
        is_forming = now - self._leading_since < FORMATION_TIMEOUT_SECONDS
        is_first = self.state.configuration_version == 0
        if is_first and is_forming and voters < self._formation_voters:
            self._outbox.append(self._orders.rejected(key, "the fleet is still forming"))
            return
        try:
            indexes, effects = self.raft.propose([encode_command(order)], now)
        except NotLeaderError:
            self._outbox.append(self._orders.rejected(key, "this process does not lead"))
            return
        self._orders.proposed(key, indexes[0], self.raft.term, now)
        self._run(effects, now)

    def _take_forwarded_order(
        self, sender_id: str, request: ConfigurationUpdateRequest, now: float
    ) -> None:
        key = self._forwarded.key_for(sender_id, request.correlation)
        order = SubmitConfiguration(
            order_id=request.order_id,
            base_version=request.base_version,
            configuration=request.configuration,
            digest=request.digest,
            document=request.document,
        )
        self._submit(key, order, now)

    def _request_plan_action(self, key: int, order: PlanActionRequest, now: float) -> None:
        if not self.has_authority(now):
            self._outbox.append(self._plan_actions.rejected(key))
            return
        command = plan_command(order, self.state)
        try:
            indexes, effects = self.raft.propose([encode_command(command)], now)
        except NotLeaderError:
            self._outbox.append(self._plan_actions.rejected(key))
            return
        self._plan_actions.proposed(key, indexes[0], self.raft.term)
        self._run(effects, now)

    def _answer_read_index(self, sender_id: str, request: ReadIndexRequest, now: float) -> None:
        reply = ReadIndexReply(
            correlation=request.correlation,
            available=self.has_authority(now),
            index=self.raft.commit_index,
        )
        self._outbox.append(SendToNode(sender_id, reply))

    def _answer_worker_circuits(
        self, sender_id: str, request: WorkerCircuitsRequest, now: float
    ) -> None:
        available = self.has_authority(now)
        views = self.worker_circuits(now) if available else ()
        reply = WorkerCircuitsReply(
            correlation=request.correlation,
            available=available,
            payload=msgspec.msgpack.encode(views),
        )
        self._outbox.append(SendToNode(sender_id, reply))

    def _join_requested(self, request: JoinRequest) -> None:
        if self.duties is None:
            return
        member = request.member
        self._members.join_requested(member.node_id, member.address)
        self._proposals.append(RegisterControlMember(member=member))

    def _manage_members(self, now: float) -> None:
        standbys = frozenset(
            member.node_id for member in self.state.control_members() if not member.may_vote
        )
        change = self._members.next_change(
            self.member.node_id, self.raft.membership, self.raft.last_contact, now, standbys
        )
        if change is None:
            self._forget_removed_members()
            return
        try:
            _, effects = self.raft.propose_membership(change, now)
        except (MembershipChangeError, NotLeaderError):
            return  # not safe yet; the same change is named again on a later tick
        self._run(effects, now)

    def _forget_removed_members(self) -> None:
        """Take replicas that are members no more off the list that operators see."""
        if not self.raft.membership_committed:
            return
        present = self.raft.membership.members()
        for member in self.state.control_members():
            if member.node_id not in present:
                self._proposals.append(RemoveControlMember(node_id=member.node_id))

    def _run(self, effects: Sequence[Effect], now: float) -> None:
        for effect in effects:
            match effect:
                case PersistHardState() | PersistEntries() | PersistSnapshot():
                    self._outbox.append(effect)
                case Send():
                    self._outbox.append(self._to_member(effect))
                case Apply():
                    self._apply(effect.entry, now)
                case ApplySnapshot():
                    self.state = FleetState.restore(effect.snapshot.data)
                case LeadershipChanged():
                    self._leadership_changed(effect, now)

    def _to_member(self, effect: Send) -> SendToMember:
        address = self.raft.membership.addresses.get(effect.to, "")
        return SendToMember(effect.to, address, encode_consensus(effect.message))

    def _apply(self, entry: LogEntry, now: float) -> None:
        if entry.kind is not EntryKind.COMMAND:
            return
        previous_revision = self.state.revision
        result = self.state.apply(entry.index, entry.payload)
        if self.state.leader_term == self.raft.term and self.raft.role is Role.LEADER:
            self._start_duties(now)
        if self.duties is not None:
            self.duties.applied(result.outcome, previous_revision, now)
        if isinstance(result.outcome, UpdateResult):
            answers = self._orders.applied(entry, result.outcome, self.state.revision, now)
            self._outbox.extend(answers)
        if isinstance(result.outcome, PlanResult):
            self._outbox.extend(self._plan_actions.applied(entry, result.outcome))

    def _start_duties(self, now: float) -> None:
        """Begin to act as the leader once the first entry of this term has been applied.

        Not before: until then the state may lack entries that earlier leaders have confirmed.
        """
        if self.duties is None:
            self.duties = LeaderDuties(
                self.raft.term,
                self.state,
                self._random,
                now,
                self._policy.router_removal_seconds,
                self._disabled_guards,
                self._policy.worker_lease_seconds,
            )
            # Routers that have lost their lease need not ask around for the new leader.
            self._outbox.append(SendToConnected(self.control_members()))

    def _leadership_changed(self, effect: LeadershipChanged, now: float) -> None:
        self._outbox.append(effect)
        self.duties = None
        if effect.role is Role.LEADER:
            self._members = MemberManager(self._policy, now)
            self._leading_since = now
            self._proposals.append(LeaderStarted(term=effect.term))
            self._proposals.append(RegisterControlMember(member=self.member))
            return
        self._proposals.clear()
        self._outbox.extend(self._orders.leadership_lost())
        self._outbox.extend(self._plan_actions.leadership_lost())

    def _drain(self, now: float) -> list[ControlEffect]:
        """Propose what is due, push what changed, and hand out all effects in order."""
        self._collect_duties()
        while self._proposals and self.raft.role is Role.LEADER:
            payloads = [encode_command(command) for command in self._proposals]
            self._proposals.clear()
            try:
                _, effects = self.raft.propose(payloads, now)
            except NotLeaderError:
                break
            self._run(effects, now)
            self._collect_duties()
        if self.duties is not None:
            self.duties.push_updates(now)
            self._collect_duties()
        self._confirm_orders(now)
        self._compact(now)
        effects_out = [self._forwarded.routed(effect) for effect in self._outbox]
        self._outbox = []
        return effects_out

    def _collect_duties(self) -> None:
        if self.duties is None:
            return
        self._outbox.extend(self.duties.output.take_effects())
        self._proposals.extend(self.duties.output.take_proposals())

    def _confirm_orders(self, now: float) -> None:
        confirmed = 0
        if self.duties is not None:
            confirmed = self.duties.confirmation.confirmed_revision
        self._outbox.extend(self._orders.confirm(confirmed, self._index_on_heard_voters(now), now))

    def _index_on_heard_voters(self, now: float) -> int:
        """Return the last index that every voter heard lately has made durable."""
        indexes = [
            self.raft.match_index(voter)
            for voter in self.raft.membership.voters
            if voter == self.member.node_id
            or now - self.raft.last_contact(voter) < VOTER_HEARD_SECONDS
        ]
        return min(indexes, default=0)

    def _compact(self, now: float) -> None:
        if not self.raft.compaction_due() or self.state.applied_index <= self.raft.snapshot_index:
            return
        effects = self.raft.compact(self.state.snapshot(), self.state.applied_index, now)
        self._run(effects, now)
