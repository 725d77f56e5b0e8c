"""The logic of a control process: consensus, replicated state and leader duties; performs no I/O.

A :class:`ControlReplica` receives events (ticks, messages, operators' requests) and returns typed
effects, which :mod:`.replica_loop` carries out in their order. Time is passed in as a monotonic
value and randomness as a generator, so the simulation runs this same code
(docs/design/overview.md).
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
    RouterLeaving,
    WhoIsControl,
    WorkerCircuitsReply,
    WorkerCircuitsRequest,
)
from orchidpath.wire.records import ControlMember


class ControlReplica:
    """One control replica, which may be a leader, follower or learner.

    Parameters
    ----------
    member
        The record with which this replica registers itself.
    raft
        The consensus core, already restored from disk.
    policy
        Number of voters to keep, and time-outs of voters, routers and workers.
    formation_voters
        Number of voters that a new fleet needs before it accepts its first update.
    random
        Random generator for jitter.
    disabled_guards
        Safety checks of the confirmation to turn off; for tests only.
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
        """The replicated state up to the last applied entry; a snapshot replaces the object."""
        return self._log.state

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader and has started the leader duties."""
        return self.duties is not None and self.raft.role is Role.LEADER

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the newest membership that it has received."""
        return self._memberships.is_member

    def has_authority(self, now: float) -> bool:
        """Whether this replica is the leader and holds its lease at ``now``."""
        return self.is_leader and self.raft.has_lease(now)

    def next_deadline(self, now: float) -> float:
        """Return the time at which `tick` must be called next, in monotonic seconds."""
        return self.raft.next_deadline(now)

    def tick(self, now: float) -> list[ControlEffect]:
        """Run everything that is due at ``now``."""
        self._log.tick(now)
        if self.duties is not None and self.raft.has_lease(now):
            self.duties.tick(now)
            self._memberships.propose_next(now)
        self._output.emit_all(self._reads.finish(self.is_leader, now))
        return self._finish_turn(now)

    def receive(self, sender_id: str, message: Message, now: float) -> list[ControlEffect]:
        """Handle a message of another process of the fleet.

        Parameters
        ----------
        sender_id
            Node id with which the sender opened its connection.
        message
            The message.
        now
            Current time, in monotonic seconds.
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
        """Submit an operator's configuration update.

        The answer is an `UpdateAnswered` with ``key``, among the returned effects or later ones.
        """
        self._updates.submit(key, update, self.has_authority(now), now)
        return self._finish_turn(now)

    def request_plan_action(
        self, key: int, request: PlanActionRequest, now: float
    ) -> list[ControlEffect]:
        """Submit an operator's action on a plan.

        The answer is a `PlanActionAnswered` with ``key``, among the returned effects or later ones.
        """
        self._plan_actions.submit(key, request, self.has_authority(now), now)
        return self._finish_turn(now)

    def worker_command_answered(
        self, command: WorkerCommand, reply: WorkerCommandReply | None, now: float
    ) -> list[ControlEffect]:
        """Handle a worker's reply to a command; ``reply`` is None if none arrived in time."""
        if self.duties is not None and reply is not None:
            self.duties.worker_command_answered(command, reply)
        return self._finish_turn(now)

    def read(self, key: int, now: float) -> list[ControlEffect]:
        """Request a linearizable read.

        The answer is a `ReadReady` or `ReadFailed` with ``key``, among the returned effects or
        later ones.
        """
        self._output.emit_all(self._reads.request_read(key, self.has_authority(now), now))
        return self._finish_turn(now)

    def worker_circuits(self, now: float) -> tuple[WorkerCircuitView, ...]:
        """Return the circuit of every worker for operators; empty unless this replica leads."""
        return self.duties.decisions.worker_circuits(now) if self.duties is not None else ()

    def missing_voters(self, now: float) -> int:
        """Return how many voters are missing or lost; 0 on a replica that does not lead."""
        return self._memberships.missing_voters(now) if self.is_leader else 0

    def control_members(self) -> ControlMembers:
        """Return the control members and the leader in the newest membership received here."""
        return self._memberships.control_members()

    def command_applied(self, applied: AppliedCommand, now: float) -> None:
        """Handle a command that the replicated state has applied.

        The leader duties are updated first. Then the request that proposed the command is answered.
        """
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
        """Handle a change of this replica's role or of the leader.

        A new leader proposes its first entry; its duties start when this entry has been applied. A
        replica that does not lead drops its proposals and answers its pending requests.
        """
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
        """Reply to a router that sent this replica a message for the leader."""
        match message:
            case DecisionRequest():
                self._output.send(sender_id, not_leader_reply(message, self.raft.term))
            case RouterHeartbeat() | RouterLeaving():
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
        """Start the leader duties, after the first entry of this term has been applied.

        Before that, the state may lack entries that earlier leaders have confirmed.
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
        # Routers that have lost their lease need not query other processes for the new leader.
        self._output.emit(SendToConnected(self.control_members()))

    def _finish_turn(self, now: float) -> list[ControlEffect]:
        """Propose pending commands, push updates, and return all effects of the turn in order.

        Updates are pushed only after all commands of this turn have been appended, because a single
        voter applies them at once and the same push can then contain them. Confirmations come after
        the pushes. The log is compacted last, when the state no longer changes in this turn.
        """
        self._propose_pending(now)
        if self.duties is not None:
            self.duties.push_updates(now)
            self._collect_from_duties()
        self._updates.confirm(self._confirmed_revision(), now)
        self._log.compact(now)
        return [self._forwarded.route(effect) for effect in self._output.take_effects()]

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
