"""Simulated exchanges deliver messages in order and once, and fail as TCP connections do."""

import pytest

from orchidpath.simulation.environment import NetworkFaults, SimulatedEnvironment, SimulatedProcess
from orchidpath.simulation.requests.exchanges import PARTITIONED_LINK_SECONDS, Exchange, Exchanges
from orchidpath.wire.messages import Message


class Peer(SimulatedProcess):
    def __init__(
        self, environment: SimulatedEnvironment, address: str, exchanges: Exchanges
    ) -> None:
        super().__init__(environment, address)
        self.exchanges = exchanges
        self.received: list[object] = []
        self.broken = 0
        self.start()

    @property
    def node_id(self) -> str:
        return self.address

    def on_start(self) -> None:
        pass

    def on_kill(self) -> None:
        self.exchanges.process_killed(self.address)

    def on_message(self, sender_id: str, message: Message) -> None:
        pass

    def count_broken(self) -> None:
        self.broken += 1


class Pair:
    """A client and a server with one exchange between them."""

    def __init__(self) -> None:
        self.environment = SimulatedEnvironment(1)
        exchanges = Exchanges(self.environment)
        self.client = Peer(self.environment, "client", exchanges)
        self.server = Peer(self.environment, "server", exchanges)
        self.opened: list[Exchange] = []
        self.failed = 0
        exchanges.connect(self.client, "server", self.connected, self.count_failed)

    def connected(self, exchange: Exchange) -> None:
        self.opened.append(exchange)
        for end, peer in ((exchange.client, self.client), (exchange.server, self.server)):
            end.on_message = peer.received.append
            end.on_broken = peer.count_broken

    def count_failed(self) -> None:
        self.failed += 1

    def open(self) -> Exchange:
        self.environment.run_until(self.environment.time + 0.1)
        return self.opened[0]

    def wait(self, seconds: float) -> None:
        self.environment.run_until(self.environment.time + seconds)


@pytest.fixture
def pair() -> Pair:
    return Pair()


def test_messages_arrive_in_order_and_once_on_an_unreliable_network(pair: Pair) -> None:
    exchange = pair.open()
    pair.environment.network = NetworkFaults(loss=0.3, duplication=0.5, late=0.3)
    for number in range(50):
        exchange.send(number)
    pair.wait(60.0)
    assert pair.server.received == list(range(50))


def test_a_sent_message_arrives_after_its_sender_was_killed(pair: Pair) -> None:
    exchange = pair.open()
    exchange.send("request")
    pair.client.kill()
    pair.wait(1.0)
    assert pair.server.received == ["request"]
    assert pair.server.broken == 1


def test_a_frozen_server_receives_the_message_late(pair: Pair) -> None:
    exchange = pair.open()
    pair.server.freeze(5.0)
    exchange.send("request")
    pair.wait(4.0)
    assert pair.server.received == []
    pair.wait(2.0)
    assert pair.server.received == ["request"]


def test_a_restarted_server_receives_nothing_of_an_older_connection(pair: Pair) -> None:
    exchange = pair.open()
    pair.server.kill()
    pair.server.start()
    exchange.send("request")
    pair.wait(1.0)
    assert pair.server.received == []
    assert pair.client.broken == 1


def test_a_long_partition_ends_the_exchange_and_a_short_one_does_not(pair: Pair) -> None:
    exchange = pair.open()
    pair.environment.cut("client", "server")
    exchange.send("first")
    pair.wait(PARTITIONED_LINK_SECONDS / 2)
    pair.environment.partitioned_links.clear()
    pair.wait(1.0)
    assert pair.server.received == ["first"]
    pair.environment.cut("client", "server")
    exchange.send("second")
    pair.wait(PARTITIONED_LINK_SECONDS * 2)
    assert pair.server.received == ["first"]
    assert (pair.client.broken, pair.server.broken) == (1, 1)


def test_an_abort_is_reported_to_the_other_side_only(pair: Pair) -> None:
    exchange = pair.open()
    exchange.close_client()
    exchange.answer("late frame")
    pair.wait(1.0)
    assert pair.client.received == []
    assert (pair.client.broken, pair.server.broken) == (0, 1)


def test_a_connection_to_a_killed_process_fails(pair: Pair) -> None:
    pair.server.kill()
    pair.wait(2.0)
    assert pair.opened == []
    assert pair.failed == 1
