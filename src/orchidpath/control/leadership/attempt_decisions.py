"""Decisions on attempts: circuits, prefill placement and requests that wait for a transition; pure.

The circuits' counters and the view of placement are soft state: a successor rebuilds them from the
replicated circuits and the routers' counter reports.
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
"""A decision that waits for a transition this long is dropped; the router has gone on by then."""


class _PendingDecision(msgspec.Struct, frozen=True):
    router_id: str
    request: DecisionRequest
    since: float


class AttemptDecisions:
    """Decides attempts and counts their outcomes.

    Parameters
    ----------
    term
        Term of this leadership.
    state
        The replicated state, complete up to this leadership's first entry.
    random
        Source of jitter.
    output
        Where replies and proposals go.
    now
        Start of this leadership, monotonic seconds.
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
        """Decide one attempt, after a committed transition if it would be a probe."""
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
        """Count reports, propose the transitions they cause, and acknowledge them."""
        self.refresh_workers()
        self._prefill_placement.record_reports(reports.reports, now)
        for transition in self._circuits.report(reports.reports, now):
            self._output.propose(CircuitChanged(transition=transition))
        self._output.send(
            router_id, AttemptReportsReply(sequence=reports.sequence, term=self._term)
        )

    def receive_counters(self, router_id: str, counters: CounterReport, now: float) -> None:
        """Rebuild the hot counters from a router's own part of them."""
        if counters.term == self._term:
            self.refresh_workers()
            self._circuits.rebuild(router_id, counters, now)

    def receive_capacity(self, observed: CapacityObserved, now: float) -> None:
        """Open a failure domain's capacity circuit on a router's derived throttle."""
        self.refresh_workers()
        transition = self._circuits.observe_capacity(observed, now)
        if transition is not None:
            self._output.propose(CapacityChanged(transition=transition))

    def transition_applied(self, result: CircuitResult | CapacityResult, now: float) -> None:
        """Follow an applied transition and decide the requests that waited for one."""
        self.refresh_workers()
        if isinstance(result, CapacityResult):
            if result.record is not None:
                self._circuits.apply_capacity(result.record, now)
            return
        if result.record is not None:
            self._circuits.apply_circuit(result.record, now)
        self._decide_pending(now)

    def revision_committed(self) -> None:
        """Adopt the policies of a new revision; its workers are looked at when next needed."""
        self._apply_policy()
        self._workers_changed = True

    def refresh_workers(self) -> None:
        """Bring circuits and placement up to date, once for all revisions since the last call."""
        if not self._workers_changed:
            return
        self._workers_changed = False
        workers = self._state.workers()
        self._circuits.set_workers(workers)
        self._prefill_placement.set_workers(frozenset(worker.worker_id for worker in workers))
        self._prefill_placement.set_zones({worker.worker_id: worker.zone for worker in workers})

    def drop_expired(self, now: float) -> None:
        """Drop requests whose router no longer waits for the decision."""
        self._pending = [
            pending for pending in self._pending if now - pending.since < PENDING_DECISION_SECONDS
        ]

    def in_flight(self, now: float) -> dict[str, int]:
        """Return the attempts in flight by worker id."""
        return {view.worker_id: view.in_flight for view in self._circuits.view(now)}

    def worker_circuits(self, now: float) -> tuple[WorkerCircuitView, ...]:
        """Return the operators' view of the circuits."""
        return self._circuits.view(now)

    def circuits_view(self, sequence: int, now: float) -> CircuitsView:
        """Return the routers' view of the circuits under a sequence that rises with each one."""
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
    """Answer a decision request that this process may not decide."""
    return DecisionReply(correlation=request.correlation, term=term, rejection=Rejection.NOT_LEADER)
