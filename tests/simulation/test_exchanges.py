"""Simulated exchanges keep order, lose nothing while they stand, and end as connections do."""

from orchidpath.simulation.requests.exchanges import PARTITIONED_LINK_SECONDS, Exchange, Exchanges
from orchidpath.simulation.world import NetworkFaults, SimulatedProcess, World
from orchidpath.wire.messages import Message


class Peer(SimulatedProcess):
    def __init__(self, world: World, address: str, exchanges: Exchanges) -> None:
        super().__init__(world, address)
        self.exchanges = exchanges
        self.got: list[object] = []
        self.broken = 0
        self.start()

    @property
    def node_id(self) -> str:
        return self.address

    def on_start(self) -> None:
        pass

    def on_kill(self) -> None:
        self.exchanges.process_died(self.address)

    def on_message(self, sender_id: str, message: Message) -> None:
        pass

    def note_broken(self) -> None:
        self.broken += 1


class Pair:
    """A client and a server with one exchange between them."""

    def __init__(self) -> None:
        self.world = World(1)
        exchanges = Exchanges(self.world)
        self.client = Peer(self.world, "client", exchanges)
        self.server = Peer(self.world, "server", exchanges)
        self.opened: list[Exchange] = []
        self.failed = 0
        exchanges.connect(self.client, "server", self.connected, self.note_failed)

    def connected(self, exchange: Exchange) -> None:
        self.opened.append(exchange)
        for end, peer in ((exchange.client, self.client), (exchange.server, self.server)):
            end.on_message = peer.got.append
            end.on_broken = peer.note_broken

    def note_failed(self) -> None:
        self.failed += 1

    def open(self) -> Exchange:
        self.world.run_until(self.world.time + 0.1)
        return self.opened[0]

    def wait(self, seconds: float) -> None:
        self.world.run_until(self.world.time + seconds)


def test_messages_arrive_in_order_and_once_on_a_bad_network() -> None:
    pair = Pair()
    exchange = pair.open()
    pair.world.network = NetworkFaults(loss=0.3, duplication=0.5, late=0.3)
    for number in range(50):
        exchange.send(number)
    pair.wait(60.0)
    assert pair.server.got == list(range(50))


def test_what_was_sent_arrives_after_its_sender_died() -> None:
    pair = Pair()
    exchange = pair.open()
    exchange.send("order")
    pair.client.kill()
    pair.wait(1.0)
    assert pair.server.got == ["order"]
    assert pair.server.broken == 1


def test_a_frozen_server_takes_the_order_late() -> None:
    pair = Pair()
    exchange = pair.open()
    pair.server.freeze(5.0)
    exchange.send("order")
    pair.wait(4.0)
    assert pair.server.got == []
    pair.wait(2.0)
    assert pair.server.got == ["order"]


def test_a_restarted_server_gets_nothing_of_an_older_connection() -> None:
    pair = Pair()
    exchange = pair.open()
    pair.server.kill()
    pair.server.start()
    exchange.send("order")
    pair.wait(1.0)
    assert pair.server.got == []
    assert pair.client.broken == 1


def test_a_cut_link_ends_the_exchange_after_a_while_and_a_short_cut_does_not() -> None:
    pair = Pair()
    exchange = pair.open()
    pair.world.cut("client", "server")
    exchange.send("first")
    pair.wait(PARTITIONED_LINK_SECONDS / 2)
    pair.world.partitioned_links.clear()
    pair.wait(1.0)
    assert pair.server.got == ["first"]
    pair.world.cut("client", "server")
    exchange.send("second")
    pair.wait(PARTITIONED_LINK_SECONDS * 2)
    assert pair.server.got == ["first"]
    assert (pair.client.broken, pair.server.broken) == (1, 1)


def test_breaking_off_is_seen_by_the_other_side_only() -> None:
    pair = Pair()
    exchange = pair.open()
    exchange.close_client()
    exchange.answer("late frame")
    pair.wait(1.0)
    assert pair.client.got == []
    assert (pair.client.broken, pair.server.broken) == (0, 1)


def test_nothing_listens_where_a_process_is_dead() -> None:
    pair = Pair()
    pair.server.kill()
    pair.wait(2.0)
    assert pair.opened == []
    assert pair.failed == 1
