"""Properties of the circuit table under any sequence of decisions, reports, repeats and losses."""

import math
from collections.abc import Sequence

import msgspec
from circuit_builders import POLICY, AgreedTable, request, stage_candidates, worker
from circuit_builders import report as report_of
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from orchidpath.circuit.circuit_table import Decided, NeedsTransition
from orchidpath.circuit.selection import Candidate, StageCircuits, select
from orchidpath.circuit.worker_circuit import Admission
from orchidpath.wire.messages import AttemptEffect, AttemptReport, DecisionRequest
from orchidpath.wire.records import CircuitRecord, CircuitStatus, Stage

WORKERS = ("a", "b")
SENSITIVE_POLICY = msgspec.structs.replace(POLICY, allowed_fails=2)
RETENTION_SECONDS = 600.0
OPEN = {CircuitStatus.COOLDOWN, CircuitStatus.QUARANTINED}
ORDERS = st.sampled_from([("a",), ("a", "b"), ("b", "a")])
EFFECTS = st.sampled_from([AttemptEffect.TRANSIENT] * 4 + list(AttemptEffect))


class Attempt:
    """Attempt as recorded by the model."""

    def __init__(self, request_id: str, attempt_id: str, worker_id: str, at: float) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.worker_id = worker_id
        self.started_at = at
        self.probe_generation: int | None = None
        self.started_generation = 0

    def end_report(self, effect: AttemptEffect) -> AttemptReport:
        return report_of(
            self.attempt_id,
            self.worker_id,
            effect,
            request_id=self.request_id,
            probe_generation=self.probe_generation,
        )


