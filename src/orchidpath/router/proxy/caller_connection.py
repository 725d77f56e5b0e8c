"""One connection of a caller of forward routes: reads its requests, writes their responses.

The processing of a request is cancelled as soon as its caller disconnects.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import h11

from orchidpath.common.errors import OrchidpathError
from orchidpath.common.logs import get_logger
from orchidpath.router.proxy.protocol_mapping import Header
from orchidpath.router.proxy.proxy_messages import ForwardedRequest, ResponseHead
from orchidpath.router.proxy.request_reader import (
    MAX_LINGERING,
    ReadingLimits,
    RejectedRequestError,
    RequestReader,
)

FAILED_STATUS = 500

REJECTION_LINGER_SECONDS = 1.0
"""After a rejection, what the caller still sends is discarded for this long.

A connection that closes with unread bytes is reset, and the caller might lose the response.
"""

_logger = get_logger("forward_server")


class CallerDisconnectedError(OrchidpathError):
    """The caller's connection is closed, so no response can be written."""


class ConnectionOwner:
    """What a connection needs from the server that accepted it.

    Parameters
    ----------
    handle
        Responds to a request.
    is_draining
        Returns whether connections close after their current response.
    limits
        Bounds on what all connections of the server read.
    """

    def __init__(
        self,
        handle: "RequestHandler",
        is_draining: Callable[[], bool],
        limits: ReadingLimits,
    ) -> None:
        self.handle = handle
        self.is_draining = is_draining
        self.limits = limits
        self.is_stopped = False

    def connection_opened(self, connection: "CallerConnection") -> bool:
        """Register a connection; return False if there is no room for it."""
        raise NotImplementedError

    def request_finished(self, connection: "CallerConnection") -> None:
        """Record that a request of a connection was answered."""
        raise NotImplementedError

    def request_rejected(self, status: int) -> None:
        """Record that a request was rejected before it was read completely."""
        raise NotImplementedError

    def connection_closed(self, connection: "CallerConnection") -> None:
        """Forget a connection."""
        raise NotImplementedError


class CallerConnection(asyncio.Protocol):
    """One connection of a caller, which carries one request at a time.

    Parameters
    ----------
    owner
        Server that accepted the connection, with the limits and the request handler.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        limits = owner.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.edge_limits().max_header_bytes
        )
        self._reader = RequestReader(
            self._http, limits, self._write, self._set_receiving, self.abort
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_receiving = True

    @property
    def is_resting(self) -> bool:
        """Whether no request is being served and no byte of a next one has arrived."""
        return self._reader.is_resting

    @property
    def is_serving(self) -> bool:
        """Whether a complete request is being served."""
        return self._reader.is_serving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._owner.connection_opened(self):
            transport.abort()
            return
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the HTTP parser (called by asyncio)."""
        self._reader.receive(data)

    def eof_received(self) -> bool:
        """Close the connection: a caller that ends its stream has left (called by asyncio)."""
        return False

    def pause_writing(self) -> None:
        """Hold back the response to a caller that does not read (called by asyncio)."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Continue to write (called by asyncio)."""
        self._can_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected (called by asyncio)."""
        self._transport = None
        self._can_write.set()
        self._reader.close()
        self._owner.connection_closed(self)
        if self._task is not None:
            self._task.cancel()

    def send_head(self, head: ResponseHead, *, closes: bool = False) -> None:
        """Write the status and the headers of a response.

        Parameters
        ----------
        head
            Status and headers; without a ``Content-Length`` the body is sent in chunks.
        closes
            Whether the connection closes after this response.
        """
        headers = list(head.headers)
        if closes or self._owner.is_draining():
            headers.append((b"connection", b"close"))
        self._write(self._http.send(h11.Response(status_code=head.status, headers=headers)))

    def send_body(self, data: bytes) -> None:
        """Write a part of the response body."""
        self._write(self._http.send(h11.Data(data=data)))

    def send_end(self) -> None:
        """Write the end of the response."""
        self._write(self._http.send(h11.EndOfMessage()))

    def send_response(
        self, status: int, headers: Sequence[Header], body: bytes, *, closes: bool = False
    ) -> None:
        """Write a complete response with a ``Content-Length``."""
        length = (b"content-length", b"%d" % len(body))
        self.send_head(ResponseHead(status=status, headers=(*headers, length)), closes=closes)
        if body:
            self.send_body(body)
        self.send_end()

    async def wait_until_writable(self) -> None:
        """Wait until the caller has read enough of what was written to it."""
        await self._can_write.wait()

    def close(self) -> None:
        """Close after the written bytes were sent; an unfinished response is visibly truncated."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees that the response is incomplete."""
        if self._transport is not None:
            self._transport.abort()

    async def _serve(self) -> None:
        try:
            while await self._serve_next_request() and not self._owner.is_stopped:
                self._http.start_next_cycle()
                await self.wait_until_writable()
        except CallerDisconnectedError:
            pass
        except RejectedRequestError as rejected:
            await self._reject(rejected)
        except h11.LocalProtocolError as error:
            # The body is shorter or longer than its head states. The caller must not mistake the
            # response for a complete one.
            _logger.warning("answer_broken_off", reason=str(error))
            self.abort()
        except Exception as error:
            # Outermost loop of a connection: the caller gets an answer, and the log the fault.
            _logger.exception("request_failed", error=str(error))
            self._answer_failed()
        finally:
            self.close()

    async def _serve_next_request(self) -> bool:
        """Serve the next request; return whether the connection can carry another one."""
        request = await self._reader.read_request()
        if request is None:
            return False
        try:
            await self._owner.handle(request, self)
        finally:
            self._reader.finish_request()
            self._owner.request_finished(self)
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _reject(self, rejected: RejectedRequestError) -> None:
        """Answer a request that was not read completely, and let the caller read the answer."""
        if self._transport is None or self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        self._owner.request_rejected(rejected.status)
        headers: list[Header] = []
        if rejected.retry_after_seconds is not None:
            headers.append((b"retry-after", b"%.2f" % rejected.retry_after_seconds))
        self._reader.close()
        try:
            self.send_response(rejected.status, headers, str(rejected).encode(), closes=True)
        except CallerDisconnectedError:
            return
        await self._discard_input()

    async def _discard_input(self) -> None:
        """Discard for a while what the caller still sends, unless many connections do so."""
        limits = self._owner.limits
        if self._transport is None or limits.lingering >= MAX_LINGERING:
            return
        limits.lingering += 1
        try:
            self._transport.write_eof()
            self._set_receiving(True)
            await asyncio.sleep(REJECTION_LINGER_SECONDS)
        finally:
            limits.lingering -= 1

    def _answer_failed(self) -> None:
        """Answer with status 500, or abort a response that has begun."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._http.our_state is h11.SEND_RESPONSE:
            self.send_response(FAILED_STATUS, (), b"the router failed", closes=True)
        else:
            self.abort()

    def _write(self, data: bytes | None) -> None:
        if self._transport is None or self._transport.is_closing():
            raise CallerDisconnectedError("the caller has closed the connection")
        if data:
            self._transport.write(data)

    def _set_receiving(self, receives: bool) -> None:
        if self._transport is None or receives == self._is_receiving:
            return
        self._is_receiving = receives
        if receives:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()


RequestHandler = Callable[[ForwardedRequest, CallerConnection], Awaitable[None]]
"""Responds to one request on its connection."""
