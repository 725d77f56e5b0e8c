"""Opens connections to other processes of the fleet."""

import asyncio
from collections.abc import Callable

from orchidpath.common.addresses import AddressError, parse_address
from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.connection import Connection
from orchidpath.wire.connection_callbacks import (
    ConnectionHandler,
    MessageHandler,
    ignore_connection,
)
from orchidpath.wire.errors import ConnectError, ConnectionClosedError
from orchidpath.wire.link_faults import LinkFaults
from orchidpath.wire.messages.membership_messages import Hello


async def connect(
    address: str,
    hello: Hello,
    on_message: MessageHandler,
    timeout_seconds: float,
    *,
    on_connect: ConnectionHandler = ignore_connection,
    on_close: ConnectionHandler = ignore_connection,
    faults: LinkFaults | None = None,
) -> Connection:
    """Connect to a process and exchange Hello.

    Parameters
    ----------
    address
        Wire address ``IP:port``.
    hello
        Hello of this end.
    on_message
        Called for each message after Hello.
    timeout_seconds
        Timeout of the TCP connect and the exchange of Hello together.
    on_connect
        Called after the exchange of Hello and before any message.
    on_close
        Called when the connection has closed.
    faults
        Injected faults, for tests.

    Raises
    ------
    ConnectError
        The address is not valid, no process accepts the connection, or the timeout has expired.
    FleetMismatchError, HelloError
        The other end is not a process of this fleet.
    """

    def make_connection() -> Connection:
        return Connection(
            hello, on_connect, on_message, on_close, faults=faults, dialled_address=address
        )

    connection = await _open(address, make_connection, timeout_seconds)
    if connection.connected.is_set():
        return connection
    if isinstance(connection.error, OrchidpathError):
        raise connection.error
    raise ConnectError(f"{address} closed the connection before the exchange of Hello")


async def _open(
    address: str, make_connection: Callable[[], Connection], timeout_seconds: float
) -> Connection:
    """Return a connection that has either completed the exchange of Hello or closed."""
    loop = asyncio.get_running_loop()
    connection: Connection | None = None
    try:
        host, port = parse_address(address)
        async with asyncio.timeout(timeout_seconds):
            _, connection = await loop.create_connection(make_connection, host, port)
            await _wait_for_either(connection.connected, connection.closed)
    except (OSError, AddressError) as error:  # TimeoutError is an OSError
        failure = ConnectError(f"no connection to {address}: {error or 'timed out'}")
        if connection is not None:
            connection.abort(failure)
        raise failure from error
    except asyncio.CancelledError:
        if connection is not None:
            connection.abort(ConnectionClosedError("connecting was cancelled"))
        raise
    return connection


async def _wait_for_either(first: asyncio.Event, second: asyncio.Event) -> None:
    waits = {asyncio.ensure_future(first.wait()), asyncio.ensure_future(second.wait())}
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
