"""Parser of a body of server-sent events, with a bound on the size of one event."""

from orchidpath.common.errors import OrchidpathError

MAXIMUM_EVENT_BYTES = 1024 * 1024
"""A larger event makes the stream malformed; keeps a back end from exhausting the memory."""

_END_OF_EVENT = b"\n\n"
_DATA_FIELD = b"data:"


class MalformedEventError(OrchidpathError):
    """The body is not a valid stream of server-sent events."""


class EventParser:
    """Incremental parser that returns the data of each complete event."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def has_pending(self) -> bool:
        """Whether the bytes so far end in an incomplete event."""
        return bool(self._pending.strip())

    def feed(self, chunk: bytes) -> list[bytes]:
        """Parse the next bytes of the body.

        Parameters
        ----------
        chunk
            The bytes, split at any place.

        Returns
        -------
        list of bytes
            Data of the events completed by these bytes; comments and other fields are dropped.

        Raises
        ------
        MalformedEventError
            If the pending event exceeds ``MAXIMUM_EVENT_BYTES``.
        """
        *events, self._pending = (self._pending + chunk).split(_END_OF_EVENT)
        if len(self._pending) > MAXIMUM_EVENT_BYTES:
            raise MalformedEventError(f"incomplete event exceeds {MAXIMUM_EVENT_BYTES} bytes")
        return [data for data in map(_data_of, events) if data]


def _data_of(event: bytes) -> bytes:
    lines = (line.strip() for line in event.splitlines())
    data = [
        line.removeprefix(_DATA_FIELD).strip() for line in lines if line.startswith(_DATA_FIELD)
    ]
    return b"\n".join(data)
