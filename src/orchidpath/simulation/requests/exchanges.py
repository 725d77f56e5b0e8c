"""Simulated connections that carry one request and its response stream, like HTTP over TCP.

Messages of one direction arrive in order or not at all, and never twice. Either side can close the
connection. A partitioned link ends an exchange after ``PARTITIONED_LINK_SECONDS``. Messages in
flight may still arrive after their sender has closed its side or crashed.
"""

from abc import abstractmethod
from collections import deque
from collections.abc import Callable

import msgspec

from orchidpath.simulation.environment import (
    LATE_MESSAGE_SECONDS,
    SimulatedEnvironment,
    SimulatedProcess,
)

RETRANSMIT_SECONDS = 0.2
"""Additional delay of a message whose segment was lost and retransmitted."""

PARTITIONED_LINK_SECONDS = 3.0
"""A message that can't be delivered for this long ends its exchange."""

CONNECT_TIMEOUT_SECONDS = 1.0
"""A connection that is not accepted within this time has failed, as in the router's client."""


class _Sent(msgspec.Struct, frozen=True):
    message: object
    sent_at: float
    arrives_at: float


class _Closed:
    """Marker that is delivered in order like a message and ends the exchange for the receiver."""


class End:
    """One side of an exchange.

    Parameters
    ----------
    process
        Process that owns this side. The side is usable only during the current run of the process.
    """

    def __init__(self, process: SimulatedProcess) -> None:
        self.process = process
        self.epoch = process.epoch
        self.is_open = True
        self.on_message: Callable[[object], None] = lambda _message: None
        self.on_broken: Callable[[], None] = lambda: None
        self.queue: deque[_Sent] = deque()
        self.is_pumping = False

    @property
    def is_alive(self) -> bool:
        """Whether the run of the process that owns this side still continues."""
        return self.process.is_running and self.process.epoch == self.epoch


class Exchange:
    """One exchange between two processes, created by :meth:`Exchanges.connect`.

    Parameters
    ----------
    environment
        Source of virtual time, network faults and random values.
    client, server
        The two processes.
    """

    def __init__(
        self, environment: SimulatedEnvironment, client: SimulatedProcess, server: SimulatedProcess
    ) -> None:
        self._environment = environment
        self.client = End(client)
        self.server = End(server)

    def send(self, message: object) -> None:
        """Send a message from the client to the server."""
        self._send(self.client, self.server, message)

    def answer(self, message: object) -> None:
        """Send a message from the server to the client."""
        self._send(self.server, self.client, message)

    def close_client(self) -> None:
        """Close the client's side; the server is notified in order."""
        self._close(self.client, self.server)

    def close_server(self) -> None:
        """Close the server's side; the client is notified in order."""
        self._close(self.server, self.client)

    def process_killed(self, address: str) -> None:
        """Close the side of the crashed process at ``address``; the other side is notified."""
        if self.client.process.address == address:
            self._close(self.client, self.server)
        else:
            self._close(self.server, self.client)

    def _close(self, closing: End, other: End) -> None:
        if closing.is_open:
            self._send(closing, other, _Closed())
            closing.is_open = False

    def _send(self, sender: End, receiver: End, message: object) -> None:
        if not sender.is_open:
            return
        now = self._environment.time
        arrives_at = now + self._delay_seconds()
        if receiver.queue:
            arrives_at = max(arrives_at, receiver.queue[-1].arrives_at)
        receiver.queue.append(_Sent(message, now, arrives_at))
        if not receiver.is_pumping:
            self._pump_at(sender, receiver, arrives_at)

    def _delay_seconds(self) -> float:
        network, random = self._environment.network, self._environment.random
        delay_seconds = random.uniform(0.0005, network.delay_seconds)
        if network.loss and random.random() < network.loss:
            delay_seconds += RETRANSMIT_SECONDS
        if network.late and random.random() < network.late:
            delay_seconds += random.uniform(0.0, LATE_MESSAGE_SECONDS)
        return delay_seconds

    def _pump_at(self, sender: End, receiver: End, at: float) -> None:
        receiver.is_pumping = True
        delay_seconds = max(at - self._environment.time, 0.0)
        self._environment.schedule(delay_seconds, lambda: self._pump(sender, receiver))

    def _pump(self, sender: End, receiver: End) -> None:
        receiver.is_pumping = False
        if not receiver.is_open or not receiver.is_alive:
            receiver.queue.clear()
            # Like a TCP reset, this notifies the sender; a crashed process sends no other reply.
            self._end(sender)
            return
        head = receiver.queue[0]
        link = (sender.process.address, receiver.process.address)
        if link in self._environment.partitioned_links:
            if self._environment.time - head.sent_at > PARTITIONED_LINK_SECONDS:
                receiver.queue.clear()
                self._end(sender)
                self._end(receiver)
                return
            self._pump_at(sender, receiver, self._environment.time + RETRANSMIT_SECONDS)
            return
        receiver.queue.popleft()
        self._deliver(receiver, head.message)
        if receiver.queue:
            self._pump_at(sender, receiver, receiver.queue[0].arrives_at)

    def _deliver(self, receiver: End, message: object) -> None:
        if isinstance(message, _Closed):
            self._end(receiver)
            return

        def deliver() -> None:
            if receiver.is_open:
                receiver.on_message(message)

        receiver.process.after(0.0, deliver)

    def _end(self, end: End) -> None:
        if not end.is_open or not end.is_alive:
            return

        def end_exchange() -> None:
            if end.is_open:
                end.is_open = False
                end.on_broken()

        end.process.after(0.0, end_exchange)


