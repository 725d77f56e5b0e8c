"""Listener for connections from other processes of the fleet."""

import asyncio

import msgspec

from orchidpath.common.addresses import format_address, parse_address
from orchidpath.wire.connection import Connection
from orchidpath.wire.connection_callbacks import (
    ConnectionCallbacks,
    ConnectionHandler,
    MessageHandler,
    ignore_connection,
    ignore_message,
)
from orchidpath.wire.errors import HelloError
from orchidpath.wire.link_faults import LinkFaults
from orchidpath.wire.messages.membership_messages import Hello

MAX_PENDING_CONNECTIONS = 256
"""Connections without a Hello that are open at once; for a further one, the oldest is closed."""


class Listener:
    """Accepts connections at one address.

    Parameters
    ----------
    address
        ``IP:port``. With port 0 the system chooses the port; :attr:`address` contains it after
        :meth:`start`.
    hello
        Hello of this end. If its address equals ``address``, :meth:`start` replaces it by the
        address that was bound.
    on_connect, on_message, on_close
        Called with the connection, after the exchange of Hello.
    faults
        Injected faults, for tests.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        on_connect: ConnectionHandler = ignore_connection,
        on_message: MessageHandler = ignore_message,
        on_close: ConnectionHandler = ignore_connection,
        *,
        faults: LinkFaults | None = None,
    ) -> None:
        self.address = address
        self.hello = hello
        self._callbacks = ConnectionCallbacks(on_connect, on_message, on_close)
        self._faults = faults
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._pending: dict[Connection, None] = {}

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
        """Stop listening and close every accepted connection."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close()
        await asyncio.sleep(0)

    def _make_connection(self) -> Connection:
        self._make_room()
        connection = Connection(
            self.hello,
            self._connected,
            self._callbacks.on_message,
            self._disconnected,
            faults=self._faults,
        )
        self._pending[connection] = None
        return connection

    def _make_room(self) -> None:
        """Close the oldest connection without a Hello if too many are open."""
        if len(self._pending) < MAX_PENDING_CONNECTIONS:
            return
        for connection in tuple(self._pending):
            if connection.closed.is_set():
                del self._pending[connection]
        if len(self._pending) >= MAX_PENDING_CONNECTIONS:
            oldest = next(iter(self._pending))
            del self._pending[oldest]
            oldest.abort(HelloError("too many connections without a Hello"))

    def _connected(self, connection: Connection) -> None:
        self._pending.pop(connection, None)
        self._connections.add(connection)
        self._callbacks.on_connect(connection)

    def _disconnected(self, connection: Connection) -> None:
        self._connections.discard(connection)
        self._callbacks.on_close(connection)
