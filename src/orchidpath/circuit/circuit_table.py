"""Circuit table of the control leader; every decision reads its current state.

Frequently updated counters (attempts in flight, health, transient failures) are soft state of the
leader and are rebuilt from the routers' counters after a fail-over. Circuit transitions are rare.
This module only proposes them: the caller commits a transition through the replicated log and
applies the agreed record with :meth:`CircuitTable.apply_circuit` or
:meth:`CircuitTable.apply_capacity`, in log order. Transitions are therefore atomic, and a probe
has exactly one owner, also across a fail-over.

Sources: paper, "How each metric is measured" and "Circuit breakers and bounded retries"; design
page.
"""

import random
from collections.abc import Sequence

from orchidpath.circuit.base_circuits import BaseCircuits
from orchidpath.circuit.breaker import BreakerEvent
from orchidpath.circuit.decision_outcomes import Decided, NeedsTransition, WorkerCircuitView
from orchidpath.circuit.selection import DEFAULT_LOAD_BOUND_FACTOR, Selection, StageCircuits
from orchidpath.circuit.transitions import CapacityTransition, CircuitTransition
from orchidpath.circuit.worker_circuit import Admission
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import (
    AttemptReport,
    CapacityObserved,
    CircuitsView,
    CounterReport,
    DecisionRequest,
    WorkerTally,
)
from orchidpath.wire.records import (
    CapacityRecord,
    CircuitRecord,
    CircuitStatus,
)

__all__ = ["CircuitTable", "Decided", "NeedsTransition", "WorkerCircuitView"]


