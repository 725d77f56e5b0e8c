"""The control leader's circuits: read fresh by every decision.

Hot counters (attempts in flight, health, transient failures) are soft state of the leader and are
rebuilt from the routers' counters after a fail-over. Rare transitions are only proposed here; the
caller commits them through the replicated log and hands the agreed record back with
:meth:`CircuitTable.apply_circuit` and :meth:`CircuitTable.apply_capacity`, in log order. That
keeps transitions atomic and gives a probe one owner, also across a fail-over.

Sources: paper, "How each metric is measured" and "Circuit breakers and bounded retries"; design
page.
"""

import random
from collections.abc import Iterable, Sequence

from orchidpath.circuit.breaker import BreakerEvent
from orchidpath.circuit.counters import CircuitCounters
from orchidpath.circuit.decision_outcomes import Decided, NeedsTransition, WorkerCircuitView
from orchidpath.circuit.selection import (
    DEFAULT_LOAD_BOUND_FACTOR,
    MINIMUM_LOAD_ABOVE_AVERAGE,
    Selection,
    StageCircuits,
    select,
)
from orchidpath.circuit.transitions import CapacityTransition, CircuitTransition
from orchidpath.circuit.worker_circuit import Admission
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import (
    AttemptReport,
    CapacityObserved,
    CircuitsView,
    CounterReport,
    DecisionReply,
    DecisionRequest,
    WorkerTally,
)
from orchidpath.wire.records import (
    CapacityRecord,
    CircuitRecord,
    CircuitStatus,
    WorkerRecord,
)

__all__ = ["CircuitTable", "Decided", "NeedsTransition", "WorkerCircuitView"]