class TableMachine(RuleBasedStateMachine):
    """State machine that checks the table against a model.

    The model records only requests and committed transitions.
    """

    def __init__(self) -> None:
        super().__init__()
        self.agreed = AgreedTable([worker(name) for name in WORKERS], SENSITIVE_POLICY)
        self.now = 0.0
        self.number = 0
        self.running: list[Attempt] = []
        self.ended: list[AttemptReport] = []
        self.attempts = 0
        self.probes: dict[str, list[tuple[int, float]]] = {name: [] for name in WORKERS}
        self.charged_at: dict[tuple[str, str], float] = {}

    @rule(seconds=st.sampled_from([0.1, 11.0, 11.0, 25.0, 31.0, 121.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(order=ORDERS, same_request=st.booleans())
    def decide(self, order: Sequence[str], same_request: bool) -> None:
        self.number += not same_request
        self.attempts += 1
        attempt_id = f"attempt-{self.attempts}"
        self.request_decision(
            request(attempt_id, stage_candidates(order), request_id=f"request-{self.number}")
        )

    @rule(order=ORDERS)
    def race(self, order: Sequence[str]) -> None:
        """Let two attempts request a decision before the transition of either is committed."""
        self.number += 1
        self.attempts += 2
        decisions = [
            request(
                f"attempt-{number}", stage_candidates(order), request_id=f"request-{self.number}"
            )
            for number in (self.attempts - 1, self.attempts)
        ]
        answers = [self.agreed.table.decide(decision, self.now) for decision in decisions]
        for answer in answers:
            if isinstance(answer, NeedsTransition):
                self.commit(answer)
        for decision in decisions:
            self.request_decision(decision)

    @rule(order=ORDERS)
    def lose_grant(self, order: Sequence[str]) -> None:
        """Commit the transition that a decision needs; the attempt never repeats its request.

        If the transition grants a probe, the owner of the probe never reports.
        """
        self.attempts += 1
        answer = self.agreed.table.decide(
            request(f"attempt-{self.attempts}", stage_candidates(order)), self.now
        )
        if isinstance(answer, NeedsTransition):
            self.commit(answer)
        else:
            self.start(request(f"attempt-{self.attempts}", stage_candidates(order)), answer)

    def request_decision(self, decision: DecisionRequest) -> None:
        answer = self.agreed.table.decide(decision, self.now)
        if isinstance(answer, NeedsTransition):
            self.commit(answer)
            answer = self.agreed.table.decide(decision, self.now)
        assert isinstance(answer, Decided)
        self.start(decision, answer)

    def start(self, decision: DecisionRequest, answer: Decided) -> None:
        for choice in answer.reply.choices:
            attempt = Attempt(decision.request_id, decision.attempt_id, choice.worker_id, self.now)
            attempt.probe_generation = choice.probe_generation
            self.begin(attempt)

    def commit(self, answer: NeedsTransition) -> None:
        worker_id = answer.transition.worker_id
        before = self.agreed.circuits.get(worker_id)
        self.agreed.commit(answer.transition, self.now)
        record = self.agreed.circuits[worker_id]
        if record != before and record.status is CircuitStatus.HALF_OPEN:
            self.take_probe(worker_id, record)

    def take_probe(self, worker_id: str, record: CircuitRecord) -> None:
        """Record a granted probe and check that no other probe of the worker is still valid."""
        for generation, until in self.probes[worker_id]:
            assert generation < record.generation
            assert until <= self.now
        until = self.now + record.duration_seconds
        self.probes[worker_id].append((record.generation, until))

    def begin(self, attempt: Attempt) -> None:
        record = self.agreed.circuits.get(attempt.worker_id)
        is_closed = record is None or record.status is CircuitStatus.AVAILABLE
        attempt.started_generation = record.generation if record is not None else 0
        if not is_closed:
            assert record is not None
            assert record.status is CircuitStatus.HALF_OPEN
            assert record.probe_owner == attempt.attempt_id
            assert attempt.probe_generation == record.generation
        self.running.append(attempt)

    @rule(name=st.sampled_from(WORKERS))
    def open_circuit(self, name: str) -> None:
        for _ in range(SENSITIVE_POLICY.allowed_fails):
            self.run_one(name, AttemptEffect.TRANSIENT)

    @rule(name=st.sampled_from(WORKERS), effect=EFFECTS)
    def probe(self, name: str, effect: AttemptEffect) -> None:
        self.now += POLICY.cooldown_seconds
        self.run_one(name, effect)

    def run_one(self, name: str, effect: AttemptEffect) -> None:
        running_before = len(self.running)
        self.decide([name], same_request=False)
        if len(self.running) > running_before:
            self.finish(self.running[-1], effect)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), effect=EFFECTS)
    def end(self, data: st.DataObject, effect: AttemptEffect) -> None:
        self.finish(data.draw(st.sampled_from(self.running)), effect)

    def finish(self, attempt: Attempt, effect: AttemptEffect) -> None:
        self.running.remove(attempt)
        self.ended.append(attempt.end_report(effect))
        before = self.agreed.circuits.get(attempt.worker_id)
        is_counted = self.count(self.ended[-1], repeated=False)
        is_registered = attempt.started_at + POLICY.in_flight_ttl_seconds > self.now
        if is_counted and is_registered:
            # The failure of an attempt started on an earlier generation is late and not counted.
            assert attempt.started_generation == (before.generation if before is not None else 0)

    @precondition(lambda self: self.ended)
    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        self.count(data.draw(st.sampled_from(self.ended)), repeated=True)

    def count(self, ended: AttemptReport, *, repeated: bool) -> bool:
        """Report an attempt; return whether it was counted as a failure of a closed circuit."""
        worker_id = ended.worker_id
        before = self.agreed.circuits.get(worker_id)
        failures_before = self.failures(worker_id)
        view_before = self.agreed.table.view(self.now)
        count = self.agreed.report(ended, self.now)
        after = self.agreed.circuits.get(worker_id)
        if repeated:
            assert count == 0
            assert self.agreed.table.view(self.now) == view_before
        if before is not None and before.status in OPEN:
            # A late failure never extends the opening, and a late success never closes the circuit.
            assert after == before
        if before is not None and before.status is CircuitStatus.HALF_OPEN and after != before:
            assert before.probe_owner == ended.attempt_id
            has_expired = self.probes[worker_id][-1][1] <= self.now
            assert ended.effect is AttemptEffect.SUCCESS or not has_expired
            self.release_probe(worker_id, before.generation)
        is_closed = before is None or before.status is CircuitStatus.AVAILABLE
        is_failure = ended.effect is AttemptEffect.TRANSIENT
        has_opened = is_closed and is_failure and count == 1
        is_counted = has_opened or self.failures(worker_id) > failures_before
        if is_counted:
            # A failure counts at most once for each request and worker in the retention time.
            key = (ended.request_id, worker_id)
            assert self.now - self.charged_at.get(key, -math.inf) >= RETENTION_SECONDS
            self.charged_at[key] = self.now
        return is_counted

    def release_probe(self, worker_id: str, generation: int) -> None:
        self.probes[worker_id] = [
            probe for probe in self.probes[worker_id] if probe[0] != generation
        ]

    def failures(self, worker_id: str) -> int:
        views = {view.worker_id: view for view in self.agreed.table.view(self.now)}
        return views[worker_id].transient_failures

    @invariant()
    def in_flight_never_leaks(self) -> None:
        unexpired = [
            attempt.worker_id
            for attempt in self.running
            if attempt.started_at + POLICY.in_flight_ttl_seconds > self.now
        ]
        for name in WORKERS:
            assert self.agreed.in_flight(name, self.now) == unexpired.count(name)

    @invariant()
    def health_is_a_share(self) -> None:
        for view in self.agreed.table.view(self.now):
            assert 0.0 <= view.health <= 1.0
            assert view.transient_failures < SENSITIVE_POLICY.allowed_fails


TableMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestTableMachine = TableMachine.TestCase


@given(
    loads=st.lists(st.integers(0, 50), min_size=1, max_size=12),
    factor=st.floats(1.0, 3.0),
)
@settings(deadline=None, derandomize=True)
def test_ring_order_is_kept_unless_a_worker_is_over_the_bound(
    loads: list[int], factor: float
) -> None:
    candidates = tuple(
        Candidate(
            worker_id=str(position),
            admission=Admission.CLOSED,
            tried=False,
            in_flight=load,
            circuit_wait_seconds=0.0,
            capacity_wait_seconds=0.0,
        )
        for position, load in enumerate(loads)
    )
    selection = select([StageCircuits(Stage.PLAIN, candidates)], factor)
    chosen = int(selection.choices[0].candidate.worker_id)
    average = sum(loads) / len(loads)
    bound = max(average * factor, average + 1.0)
    assert loads[chosen] < bound
    assert all(load >= bound for load in loads[:chosen])
