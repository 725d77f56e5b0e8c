"""Tells whether the bytes of an event stream end between two events or inside one.

A stream whose response has neither a length nor chunks ends with its connection, which the kernel
of a killed worker closes like that of a worker that has finished. An event that lacks its end then
is the only sign that the stream was cut off. The module does no input or output.
"""

_ENDS_OF_EVENT = (b"\n\n", b"\n\r\n", b"\r\r")
_LONGEST_END = max(len(end) for end in _ENDS_OF_EVENT)


class EventBoundary:
    """Follows the bytes of an event stream; an empty line ends an event."""

    def __init__(self) -> None:
        self._tail = b""

    @property
    def is_between_events(self) -> bool:
        """Whether the last event is complete; False before the first event."""
        return self._tail.endswith(_ENDS_OF_EVENT)

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        self._tail = (self._tail + data[-_LONGEST_END:])[-_LONGEST_END:]

    def restart(self) -> None:
        """Begin a stream again, before its first byte."""
        self._tail = b""
