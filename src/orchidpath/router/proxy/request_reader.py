"""Reads the requests of one caller's connection within the limits on size, time and memory.

The h11 library parses HTTP and rejects malformed requests. What a connection has received waits
here until the parser needs it, so that it can be dropped at once when others need the memory. A
connection with much to parse stops receiving, and lets other connections go first.
"""

import asyncio
from collections.abc import Callable

import h11

from orchidpath.common.clock import Clock
from orchidpath.common.errors import OrchidpathError
from orchidpath.common.event_loop_turns import EventLoopTurns
from orchidpath.common.request_memory import RequestMemory
from orchidpath.router.proxy.proxy_messages import ForwardedRequest
from orchidpath.wire.configuration import EdgeLimits

TOO_LARGE_STATUS = 413
HEAD_TOO_LARGE_STATUS = 431
TIMEOUT_STATUS = 408
NO_MEMORY_STATUS = 503

NO_MEMORY_RETRY_SECONDS = 1.0
"""``Retry-After`` of a request that is refused because other requests take the memory."""

MAX_UNPARSED_BYTES = 65_536
"""A connection receives no more while this much of what it has received is not parsed."""

PARSED_PIECE_BYTES = 16_384
"""Received bytes that are given to the parser at once; it can't drop them any more."""

EVENTS_PER_TURN = 64
"""Number of HTTP events that a connection parses in one turn; ordinary requests have fewer."""

LARGE_HEAD_BYTES = 4096
"""A head that may be larger than this waits for a turn before it is parsed."""

HEADER_OVERHEAD_BYTES = 256
"""Memory of a parsed header, besides its text."""

MAX_LINGERING = 64
"""Connections that discard input after a rejection at once; further ones close without it."""


