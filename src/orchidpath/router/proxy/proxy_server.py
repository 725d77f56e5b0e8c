"""HTTP server for callers of forward routes: reads complete requests, streams the responses.

The h11 library parses and writes HTTP, and rejects malformed requests. This module adds limits on
size and time, and cancels the processing of a request as soon as its caller disconnects.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import h11

from orchidpath.common.addresses import parse_address
from orchidpath.common.clock import Clock
from orchidpath.common.errors import OrchidpathError
from orchidpath.common.logs import get_logger
from orchidpath.router.proxy.protocol_mapping import Header
from orchidpath.router.proxy.proxy_messages import ForwardedRequest, ResponseHead
from orchidpath.wire.configuration import EdgeLimits

LISTEN_BACKLOG = 512
"""Number of new connections that the kernel queues until they are accepted."""

TOO_LARGE_STATUS = 413
HEAD_TOO_LARGE_STATUS = 431
TIMEOUT_STATUS = 408
FAILED_STATUS = 500

_logger = get_logger("forward_server")


class CallerDisconnectedError(OrchidpathError):
    """The caller's connection is closed, so no response can be written."""


class _RejectedRequestError(OrchidpathError):
    """A request is rejected before it was read completely; its connection is then closed."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class CallerConnection(asyncio.Protocol):
    """One connection of a caller, which carries one request at a time.

    Parameters
    ----------
    server
        Server that accepted the connection, with the limits and the request handler.
    """

    def __init__(self, server: "ProxyServer") -> None:
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().max_header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._has_input = False
        self.is_idle = True

    @property
    def is_resting(self) -> bool:
        """Whether no request is being served and no byte of a next one has arrived."""
        is_between_requests = self._http.their_state is h11.IDLE
        has_begun = self._has_input or bool(self._http.trailing_data[0])
        return self.is_idle and is_between_requests and not has_begun

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the HTTP parser (called by asyncio)."""
        self._has_input = True
        try:
            self._http.receive_data(data)
        except RuntimeError:  # h11 received bytes after the end of the stream
            self.close()
        self._wake()

    def eof_received(self) -> bool:
        """Close the connection: a caller that ends its stream has left (called by asyncio)."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected (called by asyncio)."""
        self._transport = None
        self._server.connection_closed(self)
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
        if closes or self._server.is_draining():
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
            while await self._serve_next_request() and not self._server.is_stopped:
                self._http.start_next_cycle()
        except CallerDisconnectedError:
            pass
        except _RejectedRequestError as rejected:
            self._reject(rejected)
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
        request = await self._read_request()
        if request is None:
            return False
        self.is_idle = False
        try:
            await self._server.handle(request, self)
        finally:
            self.is_idle = True
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    def _reject(self, rejected: _RejectedRequestError) -> None:
        if self._transport is None or self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        self.send_response(rejected.status, (), str(rejected).encode(), closes=True)

    def _answer_failed(self) -> None:
        """Answer with status 500, or abort a response that has begun."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._http.our_state is h11.SEND_RESPONSE:
            self.send_response(FAILED_STATUS, (), b"the router failed", closes=True)
        else:
            self.abort()

    async def _read_request(self) -> ForwardedRequest | None:
        """Return the next complete request; None if the caller closes or is idle for too long."""
        head = await self._read_head()
        if head is None:
            return None
        received_at = self._server.clock()
        limits = self._server.limits()
        body = bytearray()
        while True:
            event = await self._event_within(limits.idle_timeout_seconds)
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.Data):
                body += event.data
            if len(body) > limits.max_body_bytes:
                raise _RejectedRequestError(TOO_LARGE_STATUS, "the body is too large")
        return ForwardedRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body=bytes(body),
            received_at=received_at,
        )

    async def _read_head(self) -> h11.Request | None:
        limits = self._server.limits()
        if not self._http.trailing_data[0]:
            self._has_input = False
            try:
                await self._wait_for_input(limits.idle_timeout_seconds)
            except TimeoutError:
                return None
        event = await self._event_within(limits.header_timeout_seconds)
        if isinstance(event, h11.ConnectionClosed):
            return None
        assert isinstance(event, h11.Request)
        # h11 limits the size of a head only while the head is incomplete.
        if sum(len(name) + len(value) for name, value in event.headers) > limits.max_header_bytes:
            raise _RejectedRequestError(HEAD_TOO_LARGE_STATUS, "the head is too large")
        return event

    async def _event_within(self, seconds: float) -> h11.Event:
        """Return the next HTTP event.

        The time-out, in seconds, covers all waits for the bytes of this event together.
        """
        event = self._next_event()
        if event is not None:
            return event
        try:
            async with asyncio.timeout(seconds):
                while event is None:
                    self._has_input = False
                    await self._wait_for_input(None)
                    event = self._next_event()
        except TimeoutError as error:
            raise _RejectedRequestError(TIMEOUT_STATUS, "the request came too slowly") from error
        return event

    def _next_event(self) -> h11.Event | None:
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise _RejectedRequestError(error.error_status_hint, str(error)) from error
        if self._http.they_are_waiting_for_100_continue:
            self._write(self._http.send(h11.InformationalResponse(status_code=100, headers=[])))
        if isinstance(event, type):
            return None
        return event

    async def _wait_for_input(self, seconds: float | None) -> None:
        async with asyncio.timeout(seconds):
            while not self._has_input:
                self._waiter = asyncio.get_running_loop().create_future()
                await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _write(self, data: bytes | None) -> None:
        if self._transport is None or self._transport.is_closing():
            raise CallerDisconnectedError("the caller has closed the connection")
        if data:
            self._transport.write(data)


RequestHandler = Callable[[ForwardedRequest, CallerConnection], Awaitable[None]]
"""Responds to one request on its connection."""


class ProxyServer:
    """Accepts connections of callers at one address.

    Parameters
    ----------
    address
        ``IP:port`` to listen on; port 0 selects a free port.
    handle
        Responds to a request.
    limits
        Returns the current limits on requests.
    is_draining
        Returns whether connections close after their current response.
    clock
        Monotonic clock.
    """

    def __init__(
        self,
        address: str,
        handle: RequestHandler,
        limits: Callable[[], EdgeLimits],
        is_draining: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self.address = address
        self.handle = handle
        self.limits = limits
        self.is_draining = is_draining
        self.clock = clock
        self.connections: set[CallerConnection] = set()
        self.is_stopped = False
        self._server: asyncio.Server | None = None
        self._connection_closed = asyncio.Event()

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        host, port = parse_address(self.address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{bound_port}"

    def stop_listening(self) -> None:
        """Accept no further connections, and no further requests on open connections.

        Idle connections are closed now: their callers can't be notified otherwise before they send
        a request, and a request accepted this late may not have enough time to finish.
        """
        self.is_stopped = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            if connection.is_resting:
                connection.close()

    def connection_closed(self, connection: CallerConnection) -> None:
        """Forget a connection (called by the connection)."""
        self.connections.discard(connection)
        self._connection_closed.set()

    async def wait_until_closed(self, seconds: float) -> bool:
        """Wait until the requests that have begun to arrive are answered, after `stop_listening`.

        Returns
        -------
        bool
            False if a connection is still open after this time, in seconds.
        """
        try:
            async with asyncio.timeout(seconds):
                while self.connections:
                    self._connection_closed.clear()
                    await self._connection_closed.wait()
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.close()
