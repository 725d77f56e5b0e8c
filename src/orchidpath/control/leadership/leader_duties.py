"""The duties that only the leader performs, with one object per duty; performs no I/O.

This module is the entry point of the package. There is one :class:`LeaderDuties` per leadership.
All of it is soft state, which is dropped when the leadership ends. The next leader rebuilds it from
the replicated state, from heartbeats and announcements, and from the routers' counter reports. The
state of prefill placement is not rebuilt: it starts empty and fills as attempts are decided.
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
    RouterLeaving,
)

TICK_PERIOD_SECONDS = 0.05
"""Period of the duties that depend on the passing of time."""


class LeaderDuties:
    """The duties of one leadership, and the order in which they run.

    Parameters
    ----------
    term
        Term of this leadership.
    state
        The replicated state, applied at least up to the first log entry of this leadership.
    random
        Random generator for jitter.
    now
        Start of this leadership, in monotonic seconds.
    router_removal_seconds
        A router is removed when it has sent no heartbeat for longer than this.
    disabled_guards
        Safety checks to turn off; for tests only.
    worker_lease_seconds
        A worker is removed when it has sent no announcement for longer than this.
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
        """Run the work of each duty that is due at ``now``.

        The caller has checked that this leader holds its lease at ``now``. Under load a leader
        takes thousands of turns per second, so the work that iterates over every worker and router
        runs only once per ``TICK_PERIOD_SECONDS``.

        The order of the steps is safe because:

        - The workers are refreshed first, so that every later step counts attempts on the workers
          that are in the replicated state now.
        - Removals are proposed before anything else in the tick. The log keeps this order, so a
          plan step or a cordon that is proposed in the same tick is applied to a state that no
          longer contains the worker, and the state machine rejects it.
        - The confirmed revision advances before the plan and the stage changes, which use it. Both
          wait until every serving router has applied the revision that cordoned a worker. A plan
          step does not proceed without that confirmation; a stage change does after
          :data:`~orchidpath.control.leadership.stage_balancer.CORDON_SECONDS`.
        - Circuits are pushed after every step that can change them.
        - Expired requests are dropped last, because this only frees memory.
        """
        if now < self._next_tick_at:
            return
        self._next_tick_at = now + TICK_PERIOD_SECONDS
        self.decisions.refresh_workers()
        self._worker_liveness.propose_removals(now)
        self._router_leases.propose_removals(now)
        for router_id in self._router_leases.take_departed():
            self.confirmation.router_left(router_id)
        self.confirmation.advance(now)
        self._plan_driver.tick(self.confirmation.confirmed_revision, now)
        self._stage_balancer.tick(self.confirmation.confirmed_revision, now)
        self._circuits_publisher.push(now)
        self.decisions.drop_expired(now)

    def receive(self, sender_id: str, message: Message, now: float) -> None:
        """Dispatch a message to the duty that handles its type; other types are ignored.

        The caller has checked that this leader holds its lease at ``now``.
        """
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
            case RouterLeaving():
                self._router_leases.leave(message)
            case FleetUpdateRequest():
                self._update_publisher.receive_request(sender_id, message)
            case ForwardedAnnouncements():
                self._worker_liveness.receive_announcements(message.announcements, now)
            case _:
                pass

    def worker_command_answered(self, command: WorkerCommand, reply: WorkerCommandReply) -> None:
        """Pass a worker's reply to the duties that send commands."""
        self._plan_driver.command_answered(command, reply)
        self._stage_balancer.command_answered(command, reply)

    def applied(self, outcome: Outcome, previous_revision: int, now: float) -> None:
        """Update the duties after the replicated state has applied a command."""
        if isinstance(outcome, CircuitResult | CapacityResult):
            self.decisions.transition_applied(outcome, now)
            if outcome.record is not None:
                self._circuits_publisher.mark_changed()
        if self._state.revision != previous_revision:
            self.confirmation.revision_committed()
            self.decisions.revision_committed()

    def push_updates(self, now: float) -> None:
        """Push new revisions to the routers.

        The caller does this once per turn, after all commands of the turn have been applied.
        """
        self._update_publisher.push(now)

    def _receive_heartbeat(self, heartbeat: RouterHeartbeat, now: float) -> None:
        router_id = heartbeat.record.router_id
        if router_id not in self._router_leases.adopted_revisions:
            self._circuits_publisher.mark_changed()
        self._router_leases.renew(heartbeat, now)
        self.confirmation.router_adopted(router_id, heartbeat.adopted_revision, now)