class RejectedRequestError(OrchidpathError):
    """A request is rejected before it was read completely; its connection is then closed."""

    def __init__(self, status: int, reason: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_seconds = retry_after_seconds


class ReadingLimits:
    """What the connections of one server share to bound what they read.

    Parameters
    ----------
    edge_limits
        Returns the current limits on one request.
    memory
        Memory for all requests of the process.
    clock
        Monotonic clock.
    """

    def __init__(
        self, edge_limits: Callable[[], EdgeLimits], memory: RequestMemory, clock: Clock
    ) -> None:
        self.edge_limits = edge_limits
        self.memory = memory
        self.clock = clock
        self.turns = EventLoopTurns()
        self.lingering = 0


class RequestReader:
    """Reads one request after another from the bytes that a connection receives.

    Parameters
    ----------
    http
        HTTP parser of the connection, which also writes the responses.
    limits
        What the connections of one server share.
    write
        Writes bytes to the caller.
    set_receiving
        Lets the connection receive, or stops it.
    abort
        Aborts the connection, which cancels the request that is being served.
    """

    def __init__(
        self,
        http: h11.Connection,
        limits: ReadingLimits,
        write: Callable[[bytes | None], None],
        set_receiving: Callable[[bool], None],
        abort: Callable[[], None],
    ) -> None:
        self._http = http
        self._limits = limits
        self._write = write
        self._set_receiving = set_receiving
        self._abort = abort
        self._share = limits.memory.new_share(self.refuse_for_memory)
        self._waiter: asyncio.Future[None] | None = None
        self._received = bytearray()
        self._given_bytes = 0
        self._head_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._event_count = 0
        self._has_input = False
        self._refusal: RejectedRequestError | None = None
        self._is_closed = False
        self.is_serving = False

    @property
    def is_resting(self) -> bool:
        """Whether no byte of a next request has arrived since the last one was answered."""
        is_between_requests = self._http.their_state is h11.IDLE
        return is_between_requests and not self._unparsed_bytes and not self.is_serving

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        if self._refusal is not None or self._is_closed:
            return
        self._received += data
        self._has_input = True
        self._charge_memory()
        self._wake()

    async def read_request(self) -> ForwardedRequest | None:
        """Return the next complete request; None if the caller closes or is idle for too long.

        Raises
        ------
        RejectedRequestError
            The request violates HTTP or a limit, or there is no memory for it.
        """
        head = await self._read_head()
        if head is None:
            return None
        received_at = self._limits.clock()
        await self._read_body(head)
        self._count_given()
        if not self._share.try_complete():
            raise _no_memory_error()
        self.is_serving = True
        body = bytes(self._body)
        self._body = bytearray()
        return ForwardedRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body=body,
            received_at=received_at,
        )

    def finish_request(self) -> None:
        """Give back the memory of the request that was answered."""
        self.is_serving = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._share.release()
        self._charge_memory()

    def close(self) -> None:
        """Give back the memory of a connection that reads no further request."""
        self._is_closed = True
        self._drop()
        self._share.release()

    def refuse_for_memory(self) -> None:
        """Reject the request that is arriving, as other requests take the memory.

        While a request is served, the connection is aborted instead: its caller sends on without
        waiting for the answer.
        """
        self._refusal = _no_memory_error()
        self._drop()
        if self.is_serving:
            self._abort()
            return
        self._set_receiving(False)
        self._wake()

    @property
    def _unparsed_bytes(self) -> int:
        """Received bytes that the parser has not used, up to a piece that it may have used."""
        return len(self._received) + self._given_bytes

    def _drop(self) -> None:
        self._received = bytearray()
        self._body = bytearray()

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits.edge_limits()
        if self._unparsed_bytes:
            await self._limits.turns.next_turn()
        else:
            self._has_input = False
            try:
                await self._wait_for_input(limits.idle_timeout_seconds)
            except TimeoutError:
                return None
            if self._unparsed_bytes > LARGE_HEAD_BYTES:
                await self._limits.turns.next_turn()
        event = await self._event_within(limits.header_timeout_seconds)
        if isinstance(event, h11.ConnectionClosed):
            return None
        assert isinstance(event, h11.Request)
        # h11 limits the size of a head only while the head is incomplete.
        text_bytes = sum(len(name) + len(value) for name, value in event.headers)
        if text_bytes > limits.max_header_bytes:
            raise RejectedRequestError(HEAD_TOO_LARGE_STATUS, "the head is too large")
        self._head_bytes = text_bytes + HEADER_OVERHEAD_BYTES * len(event.headers)
        self._charge_memory()
        return event

    async def _read_body(self, head: h11.Request) -> None:
        """Collect the body; its limits are those of the configuration when its head arrived."""
        limits = self._limits.edge_limits()
        if _announced_bytes(head) > limits.max_body_bytes:
            raise RejectedRequestError(TOO_LARGE_STATUS, "the body is too large")
        while True:
            event = await self._event_within(limits.idle_timeout_seconds)
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                continue
            if self._body_bytes + len(event.data) > limits.max_body_bytes:
                raise RejectedRequestError(TOO_LARGE_STATUS, "the body is too large")
            self._body += event.data
            self._body_bytes = len(self._body)

    async def _event_within(self, seconds: float) -> h11.Event:
        """Return the next HTTP event.

        The time-out, in seconds, covers all waits for the bytes of this event together.
        """
        self._event_count += 1
        if self._event_count % EVENTS_PER_TURN == 0:
            await self._limits.turns.next_turn()
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
            raise RejectedRequestError(TIMEOUT_STATUS, "the request came too slowly") from error
        return event

    def _next_event(self) -> h11.Event | None:
        """Return the next event of what was received; None if more bytes are needed."""
        while True:
            if self._refusal is not None:
                raise self._refusal
            event = self._parse()
            if event is not None:
                return event
            self._count_given()
            if not self._give_piece():
                return None

    def _parse(self) -> h11.Event | None:
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise RejectedRequestError(error.error_status_hint, str(error)) from error
        if self._http.they_are_waiting_for_100_continue:
            self._write(self._http.send(h11.InformationalResponse(status_code=100, headers=[])))
        return None if isinstance(event, type) else event

    def _give_piece(self) -> bool:
        """Give the next received bytes to the parser; return False if there are none."""
        piece = bytes(self._received[:PARSED_PIECE_BYTES])
        if not piece:
            return False
        del self._received[:PARSED_PIECE_BYTES]
        self._http.receive_data(piece)
        self._given_bytes += len(piece)
        return True

    def _count_given(self) -> None:
        """Count what the parser has not used: an incomplete head or line, or a next request."""
        self._given_bytes = len(self._http.trailing_data[0])
        self._charge_memory()

    def _charge_memory(self) -> None:
        """Charge what is held, and receive only while little of it is not parsed."""
        if self._is_closed:
            return
        unparsed_bytes = self._unparsed_bytes
        self._share.resize(self._head_bytes + self._body_bytes + unparsed_bytes)
        if self._refusal is None:
            self._set_receiving(unparsed_bytes < MAX_UNPARSED_BYTES)

    async def _wait_for_input(self, seconds: float | None) -> None:
        async with asyncio.timeout(seconds):
            while not self._has_input and self._refusal is None:
                self._waiter = asyncio.get_running_loop().create_future()
                await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _announced_bytes(head: h11.Request) -> int:
    """Return the length of the body that a head announces; 0 if it announces none."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)


def _no_memory_error() -> RejectedRequestError:
    return RejectedRequestError(
        NO_MEMORY_STATUS, "too many requests are arriving", NO_MEMORY_RETRY_SECONDS
    )
