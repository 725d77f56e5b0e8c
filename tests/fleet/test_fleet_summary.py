from typing import Any

import msgspec
import pytest

from orchidpath.consensus.types import Role
from orchidpath.control.api.operator_bodies import StatusBody
from orchidpath.control.api.operator_client import OperatorClient
from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.reports import ExecutionRecord
from orchidpath.emulators.client.caller_report import (
    CallerSummary,
    CodeCount,
    OutcomeCounts,
    Percentiles,
    RequestResult,
)
from orchidpath.emulators.client.traffic_mix import TrafficKind
from orchidpath.emulators.client.verification import Outcome
from orchidpath.fleet.executions import (
    ExecutionKey,
    ExecutionPolicy,
    decode_lines,
    refused_but_ran,
    repeated_executions,
)
from orchidpath.fleet.summary import RunEvidence, summarise
from orchidpath.fleet.watch import ControlWatch
from orchidpath.wire.configuration import Configuration, Route, Service, ServiceKind

NONE = Percentiles(count=0, p50_seconds=0, p95_seconds=0, p99_seconds=0, maximum_seconds=0)

CONFIGURATION = Configuration(
    services=[
        Service(name="wine", kind=ServiceKind.MODEL, models=["wine"]),
        Service(name="strict", kind=ServiceKind.MODEL, models=["strict"]),
        Service(name="board", kind=ServiceKind.PLAIN),
    ],
    routes=[
        Route(name="wine", service="wine", model="wine", repeat_prompt_read=True),
        Route(name="strict", service="strict", model="strict"),
        Route(name="board", service="board", method="GET", path="/boards/{id}", repeatable=True),
    ],
)
POLICY = ExecutionPolicy(
    CONFIGURATION,
    {"wine-1": "wine", "wine-2": "wine", "strict-1": "strict", "board-1": "board"},
)


def execution(worker_id: str, request_id: str, phase: Phase = Phase.EXECUTION) -> ExecutionRecord:
    return ExecutionRecord(
        number=1,
        worker_id=worker_id,
        incarnation="i",
        phase=phase,
        request_id=request_id,
        attempt_id=f"{request_id}-{worker_id}",
    )


def result(outcome: Outcome, **fields: Any) -> RequestResult:
    return RequestResult(
        **{
            "request_id": "r",
            "stream": "s",
            "kind": TrafficKind.MODEL,
            "outcome": outcome,
            **fields,
        }
    )


def evidence(outcomes: OutcomeCounts, **fields: Any) -> RunEvidence:
    callers = CallerSummary(
        seconds=10.0,
        due=10,
        not_sent=0,
        returns=0,
        violations=0,
        outcomes=outcomes,
        codes=(CodeCount(outcome=Outcome.ANSWERED, code="", ran="", count=9),),
        first_token=NONE,
        between_tokens=NONE,
        plain_call=NONE,
        examples=(),
    )
    evidence = RunEvidence(
        fleet="small",
        callers=callers,
        results=[],
        executions=10,
        repeated=[],
        refused_but_ran=[],
        leader="control-a",
        configuration_version=1,
        unexpected_exits=[],
        log_folder="logs",
    )
    return msgspec.structs.replace(evidence, **fields)


def failures(outcomes: OutcomeCounts, **fields: Any) -> tuple[str, ...]:
    return summarise(evidence(outcomes, **fields)).failures


def test_executions_across_workers_count_as_repeated() -> None:
    records = [
        execution("wine-1", "r1"),
        execution("wine-2", "r1"),
        execution("wine-1", "r2"),
        execution("wine-1", "r3", Phase.PREFILL_DONE),
        execution("wine-2", "r3", Phase.PREFILL_DONE),
        execution("strict-1", "r4", Phase.PREFILL_DONE),
        execution("strict-1", "r4", Phase.PREFILL_DONE),
        execution("board-1", "r5"),
        execution("board-1", "r5"),
    ]
    assert repeated_executions(records, POLICY) == [
        ExecutionKey("r1", Phase.EXECUTION),
        ExecutionKey("r4", Phase.PREFILL_DONE),
    ]


def test_a_not_executed_guarantee_is_compared_with_the_executions() -> None:
    guarantee = {"ran": "no", "retry_after_seconds": 1.0}
    results = [
        result(Outcome.REFUSED, request_id="r1", **guarantee),
        result(Outcome.REFUSED, request_id="r2", **guarantee),
        result(Outcome.REFUSED, request_id="r3", ran="unknown"),
        result(Outcome.ANSWERED, request_id="r4"),
    ]
    records = [execution("wine-1", request_id) for request_id in ("r1", "r3", "r4")]
    records.append(execution("wine-1", "r2", Phase.PREFILL_DONE))
    assert refused_but_ran(records, results, POLICY) == ["r1"]


def test_truncated_last_line_of_a_killed_process_is_dropped() -> None:
    line = msgspec.json.encode(execution("wine-1", "r1"))
    assert decode_lines(line + b"\n" + line[:20], ExecutionRecord) == [execution("wine-1", "r1")]
    assert decode_lines(b"", ExecutionRecord) == []


def test_responses_and_refusals_with_not_run_and_retry_after_are_no_failure() -> None:
    refused = result(Outcome.REFUSED, code="overloaded", ran="no", retry_after_seconds=1.0)
    outcomes = OutcomeCounts(answered=8, refused=1, abandoned=1)
    assert failures(outcomes, results=[refused]) == ()


@pytest.mark.parametrize(
    "outcomes",
    [
        OutcomeCounts(broken=1),
        OutcomeCounts(timed_out=1),
        OutcomeCounts(unreachable=1),
        OutcomeCounts(wrong_content=1),
        OutcomeCounts(incomplete_but_clean=1),
    ],
)
def test_every_other_outcome_fails_the_run(outcomes: OutcomeCounts) -> None:
    assert len(failures(outcomes)) == 1


@pytest.mark.parametrize(
    "fields",
    [
        {"ran": "unknown", "retry_after_seconds": 1.0},
        {"ran": "no"},
        {"ran": "no", "retry_after_seconds": 0.0},
        {"ran": "no", "retry_after_seconds": 1.0, "code": "unknown_route"},
    ],
)
def test_a_refusal_without_not_run_and_retry_after_fails_the_run(fields: dict[str, Any]) -> None:
    outcomes = OutcomeCounts(answered=9, refused=1)
    (failure,) = failures(outcomes, results=[result(Outcome.REFUSED, **fields)])
    assert failure.startswith("1 refusals")


@pytest.mark.parametrize(
    "fields",
    [
        {"repeated": [ExecutionKey("r1", Phase.EXECUTION)]},
        {"refused_but_ran": ["r1"]},
        {"unexpected_exits": ["router-a"]},
    ],
)
def test_repeated_executions_and_unexpected_exits_fail_the_run(fields: dict[str, Any]) -> None:
    (failure,) = failures(OutcomeCounts(answered=10), **fields)
    assert "r1" in failure or "router-a" in failure


def test_the_leader_of_the_higher_term_counts_and_versions_never_decrease() -> None:
    watch = ControlWatch(OperatorClient([]))
    old = StatusBody(node_id="control-a.1", role=Role.LEADER, term=3, configuration_version=4)
    new = StatusBody(node_id="control-b.2", role=Role.LEADER, term=4, configuration_version=6)
    watch.update([old, new])
    assert watch.leader_name == "control-b"
    watch.update([old])
    assert watch.configuration_version == 6
    watch.update([])
    assert watch.leader_name == ""
