"""A stream of events that another worker can resume after its last complete event; pure.

Only complete events are relayed, so that a worker that breaks off inside one leaves nothing that
would have to be retracted. Every event of such a stream has an id, and ids increase: a worker that
restarts the stream instead of resuming it is detected by an id that does not.
"""

from orchidpath.common.errors import OrchidpathError

MAX_EVENT_BYTES = 1024 * 1024
"""A larger event is relayed in pieces, and its stream can't be resumed any more."""

_ENDS_OF_EVENT = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class StitchedStreamError(OrchidpathError):
    """A worker that was to resume after an event did not: its events are never relayed."""


class ResumableStream:
    """The events of one response, from all the workers that contributed to it."""

    def __init__(self) -> None:
        self._pending = b""
        self._last_id: int | None = None
        self._has_passed = False
        self._is_complete = True

    @property
    def last_event_id(self) -> str:
        """Id of the last event that was relayed; empty before the first."""
        return "" if self._last_id is None else str(self._last_id)

    @property
    def can_be_resumed(self) -> bool:
        """Whether another worker can resume where this response broke off."""
        return self._is_complete and (not self._has_passed or self._last_id is not None)

    def take(self, data: bytes) -> bytes:
        """Receive bytes of a response and return those that can be relayed now.

        Raises
        ------
        StitchedStreamError
            An event does not follow the last one.
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
        """Return what remains at the clean end of a response."""
        rest, self._pending = self._pending, b""
        return rest

    def broke_off(self) -> None:
        """Discard an event that a worker did not finish."""
        self._pending = b""

    def _end_after(self, mark: bytes) -> int:
        position = self._pending.rfind(mark)
        return position + len(mark) if position >= 0 else 0

    def _record_ids(self, events: bytes) -> None:
        """Record the ids of complete events."""
        last_id = self._last_id
        for line in events.splitlines():
            if not line.startswith(_ID_FIELD):
                continue
            value = line.removeprefix(_ID_FIELD).strip()
            if not value.isdigit():
                self._is_complete = False
                continue
            if last_id is not None and int(value) <= last_id:
                raise StitchedStreamError(f"event {int(value)} follows event {last_id}")
            last_id = int(value)
        self._last_id = last_id
        self._has_passed = self._has_passed or bool(events)
