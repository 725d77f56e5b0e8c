"""Event stream that another worker can resume after the last complete event.

Only complete events are relayed, so nothing has to be retracted when a worker fails in the middle
of an event. Every event of such a stream has an id, and the ids increase. A worker that restarts
the stream instead of resuming it is detected because its ids do not increase. The module does no
input or output.
"""

from orchidpath.common.digits import number_of_digits
from orchidpath.common.errors import OrchidpathError

MAX_EVENT_BYTES = 1024 * 1024
"""An event larger than this is relayed in pieces, and its stream can't be resumed afterwards."""

_ENDS_OF_EVENT = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class DiscontinuousStreamError(OrchidpathError):
    """A worker did not resume a stream after the last event; its events must not be relayed."""


class ResumableStream:
    """Event stream of one response, from all workers that contributed to it."""

    def __init__(self) -> None:
        self._pending = b""
        self._last_id: int | None = None
        self._has_passed = False
        self._is_complete = True

    @property
    def last_event_id(self) -> str:
        """Id of the last relayed event; empty before the first event."""
        return "" if self._last_id is None else str(self._last_id)

    @property
    def is_resumable(self) -> bool:
        """Whether another worker can resume this response after the last relayed event."""
        return self._is_complete and (not self._has_passed or self._last_id is not None)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes of a response, and return the bytes that can be relayed now.

        Raises
        ------
        DiscontinuousStreamError
            The id of an event is not greater than that of the event before it.
        """
        self._pending += data
        end = max(self._end_after(mark) for mark in _ENDS_OF_EVENT)
        if not end and len(self._pending) > MAX_EVENT_BYTES:
            self._is_complete = False
            end = len(self._pending)
        complete, self._pending = self._pending[:end], self._pending[end:]
        self._record_ids(complete)
        return complete

    def end(self) -> bytes:
        """Return the bytes not relayed yet, at the regular end of a response."""
        rest, self._pending = self._pending, b""
        return rest

    def record_interruption(self) -> None:
        """Discard the bytes of an incomplete event after a worker's response was interrupted."""
        self._pending = b""

    def _end_after(self, mark: bytes) -> int:
        position = self._pending.rfind(mark)
        return position + len(mark) if position >= 0 else 0

    def _record_ids(self, events: bytes) -> None:
        """Check and record the ids of complete events.

        An event without a numeric id makes the stream impossible to resume.
        """
        last_id = self._last_id
        for line in events.splitlines():
            if not line.startswith(_ID_FIELD):
                continue
            event_id = number_of_digits(line.removeprefix(_ID_FIELD).strip())
            if event_id is None:
                self._is_complete = False
                continue
            if last_id is not None and event_id <= last_id:
                raise DiscontinuousStreamError(
                    f"event id {event_id} follows event id {last_id}, expected a greater id"
                )
            last_id = event_id
        self._last_id = last_id
        self._has_passed = self._has_passed or bool(events)
