"""Connections of a control process: links to other members, and incoming connections."""

from random import Random

from orchidpath.control.replica.control_effects import SendToMember
from orchidpath.wire.connection import Connection
from orchidpath.wire.connection_callbacks import MessageHandler
from orchidpath.wire.link_faults import LinkFaults
from orchidpath.wire.listener import Listener
from orchidpath.wire.messages import Hello, Message, ProcessRole
from orchidpath.wire.peer_links import PeerLinks


class ControlConnections:
    """Sends messages to members by wire address, and to connected processes by node id.

    Must be used inside a running event loop.

    Parameters
    ----------
    hello
        Description of this process, sent to each peer; its address is the one to listen on.
    on_message
        Called with each message that any connection receives.
    random
        Source of the reconnect jitter.
    faults
        Injected faults, for tests.
    """

    def __init__(
        self,
        hello: Hello,
        on_message: MessageHandler,
        random: Random,
        faults: LinkFaults | None = None,
    ) -> None:
        self._incoming: dict[str, Connection] = {}
        self._listener = Listener(
            hello.address,
            hello,
            on_connect=self._on_incoming,
            on_message=on_message,
            on_close=self._on_incoming_closed,
            faults=faults,
        )
        self._links = PeerLinks(hello, on_message, random, faults=faults)

    async def start(self) -> None:
        """Bind the address and listen.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        await self._listener.start()

    async def close(self) -> None:
        """Close every link and connection."""
        await self._links.close()
        await self._listener.close()

    def link_to(self, addresses: set[str]) -> None:
        """Open and maintain links to exactly these wire addresses; close all others."""
        self._links.set_addresses(addresses)

    def get_or_start_link(self, address: str) -> Connection | None:
        """Return the open link to an address; if there is none, start one and return None."""
        connection = self._links.connection(address)
        if connection is None:
            self._links.set_addresses({*self._links.addresses, address})
        return connection

    def send_to_address(self, address: str, message: Message) -> bool:
        """Send over the link to an address; return False if the message was not sent."""
        return self._links.send(address, message)

    def send_to_member(self, effect: SendToMember) -> None:
        """Send a consensus message over the link to a member, or else over its own connection.

        A new learner has no addresses of members yet, so it can reply only over the connections
        that they opened to it.
        """
        if not self._links.send(effect.address, effect.message):
            self.send_to_node(effect.node_id, effect.message)

    def send_to_node(self, node_id: str, message: Message) -> None:
        """Send over the connection that a node has opened to this process, if there is one."""
        connection = self._incoming.get(node_id)
        if connection is not None:
            connection.send(message)

    def send_to_connected(self, message: Message) -> None:
        """Send to every process of the fleet that has a connection to this one open."""
        for connection in self._incoming.values():
            connection.send(message)

    def _on_incoming(self, connection: Connection) -> None:
        if connection.remote.role is not ProcessRole.TOOL:
            self._incoming[connection.remote.node_id] = connection

    def _on_incoming_closed(self, connection: Connection) -> None:
        if self._incoming.get(connection.remote.node_id) is connection:
            del self._incoming[connection.remote.node_id]
