"""Relays a worker's response to the caller; another worker can resume an interrupted stream.

Once the head of a response has been written, no other response can be sent. Either its complete
body follows, or the connection is aborted in the middle, so that the response never looks complete.
"""

from orchidpath.forwarding.event_boundary import EventBoundary
from orchidpath.forwarding.resumable_stream import DiscontinuousStreamError, ResumableStream
from orchidpath.router.proxy.caller_connection import CallerConnection
from orchidpath.router.proxy.protocol_mapping import Header
from orchidpath.router.proxy.proxy_messages import ResponseHead
from orchidpath.router.proxy.upstream import BrokenResponseError


class ResponseRelay:
    """Writes the response to one request to the caller.

    Parameters
    ----------
    caller
        Connection that the response is written to.
    is_event_stream
        Whether a successful response is a stream of events.
    may_be_resumed
        Whether another worker can resume the stream if its worker fails in the middle.
    """

    def __init__(
        self, caller: CallerConnection, *, is_event_stream: bool, may_be_resumed: bool
    ) -> None:
        self._caller = caller
        self._boundary = EventBoundary() if is_event_stream else None
        self._stream = ResumableStream() if may_be_resumed else None
        self.has_started = False

    @property
    def last_event_id(self) -> str:
        """Id of the event after which another worker resumes the stream; empty before the first."""
        return self._stream.last_event_id if self._stream is not None and self.has_started else ""

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Write the head unless one was written: a resumed stream keeps that of its first worker.

        Parameters
        ----------
        status
            Status of the worker's response.
        headers
            Headers of the response, as the caller receives them.
        """
        if self._boundary is not None:
            self._boundary.restart()
        if self.has_started:
            return
        if status != 200:
            self._boundary = None
        if status != 200 or any(name == b"content-length" for name, _ in headers):
            self._stream = None
        self.has_started = True
        self._caller.send_head(ResponseHead(status=status, headers=headers))

    def write_part(self, part: bytes) -> None:
        """Write a part of the body; for a resumable stream, only its complete events.

        Raises
        ------
        BrokenResponseError
            The worker that had to resume a stream restarted it from the beginning.
        """
        if self._boundary is not None:
            self._boundary.feed(part)
        if self._stream is not None:
            try:
                part = self._stream.feed(part)
            except DiscontinuousStreamError as error:
                raise BrokenResponseError(str(error)) from error
        if part:
            self._caller.send_body(part)

    async def wait_until_writable(self) -> None:
        """Wait until the caller has read enough of what was written to it."""
        await self._caller.wait_until_writable()

    def end(self, *, ends_with_connection: bool) -> None:
        """Write the end of the response, after what is buffered of the stream.

        Parameters
        ----------
        ends_with_connection
            Whether only the end of the worker's connection marks the end of its response.

        Raises
        ------
        BrokenResponseError
            The connection ended inside an event, or before the first one: the stream was cut off.
        """
        boundary = self._boundary
        if ends_with_connection and boundary is not None and not boundary.is_between_events:
            raise BrokenResponseError("the connection ended inside an event")
        remainder = self._stream.end() if self._stream is not None else b""
        if remainder:
            self._caller.send_body(remainder)
        self._caller.send_end()

    def record_interruption(self) -> bool:
        """Record that the worker failed; return whether another worker can resume the stream."""
        if self._stream is None:
            return False
        self._stream.record_interruption()
        return self._stream.is_resumable

    def close(self) -> None:
        """Abort the caller's connection in the middle of the response."""
        self._caller.abort()
