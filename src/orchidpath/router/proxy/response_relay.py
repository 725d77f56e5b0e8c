"""Relays the response of a worker to the caller, and resumes it with that of another worker.

Once the head of a response has been written no other can be sent: its body follows, or the
connection is aborted in the middle of it, so that it never looks complete.
"""

from orchidpath.forwarding.resumable_stream import ResumableStream, StitchedStreamError
from orchidpath.router.proxy.protocol_mapping import Header
from orchidpath.router.proxy.proxy_messages import ResponseHead
from orchidpath.router.proxy.proxy_server import CallerConnection
from orchidpath.router.proxy.upstream import BrokenResponseError


class ResponseRelay:
    """The response to one request on its way to the caller.

    Parameters
    ----------
    caller
        Where it goes.
    may_be_resumed
        Whether another worker can resume it where its worker breaks off.
    """

    def __init__(self, caller: CallerConnection, *, may_be_resumed: bool) -> None:
        self._caller = caller
        self._stream = ResumableStream() if may_be_resumed else None
        self.has_started = False

    @property
    def last_event_id(self) -> str:
        """Event after which another worker is to resume; empty before the first."""
        return self._stream.last_event_id if self._stream is not None and self.has_started else ""

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Write the head, once: a stream that is resumed keeps that of its first worker.

        Parameters
        ----------
        status
            Status of the worker's response.
        headers
            Its headers, as the caller receives them.
        """
        if self.has_started:
            return
        if status != 200 or any(name == b"content-length" for name, _ in headers):
            self._stream = None
        self.has_started = True
        self._caller.send_head(ResponseHead(status=status, headers=headers))

    def pass_on(self, part: bytes) -> None:
        """Write a chunk of the body; of a resumable stream only complete events.

        Raises
        ------
        BrokenResponseError
            The worker that was to resume a stream restarted it.
        """
        if self._stream is not None:
            try:
                part = self._stream.take(part)
            except StitchedStreamError as error:
                raise BrokenResponseError(str(error)) from error
        if part:
            self._caller.send_body(part)

    def end(self) -> None:
        """End the response."""
        remainder = self._stream.end() if self._stream is not None else b""
        if remainder:
            self._caller.send_body(remainder)
        self._caller.send_end()

    def broke_off(self) -> bool:
        """Record that the worker broke off; returns whether another one can resume."""
        if self._stream is None:
            return False
        self._stream.broke_off()
        return self._stream.can_be_resumed

    def close(self) -> None:
        """Abort the caller's connection in the middle of the response."""
        self._caller.break_off()
