"""Replay of logs written with the leader's circuit table.

The attempts of a second router reach the leader but are not in the log.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.circuit.circuit_table import CircuitTable, Decided
from orchidpath.circuit.transitions import apply_circuit_transition
from orchidpath.routing.decision_log import (
    DecidedBy,
    DecisionLine,
    DroppedLine,
    LogLine,
    PolicyLine,
    ReportLine,
    encode_line,
)
from orchidpath.tools.decision_replay import DifferenceKind, ReplayPolicy, ReplayResult, replay_log
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import (
    AttemptEffect,
    AttemptReport,
    DecisionReply,
    DecisionRequest,
    StageCandidates,
)
from orchidpath.wire.records import CircuitRecord, Stage, WorkerRecord

POLICY = CircuitPolicy()
LOAD_BOUND = 1.25
WORKERS = ("s1", "s2", "s3")


class LoggedLeader:
    """A leader that commits transitions immediately, and the decision log of one router."""

    def __init__(self, policy: CircuitPolicy = POLICY, seed: int = 0) -> None:
        self.table = CircuitTable(policy, random.Random(seed), load_bound_factor=LOAD_BOUND)
        self.table.set_workers(
            WorkerRecord(
                worker_id=name, incarnation="1", service="stock", stage=Stage.PLAIN, url="http://x"
            )
            for name in WORKERS
        )
        self.circuits: dict[str, CircuitRecord] = {}
        self.lines: list[LogLine] = [policy_line(policy)]
        self.count = 0

    def attempt(
        self,
        effect: AttemptEffect,
        now: float,
        *,
        order: tuple[str, ...] = WORKERS,
        log: bool = True,
    ) -> str:
        """Run one attempt; return the id of the chosen worker, or an empty string if rejected."""
        self.count += 1
        attempt_id = f"a{self.count}"
        request = DecisionRequest(
            correlation=0,
            request_id=f"r{self.count}",
            attempt_id=attempt_id,
            service="stock",
            per_stage=(StageCandidates(stage=Stage.PLAIN, candidates=order),),
        )
        reply = self._decide(request, now)
        if log:
            self.lines.append(decision_line(request, reply, now))
        for choice in reply.choices:
            report = AttemptReport(
                request_id=request.request_id,
                attempt_id=attempt_id,
                worker_id=choice.worker_id,
                effect=effect,
                probe_generation=choice.probe_generation,
            )
            if log:
                self.lines.append(report_line(report, now))
            for transition in self.table.report([report], now):
                self._apply_transition(transition, now)
        return reply.choices[0].worker_id if reply.choices else ""

    def hold(self, worker_id: str, now: float) -> None:
        """Start an attempt of another router on a worker and leave it in flight."""
        self.count += 1
        request = DecisionRequest(
            correlation=0,
            request_id=f"r{self.count}",
            attempt_id=f"a{self.count}",
            service="stock",
            per_stage=(StageCandidates(stage=Stage.PLAIN, candidates=(worker_id,)),),
        )
        self._decide(request, now)

    def _decide(self, request: DecisionRequest, now: float) -> DecisionReply:
        while True:
            decided = self.table.decide(request, now)
            if isinstance(decided, Decided):
                return decided.reply
            self._apply_transition(decided.transition, now)

    def _apply_transition(self, transition, now: float) -> None:  # type: ignore[no-untyped-def]
        record = apply_circuit_transition(self.circuits.get(transition.worker_id), transition)
        self.circuits[transition.worker_id] = record
        self.table.apply_circuit(record, now)

    def replay(self, policy: CircuitPolicy | None = None) -> ReplayResult:
        lines = [encode_line(line) for line in self.lines]
        if policy is None:
            return replay_log(lines)
        return replay_log(lines, ReplayPolicy(circuit=policy, load_bound_factor=LOAD_BOUND))


def policy_line(policy: CircuitPolicy, incarnation: str = "1") -> PolicyLine:
    return PolicyLine(
        time="t",
        at_seconds=0.0,
        router_id="router",
        incarnation=incarnation,
        configuration_version=1,
        circuit=policy,
        load_bound_factor=LOAD_BOUND,
    )


def decision_line(request: DecisionRequest, reply: DecisionReply, now: float) -> DecisionLine:
    return DecisionLine(
        time="t",
        at_seconds=now,
        request_id=request.request_id,
        attempt_id=request.attempt_id,
        service=request.service,
        configuration_version=1,
        per_stage=request.per_stage,
        decided_by=DecidedBy.LEADER,
        states=reply.states,
        choices=reply.choices,
        rejection=reply.rejection,
        retry_after_seconds=reply.retry_after_seconds,
    )


def report_line(report: AttemptReport, now: float) -> ReportLine:
    return ReportLine(
        time="t",
        at_seconds=now,
        request_id=report.request_id,
        attempt_id=report.attempt_id,
        worker_id=report.worker_id,
        stage=Stage.PLAIN,
        effect=report.effect,
        probe_generation=report.probe_generation,
    )


def kinds(result: ReplayResult) -> list[DifferenceKind]:
    return [each.kind for each in result.differences]


def fail_then_succeed(leader: LoggedLeader, failures: int) -> None:
    for number in range(failures):
        leader.attempt(AttemptEffect.TRANSIENT, float(number), order=("s1",))
    for number in range(5):
        leader.attempt(AttemptEffect.SUCCESS, failures + number * 0.1)


EFFECTS = st.sampled_from(list(AttemptEffect))
STEPS = st.lists(
    st.tuples(
        EFFECTS,
        st.floats(0.0, 8.0),
        st.permutations(WORKERS),
        st.integers(1, 3),
        st.booleans(),
    ),
    max_size=60,
)


@settings(deadline=None, derandomize=True, max_examples=150)
@given(steps=STEPS, seed=st.integers(0, 5))
def test_the_logs_own_policy_explains_every_decision_of_the_leader(
    steps: list[tuple[AttemptEffect, float, list[str], int, bool]], seed: int
) -> None:
    leader = LoggedLeader(seed=seed)
    now = 0.0
    for effect, pause, order, candidates, is_logged in steps:
        now += pause
        leader.attempt(effect, now, order=tuple(order[:candidates]), log=is_logged)
    checked = leader.replay()
    assert checked.agreed == checked.compared == checked.decisions
    assert checked.differences == []
    # The same figures given as another policy make no difference either.
    assert leader.replay(POLICY).differences == []


def test_fewer_allowed_failures_open_earlier_and_choose_another_worker() -> None:
    leader = LoggedLeader()
    fail_then_succeed(leader, failures=2)
    result = leader.replay(CircuitPolicy(allowed_fails=1))
    assert DifferenceKind.CIRCUIT in kinds(result)
    assert DifferenceKind.DENIED in kinds(result)  # the second try, with s1 as only candidate
    assert kinds(result).count(DifferenceKind.OTHER_WORKER) == 5
    first = result.differences[0]
    assert (first.subject, first.recorded, first.replayed) == ("worker s1", "available", "cooldown")


def test_more_allowed_failures_keep_it_closed() -> None:
    leader = LoggedLeader()
    fail_then_succeed(leader, failures=3)
    leader.attempt(AttemptEffect.SUCCESS, 4.0, order=("s1",))  # rejected by the leader
    result = leader.replay(CircuitPolicy(allowed_fails=9))
    assert kinds(result).count(DifferenceKind.OTHER_WORKER) == 5
    assert DifferenceKind.ALLOWED in kinds(result)


def test_a_shorter_cooldown_probes_earlier() -> None:
    leader = LoggedLeader()
    fail_then_succeed(leader, failures=3)
    leader.attempt(AttemptEffect.SUCCESS, 5.0, order=("s1",))
    result = leader.replay(CircuitPolicy(cooldown_seconds=1.0))
    allowed = [each for each in result.differences if each.kind is DifferenceKind.ALLOWED]
    assert [each.replayed for each in allowed] == ["plain=s1 (probe)"]
    # The circuit opened at 2.0 s, so cooldowns of 8 s and of 10 s are both running at 5.0 s.
    assert leader.replay(CircuitPolicy(cooldown_seconds=8.0)).differences == []


def test_failures_seen_by_another_router_are_adopted() -> None:
    leader = LoggedLeader()
    for number in range(3):
        leader.attempt(AttemptEffect.TRANSIENT, float(number), order=("s1",), log=False)
    assert leader.attempt(AttemptEffect.SUCCESS, 3.0) == "s2"
    result = leader.replay(POLICY)
    assert result.inherited == 1
    assert result.differences == []


def test_load_of_other_routers_is_as_recorded() -> None:
    leader = LoggedLeader()
    for _ in range(6):
        leader.hold("s1", 0.0)
    assert leader.attempt(AttemptEffect.SUCCESS, 1.0) == "s2"
    result = leader.replay(POLICY)
    assert (result.agreed, result.differences) == (1, [])


def test_a_transition_by_others_leaves_a_circuit_alone_that_has_its_own_history() -> None:
    leader = LoggedLeader()
    fail_then_succeed(leader, failures=3)
    # A probe of another router fails. With more allowed failures, the circuit of s1 would never
    # have opened.
    leader.attempt(AttemptEffect.TRANSIENT, 12.5, order=("s1",), log=False)
    assert leader.attempt(AttemptEffect.SUCCESS, 13.0) == "s2"
    result = leader.replay(CircuitPolicy(allowed_fails=9))
    assert result.inherited == 1
    # Five attempts before that probe and one attempt after it go to another worker.
    assert kinds(result).count(DifferenceKind.OTHER_WORKER) == 6
    assert result.differences[-1].replayed == "plain=s1"


def test_a_decision_that_the_policy_does_not_lead_to_is_unexplained() -> None:
    leader = LoggedLeader()
    leader.attempt(AttemptEffect.SUCCESS, 1.0)
    decision = leader.lines[1]
    assert isinstance(decision, DecisionLine)
    forged = encode_line(decision).replace(
        b'"choices":[{"stage":"plain","worker_id":"s1"',
        b'"choices":[{"stage":"plain","worker_id":"s3"',
    )
    result = replay_log([encode_line(leader.lines[0]), forged])
    assert kinds(result) == [DifferenceKind.UNEXPLAINED]
    assert result.agreed == 0


def test_decisions_of_the_router_are_counted_and_not_compared() -> None:
    leader = LoggedLeader()
    leader.attempt(AttemptEffect.SUCCESS, 1.0)
    line = encode_line(leader.lines[1]).replace(b'"leader"', b'"router"')
    result = replay_log([encode_line(leader.lines[0]), line])
    assert (result.decisions, result.decided_by_router, result.compared) == (1, 1, 0)


def test_another_incarnation_starts_with_a_closed_circuit() -> None:
    leader = LoggedLeader()
    fail_then_succeed(leader, failures=3)
    leader.lines.append(policy_line(POLICY, incarnation="2"))
    fresh = LoggedLeader()
    fresh.attempt(AttemptEffect.SUCCESS, 0.5)
    leader.lines.extend(fresh.lines[1:])
    assert leader.replay(POLICY).differences == []


@pytest.mark.parametrize("position", range(4))
def test_damaged_lines_are_reported_and_the_others_are_replayed(position: int) -> None:
    leader = LoggedLeader()
    leader.attempt(AttemptEffect.SUCCESS, 1.0)
    lines = [encode_line(line) for line in leader.lines]
    lines.insert(position, b'{"type":"deci\n')
    lines.append(encode_line(DroppedLine(count=7)))
    result = replay_log([*lines, b"\n"])
    assert [each.line for each in result.damaged] == [position + 1]
    assert result.decisions == result.agreed == 1
    assert result.dropped_lines == 7


@settings(deadline=None, derandomize=True, max_examples=100)
@given(data=st.data())
def test_any_order_of_lines_is_replayed_without_a_crash(data: st.DataObject) -> None:
    leader = LoggedLeader()
    fail_then_succeed(leader, failures=3)
    lines = [encode_line(line) for line in leader.lines]
    chosen = data.draw(st.lists(st.sampled_from(lines), max_size=30))
    figures = ReplayPolicy(circuit=CircuitPolicy(allowed_fails=1), load_bound_factor=0.0)
    result = replay_log(chosen, figures)
    assert result.lines == len(chosen)
    assert result.damaged == []