class ExchangeServer(SimulatedProcess):
    """A process that handles requests from exchanges."""

    @abstractmethod
    def accept(self, exchange: Exchange, message: object) -> None:
        """Handle a request that arrives on an exchange."""


def open_server(exchange: Exchange) -> ExchangeServer:
    """Pass the messages of an exchange to its server process, and return that process."""
    server = exchange.server.process
    assert isinstance(server, ExchangeServer)
    exchange.server.on_message = lambda message: server.accept(exchange, message)
    return server


class Exchanges:
    """Opens exchanges, and closes the exchanges of a process that crashes.

    Parameters
    ----------
    environment
        Source of virtual time, links and processes.
    """

    def __init__(self, environment: SimulatedEnvironment) -> None:
        self._environment = environment
        self._by_process: dict[str, list[Exchange]] = {}

    def connect(
        self,
        client: SimulatedProcess,
        server_address: str,
        on_connected: Callable[[Exchange], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Connect; exactly one of the two callbacks is called, in the client's process.

        Parameters
        ----------
        client
            Process that connects.
        server_address
            Address of the process to connect to.
        on_connected
            Receives the exchange before any message is sent on it.
        on_failed
            Called when the server process is down or the link is partitioned until the time-out.
        """
        random = self._environment.random
        seconds = random.uniform(0.0005, self._environment.network.delay_seconds)
        links = ((client.address, server_address), (server_address, client.address))

        def accept() -> None:
            server = self._environment.processes[server_address]
            if any(link in self._environment.partitioned_links for link in links):
                client.after(CONNECT_TIMEOUT_SECONDS, on_failed)
            elif not server.is_running:
                on_failed()
            else:
                on_connected(self._open(client, server))

        client.after(seconds, accept)

    def process_killed(self, address: str) -> None:
        """Close every exchange of a process that was killed."""
        for exchange in self._by_process.pop(address, []):
            exchange.process_killed(address)

    def _open(self, client: SimulatedProcess, server: SimulatedProcess) -> Exchange:
        exchange = Exchange(self._environment, client, server)
        for process in (client, server):
            exchanges = self._by_process.setdefault(process.address, [])
            exchanges.append(exchange)
            if len(exchanges) > 256:
                exchanges[:] = [
                    entry for entry in exchanges if entry.client.is_open and entry.server.is_open
                ]
        return exchange
