"""What only the leader does, one object a duty; pure. Begin to read here.

One :class:`LeaderDuties` per leadership. All of it is soft state: it ends with the leadership and a
successor rebuilds it from the replicated state, from heartbeats and from the routers' counter
reports.
"""

import random as random_module

from orchidpath.control.leadership.attempt_decisions import AttemptDecisions
from orchidpath.control.leadership.circuits_publisher import CircuitsPublisher
from orchidpath.control.leadership.confirmation import ConfirmationGuard
from orchidpath.control.leadership.liveness import ROUTER_REMOVAL_SECONDS, LivenessTracker
from orchidpath.control.leadership.plan_driver import PlanDriver
from orchidpath.control.leadership.revision_confirmation import RevisionConfirmation
from orchidpath.control.leadership.router_leases import RouterLeases
from orchidpath.control.leadership.stage_balancer import StageBalancer
from orchidpath.control.leadership.update_publisher import UpdatePublisher
from orchidpath.control.leadership.worker_liveness import WorkerLiveness
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import CapacityResult, CircuitResult, Outcome
from orchidpath.wire.backend import WORKER_LEASE_SECONDS, WorkerCommand, WorkerCommandReply
from orchidpath.wire.messages import (
    AttemptReports,
    CapacityObserved,
    CounterReport,
    DecisionRequest,
    FleetUpdateRequest,
    ForwardedAnnouncements,
    Message,
    RouterHeartbeat,
)

TICK_PERIOD_SECONDS = 0.05
"""Time between two looks at what only time changes."""


class LeaderDuties:
    """The duties of one leadership and the order in which they are asked.

    Parameters
    ----------
    term
        Term of this leadership.
    state
        The replicated state, complete up to this leadership's first entry.
    random
        Source of jitter.
    now
        Monotonic seconds.
    router_removal_seconds
        A router that is silent for this long is removed.
    disabled_guards
        For tests only.
    worker_lease_seconds
        A worker that is silent for this long is removed.
    """

    def __init__(
        self,
        term: int,
        state: FleetState,
        random: random_module.Random,
        now: float,
        router_removal_seconds: float = ROUTER_REMOVAL_SECONDS,
        disabled_guards: frozenset[ConfirmationGuard] = frozenset(),
        worker_lease_seconds: float = WORKER_LEASE_SECONDS,
    ) -> None:
        self._state = state
        self.output = ControlOutput()
        liveness = LivenessTracker(router_removal_seconds, worker_lease_seconds)
        self._worker_liveness = WorkerLiveness(state, liveness, self.output)
        self._router_leases = RouterLeases(term, state, liveness, self.output)
        self.confirmation = RevisionConfirmation(state, self.output, now, disabled_guards)
        self.decisions = AttemptDecisions(term, state, random, self.output, now)
        self._plan_driver = PlanDriver(term, state, self.decisions.in_flight, self.output)
        self._stage_balancer = StageBalancer(
            term, state, self.decisions.in_flight, self.output, now
        )
        adopted_revisions = self._router_leases.adopted_revisions
        self._update_publisher = UpdatePublisher(state, adopted_revisions, self.output, now)
        self._circuits_publisher = CircuitsPublisher(
            self.decisions, adopted_revisions, self.output, now
        )
        self._next_tick_at = now

    def tick(self, now: float) -> None:
        """Ask each duty, top to bottom, for what is due; the caller has checked the lease.

        A busy leader has thousands of turns a second; what looks at every worker and router is
        done once a ``TICK_PERIOD_SECONDS``.

        Why this order is safe:

        - The workers are refreshed first, so that every later step counts attempts on the set of
          workers that the replicated state holds now.
        - Removals come before all other proposals of the tick. The log keeps their order, so a
          plan's step or a cordon that was proposed in the same tick is applied to a state that
          already lacks the worker, and the state machine rejects it there.
        - The confirmation advances before plans and stage moves. Both issue a worker's command
          only once every serving router obeys the revision that cordoned the worker.
        - Circuits are pushed after all that could change them.
        - Expired requests are dropped last: it only frees memory.
        """
        if now < self._next_tick_at:
            return
        self._next_tick_at = now + TICK_PERIOD_SECONDS
        self.decisions.refresh_workers()
        self._worker_liveness.propose_removals(now)
        self._router_leases.propose_removals(now)
        self.confirmation.advance(now)
        self._plan_driver.tick(self.confirmation.confirmed_revision, now)
        self._stage_balancer.tick(self.confirmation.confirmed_revision, now)
        self._circuits_publisher.push(now)
        self.decisions.drop_expired(now)

    def receive(self, sender_id: str, message: Message, now: float) -> None:
        """Hand a message to the duty it is for; the caller has checked the lease at ``now``."""
        match message:
            case DecisionRequest():
                self.decisions.receive_request(sender_id, message, now)
            case AttemptReports():
                self.decisions.receive_reports(sender_id, message, now)
            case CounterReport():
                self.decisions.receive_counters(sender_id, message, now)
            case CapacityObserved():
                self.decisions.receive_capacity(message, now)
            case RouterHeartbeat():
                self._receive_heartbeat(message, now)
            case FleetUpdateRequest():
                self._update_publisher.receive_request(sender_id, message)
            case ForwardedAnnouncements():
                self._worker_liveness.receive_announcements(message.announcements, now)
            case _:
                pass

    def worker_command_answered(self, command: WorkerCommand, reply: WorkerCommandReply) -> None:
        """Hand a worker's answer to the duties that issue commands."""
        self._plan_driver.command_answered(command, reply)
        self._stage_balancer.command_answered(command, reply)

    def applied(self, outcome: Outcome, previous_revision: int, now: float) -> None:
        """Follow one command that the replicated state has applied."""
        if isinstance(outcome, CircuitResult | CapacityResult):
            self.decisions.transition_applied(outcome, now)
            if outcome.record is not None:
                self._circuits_publisher.mark_changed()
        if self._state.revision != previous_revision:
            self.confirmation.revision_committed()
            self.decisions.revision_committed()

    def push_updates(self, now: float) -> None:
        """Push new revisions to the routers, after everything that this turn applied."""
        self._update_publisher.push(now)

    def _receive_heartbeat(self, heartbeat: RouterHeartbeat, now: float) -> None:
        router_id = heartbeat.record.router_id
        if router_id not in self._router_leases.adopted_revisions:
            self._circuits_publisher.mark_changed()
        self._router_leases.renew(heartbeat, now)
        self.confirmation.router_adopted(router_id, heartbeat.adopted_revision, now)
