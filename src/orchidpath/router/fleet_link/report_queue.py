"""Queue of attempt reports to the leader; pure, no input or output.

Reports are sent in batches, repeated until acknowledged, and bounded in number.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from orchidpath.wire.messages import AttemptReport, AttemptReports

REPEAT_SECONDS = 1.0
"""An unacknowledged batch is sent again after this long."""

MAX_BATCH_REPORTS = 256
"""Maximum number of reports in one message."""

MAX_UNACKNOWLEDGED_BATCHES = 256
"""Maximum number of unacknowledged batches.

Older batches are dropped; the in-flight marks of their attempts are removed by the TTL.
"""


class _Sent(msgspec.Struct):
    message: AttemptReports
    sent_at: float


class ReportQueue:
    """Reports that the leader has not acknowledged."""

    def __init__(self) -> None:
        self._new: list[AttemptReport] = []
        self._unacknowledged: OrderedDict[int, _Sent] = OrderedDict()
        self._sequence = 0
        self.dropped_batches = 0

    def add(self, reports: Sequence[AttemptReport]) -> None:
        """Queue reports for the next batch."""
        self._new.extend(reports)

    def due(self, now: float) -> list[AttemptReports]:
        """Return the batches to send now: new ones, and unacknowledged ones due for repetition."""
        batches = []
        for sent in self._unacknowledged.values():
            if now - sent.sent_at >= REPEAT_SECONDS:
                sent.sent_at = now
                batches.append(sent.message)
        while self._new:
            batches.append(self._next_batch(now))
        return batches

    def record_acknowledgement(self, sequence: int) -> None:
        """Remove a batch that the leader has acknowledged."""
        self._unacknowledged.pop(sequence, None)

    def unacknowledged(self) -> tuple[AttemptReport, ...]:
        """Return every report that the leader has not acknowledged, whether sent or not."""
        sent = [
            report for batch in self._unacknowledged.values() for report in batch.message.reports
        ]
        return (*sent, *self._new)

    def _next_batch(self, now: float) -> AttemptReports:
        self._sequence += 1
        reports = tuple(self._new[:MAX_BATCH_REPORTS])
        del self._new[:MAX_BATCH_REPORTS]
        message = AttemptReports(sequence=self._sequence, reports=reports)
        self._unacknowledged[self._sequence] = _Sent(message, now)
        if len(self._unacknowledged) > MAX_UNACKNOWLEDGED_BATCHES:
            self._unacknowledged.popitem(last=False)
            self.dropped_batches += 1
        return message
