"""The pure parts of the router's link to the fleet."""

import msgspec

from orchidpath.router.fleet_link.announced_workers import AnnouncedWorkers
from orchidpath.router.fleet_link.late_decisions import LateDecisions
from orchidpath.router.fleet_link.leader_finder import LEADER_SILENT_SECONDS, LeaderFinder
from orchidpath.router.fleet_link.report_queue import (
    MAX_UNACKNOWLEDGED_BATCHES,
    REPEAT_SECONDS,
    ReportQueue,
)
from orchidpath.wire.backend import Announcement
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.messages import (
    AttemptEffect,
    AttemptReport,
    Choice,
    ControlMembers,
    DecisionReply,
    DecisionRequest,
)
from orchidpath.wire.records import (
    ControlMember,
    FleetView,
    Stage,
    WorkerRecord,
    WorkerStatus,
)

SEEDS = ["s1", "s2", "s3"]


def report(number: int) -> AttemptReport:
    return AttemptReport(
        request_id="q", attempt_id=f"a{number}", worker_id="w", effect=AttemptEffect.SUCCESS
    )


def members(term: int, leader: str = "c1") -> ControlMembers:
    known = tuple(ControlMember(node_id=one, address=f"{one}:1") for one in ("c1", "c2"))
    return ControlMembers(term=term, leader_id=leader, members=known)


def test_reports_are_repeated_until_they_are_acknowledged() -> None:
    queue = ReportQueue()
    queue.add([report(1)])
    first = queue.due(0.0)
    assert [one.sequence for one in first] == [1]
    assert queue.due(REPEAT_SECONDS / 2) == []
    assert queue.due(REPEAT_SECONDS) == first
    assert queue.unacknowledged() == (report(1),)
    queue.acknowledged(1)
    assert queue.due(10 * REPEAT_SECONDS) == []
    assert queue.unacknowledged() == ()


def test_unacknowledged_reports_are_bounded() -> None:
    queue = ReportQueue()
    for number in range(MAX_UNACKNOWLEDGED_BATCHES + 5):
        queue.add([report(number)])
        queue.due(0.0)
    assert queue.dropped_batches == 5
    assert len(queue.unacknowledged()) == MAX_UNACKNOWLEDGED_BATCHES


def test_an_answer_of_an_older_term_or_that_knows_less_is_ignored() -> None:
    finder = LeaderFinder(SEEDS, 0.0)
    assert finder.leader_address == ""
    assert finder.learned(members(3))
    assert finder.leader_address == "c1:1"
    assert not finder.learned(members(2, "c2"))
    assert not finder.learned(members(3, ""))
    assert not finder.learned(ControlMembers(term=9, leader_id="", members=()))
    assert finder.learned(members(4, "c2"))
    assert finder.leader_address == "c2:1"


def test_seeds_are_asked_only_while_no_leader_is_heard() -> None:
    finder = LeaderFinder(SEEDS, 0.0)
    finder.learned(members(3))
    finder.leader_heard(1.0)
    assert finder.addresses(1.1) == {"c1:1", "c2:1"}
    assert not finder.should_query(1.1)
    silent_at = 1.0 + LEADER_SILENT_SECONDS
    assert finder.addresses(silent_at) == {"c1:1", "c2:1", *SEEDS}
    assert finder.should_query(silent_at)
    assert not finder.should_query(silent_at + 0.01)


def test_a_late_decision_frees_the_workers_that_were_not_used() -> None:
    late = LateDecisions()
    request = DecisionRequest(
        correlation=7, request_id="q", attempt_id="a", service="wine", per_stage=()
    )
    late.given_up(request)
    late.decided_alone("a", ["p1", "d1"])
    choices = (
        Choice(stage=Stage.PREFILL, worker_id="p1"),
        Choice(stage=Stage.DECODE, worker_id="d2", probe_generation=4),
    )
    reports = late.answered(DecisionReply(correlation=7, term=1, choices=choices))
    assert [(one.worker_id, one.effect, one.probe_generation) for one in reports] == [
        ("d2", AttemptEffect.GATEWAY, 4)
    ]
    assert late.answered(DecisionReply(correlation=7, term=1, choices=choices)) == []


def view(*incarnations: str) -> FleetView:
    workers = tuple(
        WorkerRecord(
            worker_id="w", incarnation=one, service="s", stage=Stage.DECODE, url="http://w"
        )
        for one in incarnations
    )
    return FleetView(
        revision=1, configuration_version=1, configuration=Configuration(), workers=workers
    )


def announcement(incarnation: str, sequence: int, status: WorkerStatus) -> Announcement:
    record = msgspec.structs.replace(view(incarnation).workers[0], status=status)
    return Announcement(record=record, sequence=sequence)


def test_a_view_that_lags_behind_does_not_undo_what_a_worker_said() -> None:
    announced = AnnouncedWorkers()
    announced.view_adopted(view("first"))
    assert announced.heard(announcement("second", 1, WorkerStatus.DRAINING))
    announced.view_adopted(view("first"))
    assert announced.is_draining("w")
    announced.view_adopted(view("second"))
    assert announced.is_draining("w")
    assert not announced.heard(announcement("second", 1, WorkerStatus.READY))
    announced.view_adopted(view("third"))
    assert not announced.is_draining("w")


def test_a_worker_that_is_only_absent_from_a_view_keeps_its_word() -> None:
    announced = AnnouncedWorkers()
    announced.view_adopted(view("first"))
    announced.heard(announcement("first", 2, WorkerStatus.DRAINING))
    announced.view_adopted(view())
    announced.view_adopted(view("first"))
    assert announced.is_draining("w")
