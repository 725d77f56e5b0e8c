"""Decision log lines that a router records for the requests it serves."""

from edge_fakes import reject, running_site

from orchidpath.common.clock import monotonic_seconds
from orchidpath.router.observability.decision_recorder import DecisionRecorder
from orchidpath.routing.decision_log import (
    DecidedBy,
    DecisionLine,
    LogLine,
    PolicyLine,
    ReportLine,
)
from orchidpath.wire.backend import ErrorCode, Ran
from orchidpath.wire.messages import AttemptEffect


def recorder_into(lines: list[LogLine]) -> DecisionRecorder:
    return DecisionRecorder(lines.append, "router", "1", monotonic_seconds)


async def test_the_policy_the_decision_and_the_reports_of_a_request_are_recorded() -> None:
    lines: list[LogLine] = []
    async with (
        running_site(recorder=recorder_into(lines)) as site,
        site.post_chat(stream=False) as response,
    ):
        assert response.status == 200
    policy, decision, *reports = lines
    assert isinstance(policy, PolicyLine)
    assert policy.configuration_version == 1
    assert isinstance(decision, DecisionLine)
    assert decision.decided_by is DecidedBy.LEADER
    assert [stage_candidates.stage.value for stage_candidates in decision.per_stage] == [
        "prefill",
        "decode",
    ]
    chosen = {choice.worker_id for choice in decision.choices}
    assert len(chosen) == 2
    assert {line.worker_id for line in reports if isinstance(line, ReportLine)} == chosen
    for line in reports:
        assert isinstance(line, ReportLine)
        assert line.attempt_id == decision.attempt_id
        assert line.effect is AttemptEffect.SUCCESS
        assert line.latency_seconds > 0


async def test_a_decision_without_the_leader_is_recorded_as_the_routers() -> None:
    lines: list[LogLine] = []
    async with running_site(recorder=recorder_into(lines)) as site:
        site.fleet.leader_answers = False
        async with site.session.get(f"{site.url}/stock/1") as response:
            assert response.status == 200
    decisions = [line for line in lines if isinstance(line, DecisionLine)]
    assert [line.decided_by for line in decisions] == [DecidedBy.ROUTER]


async def test_each_attempt_is_recorded_as_one_decision() -> None:
    lines: list[LogLine] = []
    async with running_site(recorder=recorder_into(lines)) as site:
        site.add_script("s", reject(ErrorCode.INTERNAL, Ran.NO))
        async with site.session.get(f"{site.url}/stock/1"):
            pass
    decisions = [line for line in lines if isinstance(line, DecisionLine)]
    assert len(decisions) >= 2
    assert len({line.attempt_id for line in decisions}) == len(decisions)
    assert sum(isinstance(line, PolicyLine) for line in lines) == 1
