"""Connections from a router to workers: one order at a time on each, kept while they are clean.

HTTP is h11's; this module moves its bytes and decides when a connection may be used again. One
that has failed, was left in the middle of an answer or has said anything that nobody asked for is
closed.
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
from orchidpath.router.proxy.proxy_messages import AnswerHead

CONNECT_TIMEOUT_SECONDS = 0.5
"""A worker that takes longer to accept a connection is taken as unreachable."""

LONGEST_REST_SECONDS = 4.0
"""A connection to a worker that says nothing of it rests no longer; then it is closed."""

MAX_KEEP_ALIVE_SECONDS = 30.0
"""The same where a worker says how long it keeps connections."""

REST_MARGIN_SECONDS = 1.0
"""A connection is given up this long before its worker would close it."""

SILENT_MACHINE_MILLISECONDS = 900
"""A connection is lost when the worker's machine has acknowledged nothing for this long."""

KEEPALIVE_SECONDS = 1
"""Time without a byte after which the kernel asks whether the machine is still there."""

KEEPALIVE_PROBES = 2
"""Unanswered questions after which the connection is lost."""

MAX_ANSWER_HEAD_BYTES = 65_536
"""A worker's answer with a larger head is taken as malformed."""


class UpstreamError(OrchidpathError):
    """An order to a worker failed; ``was_sent`` says whether any byte of it left this router."""

    def __init__(self, message: str, *, was_sent: bool) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class NoConnectionError(UpstreamError):
    """No connection could be had, so nothing was sent."""

    def __init__(self, message: str) -> None:
        super().__init__(message, was_sent=False)


class BrokenAnswerError(UpstreamError):
    """The answer broke off, or is not one that HTTP allows."""

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
        self._rest_seconds = LONGEST_REST_SECONDS
        self.is_busy = False
        self.rested_since = clock()
        self.on_lost: Callable[[UpstreamConnection], None] | None = None

    @property
    def is_usable(self) -> bool:
        """Whether it may carry another order."""
        rested = self._clock() - self.rested_since
        is_open = self._transport is not None and not self._transport.is_closing()
        return is_open and not self.is_busy and rested < self._rest_seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _detect_silent_machine(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the answer (called by asyncio)."""
        if not self.is_busy:
            # Nobody has asked for these: they belong to no request.
            self.close()
            return
        self._receive(data)
        self._wake()

    def eof_received(self) -> bool:
        """Take the end of the stream (called by asyncio)."""
        if self.is_busy:
            self._receive(b"")
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end; a reset never ends an answer (called by asyncio)."""
        self._lost_problem = f"the connection was lost: {exc or 'closed'}"
        self._transport = None
        self._wake()
        if self.on_lost is not None:
            self.on_lost(self)

    def send(self, method: bytes, target: bytes, headers: Sequence[Header], body: bytes) -> None:
        """Write one order."""
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

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer; raises BrokenAnswerError."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenAnswerError(f"{type(event).__name__} instead of an answer")
            self._record_keep_alive(event)
            return AnswerHead(
                status=event.status_code,
                headers=tuple((bytes(name), bytes(value)) for name, value in event.headers),
            )

    async def read_body(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raises BrokenAnswerError."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenAnswerError(f"{type(event).__name__} inside an answer")

    def skip_foreign_answer(self) -> None:
        """Forget an answer that was read whole and belongs to another request; the next is ours.

        Raises
        ------
        BrokenAnswerError
            Nothing can follow on this connection.
        """
        rest, is_ended = self._http.trailing_data
        if self._http.their_state is not h11.DONE:
            raise BrokenAnswerError("the answer of another request ended the connection")
        self._http = self._new_http()
        self._finish_own_side()
        if rest:
            self._receive(rest)
        if is_ended:
            self._receive(b"")

    def release(self) -> None:
        """End the order after its answer was read whole; the connection rests if it is clean."""
        transport = self._transport
        self.is_busy = False
        self.rested_since = self._clock()
        is_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        surplus = self._http.trailing_data[0]
        if transport is None or not is_done or surplus or transport.get_write_buffer_size():
            self.close()
            return
        self._http.start_next_cycle()

    def close(self) -> None:
        """Close at once; a worker drops what it still does for this connection."""
        self.is_busy = False
        if self._transport is not None:
            self._transport.abort()

    def _new_http(self) -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)

    def _finish_own_side(self) -> None:
        """Bring a new parser to where the order has been sent, without sending it again."""
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
                raise BrokenAnswerError(self._lost_problem)
            self._waiter = self._loop.create_future()
            await self._waiter

    def _event_at_hand(self) -> h11.Event | None:
        """Return the next event of what has arrived; None if more must arrive first."""
        if self._parse_problem:
            raise BrokenAnswerError(self._parse_problem)
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            self._parse_problem = str(error)
            raise BrokenAnswerError(self._parse_problem) from error
        if event is h11.PAUSED:
            raise BrokenAnswerError("the answer ended before it began")
        return None if isinstance(event, type) else event

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _record_keep_alive(self, answer: h11.Response) -> None:
        for name, value in answer.headers:
            if name == b"keep-alive":
                self._rest_seconds = _rest_seconds(value)


class UpstreamPool:
    """Connections to all workers, by address.

    Parameters
    ----------
    clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._resting: dict[str, deque[UpstreamConnection]] = {}
        self._open: dict[str, int] = {}
        self.connections_opened = 0

    async def connection(self, address: str, limit: int) -> UpstreamConnection:
        """Return a connection that is free, the one used last first, or a new one.

        Parameters
        ----------
        address
            ``IP:port`` of the worker.
        limit
            Connections that this router may hold to it; 0 for no bound.

        Raises
        ------
        NoConnectionError
            The worker does not accept one in time, or the limit is reached.
        """
        resting = self._resting.get(address)
        while resting:
            connection = resting.pop()
            if connection.is_usable:
                return connection
            connection.close()
        if limit and self._open.get(address, 0) >= limit:
            raise NoConnectionError(f"{address}: all {limit} connections are in use")
        return await self._connect(address)

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Give a connection back after its answer was read whole."""
        connection.release()
        if connection.is_usable:
            self._resting.setdefault(address, deque()).append(connection)

    def release_unused(self, address: str, connection: UpstreamConnection) -> None:
        """Give a connection back on which nothing was sent."""
        self._resting.setdefault(address, deque()).append(connection)

    def close_rested(self) -> None:
        """Close connections that have rested for too long."""
        for address, resting in list(self._resting.items()):
            kept = deque(one for one in resting if one.is_usable)
            for connection in resting:
                if not connection.is_usable:
                    connection.close()
            if kept:
                self._resting[address] = kept
            else:
                del self._resting[address]

    def close(self) -> None:
        """Close every connection that rests."""
        for resting in self._resting.values():
            for connection in resting:
                connection.close()
        self._resting.clear()

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


def _detect_silent_machine(transport: asyncio.Transport) -> None:
    """Have the kernel close the connection once the worker's machine acknowledges nothing.

    A slow worker is waited for; one that has gone dark is told from it within about two seconds.
    """
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return
    with suppress(OSError):
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        tcp_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MACHINE_MILLISECONDS
        )


def _rest_seconds(value: bytes) -> float:
    """Return how long a connection may rest by its ``Keep-Alive`` header."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return min(max(int(number) - REST_MARGIN_SECONDS, 0.0), MAX_KEEP_ALIVE_SECONDS)
    return LONGEST_REST_SECONDS