class CircuitTable:
    """Authoritative circuits of one leadership; a new term needs a new table.

    Parameters
    ----------
    policy
        Figures of the circuits.
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
        self._generator = generator
        self._term = term
        self._load_bound_factor = load_bound_factor
        self._load_bound_minimum = MINIMUM_LOAD_ABOVE_AVERAGE
        self._counters = CircuitCounters(policy)
        self._rebuilt_from: set[str] = set()

    def decide(self, request: DecisionRequest, now: float) -> Decided | NeedsTransition:
        """Decide one attempt from circuits read now, and register it when every leg has a choice.

        A duplicate of a request whose attempt is in flight gets the same choices.

        Parameters
        ----------
        request
            The attempt and the candidates of its legs.
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
        selection = select(per_stage, self._load_bound_factor, self._load_bound_minimum)
        transition = self._needed_transition(request.attempt_id, per_stage, selection)
        if transition is not None:
            return NeedsTransition(transition)
        choices = self._counters.register(request, selection, now)
        reply = DecisionReply(
            correlation=request.correlation,
            term=self._term,
            choices=choices,
            rejection=selection.rejection,
            retry_after_seconds=selection.retry_after_seconds,
            states=self._counters.states(per_stage, now),
        )
        return Decided(reply)

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
        """Take an agreed circuit. Records come in log order; a repeated one changes nothing.

        Parameters
        ----------
        record
            What :func:`~orchidpath.circuit.transitions.apply_circuit_transition` returned.
        now
            Monotonic time in seconds.
        """
        self._counters.roster.apply_circuit(record, now)

    def apply_capacity(self, record: CapacityRecord, now: float) -> None:
        """Take an agreed capacity circuit. Records come in log order; a repeat changes nothing.

        Parameters
        ----------
        record
            What :func:`~orchidpath.circuit.transitions.apply_capacity_transition` returned.
        now
            Monotonic time in seconds.
        """
        self._counters.capacities.take(record, now)

    def observe_capacity(self, observed: CapacityObserved, now: float) -> CapacityTransition | None:
        """Take a throttle that a router derived.

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

    def set_policy(
        self,
        policy: CircuitPolicy,
        load_bound_factor: float = DEFAULT_LOAD_BOUND_FACTOR,
        load_bound_minimum: float = MINIMUM_LOAD_ABOVE_AVERAGE,
    ) -> None:
        """Take new figures; running timers keep theirs.

        Parameters
        ----------
        policy
            Figures of the circuits.
        load_bound_factor
            Factor of the load bound.
        load_bound_minimum
            What a worker may always hold above the average.
        """
        self._counters.set_policy(policy)
        self._load_bound_factor = load_bound_factor
        self._load_bound_minimum = load_bound_minimum

    def set_workers(self, workers: Iterable[WorkerRecord]) -> None:
        """Take the roster, whole: workers that are not in it are never chosen.

        The counters of a worker that has gone or has a new process are forgotten; a circuit that
        was opened for an earlier process counts as closed. Draining and held workers stay known
        and are not chosen.

        Parameters
        ----------
        workers
            Every worker of the fleet.
        """
        for worker_id in self._counters.roster.set_workers(workers):
            self._counters.attempt_table.retire_worker(worker_id)

    def forget_circuit(self, worker_id: str) -> None:
        """Follow the log when it drops the agreed circuit of a worker.

        Parameters
        ----------
        worker_id
            The worker, whose next circuit starts at generation 0.
        """
        self._counters.roster.forget_circuit(worker_id)

    def rebuild(self, router_id: str, counters: CounterReport, now: float) -> None:
        """Merge a router's own counters into the soft state of a new leader, once for each router.

        A tally must not cover reports that the router will still send. The transient counts of
        several routers are not added up: a success between them would have cleared them.

        Parameters
        ----------
        router_id
            The router.
        counters
            Its counters; those meant for an earlier term are ignored.
        now
            Monotonic time in seconds.
        """
        self._counters.attempt_table.advance(now)
        if counters.term < self._term or router_id in self._rebuilt_from:
            return
        self._rebuilt_from.add(router_id)
        for mark in counters.in_flight:
            if self._counters.roster.get(mark.worker_id) is not None:
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
        views = [self._counters.view(worker, now) for worker in self._counters.roster]
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
            Grows with every view that a leader sends.

        Returns
        -------
        CircuitsView
            Circuits that have had a transition, and open capacity circuits.
        """
        circuits = tuple(
            worker.circuit.remaining(now)
            for worker in self._counters.roster
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
        """Return the transition that must be agreed before this selection may be replied."""
        chosen = {choice.candidate.worker_id for choice in selection.choices}
        for stage_candidates in per_stage:
            for candidate in stage_candidates.candidates:
                is_unused = candidate.worker_id not in chosen
                if candidate.admission is Admission.PROBE_OWNED and is_unused:
                    # Given back, or nobody could probe the worker until the grant runs out.
                    return self._propose(candidate.worker_id, BreakerEvent.PROBE_RETURNED)
        for choice in selection.choices:
            if choice.candidate.admission is Admission.PROBE_READY:
                worker_id = choice.candidate.worker_id
                return self._propose(worker_id, BreakerEvent.PROBE_GRANTED, attempt_id)
        return None

    def _propose(
        self, worker_id: str, event: BreakerEvent, attempt_id: str = ""
    ) -> CircuitTransition | None:
        worker = self._counters.roster.get(worker_id)
        if worker is None:
            return None
        policy = self._counters.policy
        return worker.circuit.propose(event, policy, self._generator, attempt_id)

    def _merge_tally(self, tally: WorkerTally, now: float) -> None:
        worker = self._counters.roster.get(tally.worker_id)
        if worker is None:
            return
        # The tally's attempts ended anywhere in the window: its middle is their mean age.
        ended_at = now - self._counters.policy.health_window_seconds / 2
        worker.health.add(tally.successes, tally.failures, ended_at)
        if worker.circuit.record.status is CircuitStatus.AVAILABLE:
            transients = max(worker.circuit.transient_failures, tally.consecutive_transients)
            worker.circuit.transient_failures = transients
