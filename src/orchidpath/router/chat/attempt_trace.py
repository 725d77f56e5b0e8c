"""Records the attempts of one request for the decision trace, and the delays of its workers."""

import msgspec

from orchidpath.common.clock import Clock
from orchidpath.router.chat.chat_api import DecisionTrace, TraceEntry
from orchidpath.routing.request.events import Report
from orchidpath.wire.records import Stage


class Delay(msgspec.Struct, frozen=True, kw_only=True):
    """Time from a dispatch to the worker's reply or first frame."""

    worker_id: str
    seconds: float


class _Dispatch(msgspec.Struct, frozen=True):
    worker_id: str
    stage: Stage
    at: float


class AttemptTrace:
    """Trace of the attempts of one request.

    Parameters
    ----------
    request_id
        Identifier of the request.
    clock
        Monotonic clock.
    """

    def __init__(self, request_id: str, clock: Clock) -> None:
        self._request_id = request_id
        self._clock = clock
        self._entries: list[TraceEntry] = []
        self._sent: dict[Stage, _Dispatch] = {}
        self._unanswered: _Dispatch | None = None

    def sent(self, worker_id: str, stage: Stage) -> None:
        """Record that a dispatch to a worker starts now."""
        self._unanswered = _Dispatch(worker_id, stage, self._clock())
        self._sent[stage] = self._unanswered

    def first_answer(self, now: float) -> Delay | None:
        """Return the delay of the last dispatch, or None if it was already returned.

        None is also returned before the first dispatch.
        """
        sent, self._unanswered = self._unanswered, None
        if sent is None:
            return None
        return Delay(worker_id=sent.worker_id, seconds=now - sent.at)

    def ended(self, report: Report) -> TraceEntry:
        """Record how an attempt ended for one worker, and return its trace entry."""
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
