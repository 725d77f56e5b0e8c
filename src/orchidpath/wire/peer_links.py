"""Outgoing connections to a set of addresses that can change; closed ones are reconnected."""

import asyncio
from collections.abc import Callable, Collection
from contextlib import suppress
from random import Random

from orchidpath.common.backoff import Backoff
from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.connection import Connection
from orchidpath.wire.connection_callbacks import (
    ConnectionHandler,
    MessageHandler,
    ignore_connection,
)
from orchidpath.wire.connector import connect
from orchidpath.wire.errors import ConnectionClosedError
from orchidpath.wire.link_faults import LinkFaults
from orchidpath.wire.messages import Message
from orchidpath.wire.messages.membership_messages import Hello

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout of one attempt to connect to a peer."""

RECONNECT_BASE_SECONDS = 0.05
"""Upper bound of the random delay before the first reconnect."""

RECONNECT_CAP_SECONDS = 0.4
"""Upper bound of every delay before a reconnect; dominates the restart time of a complete fleet."""

FailureHandler = Callable[[str, OrchidpathError], None]
"""Called with the address and the error when an attempt to connect fails."""


def _ignore_failure(_address: str, _error: OrchidpathError) -> None:
    """Ignore a failed attempt to connect; the default ``on_failure``."""


class PeerLinks:
    """Maintains one outgoing connection (link) to each address of a set that can change.

    Must be used inside a running event loop.

    Parameters
    ----------
    hello
        Hello of this end.
    on_message
        Called synchronously for each message of any link; the messages of one link are in order.
    random
        Source of the reconnect jitter.
    on_connect, on_close
        Called when a link is up or down; ``connection.dialled_address`` is the address of the link.
    on_failure
        Called for each failed attempt to connect.
    faults
        Injected faults, for tests.
    """

    def __init__(
        self,
        hello: Hello,
        on_message: MessageHandler,
        random: Random,
        *,
        on_connect: ConnectionHandler = ignore_connection,
        on_close: ConnectionHandler = ignore_connection,
        on_failure: FailureHandler = _ignore_failure,
        faults: LinkFaults | None = None,
    ) -> None:
        self._hello = hello
        self._on_message = on_message
        self._random = random
        self._on_connect = on_connect
        self._on_close = on_close
        self._on_failure = on_failure
        self._faults = faults
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._connections: dict[str, Connection] = {}

    @property
    def addresses(self) -> frozenset[str]:
        """The addresses to which links are maintained."""
        return frozenset(self._tasks)

    def set_addresses(self, addresses: Collection[str]) -> None:
        """Replace the set of addresses: connect to new ones, and close links to removed ones."""
        for address in self._tasks.keys() - set(addresses):
            self._tasks.pop(address).cancel()
        for address in addresses:
            if address not in self._tasks:
                self._tasks[address] = asyncio.create_task(self._maintain(address))

    def send(self, address: str, message: Message) -> bool:
        """Send a message to one address; the message is dropped if the link is not up.

        Returns
        -------
        bool
            False if the message is certainly lost; True does not guarantee its delivery.
        """
        connection = self._connections.get(address)
        return connection is not None and connection.send(message)

    def connection(self, address: str) -> Connection | None:
        """Return the open connection to an address; None if the link is not up."""
        return self._connections.get(address)

    def connections(self) -> tuple[Connection, ...]:
        """Return every open connection."""
        return tuple(self._connections.values())

    async def close(self) -> None:
        """Close every link and wait until their tasks have ended."""
        tasks = tuple(self._tasks.values())
        self.set_addresses(())
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _maintain(self, address: str) -> None:
        backoff = Backoff(RECONNECT_BASE_SECONDS, RECONNECT_CAP_SECONDS, self._random)
        while True:
            with suppress(OrchidpathError):
                await self._use_once(address)
                backoff.reset()
            await asyncio.sleep(backoff.next_delay_seconds())

    async def _use_once(self, address: str) -> None:
        try:
            connection = await connect(
                address,
                self._hello,
                self._on_message,
                CONNECT_TIMEOUT_SECONDS,
                on_connect=self._link_up,
                on_close=self._link_down,
                faults=self._faults,
            )
        except OrchidpathError as error:
            self._on_failure(address, error)
            raise
        try:
            await connection.closed.wait()
        finally:
            connection.close(ConnectionClosedError("the link is no longer maintained"))

    def _link_up(self, connection: Connection) -> None:
        self._connections[connection.dialled_address] = connection
        self._on_connect(connection)

    def _link_down(self, connection: Connection) -> None:
        if self._connections.get(connection.dialled_address) is connection:
            del self._connections[connection.dialled_address]
        self._on_close(connection)
