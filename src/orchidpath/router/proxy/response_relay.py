"""Passes the answer of a worker on to the caller, and goes on with that of another one.

Once the head of an answer has been written nothing else can be answered: the rest follows, or the
connection is closed visibly in the middle of it.
"""

from orchidpath.forwarding.resumable_stream import ResumableStream, StitchedStreamError
from orchidpath.router.proxy.protocol_mapping import Header
from orchidpath.router.proxy.proxy_messages import AnswerHead
from orchidpath.router.proxy.proxy_server import CallerConnection
from orchidpath.router.proxy.upstream import BrokenAnswerError


class AnswerRelay:
    """The answer to one request on its way to the caller.

    Parameters
    ----------
    caller
        Where it goes.
    may_be_resumed
        Whether another worker can go on with it where its worker breaks off.
    """

    def __init__(self, caller: CallerConnection, *, may_be_resumed: bool) -> None:
        self._caller = caller
        self._stream = ResumableStream() if may_be_resumed else None
        self.has_started = False

    @property
    def last_event_id(self) -> str:
        """Event after which another worker is to go on; empty before the first."""
        return self._stream.last_event_id if self._stream is not None and self.has_started else ""

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Write the head, once: a stream that was taken up keeps that of its first worker.

        Parameters
        ----------
        status
            Status of the worker's answer.
        headers
            Its headers, as the caller is to see them.
        """
        if self.has_started:
            return
        if status != 200 or any(name == b"content-length" for name, _ in headers):
            self._stream = None
        self.has_started = True
        self._caller.send_head(AnswerHead(status=status, headers=headers))

    def pass_on(self, part: bytes) -> None:
        """Write a part of the body; of a stream that can be taken up only whole events.

        Raises
        ------
        BrokenAnswerError
            The worker that was to go on with a stream began it anew.
        """
        if self._stream is not None:
            try:
                part = self._stream.take(part)
            except StitchedStreamError as error:
                raise BrokenAnswerError(str(error)) from error
        if part:
            self._caller.send_body(part)

    def end(self) -> None:
        """End the answer."""
        rest = self._stream.end() if self._stream is not None else b""
        if rest:
            self._caller.send_body(rest)
        self._caller.send_end()

    def broke_off(self) -> bool:
        """Note that the worker broke off; returns whether another one can go on."""
        if self._stream is None:
            return False
        self._stream.broke_off()
        return self._stream.can_be_resumed

    def close(self) -> None:
        """Close the caller's connection in the middle of the answer, so that it looks broken."""
        self._caller.break_off()
