"""The control process's decisions: consensus, the replicated state and the leader's duties; pure.

Events come in (ticks, messages, operators' requests), typed effects go out in an order that the
loop around keeps (:mod:`.replica_loop`). Time is a monotonic value, randomness a generator; the
simulation drives this very module (docs/design/overview.md).
"""

import random as random_module

import msgspec

from orchidpath.circuit.circuit_table import WorkerCircuitView
from orchidpath.consensus.effects import LeadershipChanged
from orchidpath.consensus.errors import NotLeaderError
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.types import Role
from orchidpath.control.leadership.attempt_decisions import not_leader_reply
from orchidpath.control.leadership.confirmation import ConfirmationGuard
from orchidpath.control.leadership.leader_duties import LeaderDuties
from orchidpath.control.leadership.member_manager import MemberPolicy
from orchidpath.control.replica.configuration_updates import ConfigurationUpdates
from orchidpath.control.replica.control_effects import ControlEffect, SendToConnected
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.control.replica.leader_forwarding import ForwardedRequests
from orchidpath.control.replica.membership_changes import MembershipChanges
from orchidpath.control.replica.pending_reads import PendingReads
from orchidpath.control.replica.plan_actions import PlanActions
from orchidpath.control.replica.replicated_log import AppliedCommand, ReplicatedLog
from orchidpath.state.commands import LeaderStarted, SubmitConfiguration
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


