"""Decisions that arrive after the router decided by itself."""

from orchidpath.router.fleet_link.late_decisions import LateDecisions
from orchidpath.wire.messages import AttemptEffect, Choice, DecisionReply, DecisionRequest
from orchidpath.wire.records import Stage


def test_a_late_decision_is_reported_for_the_workers_that_were_not_used() -> None:
    late = LateDecisions()
    request = DecisionRequest(
        correlation=7, request_id="q", attempt_id="a", service="wine", per_stage=()
    )
    late.record_abandoned(request)
    late.record_local_decision("a", ["p1", "d1"])
    choices = (
        Choice(stage=Stage.PREFILL, worker_id="p1"),
        Choice(stage=Stage.DECODE, worker_id="d2", probe_generation=4),
    )
    reports = late.release_unused(DecisionReply(correlation=7, term=1, choices=choices))
    assert [(report.worker_id, report.effect, report.probe_generation) for report in reports] == [
        ("d2", AttemptEffect.GATEWAY, 4)
    ]
    assert late.release_unused(DecisionReply(correlation=7, term=1, choices=choices)) == []
