"""Exchanges of one request and one response stream between simulated processes, as HTTP over TCP.

Messages of one direction arrive in order or not at all. Either side can break off; a cut link ends
an exchange after a while; what is in flight may still arrive after its sender has given up or died.
Nothing is ever delivered twice.
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
"""A lost segment comes this much later."""

PARTITIONED_LINK_SECONDS = 3.0
"""A message that can't get through for this long ends its exchange."""

CONNECT_TIMEOUT_SECONDS = 1.0
"""A connection that is not accepted by then has failed (as in the router's client)."""


class _Sent(msgspec.Struct, frozen=True):
    message: object
    sent_at: float
    arrives_at: float


class _Closed:
    """Travels in order like a message and ends the exchange for the receiver."""


class End:
    """One side of an exchange.

    Parameters
    ----------
    process
        Whose side it is; it dies with this run of the process.
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
        """Whether the run of the process that this side belongs to still lives."""
        return self.process.alive and self.process.epoch == self.epoch


class Exchange:
    """One exchange; made by :meth:`Exchanges.connect`.

    Parameters
    ----------
    environment
        Virtual time and chance.
    client, server
        Both sides.
    """

    def __init__(
        self, environment: SimulatedEnvironment, client: SimulatedProcess, server: SimulatedProcess
    ) -> None:
        self._environment = environment
        self.client = End(client)
        self.server = End(server)

    def send(self, message: object) -> None:
        """Send from the client to the server."""
        self._send(self.client, self.server, message)

    def answer(self, message: object) -> None:
        """Send from the server to the client."""
        self._send(self.server, self.client, message)

    def close_client(self) -> None:
        """Break off from the client's side."""
        self._close(self.client, self.server)

    def close_server(self) -> None:
        """Break off from the server's side."""
        self._close(self.server, self.client)

    def process_died(self, address: str) -> None:
        """Tell the other side that this one has died."""
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
            # The other side learns of it as by a reset; a dead process answers nothing else.
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

        def take() -> None:
            if receiver.is_open:
                receiver.on_message(message)

        receiver.process.after(0.0, take)

    def _end(self, end: End) -> None:
        if not end.is_open or not end.is_alive:
            return

        def take() -> None:
            if end.is_open:
                end.is_open = False
                end.on_broken()

        end.process.after(0.0, take)


class ExchangeServer(SimulatedProcess):
    """A process that takes requests over exchanges."""

    @abstractmethod
    def accept(self, exchange: Exchange, message: object) -> None:
        """Take the request of an exchange."""


def open_server(exchange: Exchange) -> ExchangeServer:
    """Let the process at the server's end take what comes on an exchange, and return it."""
    server = exchange.server.process
    assert isinstance(server, ExchangeServer)
    exchange.server.on_message = lambda message: server.accept(exchange, message)
    return server


class Exchanges:
    """Makes exchanges and ends those of a process that dies.

    Parameters
    ----------
    environment
        Virtual time, links and processes.
    """

    def __init__(self, environment: SimulatedEnvironment) -> None:
        self._environment = environment
        self._of_process: dict[str, list[Exchange]] = {}

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
            Who connects.
        server_address
            Whom it connects to.
        on_connected
            Takes the exchange before anything was sent on it.
        on_failed
            Called when nothing listens or nothing answers in time.
        """
        random = self._environment.random
        seconds = random.uniform(0.0005, self._environment.network.delay_seconds)
        links = ((client.address, server_address), (server_address, client.address))

        def accept() -> None:
            server = self._environment.processes[server_address]
            if any(link in self._environment.partitioned_links for link in links):
                client.after(CONNECT_TIMEOUT_SECONDS, on_failed)
            elif not server.alive:
                on_failed()
            else:
                on_connected(self._open(client, server))

        client.after(seconds, accept)

    def process_died(self, address: str) -> None:
        """End every exchange of a process that was killed."""
        for exchange in self._of_process.pop(address, []):
            exchange.process_died(address)

    def _open(self, client: SimulatedProcess, server: SimulatedProcess) -> Exchange:
        exchange = Exchange(self._environment, client, server)
        for process in (client, server):
            known = self._of_process.setdefault(process.address, [])
            known.append(exchange)
            if len(known) > 256:
                known[:] = [one for one in known if one.client.is_open and one.server.is_open]
        return exchange
