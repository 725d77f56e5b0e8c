"""The control leader's circuits, which every decision reads as they are now.

Hot counters (attempts in flight, health, transient failures) are soft state of the leader and are
rebuilt from the routers' counters after a fail-over. Rare transitions are only proposed here; the
caller commits them through the replicated log and applies the agreed record with
:meth:`CircuitTable.apply_circuit` and :meth:`CircuitTable.apply_capacity`, in log order. That
keeps transitions atomic and gives a probe one owner, also across a fail-over.

Sources: paper, "How each metric is measured" and "Circuit breakers and bounded retries"; design
page.
"""

import random
from collections.abc import Sequence

from orchidpath.circuit.breaker import BreakerEvent
from orchidpath.circuit.deciding_circuits import DecidingCircuits
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


class CircuitTable(DecidingCircuits):
    """Authoritative circuits of one leadership; a new term needs a new table.

    Parameters
    ----------
    policy
        Thresholds and durations of the circuits.
    generator
        Source of the jitter that proposals carry.
    term
        The leader's term, put into every reply.
    load_bound_factor
        Factor of the load bound; see :mod:`orchidpath.circuit.selection`.
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
        """Decide one attempt from the circuits as they are now.

        The attempt is registered in flight when every stage has a choice.

        A duplicate of a request whose attempt is in flight gets the same choices.

        Parameters
        ----------
        request
            The attempt and the candidates of each stage.
        now
            Monotonic time in seconds.

        Returns
        -------
        Decided | NeedsTransition
            The reply, or the transition to commit before asking again.
        """
        self._counters.attempt_table.advance(now)
        repeated = self._counters.repeated(request, self._term)
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
        """Return the attempts in flight on a worker."""
        return self._counters.attempt_table.in_flight.count(worker_id)

    def report(self, reports: Sequence[AttemptReport], now: float) -> list[CircuitTransition]:
        """Count how attempts ended; a repeated report changes nothing.

        Parameters
        ----------
        reports
            One for each attempt and worker.
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
        """Apply an agreed circuit. Records come in log order; a repeated one changes nothing.

        Parameters
        ----------
        record
            What :func:`~orchidpath.circuit.transitions.apply_circuit_transition` returned.
        now
            Monotonic time in seconds.
        """
        self._counters.registry.apply_circuit(record, now)

    def apply_capacity(self, record: CapacityRecord, now: float) -> None:
        """Apply an agreed capacity circuit. Records come in log order; a repeat changes nothing.

        Parameters
        ----------
        record
            What :func:`~orchidpath.circuit.transitions.apply_capacity_transition` returned.
        now
            Monotonic time in seconds.
        """
        self._counters.capacities.accept(record, now)

    def observe_capacity(self, observed: CapacityObserved, now: float) -> CapacityTransition | None:
        """Propose to open the capacity circuit of a domain that a router derived a throttle for.

        Parameters
        ----------
        observed
            The domain and the time after which it may be tried.
        now
            Monotonic time in seconds.

        Returns
        -------
        CapacityTransition | None
            The transition to commit; None while the domain's circuit is open.
        """
        return self._counters.capacities.propose(
            observed, self._counters.policy.max_cooldown_seconds, now
        )

    def forget_circuit(self, worker_id: str) -> None:
        """Drop the agreed circuit of a worker, as the log does.

        Parameters
        ----------
        worker_id
            The worker, whose next circuit starts at generation 0.
        """
        self._counters.registry.forget_circuit(worker_id)

    def rebuild(self, router_id: str, counters: CounterReport, now: float) -> None:
        """Merge a router's own counters into the soft state of a new leader, once for each router.

        A tally must not cover reports that the router will still send. The transient counts of
        several routers are not added up: a success between them would have cleared them.

        Parameters
        ----------
        router_id
            The router.
        counters
            Its counters; a report for an earlier term is ignored.
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
        """Return every worker's circuit for operators.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        tuple[WorkerCircuitView, ...]
            Sorted by worker.
        """
        self._counters.attempt_table.advance(now)
        views = [self._counters.view(worker, now) for worker in self._counters.registry]
        return tuple(sorted(views, key=lambda view: view.worker_id))

    def circuits_view(
        self, now: float, *, term: int | None = None, sequence: int = 0
    ) -> CircuitsView:
        """Return the agreed circuits with what remains of their durations, for the routers.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        term
            Term to send it under; the table's own by default.
        sequence
            Increases with every view that a leader sends.

        Returns
        -------
        CircuitsView
            Circuits that have had a transition, and open capacity circuits.
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
        """Return the transition that must be committed before this selection may be sent."""
        chosen = {choice.candidate.worker_id for choice in selection.choices}
        for stage_candidates in per_stage:
            for candidate in stage_candidates.candidates:
                is_unused = candidate.worker_id not in chosen
                if candidate.admission is Admission.PROBE_OWNED and is_unused:
                    # Returned, or nobody could probe the worker until the grant runs out.
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
        # The tally's attempts ended anywhere in the window: its middle is their mean age.
        ended_at = now - self._counters.policy.health_window_seconds / 2
        worker.health.add(tally.successes, tally.failures, ended_at)
        if worker.circuit.record.status is CircuitStatus.AVAILABLE:
            transients = max(worker.circuit.transient_failures, tally.consecutive_transients)
            worker.circuit.transient_failures = transients
