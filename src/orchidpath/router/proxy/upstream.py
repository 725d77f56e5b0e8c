"""Connections from a router to workers: one request at a time on each, reused while clean.

HTTP is h11's; this module moves its bytes and decides when a connection may be reused. One that
has failed, was left in the middle of a response or has sent unsolicited bytes is closed.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress

import h11

from orchidpath.common.addresses import parse_address
from orchidpath.common.clock import Clock
from orchidpath.common.errors import OrchidpathError
from orchidpath.router.proxy.protocol_mapping import Header
from orchidpath.router.proxy.proxy_messages import ResponseHead

CONNECT_TIMEOUT_SECONDS = 0.5
"""A worker that takes longer, in seconds, to accept a connection is taken as unreachable."""

MAX_IDLE_SECONDS = 4.0
"""An idle connection is closed after this long where its worker sends no ``Keep-Alive``."""

MAX_KEEP_ALIVE_SECONDS = 30.0
"""Upper bound on the idle time that a worker's ``Keep-Alive`` allows."""

IDLE_MARGIN_SECONDS = 1.0
"""An idle connection is closed this long before its worker would close it."""

UNACKNOWLEDGED_TIMEOUT_MILLISECONDS = 900
"""``TCP_USER_TIMEOUT``: a connection is lost when nothing was acknowledged for this long."""

KEEPALIVE_IDLE_SECONDS = 1
"""``TCP_KEEPIDLE`` and ``TCP_KEEPINTVL``: time without a byte before the kernel sends a probe."""

KEEPALIVE_PROBES = 2
"""``TCP_KEEPCNT``: unacknowledged probes after which the connection is lost."""

MAX_RESPONSE_HEAD_BYTES = 65_536
"""A response with a larger head is malformed."""


class UpstreamError(OrchidpathError):
    """A request to a worker failed; ``was_sent`` says whether any byte of it left this router."""

    def __init__(self, message: str, *, was_sent: bool) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class NoConnectionError(UpstreamError):
    """No connection could be established, so nothing was sent."""

    def __init__(self, message: str) -> None:
        super().__init__(message, was_sent=False)


class BrokenResponseError(UpstreamError):
    """The response broke off, or violates HTTP."""

    def __init__(self, message: str) -> None:
        super().__init__(message, was_sent=True)


