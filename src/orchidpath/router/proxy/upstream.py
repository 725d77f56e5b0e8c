"""Pooled HTTP connections from a router to workers, each with one request at a time.

The h11 library parses and writes HTTP. This module does the socket I/O and decides when a
connection may be reused. A connection is closed if it failed, if it was abandoned in the middle of
a response, or if its worker sent unsolicited bytes.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress

import h11

from orchidpath.common.addresses import AddressError, parse_address
from orchidpath.common.clock import Clock
from orchidpath.common.digits import number_of_digits
from orchidpath.common.errors import OrchidpathError
from orchidpath.router.proxy.protocol_mapping import Header
from orchidpath.router.proxy.proxy_messages import ResponseHead

CONNECT_TIMEOUT_SECONDS = 0.5
"""A worker that takes longer to accept a connection is treated as unreachable."""

MAX_IDLE_SECONDS = 4.0
"""An idle connection is closed after this time if its worker sent no ``Keep-Alive`` header."""

MAX_KEEP_ALIVE_SECONDS = 30.0
"""Upper bound on the idle time, also if the ``Keep-Alive`` header of a worker allows more."""

IDLE_MARGIN_SECONDS = 1.0
"""An idle connection is closed this much earlier than its worker would close it."""

UNACKNOWLEDGED_TIMEOUT_MILLISECONDS = 900
"""``TCP_USER_TIMEOUT``: a connection is lost if sent data is not acknowledged for this long."""

MAX_UNREAD_BYTES = 262_144
"""A worker's connection receives no more while this much of a response is not read."""

KEEPALIVE_IDLE_SECONDS = 1
"""``TCP_KEEPIDLE``, ``TCP_KEEPINTVL``: time without a byte after which the kernel probes."""

KEEPALIVE_PROBES = 2
"""``TCP_KEEPCNT``: number of unacknowledged probes after which the connection is lost."""

MAX_RESPONSE_HEAD_BYTES = 65_536
"""Upper bound on the head of a response; a larger head is malformed."""


class UpstreamError(OrchidpathError):
    """A request to a worker failed; ``was_sent`` is whether any of its bytes may have been sent."""

    def __init__(self, message: str, *, was_sent: bool) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class NoConnectionError(UpstreamError):
    """No connection could be established, so nothing was sent."""

    def __init__(self, message: str) -> None:
        super().__init__(message, was_sent=False)


class BrokenResponseError(UpstreamError):
    """The response was truncated, or violates HTTP."""

    def __init__(self, message: str) -> None:
        super().__init__(message, was_sent=True)


