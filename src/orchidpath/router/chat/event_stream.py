"""Parsing of a server-sent events body, with a bound on the size of one event."""

from orchidpath.common.errors import OrchidpathError

MAXIMUM_EVENT_BYTES = 1024 * 1024
"""A larger event is taken for a malformed stream, so that a back end can't fill the memory."""

_END_OF_EVENT = b"\n\n"
_DATA_FIELD = b"data:"


class MalformedEventError(OrchidpathError):
    """The body is not a stream of events."""


class EventParser:
    """Cuts the bytes of a body into the data of its events."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def has_pending(self) -> bool:
        """Whether the body ended, if it ends here, inside an event."""
        return bool(self._pending.strip())

    def feed(self, chunk: bytes) -> list[bytes]:
        """Take in more bytes.

        Parameters
        ----------
        chunk
            The next bytes of the body.

        Returns
        -------
        list of bytes
            Data of the events that are now whole; comments and other fields are dropped.

        Raises
        ------
        MalformedEventError
            If an event grows above ``MAXIMUM_EVENT_BYTES``.
        """
        *events, self._pending = (self._pending + chunk).split(_END_OF_EVENT)
        if len(self._pending) > MAXIMUM_EVENT_BYTES:
            raise MalformedEventError("an event is too large")
        return [data for data in map(_data_of, events) if data]


def _data_of(event: bytes) -> bytes:
    lines = (line.strip() for line in event.splitlines())
    data = [
        line.removeprefix(_DATA_FIELD).strip() for line in lines if line.startswith(_DATA_FIELD)
    ]
    return b"\n".join(data)