class ControlReplica:
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
        Voters wanted before a new fleet accepts its first update.
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
        self.duties: LeaderDuties | None = None
        self._policy = policy
        self._random = random
        self._disabled_guards = disabled_guards
        self._output = ControlOutput()
        self._log = ReplicatedLog(raft, self._output, self)
        self._memberships = MembershipChanges(member, policy, self._log, self._output)
        self._updates = ConfigurationUpdates(
            member.node_id, self._log, self._output, formation_voters
        )
        self._plan_actions = PlanActions(self._log, self._output)
        self._reads = PendingReads(raft)
        self._forwarded = ForwardedRequests()

    @property
    def raft(self) -> RaftCore:
        """The consensus core."""
        return self._log.raft

    @property
    def state(self) -> FleetState:
        """The replicated state as far as it is applied here; a snapshot replaces the object."""
        return self._log.state

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has taken up a leader's duties."""
        return self.duties is not None and self.raft.role is Role.LEADER

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the newest membership that it knows."""
        return self._memberships.is_member

    def has_authority(self, now: float) -> bool:
        """Whether this leader may speak for the fleet at ``now``: it holds its lease."""
        return self.is_leader and self.raft.has_lease(now)

    def next_deadline(self, now: float) -> float:
        """When `tick` must be called next, if nothing else happens before."""
        return self.raft.next_deadline(now)

    def tick(self, now: float) -> list[ControlEffect]:
        """Let time pass."""
        self._log.tick(now)
        if self.duties is not None and self.raft.has_lease(now):
            self.duties.tick(now)
            self._memberships.propose_next(now)
        self._output.emit_all(self._reads.finish(self.is_leader, now))
        return self._finish_turn(now)

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
        match message:
            case ConsensusMessage():
                self._log.receive(message, now)
            case WhoIsControl():
                self._output.send(sender_id, self.control_members())
            case JoinRequest():
                self._receive_join_request(message)
            case ConfigurationUpdateRequest():
                self._receive_forwarded_update(sender_id, message, now)
            case PlanActionRequest():
                self._receive_forwarded_plan_action(sender_id, message, now)
            case ReadIndexRequest():
                self._answer_read_index(sender_id, message, now)
            case WorkerCircuitsRequest():
                self._answer_worker_circuits(sender_id, message, now)
            case _:
                self._receive_for_leader(sender_id, message, now)
        return self._finish_turn(now)

    def submit(self, key: int, update: SubmitConfiguration, now: float) -> list[ControlEffect]:
        """Take an operator's update; `UpdateAnswered` with ``key`` follows, now or later."""
        self._updates.submit(key, update, self.has_authority(now), now)
        return self._finish_turn(now)

    def request_plan_action(
        self, key: int, request: PlanActionRequest, now: float
    ) -> list[ControlEffect]:
        """Take an action on a plan; `PlanActionAnswered` with ``key`` follows, now or later."""
        self._plan_actions.submit(key, request, self.has_authority(now), now)
        return self._finish_turn(now)

    def worker_command_answered(
        self, command: WorkerCommand, reply: WorkerCommandReply | None, now: float
    ) -> list[ControlEffect]:
        """Take a worker's answer to a command; None if there was none in time."""
        if self.duties is not None and reply is not None:
            self.duties.worker_command_answered(command, reply)
        return self._finish_turn(now)

    def read(self, key: int, now: float) -> list[ControlEffect]:
        """Ask for a linearizable read; `ReadReady` or `ReadFailed` with ``key`` follows."""
        self._output.emit_all(self._reads.request_read(key, self.has_authority(now), now))
        return self._finish_turn(now)

    def worker_circuits(self, now: float) -> tuple[WorkerCircuitView, ...]:
        """Return the operators' view of the circuits; empty unless this replica leads."""
        return self.duties.decisions.worker_circuits(now) if self.duties is not None else ()

    def control_members(self) -> ControlMembers:
        """Answer who the control members are, as far as this replica knows."""
        return self._memberships.control_members()

    def command_applied(self, applied: AppliedCommand, now: float) -> None:
        """Follow a command that the log has brought: first as the leader, then answer for it."""
        if self.state.leader_term == self.raft.term and self.raft.role is Role.LEADER:
            self._start_duties(now)
        if self.duties is not None:
            self.duties.applied(applied.outcome, applied.previous_revision, now)
        match applied.outcome:
            case UpdateResult():
                self._updates.applied(applied.entry, applied.outcome, now)
            case PlanResult():
                self._plan_actions.applied(applied.entry, applied.outcome)
            case _:
                pass

    def leadership_changed(self, change: LeadershipChanged, now: float) -> None:
        """Follow a change of this replica's role: duties begin anew, or waiting calls end."""
        self.duties = None
        if change.role is Role.LEADER:
            self._output.propose(LeaderStarted(term=change.term))
            self._memberships.leadership_started(now)
            self._updates.leadership_started(now)
            return
        self._output.discard_proposals()
        self._updates.leadership_lost()
        self._plan_actions.leadership_lost()

    def _receive_for_leader(self, sender_id: str, message: Message, now: float) -> None:
        if not self.has_authority(now):
            self._reject(sender_id, message)
            return
        assert self.duties is not None
        self.duties.receive(sender_id, message, now)

    def _reject(self, sender_id: str, message: Message) -> None:
        """Tell a sender that took this replica for the leader who leads, as far as is known."""
        match message:
            case DecisionRequest():
                self._output.send(sender_id, not_leader_reply(message, self.raft.term))
            case RouterHeartbeat():
                self._output.send(sender_id, self.control_members())
            case _:
                pass

    def _receive_join_request(self, request: JoinRequest) -> None:
        if self.duties is not None:
            self._memberships.join_requested(request.member)

    def _receive_forwarded_update(
        self, sender_id: str, request: ConfigurationUpdateRequest, now: float
    ) -> None:
        key = self._forwarded.key_for(sender_id, request.correlation)
        update = SubmitConfiguration(
            order_id=request.order_id,
            base_version=request.base_version,
            configuration=request.configuration,
            digest=request.digest,
            document=request.document,
        )
        self._updates.submit(key, update, self.has_authority(now), now)

    def _receive_forwarded_plan_action(
        self, sender_id: str, request: PlanActionRequest, now: float
    ) -> None:
        key = self._forwarded.key_for(sender_id, request.correlation)
        self._plan_actions.submit(key, request, self.has_authority(now), now)

    def _answer_read_index(self, sender_id: str, request: ReadIndexRequest, now: float) -> None:
        reply = ReadIndexReply(
            correlation=request.correlation,
            available=self.has_authority(now),
            index=self.raft.commit_index,
        )
        self._output.send(sender_id, reply)

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
        self._output.send(sender_id, reply)

    def _start_duties(self, now: float) -> None:
        """Begin to act as the leader once the first entry of this term has been applied.

        Not before: until then the state may lack entries that earlier leaders have confirmed.
        """
        if self.duties is not None:
            return
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
        self._output.emit(SendToConnected(self.control_members()))

    def _finish_turn(self, now: float) -> list[ControlEffect]:
        """Propose what is due, push what changed, and hand out all effects in order.

        Updates are pushed only after everything proposed in this turn was appended: what a single
        voter applies at once goes out with the same push. Confirmations come after the pushes, and
        the log is compacted last, on a state that nothing in this turn changes any more.
        """
        self._propose_pending(now)
        if self.duties is not None:
            self.duties.push_updates(now)
            self._collect_from_duties()
        self._updates.confirm(self._confirmed_revision(), now)
        self._log.compact(now)
        return [self._forwarded.routed(effect) for effect in self._output.take_effects()]

    def _propose_pending(self, now: float) -> None:
        self._collect_from_duties()
        while self._output.has_proposals and self.raft.role is Role.LEADER:
            try:
                self._log.propose(self._output.take_proposals(), now)
            except NotLeaderError:
                break
            self._collect_from_duties()

    def _collect_from_duties(self) -> None:
        if self.duties is not None:
            self._output.move_from(self.duties.output)

    def _confirmed_revision(self) -> int:
        return self.duties.confirmation.confirmed_revision if self.duties is not None else 0