class CircuitTable(BaseCircuits):
    """Authoritative circuits of the leader for one term; each new term creates a new table.

    Parameters
    ----------
    policy
        Thresholds and durations of the circuits.
    generator
        Random source of the jitter that proposals contain.
    term
        The leader's term, which every reply contains.
    load_bound_factor
        Multiple of the average number of attempts in flight that a worker may have; see
        :mod:`orchidpath.circuit.selection`.
    """

    def __init__(
        self,
        policy: CircuitPolicy,
        generator: random.Random,
        *,
        term: int = 0,
        load_bound_factor: float = DEFAULT_LOAD_BOUND_FACTOR,
    ) -> None:
        super().__init__(policy, generator, load_bound_factor)
        self._term = term
        self._rebuilt_from: set[str] = set()

    def decide(self, request: DecisionRequest, now: float) -> Decided | NeedsTransition:
        """Select the workers of one attempt from the current circuits.

        The attempt is registered as in flight when a worker could be chosen for every stage. A
        duplicate of a request whose attempt is in flight receives the same choices.

        Parameters
        ----------
        request
            The attempt and the candidates of each stage.
        now
            Monotonic time in seconds.

        Returns
        -------
        Decided | NeedsTransition
            The reply, or the transition that the caller must commit before it calls again.
        """
        self._counters.attempt_table.advance(now)
        repeated = self._counters.repeated_reply(request, self._term)
        if repeated is not None:
            return Decided(repeated)
        per_stage = [
            self._counters.read_stage_candidates(stage_candidates, request.attempt_id, now)
            for stage_candidates in request.per_stage
        ]
        selection = self._select(per_stage)
        transition = self._needed_transition(request.attempt_id, per_stage, selection)
        if transition is not None:
            return NeedsTransition(transition)
        return Decided(self._register(request, self._term, per_stage, selection, now))

    def in_flight(self, worker_id: str) -> int:
        """Return the number of attempts in flight on a worker."""
        return self._counters.attempt_table.in_flight.count(worker_id)

    def report(self, reports: Sequence[AttemptReport], now: float) -> list[CircuitTransition]:
        """Record how attempts ended and propose the transitions that follow.

        A repeated report changes nothing.

        Parameters
        ----------
        reports
            One report for each attempt and worker.
        now
            Monotonic time in seconds.

        Returns
        -------
        list[CircuitTransition]
            Transitions to commit through the log.
        """
        self._counters.attempt_table.advance(now)
        transitions: list[CircuitTransition] = []
        for report in reports:
            event = self._counters.count(report, now, probe_generation=report.probe_generation)
            if event is None:
                continue
            transition = self._propose(report.worker_id, event)
            if transition is not None:
                transitions.append(transition)
        return transitions

    def apply_circuit(self, record: CircuitRecord, now: float) -> None:
        """Apply a circuit record that the log has committed.

        Records must be applied in log order. A repeated record changes nothing.

        Parameters
        ----------
        record
            The result of :func:`~orchidpath.circuit.transitions.apply_circuit_transition`.
        now
            Monotonic time in seconds.
        """
        self._counters.registry.apply_circuit(record, now)

    def apply_capacity(self, record: CapacityRecord, now: float) -> None:
        """Apply a capacity circuit record that the log has committed.

        Records must be applied in log order. A repeated record changes nothing.

        Parameters
        ----------
        record
            The result of :func:`~orchidpath.circuit.transitions.apply_capacity_transition`.
        now
            Monotonic time in seconds.
        """
        self._counters.capacities.accept(record, now)

    def observe_capacity(self, observed: CapacityObserved, now: float) -> CapacityTransition | None:
        """Propose to open the capacity circuit of a failure domain that a router found throttled.

        Parameters
        ----------
        observed
            The failure domain and the time in seconds after which it may be tried again.
        now
            Monotonic time in seconds.

        Returns
        -------
        CapacityTransition | None
            The transition to commit; None while the domain's capacity circuit is already open or
            when the observed time is not finite and positive.
        """
        return self._counters.capacities.propose(
            observed, self._counters.policy.max_cooldown_seconds, now
        )

    def remove_circuit(self, worker_id: str) -> None:
        """Remove the agreed circuit of a worker after the log has removed its record.

        The worker's next circuit starts at generation 0.

        Parameters
        ----------
        worker_id
            The worker.
        """
        self._counters.registry.remove_circuit(worker_id)

    def rebuild(self, router_id: str, counters: CounterReport, now: float) -> None:
        """Merge a router's counters into the soft state of a new leader, once for each router.

        A tally must not include attempts whose reports the router will still send, because these
        would count twice. The transient failure counts of several routers are not added up (the
        largest one applies): a success between the failures would have cleared the count.

        Parameters
        ----------
        router_id
            The router.
        counters
            The router's counters; a report for an earlier term is ignored.
        now
            Monotonic time in seconds.
        """
        self._counters.attempt_table.advance(now)
        if counters.term < self._term or router_id in self._rebuilt_from:
            return
        self._rebuilt_from.add(router_id)
        for mark in counters.in_flight:
            if self._counters.registry.get(mark.worker_id) is not None:
                self._counters.attempt_table.restore(mark)
        for tally in counters.tallies:
            self._merge_tally(tally, now)

    def view(self, now: float) -> tuple[WorkerCircuitView, ...]:
        """Return the circuit of every worker, as shown to operators.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        tuple[WorkerCircuitView, ...]
            One view for each worker, sorted by worker id.
        """
        self._counters.attempt_table.advance(now)
        views = [self._counters.view(worker, now) for worker in self._counters.registry]
        return tuple(sorted(views, key=lambda view: view.worker_id))

    def circuits_view(
        self, now: float, *, term: int | None = None, sequence: int = 0
    ) -> CircuitsView:
        """Return the agreed circuits with their remaining durations, to push to the routers.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        term
            Term of the view; the table's own term by default.
        sequence
            Sequence number of the view, which increases with every view that a leader sends.

        Returns
        -------
        CircuitsView
            The circuits that have had at least one transition, and the open capacity circuits.
        """
        circuits = tuple(
            worker.circuit.remaining(now)
            for worker in self._counters.registry
            if worker.circuit.record.generation > 0
        )
        return CircuitsView(
            term=self._term if term is None else term,
            sequence=sequence,
            circuits=circuits,
            capacities=self._counters.capacities.remaining(now),
        )

    def _needed_transition(
        self, attempt_id: str, per_stage: Sequence[StageCircuits], selection: Selection
    ) -> CircuitTransition | None:
        """Return the transition to commit before the selection may be sent, or None."""
        chosen = {choice.candidate.worker_id for choice in selection.choices}
        for stage_candidates in per_stage:
            for candidate in stage_candidates.candidates:
                is_unused = candidate.worker_id not in chosen
                if candidate.admission is Admission.PROBE_OWNED and is_unused:
                    # If the probe were not returned, no attempt could probe the worker until the
                    # grant expires.
                    return self._propose(candidate.worker_id, BreakerEvent.PROBE_RETURNED)
        for choice in selection.choices:
            if choice.candidate.admission is Admission.PROBE_READY:
                worker_id = choice.candidate.worker_id
                return self._propose(worker_id, BreakerEvent.PROBE_GRANTED, attempt_id)
        return None

    def _merge_tally(self, tally: WorkerTally, now: float) -> None:
        worker = self._counters.registry.get(tally.worker_id)
        if worker is None:
            return
        # The attempts of the tally ended at unknown times within the window, so their mean age is
        # estimated as half the window.
        ended_at = now - self._counters.policy.health_window_seconds / 2
        worker.health.add(tally.successes, tally.failures, ended_at)
        if worker.circuit.record.status is CircuitStatus.AVAILABLE:
            transients = max(worker.circuit.transient_failures, tally.consecutive_transients)
            worker.circuit.transient_failures = transients
