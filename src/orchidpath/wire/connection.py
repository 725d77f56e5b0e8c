"""Connections between two processes of the fleet: frames over TCP, Hello first in both directions.

Callers are built for loss, so sending never waits: a message goes out soon, or the connection is
closed and the message is lost with it. Messages are handed over synchronously and in order.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

import msgspec

from orchidpath.common.addresses import AddressError, format_address, parse_address
from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.errors import (
    ConnectError,
    ConnectionClosedError,
    FleetMismatchError,
    HelloError,
    SlowPeerError,
)
from orchidpath.wire.framing import FrameDecoder, FrameError, encode_frame
from orchidpath.wire.link_faults import Fate, LinkFaults
from orchidpath.wire.messages import Hello, Message

MAX_OUTGOING_BYTES = 64 * 1024 * 1024
"""Unsent bytes at which a peer that does not read loses its connection."""

HELLO_TIMEOUT_SECONDS = 2.0
"""A listener closes a connection on which no Hello came within this time."""

SILENT_PEER_SECONDS = 5
"""The kernel closes a connection whose peer machine acknowledged nothing for this long."""

_KEEPALIVE_PERIOD_SECONDS = 1

MessageHandler = Callable[["Connection", Message], None]
"""Called for each message after Hello, synchronously and in order."""

ConnectionHandler = Callable[["Connection"], None]
"""Called when a connection has exchanged Hello, or when such a connection has closed."""


def _ignore(_connection: "Connection") -> None:
    """Do nothing."""


class Connection(asyncio.Protocol):
    """One connection; made by :func:`connect` or by a :class:`Listener`.

    Parameters
    ----------
    hello
        What this end says of itself.
    on_connect, on_message, on_close
        Called with this connection; ``on_close`` only after ``on_connect``.
    faults
        Injected faults, for tests.
    max_outgoing_bytes
        Unsent bytes at which the connection is closed.
    """

    def __init__(
        self,
        hello: Hello,
        on_connect: ConnectionHandler,
        on_message: MessageHandler,
        on_close: ConnectionHandler,
        *,
        faults: LinkFaults | None = None,
        max_outgoing_bytes: int = MAX_OUTGOING_BYTES,
    ) -> None:
        self.closed = asyncio.Event()
        self.error: Exception | None = None
        self.dialled_address = ""
        self._hello = hello
        self._on_connect = on_connect
        self._on_message = on_message
        self._on_close = on_close
        self._faults = faults
        self._max_outgoing_bytes = max_outgoing_bytes
        self._remote: Hello | None = None
        self._decoder = FrameDecoder()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._hello_timer: asyncio.TimerHandle | None = None

    @property
    def remote(self) -> Hello:
        """What the other end said of itself.

        Raises
        ------
        HelloError
            The other end has not said it yet.
        """
        if self._remote is None:
            raise HelloError("the other end has sent no Hello yet")
        return self._remote

    @property
    def is_open(self) -> bool:
        """Whether Hello was exchanged and the connection is not closed."""
        return self._remote is not None and self._transport is not None

    def send(self, message: Message) -> bool:
        """Queue a message without waiting.

        Returns
        -------
        bool
            False when the connection is closed and the message is lost for certain; True promises
            nothing.

        Raises
        ------
        FrameTooLargeError
            The message is too large for a frame; the connection stays usable.
        """
        if self._transport is None:
            return False
        frame = encode_frame(message)
        if self._faults is None or self._remote is None:
            return self._enqueue(frame)
        verdict = self._faults.on_send(self._hello.node_id, self._remote.node_id)
        if verdict.fate is Fate.LOST:
            return True
        if verdict.fate is Fate.DELAYED:
            self._loop.call_later(verdict.delay_seconds, self._enqueue, frame)
            return True
        return self._enqueue(frame)

    def close(self, error: Exception | None = None) -> None:
        """Close after what is queued was handed to the kernel; safe to call twice."""
        if self._transport is None:
            return
        self._flush()
        self._set_error(error)
        if self._transport is not None:
            self._transport.close()

    def abort(self, error: Exception) -> None:
        """Close at once and drop what is queued."""
        self._set_error(error)
        self._pending.clear()
        self._pending_bytes = 0
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the exchange of Hello (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _set_socket_options(transport)
        self._enqueue(encode_frame(self._hello))
        self._hello_timer = self._loop.call_later(HELLO_TIMEOUT_SECONDS, self._hello_missing)

    def data_received(self, data: bytes) -> None:
        """Hand over every message that is whole (called by asyncio)."""
        try:
            messages = self._decoder.feed(data)
        except FrameError as error:
            self.abort(error)
            return
        for message in messages:
            if self._transport is None or self._transport.is_closing():
                return
            self._take(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner (called by asyncio)."""
        self._set_error(exc)
        self._transport = None
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self.closed.set()
        if self._remote is not None:
            self._on_close(self)

    def _take(self, message: Message) -> None:
        if self._remote is None:
            self._take_hello(message)
            return
        if self._faults is not None and self._is_partitioned(self._remote):
            return
        if not isinstance(message, Hello):
            self._on_message(self, message)

    def _take_hello(self, message: Message) -> None:
        # Closed, not aborted: this end's Hello still goes out, so the other end learns why.
        if not isinstance(message, Hello):
            self.close(HelloError(f"first message is {type(message).__name__}, not Hello"))
            return
        if message.fleet != self._hello.fleet:
            mismatch = f"other end is of fleet {message.fleet!r}, not {self._hello.fleet!r}"
            self.close(FleetMismatchError(mismatch))
            return
        if self._blocks_hello(message):
            return
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self._remote = message
        self._on_connect(self)

    def _is_partitioned(self, remote: Hello) -> bool:
        if self._faults is None:
            return False
        return self._faults.is_cut(remote.node_id, self._hello.node_id)

    def _blocks_hello(self, remote: Hello) -> bool:
        # A TCP connection can't be made over a link that is cut in either direction.
        if self._faults is None:
            return False
        is_partitioned = self._faults.is_cut(self._hello.node_id, remote.node_id)
        return is_partitioned or self._is_partitioned(remote)

    def _hello_missing(self) -> None:
        self.abort(HelloError(f"no Hello within {HELLO_TIMEOUT_SECONDS} s"))

    def _set_error(self, error: Exception | None) -> None:
        if self.error is None:
            self.error = error

    def _enqueue(self, frame: bytes) -> bool:
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        waiting_bytes = self._pending_bytes + transport.get_write_buffer_size()
        if waiting_bytes + len(frame) > self._max_outgoing_bytes:
            self.abort(SlowPeerError(f"{waiting_bytes} bytes are waiting for a slow peer"))
            return False
        if not self._pending:
            # One write for all messages of this turn of the event loop.
            self._loop.call_soon(self._flush)
        self._pending.append(frame)
        self._pending_bytes += len(frame)
        return True

    def _flush(self) -> None:
        if not self._pending:
            return
        frames = b"".join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(frames)


