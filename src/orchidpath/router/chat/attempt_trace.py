"""Times the orders of one request, for the decision trace and for the observed delays."""

import msgspec

from orchidpath.common.clock import Clock
from orchidpath.router.chat.chat_api import DecisionTrace, TraceEntry
from orchidpath.routing.request.events import Report
from orchidpath.wire.records import Stage


class Delay(msgspec.Struct, frozen=True, kw_only=True):
    """How long a worker took to its first answer."""

    worker_id: str
    seconds: float


class _Sent(msgspec.Struct, frozen=True):
    worker_id: str
    stage: Stage
    at: float


class AttemptTrace:
    """What happened to each attempt of one request.

    Parameters
    ----------
    request_id
        The request.
    clock
        Monotonic clock.
    """

    def __init__(self, request_id: str, clock: Clock) -> None:
        self._request_id = request_id
        self._clock = clock
        self._entries: list[TraceEntry] = []
        self._sent: dict[Stage, _Sent] = {}
        self._unanswered: _Sent | None = None

    def sent(self, worker_id: str, stage: Stage) -> None:
        """Record that an order is on its way to a worker."""
        self._unanswered = _Sent(worker_id, stage, self._clock())
        self._sent[stage] = self._unanswered

    def first_answer(self, now: float) -> Delay | None:
        """Return the delay of the order that was answered for the first time just now."""
        sent, self._unanswered = self._unanswered, None
        if sent is None:
            return None
        return Delay(worker_id=sent.worker_id, seconds=now - sent.at)

    def ended(self, report: Report) -> TraceEntry:
        """Record how an attempt ended for one worker, and return what was noted."""
        sent = self._sent.get(report.stage)
        was_sent = sent is not None and sent.worker_id == report.report.worker_id
        latency_seconds = self._clock() - sent.at if sent is not None and was_sent else 0.0
        entry = TraceEntry(
            attempt_id=report.report.attempt_id,
            stage=report.stage,
            worker_id=report.report.worker_id,
            effect=report.report.effect,
            reason=report.reason,
            latency_seconds=round(latency_seconds, 6),
        )
        self._entries.append(entry)
        return entry

    def result(self) -> DecisionTrace:
        """Return the trace so far."""
        return DecisionTrace(request_id=self._request_id, attempts=tuple(self._entries))
