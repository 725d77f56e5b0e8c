"""Circuits, counters and capacity circuits, shared by the leader's table and the routers' fallback.

The leader's table decides on the agreed circuits, and a router's fallback on the circuits of the
last view. Both read candidates, register attempts and record their outcomes in the same way.
"""

import math
from collections.abc import Sequence

from orchidpath.circuit.attempt_table import AttemptTable
from orchidpath.circuit.breaker import BreakerEvent
from orchidpath.circuit.capacity import CapacityCircuits
from orchidpath.circuit.decision_outcomes import WorkerCircuitView
from orchidpath.circuit.in_flight import Registration
from orchidpath.circuit.registry import CircuitRegistry, TrackedWorker
from orchidpath.circuit.selection import Candidate, Selection, StageCircuits
from orchidpath.circuit.worker_circuit import Admission, AttemptOutcome
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import (
    AttemptReport,
    CandidateState,
    Choice,
    DecisionReply,
    DecisionRequest,
    Rejection,
    StageCandidates,
)
from orchidpath.wire.records import CircuitStatus

MILLISECONDS_PER_SECOND = 1000


class CircuitCounters:
    """All circuit state that a decision reads and that the end of an attempt changes.

    Parameters
    ----------
    policy
        Thresholds and durations of the circuits.
    """

    def __init__(self, policy: CircuitPolicy) -> None:
        self.policy = policy
        self.registry = CircuitRegistry(policy.health_window_seconds)
        self.attempt_table = AttemptTable(policy)
        self.capacities = CapacityCircuits()

    def set_policy(self, policy: CircuitPolicy) -> None:
        """Apply a new policy; timers that are running keep their durations.

        Parameters
        ----------
        policy
            Thresholds and durations of the circuits.
        """
        self.policy = policy
        self.attempt_table.in_flight.ttl_seconds = policy.in_flight_ttl_seconds
        self.registry.set_health_window(policy.health_window_seconds)

    def repeated_reply(self, request: DecisionRequest, term: int) -> DecisionReply | None:
        """Return the reply to a duplicate of a decision request.

        The attempt is not registered a second time.

        Parameters
        ----------
        request
            The decision request.
        term
            Term of the reply.

        Returns
        -------
        DecisionReply | None
            The same choices while the attempt is in flight, a rejection once it has ended, and
            None when the attempt is new.
        """
        choices = self.attempt_table.in_flight.choices(request.attempt_id)
        is_over = not choices and self.attempt_table.has_ended(request.attempt_id)
        if not choices and not is_over:
            return None
        return DecisionReply(
            correlation=request.correlation,
            term=term,
            choices=choices,
            rejection=Rejection.EXHAUSTED if is_over else Rejection.NONE,
        )

    def read_stage_candidates(
        self, stage_candidates: StageCandidates, attempt_id: str, now: float
    ) -> StageCircuits:
        """Return the candidates of one stage that are registered and eligible for new requests.

        Parameters
        ----------
        stage_candidates
            Candidates in preference order.
        attempt_id
            The requesting attempt.
        now
            Monotonic time in seconds.

        Returns
        -------
        StageCircuits
            The current state of the candidates, in preference order.
        """
        tried = frozenset(stage_candidates.tried)
        candidates: list[Candidate] = []
        for worker_id in stage_candidates.candidates:
            worker = self.registry.get(worker_id)
            if worker is None or not worker.eligible:
                continue
            candidate = Candidate(
                worker_id=worker_id,
                admission=worker.circuit.admission(attempt_id, now),
                tried=worker_id in tried,
                in_flight=self.attempt_table.in_flight.count(worker_id),
                circuit_wait_seconds=worker.circuit.wait_seconds(now),
                capacity_wait_seconds=self.capacities.wait_seconds(worker.domain, now),
            )
            candidates.append(candidate)
        return StageCircuits(stage_candidates.stage, tuple(candidates))

    def register(
        self, request: DecisionRequest, selection: Selection, now: float
    ) -> tuple[Choice, ...]:
        """Register an attempt as in flight on every chosen worker.

        Parameters
        ----------
        request
            The decision request.
        selection
            The chosen workers; a rejection registers nothing.
        now
            Monotonic time in seconds.

        Returns
        -------
        tuple[Choice, ...]
            The choices of the reply.
        """
        choices: list[Choice] = []
        registrations: list[Registration] = []
        for chosen in selection.choices:
            worker_id = chosen.candidate.worker_id
            generation = self.generation(worker_id)
            is_probe = chosen.candidate.admission is Admission.PROBE_OWNED
            choice = Choice(
                stage=chosen.stage,
                worker_id=worker_id,
                probe_generation=generation if is_probe else None,
            )
            choices.append(choice)
            registrations.append(Registration(worker_id=worker_id, generation=generation))
        if choices:
            self.attempt_table.in_flight.register(
                request.request_id,
                request.attempt_id,
                registrations,
                now,
                choices=tuple(choices),
            )
        return tuple(choices)

    def generation(self, worker_id: str) -> int | None:
        """Return the generation of a worker's circuit.

        Parameters
        ----------
        worker_id
            The worker.

        Returns
        -------
        int | None
            None when the worker is not registered.
        """
        worker = self.registry.get(worker_id)
        return worker.circuit.record.generation if worker is not None else None

    def count(
        self, report: AttemptReport, now: float, *, probe_generation: int | None
    ) -> BreakerEvent | None:
        """Record how an attempt ended on a worker.

        Parameters
        ----------
        report
            The report; a repeated report changes nothing.
        now
            Monotonic time in seconds.
        probe_generation
            Fencing token of the worker's probe that the attempt ran; None when it ran no probe.

        Returns
        -------
        BreakerEvent | None
            The event that the outcome causes on the worker's circuit; None when it causes none.
        """
        if not self.attempt_table.end(report):
            return None
        registration = self.attempt_table.release(report)
        worker = self.registry.get(report.worker_id)
        if worker is None:
            return None
        worker.health.record(report.effect, now)
        started_generation = registration.generation if registration is not None else None
        if started_generation is None:
            # The attempt was registered by an earlier leader, or its registration has expired. The
            # fencing token, if any, is then the generation that the attempt started on.
            started_generation = report.probe_generation
        outcome = AttemptOutcome(
            attempt_id=report.attempt_id,
            effect=report.effect,
            probe_generation=probe_generation,
            started_generation=started_generation,
            charged_before=self.attempt_table.is_counted(report),
        )
        failures_before = worker.circuit.transient_failures
        event = worker.circuit.record_outcome(outcome, self.policy.allowed_fails, now)
        if worker.circuit.transient_failures > failures_before:
            self.attempt_table.mark_counted(report)
        return event

    def states(self, per_stage: Sequence[StageCircuits], now: float) -> tuple[CandidateState, ...]:
        """Return the state of the candidates of a decision, for the reply.

        Parameters
        ----------
        per_stage
            The candidates of each stage, as read for the decision.
        now
            Monotonic time in seconds.

        Returns
        -------
        tuple[CandidateState, ...]
            One state for each candidate, in the order of stages and candidates.
        """
        states: list[CandidateState] = []
        for stage_candidates in per_stage:
            for candidate in stage_candidates.candidates:
                worker = self.registry.get(candidate.worker_id)
                if worker is not None:
                    states.append(self._state(worker, candidate, now))
        return tuple(states)

    def view(self, worker: TrackedWorker, now: float) -> WorkerCircuitView:
        """Return a worker's circuit, as shown to operators.

        Parameters
        ----------
        worker
            The worker.
        now
            Monotonic time in seconds.

        Returns
        -------
        WorkerCircuitView
            The status, counters and remaining wait of the circuit.
        """
        record = worker.circuit.record
        capacity_wait_seconds = self.capacities.wait_seconds(worker.domain, now)
        wait_seconds = max(worker.circuit.wait_seconds(now), capacity_wait_seconds)
        return WorkerCircuitView(
            worker_id=record.worker_id,
            status=_status(worker, capacity_wait_seconds, now),
            retry_after_ms=math.ceil(wait_seconds * MILLISECONDS_PER_SECOND),
            health=worker.health.score(now),
            in_flight=self.attempt_table.in_flight.count(record.worker_id),
            transient_failures=worker.circuit.transient_failures,
            generation=record.generation,
            probe_owner=record.probe_owner,
        )

    def _state(self, worker: TrackedWorker, candidate: Candidate, now: float) -> CandidateState:
        wait_seconds = max(candidate.circuit_wait_seconds, candidate.capacity_wait_seconds)
        return CandidateState(
            worker_id=candidate.worker_id,
            status=_status(worker, candidate.capacity_wait_seconds, now).value,
            health=worker.health.score(now),
            in_flight=candidate.in_flight,
            retry_after_seconds=wait_seconds,
        )


def _status(worker: TrackedWorker, capacity_wait_seconds: float, now: float) -> CircuitStatus:
    status = worker.circuit.status(now)
    if status is CircuitStatus.AVAILABLE and capacity_wait_seconds > 0:
        return CircuitStatus.RATE_LIMITED
    return status
