"""Builders for the circuit tests, and a circuit table whose proposals are committed at once."""

import random
from collections.abc import Sequence

from orchidpath.circuit.circuit_table import CircuitTable, Decided, NeedsTransition
from orchidpath.circuit.transitions import (
    CircuitTransition,
    apply_capacity_transition,
    apply_circuit_transition,
)
from orchidpath.circuit.worker_circuit import WorkerCircuit
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import (
    AttemptEffect,
    AttemptReport,
    CapacityObserved,
    DecisionReply,
    DecisionRequest,
    StageCandidates,
)
from orchidpath.wire.records import (
    CapacityRecord,
    CircuitRecord,
    CircuitStatus,
    Stage,
    WorkerRecord,
)

POLICY = CircuitPolicy()


def worker(
    worker_id: str, *, incarnation: str = "1", domain: str = "", stage: Stage = Stage.PLAIN
) -> WorkerRecord:
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service="service",
        stage=stage,
        url="http://127.0.0.1:1",
        failure_domain=domain,
    )


def stage_candidates(
    candidates: Sequence[str], tried: Sequence[str] = (), stage: Stage = Stage.PLAIN
) -> StageCandidates:
    return StageCandidates(stage=stage, candidates=tuple(candidates), tried=tuple(tried))


def request(attempt_id: str, *per_stage: StageCandidates, request_id: str = "") -> DecisionRequest:
    return DecisionRequest(
        correlation=1,
        request_id=request_id or f"request-of-{attempt_id}",
        attempt_id=attempt_id,
        service="service",
        per_stage=per_stage,
    )


def report(
    attempt_id: str,
    worker_id: str,
    effect: AttemptEffect,
    *,
    request_id: str = "",
    probe_generation: int | None = None,
) -> AttemptReport:
    return AttemptReport(
        request_id=request_id or f"request-of-{attempt_id}",
        attempt_id=attempt_id,
        worker_id=worker_id,
        effect=effect,
        probe_generation=probe_generation,
    )


def circuit_in(status: CircuitStatus, duration_seconds: float = 10.0) -> WorkerCircuit:
    """Return the circuit of worker "w" in a status, at generation 7 and after two reopenings."""
    circuit = WorkerCircuit("w")
    record = CircuitRecord(
        worker_id="w",
        status=status,
        generation=7,
        reopenings=2,
        duration_seconds=duration_seconds,
        probe_owner="owner" if status is CircuitStatus.HALF_OPEN else "",
    )
    circuit.accept(record, 0.0)
    return circuit


class AgreedTable:
    """Circuit table with the agreed records of a log that commits every proposal at once."""

    def __init__(self, workers: Sequence[WorkerRecord], policy: CircuitPolicy = POLICY) -> None:
        self.table = CircuitTable(policy, random.Random(1), term=1)
        self.table.set_workers(workers)
        self.circuits: dict[str, CircuitRecord] = {}
        self.capacities: dict[str, CapacityRecord] = {}
        self.attempts = 0

    def commit(self, transition: CircuitTransition, now: float) -> None:
        current = self.circuits.get(transition.worker_id)
        agreed = apply_circuit_transition(current, transition)
        self.circuits[transition.worker_id] = agreed
        self.table.apply_circuit(agreed, now)

    def decide(self, decision_request: DecisionRequest, now: float) -> DecisionReply:
        for _ in range(4):
            answer = self.table.decide(decision_request, now)
            if isinstance(answer, Decided):
                return answer.reply
            assert isinstance(answer, NeedsTransition)
            self.commit(answer.transition, now)
        raise AssertionError("no decision after four transitions")

    def choose(self, attempt_id: str, candidates: Sequence[str], now: float) -> str:
        choices = self.decide(request(attempt_id, stage_candidates(candidates)), now).choices
        return choices[0].worker_id if choices else ""

    def report(self, ended: AttemptReport, now: float) -> int:
        transitions = self.table.report([ended], now)
        for transition in transitions:
            self.commit(transition, now)
        return len(transitions)

    def attempt(
        self, worker_id: str, effect: AttemptEffect, now: float, request_id: str = ""
    ) -> int:
        """Run one attempt on one worker to its end; return the number of transitions it caused."""
        self.attempts += 1
        attempt_id = f"attempt-{self.attempts}"
        decision = request(attempt_id, stage_candidates([worker_id]), request_id=request_id)
        choices = self.decide(decision, now).choices
        generation = choices[0].probe_generation if choices else None
        ended = report(
            attempt_id,
            worker_id,
            effect,
            request_id=decision.request_id,
            probe_generation=generation,
        )
        return self.report(ended, now)

    def open(self, worker_id: str, now: float) -> None:
        for _ in range(POLICY.allowed_fails):
            self.attempt(worker_id, AttemptEffect.TRANSIENT, now)

    def throttle(self, domain: str, retry_after_seconds: float, now: float) -> bool:
        observed = CapacityObserved(failure_domain=domain, retry_after_seconds=retry_after_seconds)
        transition = self.table.observe_capacity(observed, now)
        if transition is None:
            return False
        agreed = apply_capacity_transition(self.capacities.get(domain), transition)
        self.capacities[domain] = agreed
        self.table.apply_capacity(agreed, now)
        return True

    def status(self, worker_id: str, now: float) -> str:
        views = {view.worker_id: view for view in self.table.view(now)}
        return views[worker_id].status.value

    def in_flight(self, worker_id: str, now: float) -> int:
        views = {view.worker_id: view for view in self.table.view(now)}
        return views[worker_id].in_flight

    def health(self, worker_id: str, now: float) -> float:
        views = {view.worker_id: view for view in self.table.view(now)}
        return views[worker_id].health