class UpstreamConnection(asyncio.Protocol):
    """One connection to a worker, which carries one request at a time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._http = self._new_http()
        self._request = h11.Request(method="GET", target="/", headers=[("host", "")])
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._parse_problem = ""
        self._lost_problem = ""
        self._unread_bytes = 0
        self._max_idle_seconds = MAX_IDLE_SECONDS
        self.is_in_use = False
        self.idle_since = clock()
        self.on_lost: Callable[[UpstreamConnection], None] | None = None

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open, not in use, and not idle for too long."""
        idle_seconds = self._clock() - self.idle_since
        is_open = self._transport is not None and not self._transport.is_closing()
        return is_open and not self.is_in_use and idle_seconds < self._max_idle_seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _detect_unreachable_host(transport)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the HTTP parser (called by asyncio)."""
        if not self.is_in_use:
            # Unsolicited bytes: they must not be read as the response to the next request.
            self.close()
            return
        self._receive(data)
        self._set_unread(self._unread_bytes + len(data))
        self._wake()

    def eof_received(self) -> bool:
        """Pass the end of the stream to the HTTP parser (called by asyncio)."""
        if self.is_in_use:
            self._receive(b"")
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection was lost (called by asyncio).

        Unlike the end of the stream, a reset never completes a response.
        """
        self._lost_problem = f"the connection was lost: {exc or 'closed'}"
        self._transport = None
        self._wake()
        if self.on_lost is not None:
            self.on_lost(self)

    def send(self, method: bytes, target: bytes, headers: Sequence[Header], body: bytes) -> None:
        """Write one request.

        Raises
        ------
        NoConnectionError
            The connection is closed, or the request is not valid HTTP; nothing was sent.
        """
        if self._transport is None or self._transport.is_closing():
            raise NoConnectionError(
                "the connection closed before the first byte of the request was sent"
            )
        self.is_in_use = True
        try:
            self._request = h11.Request(method=method, target=target, headers=list(headers))
            content = self._http.send(self._request) or b""
            if body:
                content += self._http.send(h11.Data(data=body)) or b""
            content += self._http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            self.close()
            raise NoConnectionError(f"the request is not valid HTTP: {error}") from error
        self._transport.write(content)

    async def read_head(self) -> ResponseHead:
        """Return the head of the response.

        Raises
        ------
        BrokenResponseError
            The connection was lost, or the received bytes are not an HTTP response.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenResponseError(
                    f"{type(event).__name__} received instead of the head of a response"
                )
            self._record_keep_alive(event)
            return ResponseHead(
                status=event.status_code,
                headers=tuple((bytes(name), bytes(value)) for name, value in event.headers),
            )

    async def read_body(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        Raises
        ------
        BrokenResponseError
            The response was truncated, or violates HTTP.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenResponseError(f"{type(event).__name__} received in the body of a response")

    def skip_foreign_response(self) -> None:
        """Prepare to read another response, after one to a different request was read.

        Raises
        ------
        BrokenResponseError
            The connection ends with the response that was read.
        """
        rest, is_ended = self._http.trailing_data
        if self._http.their_state is not h11.DONE:
            raise BrokenResponseError("the connection ended with the response to another request")
        self._http = self._new_http()
        self._replay_sent_request()
        if rest:
            self._receive(rest)
        if is_ended:
            self._receive(b"")

    def release(self) -> None:
        """End an exchange; close the connection unless both messages are complete.

        It is also closed if surplus bytes arrived or the request is still being written.
        """
        transport = self._transport
        self._set_unread(0)
        self.is_in_use = False
        self.idle_since = self._clock()
        is_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        surplus = self._http.trailing_data[0]
        if transport is None or not is_done or surplus or transport.get_write_buffer_size():
            self.close()
            return
        self._http.start_next_cycle()

    def close(self) -> None:
        """Abort the connection; the worker then cancels the request that it runs for it."""
        self.is_in_use = False
        if self._transport is not None:
            self._transport.abort()

    def _new_http(self) -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)

    def _replay_sent_request(self) -> None:
        """Advance a new parser past the sent request, without writing the request again."""
        self._http.send(self._request)
        length = next((int(v) for n, v in self._request.headers if n == b"content-length"), 0)
        if length:
            self._http.send(h11.Data(data=bytes(length)))
        self._http.send(h11.EndOfMessage())

    def _set_unread(self, unread_bytes: int) -> None:
        """Receive no more while too much of the response waits to be relayed."""
        was_paused = self._unread_bytes >= MAX_UNREAD_BYTES
        is_paused = unread_bytes >= MAX_UNREAD_BYTES
        self._unread_bytes = unread_bytes
        if self._transport is None or was_paused == is_paused:
            return
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _receive(self, data: bytes) -> None:
        if self._parse_problem:
            return
        try:
            self._http.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._parse_problem = str(error)

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._parse_next_event()
            if event is not None:
                return event
            self._set_unread(0)
            if self._lost_problem:
                raise BrokenResponseError(self._lost_problem)
            self._waiter = self._loop.create_future()
            await self._waiter

    def _parse_next_event(self) -> h11.Event | None:
        """Return the next event from the received bytes; None if more bytes are needed."""
        if self._parse_problem:
            raise BrokenResponseError(self._parse_problem)
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._parse_problem = str(error)
            raise BrokenResponseError(self._parse_problem) from error
        if event is h11.PAUSED:
            raise BrokenResponseError(
                "no response can follow: the last one is complete or switched the protocol"
            )
        return None if isinstance(event, type) else event

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _record_keep_alive(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name == b"keep-alive":
                self._max_idle_seconds = _keep_alive_seconds(value)


class UpstreamPool:
    """Pool of connections to all workers, by the address of the worker.

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

    async def connection(
        self, address: str, limit: int, avoided: Sequence[UpstreamConnection] = ()
    ) -> UpstreamConnection:
        """Return an idle connection, the most recently used first, or a new one.

        Parameters
        ----------
        address
            ``IP:port`` of the worker.
        limit
            Connections that this router may have open to the worker; 0 for no limit.
        avoided
            Connections that are not returned. If the limit is reached and one of them is idle, it
            is closed, and a new connection takes its place.

        Raises
        ------
        NoConnectionError
            The worker does not accept a connection in time, or the limit is reached.
        """
        connection = self._take_idle(address, avoided)
        if connection is not None:
            return connection
        if limit and self._open.get(address, 0) >= limit and not self._close_one_idle(address):
            raise NoConnectionError(f"{address}: all {limit} connections are in use")
        return await self._connect(address)

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its response was read, if it can be reused."""
        connection.release()
        if connection.is_usable:
            self._idle.setdefault(address, deque()).append(connection)

    def release_unused(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool that carried no request."""
        self._idle.setdefault(address, deque()).append(connection)

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        for address, idle in list(self._idle.items()):
            usable = deque(connection for connection in idle if connection.is_usable)
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

    def _take_idle(
        self, address: str, avoided: Sequence[UpstreamConnection]
    ) -> UpstreamConnection | None:
        """Take the most recently used idle connection that is not avoided; None without one."""
        idle = self._idle.get(address, deque())
        for connection in list(reversed(idle)):
            if not connection.is_usable:
                idle.remove(connection)
                connection.close()
            elif connection not in avoided:
                idle.remove(connection)
                return connection
        return None

    def _close_one_idle(self, address: str) -> bool:
        """Close the idle connection that was used least recently; return False without one."""
        idle = self._idle.get(address)
        if not idle:
            return False
        idle.popleft().close()
        return True

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
            if isinstance(error, OSError | AddressError):  # TimeoutError is an OSError
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
    """Set socket options with which the kernel closes connections to an unreachable host.

    The host of a slow worker still acknowledges packets, so that worker is waited for. An
    unreachable host is detected within about two seconds.
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
    """Return the idle time, in seconds, that a ``Keep-Alive`` header allows a connection."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        seconds = number_of_digits(number.strip())
        if name.lower() == b"timeout" and seconds is not None:
            longest = MAX_KEEP_ALIVE_SECONDS + IDLE_MARGIN_SECONDS
            return max(min(seconds, longest) - IDLE_MARGIN_SECONDS, 0.0)
    return MAX_IDLE_SECONDS