class UpstreamConnection(asyncio.Protocol):
    """One connection to a worker."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._http = self._new_http()
        self._request = h11.Request(method="GET", target="/", headers=[("host", "")])
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._parse_problem = ""
        self._lost_problem = ""
        self._max_idle_seconds = MAX_IDLE_SECONDS
        self.is_busy = False
        self.idle_since = clock()
        self.on_lost: Callable[[UpstreamConnection], None] | None = None

    @property
    def is_usable(self) -> bool:
        """Whether it may carry another request."""
        idle_seconds = self._clock() - self.idle_since
        is_open = self._transport is not None and not self._transport.is_closing()
        return is_open and not self.is_busy and idle_seconds < self._max_idle_seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _detect_unreachable_host(transport)

    def data_received(self, data: bytes) -> None:
        """Receive bytes of the response (called by asyncio)."""
        if not self.is_busy:
            # Unsolicited: these bytes belong to no request.
            self.close()
            return
        self._receive(data)
        self._wake()

    def eof_received(self) -> bool:
        """Receive the end of the stream (called by asyncio)."""
        if self.is_busy:
            self._receive(b"")
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss; a reset never completes a response (called by asyncio)."""
        self._lost_problem = f"the connection was lost: {exc or 'closed'}"
        self._transport = None
        self._wake()
        if self.on_lost is not None:
            self.on_lost(self)

    def send(self, method: bytes, target: bytes, headers: Sequence[Header], body: bytes) -> None:
        """Write one request; raises NoConnectionError."""
        if self._transport is None or self._transport.is_closing():
            raise NoConnectionError("the connection closed before its first byte")
        self.is_busy = True
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        try:
            content = self._http.send(self._request) or b""
            if body:
                content += self._http.send(h11.Data(data=body)) or b""
            content += self._http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise NoConnectionError(f"the order can't be written: {error}") from error
        self._transport.write(content)

    async def read_head(self) -> ResponseHead:
        """Return the head of the response; raises BrokenResponseError."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenResponseError(f"{type(event).__name__} instead of an answer")
            self._record_keep_alive(event)
            return ResponseHead(
                status=event.status_code,
                headers=tuple((bytes(name), bytes(value)) for name, value in event.headers),
            )

    async def read_body(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raises BrokenResponseError."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenResponseError(f"{type(event).__name__} inside an answer")

    def skip_foreign_response(self) -> None:
        """Discard a response that was read and belongs to another request; the next is ours.

        Raises
        ------
        BrokenResponseError
            Nothing can follow on this connection.
        """
        rest, is_ended = self._http.trailing_data
        if self._http.their_state is not h11.DONE:
            raise BrokenResponseError("the answer of another request ended the connection")
        self._http = self._new_http()
        self._finish_own_side()
        if rest:
            self._receive(rest)
        if is_ended:
            self._receive(b"")

    def release(self) -> None:
        """End the exchange after its response was read; the connection stays open if clean."""
        transport = self._transport
        self.is_busy = False
        self.idle_since = self._clock()
        is_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        surplus = self._http.trailing_data[0]
        if transport is None or not is_done or surplus or transport.get_write_buffer_size():
            self.close()
            return
        self._http.start_next_cycle()

    def close(self) -> None:
        """Close at once; a worker cancels what it still does for this connection."""
        self.is_busy = False
        if self._transport is not None:
            self._transport.abort()

    def _new_http(self) -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)

    def _finish_own_side(self) -> None:
        """Bring a new parser to where the request has been sent, without sending it again."""
        self._http.send(self._request)
        length = next((int(v) for n, v in self._request.headers if n == b"content-length"), 0)
        if length:
            self._http.send(h11.Data(data=bytes(length)))
        self._http.send(h11.EndOfMessage())

    def _receive(self, data: bytes) -> None:
        if self._parse_problem:
            return
        try:
            self._http.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._parse_problem = str(error)

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._event_at_hand()
            if event is not None:
                return event
            if self._lost_problem:
                raise BrokenResponseError(self._lost_problem)
            self._waiter = self._loop.create_future()
            await self._waiter

    def _event_at_hand(self) -> h11.Event | None:
        """Return the next event of what has arrived; None if more must arrive first."""
        if self._parse_problem:
            raise BrokenResponseError(self._parse_problem)
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._parse_problem = str(error)
            raise BrokenResponseError(self._parse_problem) from error
        if event is h11.PAUSED:
            raise BrokenResponseError("the answer ended before it began")
        return None if isinstance(event, type) else event

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _record_keep_alive(self, answer: h11.Response) -> None:
        for name, value in answer.headers:
            if name == b"keep-alive":
                self._max_idle_seconds = _keep_alive_seconds(value)


class UpstreamPool:
    """Connections to all workers, by address.

    Parameters
    ----------
    clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self._open: dict[str, int] = {}
        self.connections_opened = 0

    async def connection(self, address: str, limit: int) -> UpstreamConnection:
        """Return an idle connection, the most recently used first, or a new one.

        Parameters
        ----------
        address
            ``IP:port`` of the worker.
        limit
            Connections that this router may open to it; 0 for no bound.

        Raises
        ------
        NoConnectionError
            The worker does not accept one in time, or the limit is reached.
        """
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
        if limit and self._open.get(address, 0) >= limit:
            raise NoConnectionError(f"{address}: all {limit} connections are in use")
        return await self._connect(address)

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its response was read."""
        connection.release()
        if connection.is_usable:
            self._idle.setdefault(address, deque()).append(connection)

    def release_unused(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool on which nothing was sent."""
        self._idle.setdefault(address, deque()).append(connection)

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        for address, idle in list(self._idle.items()):
            usable = deque(one for one in idle if one.is_usable)
            for connection in idle:
                if not connection.is_usable:
                    connection.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    async def _connect(self, address: str) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        self._open[address] = self._open.get(address, 0) + 1
        try:
            host, port = parse_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self._clock), host, port
                )
        except BaseException as error:
            self._lost(address)
            if isinstance(error, OSError):  # TimeoutError is an OSError
                message = f"no connection to {address}: {error or 'timed out'}"
                raise NoConnectionError(message) from error
            raise
        connection.on_lost = lambda _connection: self._lost(address)
        self.connections_opened += 1
        return connection

    def _lost(self, address: str) -> None:
        self._open[address] -= 1
        if not self._open[address]:
            del self._open[address]


def _detect_unreachable_host(transport: asyncio.Transport) -> None:
    """Have the kernel close the connection once the worker's host acknowledges nothing.

    A slow worker is waited for; an unreachable host is distinguished from it within about two
    seconds.
    """
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return
    with suppress(OSError):
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        tcp_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLISECONDS
        )


def _keep_alive_seconds(value: bytes) -> float:
    """Return how long a connection may be idle by its ``Keep-Alive`` header, in seconds."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return min(max(int(number) - IDLE_MARGIN_SECONDS, 0.0), MAX_KEEP_ALIVE_SECONDS)
    return MAX_IDLE_SECONDS
