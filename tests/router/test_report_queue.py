"""Queue of attempt reports: repeated until acknowledged, bounded in number."""

from orchidpath.router.fleet_link.report_queue import (
    MAX_UNACKNOWLEDGED_BATCHES,
    REPEAT_SECONDS,
    ReportQueue,
)
from orchidpath.wire.messages import AttemptEffect, AttemptReport


def attempt_report(number: int) -> AttemptReport:
    return AttemptReport(
        request_id="q", attempt_id=f"a{number}", worker_id="w", effect=AttemptEffect.SUCCESS
    )


def test_reports_are_repeated_until_they_are_acknowledged() -> None:
    queue = ReportQueue()
    queue.add([attempt_report(1)])
    first = queue.due(0.0)
    assert [batch.sequence for batch in first] == [1]
    assert queue.due(REPEAT_SECONDS / 2) == []
    assert queue.due(REPEAT_SECONDS) == first
    assert queue.unacknowledged() == (attempt_report(1),)
    queue.record_acknowledgement(1)
    assert queue.due(10 * REPEAT_SECONDS) == []
    assert queue.unacknowledged() == ()


def test_unacknowledged_reports_are_bounded() -> None:
    queue = ReportQueue()
    for number in range(MAX_UNACKNOWLEDGED_BATCHES + 5):
        queue.add([attempt_report(number)])
        queue.due(0.0)
    assert queue.dropped_batches == 5
    assert len(queue.unacknowledged()) == MAX_UNACKNOWLEDGED_BATCHES
