"""The leader's decisions on attempts: circuit breakers and prefill placement; performs no I/O.

A decision that turns an attempt into a probe of a circuit waits until that transition is committed
in the replicated log.

The counters of the circuits and the state of prefill placement are soft state. The next leader
restores the circuits from the replicated state and their counters from the routers' counter
reports. Its prefill placement starts empty and fills as attempts are decided.
"""

import random as random_module

import msgspec

from orchidpath.circuit.circuit_table import (
    CircuitTable,
    Decided,
    NeedsTransition,
    WorkerCircuitView,
)
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.placement.prefill_placement import PrefillPlacement
from orchidpath.state.commands import CapacityChanged, CircuitChanged
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import CapacityResult, CircuitResult
from orchidpath.wire.messages import (
    AttemptReports,
    AttemptReportsReply,
    CapacityObserved,
    CircuitsView,
    CounterReport,
    DecisionReply,
    DecisionRequest,
    Rejection,
)

PENDING_DECISION_SECONDS = 1.0
"""A request that has waited this long for a transition is dropped.

By then its router no longer waits for the decision.
"""


class _PendingDecision(msgspec.Struct, frozen=True):
    router_id: str
    request: DecisionRequest
    since: float


class AttemptDecisions:
    """Selects workers for attempts and counts the outcomes of attempts.

    Parameters
    ----------
    term
        Term of this leadership.
    state
        The replicated state, applied at least up to the first log entry of this leadership.
    random
        Random generator for jitter.
    output
        Collects the replies and proposals.
    now
        Start of this leadership, in monotonic seconds.
    """

    def __init__(
        self,
        term: int,
        state: FleetState,
        random: random_module.Random,
        output: ControlOutput,
        now: float,
    ) -> None:
        self._term = term
        self._state = state
        self._output = output
        self._prefill_placement = PrefillPlacement()
        self._circuits = CircuitTable(state.configuration.circuit, random, term=term)
        self._pending: list[_PendingDecision] = []
        self._workers_changed = False
        self._apply_policy()
        self._restore_circuits(now)

    def receive_request(self, router_id: str, request: DecisionRequest, now: float) -> None:
        """Decide one attempt and reply to its router.

        If the attempt would be a probe, the reply is sent only after the circuit's transition has
        been committed and applied.
        """
        self.refresh_workers()
        router = self._state.find_router(router_id)
        router_zone = router.zone if router is not None else ""
        request = self._prefill_placement.order_candidates(
            request, self._circuits.in_flight, now, router_zone
        )
        postponed_seconds = self._prefill_placement.postponed_seconds(request, now)
        if postponed_seconds > 0:
            self._output.send(router_id, self._postponed_reply(request, postponed_seconds))
            return
        decision = self._circuits.decide(request, now)
        if isinstance(decision, Decided):
            self._output.send(router_id, self._decided_reply(request, decision, now))
            return
        self._await_transition(router_id, request, decision, now)

    def receive_reports(self, router_id: str, reports: AttemptReports, now: float) -> None:
        """Count a batch of reports, propose the transitions that it causes, and acknowledge it."""
        self.refresh_workers()
        self._prefill_placement.record_reports(reports.reports, now)
        for transition in self._circuits.report(reports.reports, now):
            self._output.propose(CircuitChanged(transition=transition))
        self._output.send(
            router_id, AttemptReportsReply(sequence=reports.sequence, term=self._term)
        )

    def receive_counters(self, router_id: str, counters: CounterReport, now: float) -> None:
        """Merge a router's counters into those of the circuits, to rebuild them after a fail-over.

        A report for another term is ignored.
        """
        if counters.term == self._term:
            self.refresh_workers()
            self._circuits.rebuild(router_id, counters, now)

    def receive_capacity(self, observed: CapacityObserved, now: float) -> None:
        """Propose to open the capacity circuit of a failure domain.

        A router has derived from rejections and delays that the domain throttles requests.
        """
        self.refresh_workers()
        transition = self._circuits.observe_capacity(observed, now)
        if transition is not None:
            self._output.propose(CapacityChanged(transition=transition))

    def transition_applied(self, result: CircuitResult | CapacityResult, now: float) -> None:
        """Adopt the result of a committed transition, then decide the requests that waited."""
        self.refresh_workers()
        if isinstance(result, CapacityResult):
            if result.record is not None:
                self._circuits.apply_capacity(result.record, now)
            return
        if result.record is not None:
            self._circuits.apply_circuit(result.record, now)
        self._decide_pending(now)

    def revision_committed(self) -> None:
        """Adopt the policies of a new revision.

        The set of workers is refreshed later, by the next `refresh_workers`.
        """
        self._apply_policy()
        self._workers_changed = True

    def refresh_workers(self) -> None:
        """Update the set of workers in circuits and placement if a revision was committed.

        Any number of revisions since the last call costs one update.
        """
        if not self._workers_changed:
            return
        self._workers_changed = False
        workers = self._state.workers()
        self._circuits.set_workers(workers)
        self._prefill_placement.set_workers(frozenset(worker.worker_id for worker in workers))
        self._prefill_placement.set_zones({worker.worker_id: worker.zone for worker in workers})

    def drop_expired(self, now: float) -> None:
        """Drop pending requests that are older than ``PENDING_DECISION_SECONDS``."""
        self._pending = [
            pending for pending in self._pending if now - pending.since < PENDING_DECISION_SECONDS
        ]

    def in_flight(self, now: float) -> dict[str, int]:
        """Return the number of attempts in flight by worker id, as this leader counts them."""
        return {view.worker_id: view.in_flight for view in self._circuits.view(now)}

    def worker_circuits(self, now: float) -> tuple[WorkerCircuitView, ...]:
        """Return the circuit of every worker in the form that operators see."""
        return self._circuits.view(now)

    def circuits_view(self, sequence: int, now: float) -> CircuitsView:
        """Return the circuits in the form that is pushed to routers.

        ``sequence`` must be higher than that of the previous view of this leadership.
        """
        return self._circuits.circuits_view(now, term=self._term, sequence=sequence)

    def _restore_circuits(self, now: float) -> None:
        self._circuits.set_workers(self._state.workers())
        for circuit in self._state.circuits():
            self._circuits.apply_circuit(circuit, now)
        for capacity in self._state.capacities():
            self._circuits.apply_capacity(capacity, now)

    def _apply_policy(self) -> None:
        configuration = self._state.configuration
        admission = configuration.admission
        self._circuits.set_policy(
            configuration.circuit, admission.load_bound_factor, admission.load_bound_minimum
        )
        capacities = [service.engine.kv_capacity_tokens for service in configuration.services]
        self._prefill_placement.set_policy(configuration.placement)
        self._prefill_placement.set_capacity(max(capacities, default=0))

    def _postponed_reply(self, request: DecisionRequest, postponed_seconds: float) -> DecisionReply:
        return DecisionReply(
            correlation=request.correlation,
            term=self._term,
            rejection=Rejection.POSTPONED,
            retry_after_seconds=postponed_seconds,
        )

    def _decided_reply(
        self, request: DecisionRequest, decision: Decided, now: float
    ) -> DecisionReply:
        return msgspec.structs.replace(
            decision.reply,
            correlation=request.correlation,
            term=self._term,
            expected_read_seconds=self._prefill_placement.record_decision(
                request, decision.reply, now
            ),
        )

    def _await_transition(
        self, router_id: str, request: DecisionRequest, needed: NeedsTransition, now: float
    ) -> None:
        self._pending.append(_PendingDecision(router_id, request, now))
        self._output.propose(CircuitChanged(transition=needed.transition))

    def _decide_pending(self, now: float) -> None:
        waiting, self._pending = self._pending, []
        for pending in waiting:
            self.receive_request(pending.router_id, pending.request, now)


def not_leader_reply(request: DecisionRequest, term: int) -> DecisionReply:
    """Return the reply to a decision request that reached a process without a leader lease."""
    return DecisionReply(correlation=request.correlation, term=term, rejection=Rejection.NOT_LEADER)