def _set_socket_options(transport: asyncio.Transport) -> None:
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return
    silent_milliseconds = SILENT_PEER_SECONDS * 1000
    with suppress(OSError):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_PERIOD_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PERIOD_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, SILENT_PEER_SECONDS)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silent_milliseconds)


async def connect(
    address: str,
    hello: Hello,
    on_message: MessageHandler,
    timeout_seconds: float,
    *,
    on_connect: ConnectionHandler = _ignore,
    on_close: ConnectionHandler = _ignore,
    faults: LinkFaults | None = None,
) -> Connection:
    """Connect to a process and exchange Hello.

    Parameters
    ----------
    address
        Wire address ``IP:port``.
    hello
        What this end says of itself.
    on_message
        Called for each message after Hello.
    timeout_seconds
        Bound on the whole: TCP connect and Hello.
    on_connect
        Called after Hello and before any message.
    on_close
        Called when the connection has closed.
    faults
        Injected faults, for tests.

    Raises
    ------
    ConnectError
        Nothing answers at the address, or not in time.
    FleetMismatchError, HelloError
        The other end is none of this fleet.
    """
    loop = asyncio.get_running_loop()
    connected = asyncio.Event()

    def record_connected(connection: Connection) -> None:
        connection.dialled_address = address
        connected.set()
        on_connect(connection)

    def make_connection() -> Connection:
        return Connection(hello, record_connected, on_message, on_close, faults=faults)

    connection: Connection | None = None
    try:
        host, port = parse_address(address)
        async with asyncio.timeout(timeout_seconds):
            _, connection = await loop.create_connection(make_connection, host, port)
            await _first_of(connected, connection.closed)
    except (OSError, AddressError) as error:  # TimeoutError is an OSError
        failure = ConnectError(f"no connection to {address}: {error or 'timed out'}")
        if connection is not None:
            connection.abort(failure)
        raise failure from error
    except asyncio.CancelledError:
        if connection is not None:
            connection.abort(ConnectionClosedError("cancelled"))
        raise
    if connected.is_set():
        return connection
    if isinstance(connection.error, OrchidpathError):
        raise connection.error
    raise ConnectError(f"{address} closed the connection before its Hello")


async def _first_of(first: asyncio.Event, second: asyncio.Event) -> None:
    waits = {asyncio.ensure_future(first.wait()), asyncio.ensure_future(second.wait())}
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()


class Listener:
    """Accepts connections at one address.

    Parameters
    ----------
    address
        ``IP:port``; port 0 lets the system choose, see :attr:`address` after :meth:`start`.
    hello
        What this end says of itself; its address is filled in when it equals ``address`` with
        port 0.
    on_connect, on_message, on_close
        Called with the connection, after Hello.
    faults
        Injected faults, for tests.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        on_connect: ConnectionHandler = _ignore,
        on_message: MessageHandler = lambda _connection, _message: None,
        on_close: ConnectionHandler = _ignore,
        *,
        faults: LinkFaults | None = None,
    ) -> None:
        self.address = address
        self.hello = hello
        self._on_connect = on_connect
        self._on_message = on_message
        self._on_close = on_close
        self._faults = faults
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()

    async def start(self) -> None:
        """Bind and listen.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        host, port = parse_address(self.address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_connection, host, port)
        bound_port = self._server.sockets[0].getsockname()[1]
        bound_address = format_address(host, bound_port)
        if self.hello.address == self.address:
            self.hello = msgspec.structs.replace(self.hello, address=bound_address)
        self.address = bound_address

    async def close(self) -> None:
        """Stop listening and close every connection that was accepted."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close()
        await asyncio.sleep(0)

    def _make_connection(self) -> Connection:
        return Connection(
            self.hello, self._connected, self._on_message, self._disconnected, faults=self._faults
        )

    def _connected(self, connection: Connection) -> None:
        self._connections.add(connection)
        self._on_connect(connection)

    def _disconnected(self, connection: Connection) -> None:
        self._connections.discard(connection)
        self._on_close(connection)
