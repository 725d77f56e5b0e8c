import asyncio
from contextlib import suppress
from random import Random

import pytest

from orchidpath.wire import framing, handshake
from orchidpath.wire import listener as listener_module
from orchidpath.wire.connection import Connection
from orchidpath.wire.connector import connect
from orchidpath.wire.errors import ConnectError, FleetMismatchError, HelloError, SlowPeerError
from orchidpath.wire.framing import encode_frame
from orchidpath.wire.handshake import MAX_HELLO_BYTES
from orchidpath.wire.link_faults import LinkFault, LinkFaultFile, LinkFaults
from orchidpath.wire.listener import Listener
from orchidpath.wire.messages import (
    ConsensusMessage,
    FleetUpdateRequest,
    Hello,
    Message,
    ProcessRole,
    WhoIsControl,
)
from orchidpath.wire.peer_links import PeerLinks

LOOPBACK = "127.0.0.1:0"
BOUND_SECONDS = 5.0


def hello(node_id: str, fleet: str = "test") -> Hello:
    return Hello(
        node_id=node_id,
        incarnation="1",
        role=ProcessRole.ROUTER,
        address=LOOPBACK,
        fleet=fleet,
    )


class Inbox:
    def __init__(self) -> None:
        self.queue: asyncio.Queue[tuple[Connection, Message]] = asyncio.Queue()

    def __call__(self, connection: Connection, message: Message) -> None:
        self.queue.put_nowait((connection, message))

    async def get(self) -> Message:
        async with asyncio.timeout(BOUND_SECONDS):
            return (await self.queue.get())[1]


async def wait_closed(connection: Connection) -> None:
    async with asyncio.timeout(BOUND_SECONDS):
        await connection.closed.wait()


async def test_messages_arrive_in_order_both_ways() -> None:
    at_listener, at_dialler = Inbox(), Inbox()
    accepted: list[Connection] = []
    listener = Listener(LOOPBACK, hello("a"), accepted.append, at_listener)
    await listener.start()
    connection = await connect(listener.address, hello("b"), at_dialler, BOUND_SECONDS)
    assert connection.remote.node_id == "a"
    assert connection.remote.address == listener.address
    for revision in range(100):
        assert connection.send(FleetUpdateRequest(adopted_revision=revision))
    received = [await at_listener.get() for _ in range(100)]
    assert received == [FleetUpdateRequest(adopted_revision=revision) for revision in range(100)]
    assert accepted[0].remote.node_id == "b"
    accepted[0].send(WhoIsControl())
    assert await at_dialler.get() == WhoIsControl()
    connection.close()
    await wait_closed(accepted[0])
    assert not connection.send(WhoIsControl())
    await listener.close()


async def test_other_fleet_is_rejected_with_typed_error() -> None:
    connected: list[Connection] = []
    listener = Listener(LOOPBACK, hello("a", fleet="other"), connected.append)
    await listener.start()
    with pytest.raises(FleetMismatchError):
        await connect(listener.address, hello("b"), Inbox(), BOUND_SECONDS)
    assert connected == []
    await listener.close()


@pytest.mark.parametrize(
    "first_bytes", [encode_frame(WhoIsControl()), b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 64]
)
async def test_peer_without_hello_is_closed_before_any_callback(first_bytes: bytes) -> None:
    inbox = Inbox()
    connected: list[Connection] = []
    listener = Listener(LOOPBACK, hello("a"), connected.append, inbox)
    await listener.start()
    host, port = listener.address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(first_bytes)
    async with asyncio.timeout(BOUND_SECONDS):
        try:
            while await reader.read(65536):
                pass
        except ConnectionResetError:
            pass
    assert connected == []
    assert inbox.queue.empty()
    writer.close()
    await listener.close()


async def test_connect_to_a_closed_port_and_to_a_host_name() -> None:
    listener = Listener(LOOPBACK, hello("a"))
    await listener.start()
    free_address = listener.address
    await listener.close()
    for address in (free_address, "localhost:80"):
        with pytest.raises(ConnectError):
            await connect(address, hello("b"), Inbox(), BOUND_SECONDS)


async def test_unresponsive_peer_fails_within_the_timeout() -> None:
    release = asyncio.Event()

    async def never_reply(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.close()

    server = await asyncio.start_server(never_reply, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    with pytest.raises((ConnectError, HelloError)):
        await connect(f"127.0.0.1:{port}", hello("b"), Inbox(), 0.05)
    release.set()
    server.close()


async def test_peer_that_does_not_read_is_closed_and_memory_is_bounded() -> None:
    release = asyncio.Event()

    async def never_read(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_frame(hello("a")))
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await release.wait()
        writer.close()

    server = await asyncio.start_server(never_read, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await connect(f"127.0.0.1:{port}", hello("b"), Inbox(), BOUND_SECONDS)
    # Large frames are compressed, so a payload of zeros would hardly fill the buffer.
    megabyte = ConsensusMessage(payload=Random(7).randbytes(1024 * 1024))
    sent = 0
    while connection.send(megabyte):
        sent += 1
        assert sent < 200, "the outgoing buffer is not bounded"
        await asyncio.sleep(0)
    assert isinstance(connection.error, SlowPeerError)
    await wait_closed(connection)
    release.set()
    server.close()


async def test_peer_links_reconnect_and_follow_the_set() -> None:
    inbox = Inbox()
    listener = Listener(LOOPBACK, hello("a"), on_message=inbox)
    await listener.start()
    up: asyncio.Queue[Connection] = asyncio.Queue()
    down: asyncio.Queue[Connection] = asyncio.Queue()
    links = PeerLinks(
        hello("b"), Inbox(), Random(1), on_connect=up.put_nowait, on_close=down.put_nowait
    )
    assert not links.send(listener.address, WhoIsControl())
    links.set_addresses([listener.address])
    async with asyncio.timeout(BOUND_SECONDS):
        await up.get()
    assert links.send(listener.address, WhoIsControl())
    assert await inbox.get() == WhoIsControl()

    await listener.close()
    async with asyncio.timeout(BOUND_SECONDS):
        await down.get()
    assert not links.send(listener.address, WhoIsControl())

    restarted = Listener(listener.address, hello("a2"), on_message=inbox)
    await restarted.start()
    async with asyncio.timeout(BOUND_SECONDS):
        connection = await up.get()
    assert connection.remote.node_id == "a2"

    links.set_addresses([])
    await wait_closed(connection)
    assert not links.send(restarted.address, WhoIsControl())
    await links.close()
    await restarted.close()


PARTITION = LinkFault(source="b", destination="a", partitioned=True)


async def test_a_partition_drops_sent_messages_and_heals_at_runtime() -> None:
    faults = LinkFaults()
    inbox = Inbox()
    listener = Listener(LOOPBACK, hello("a"), on_message=inbox)
    await listener.start()
    connection = await connect(listener.address, hello("b"), Inbox(), BOUND_SECONDS, faults=faults)
    faults.set_faults(LinkFaultFile(links=[PARTITION]))
    assert connection.send(FleetUpdateRequest(adopted_revision=2))
    with pytest.raises(ConnectError):
        await connect(listener.address, hello("b"), Inbox(), 0.1, faults=faults)
    faults.set_faults(LinkFaultFile())
    connection.send(FleetUpdateRequest(adopted_revision=3))
    assert await inbox.get() == FleetUpdateRequest(adopted_revision=3)
    connection.close()
    await listener.close()


class MemoryTransport(asyncio.Transport):
    def __init__(self) -> None:
        super().__init__()
        self.closing = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.closing = True

    def abort(self) -> None:
        self.closing = True


async def test_a_partition_drops_received_messages() -> None:
    faults = LinkFaults()
    received: list[Message] = []
    connection = Connection(
        hello("a"),
        lambda _connection: None,
        lambda _connection, message: received.append(message),
        lambda _connection: None,
        faults=faults,
    )
    connection.connection_made(MemoryTransport())
    connection.data_received(encode_frame(hello("b")))
    connection.data_received(encode_frame(FleetUpdateRequest(adopted_revision=1)))
    faults.set_faults(LinkFaultFile(links=[PARTITION]))
    connection.data_received(encode_frame(FleetUpdateRequest(adopted_revision=2)))
    faults.set_faults(LinkFaultFile())
    connection.data_received(encode_frame(FleetUpdateRequest(adopted_revision=3)))
    assert [message.adopted_revision for message in received] == [1, 3]  # type: ignore[union-attr]
    connection.connection_lost(None)


async def test_no_message_is_delivered_after_close() -> None:
    received: list[Message] = []

    def close_on_first(connection: Connection, message: Message) -> None:
        received.append(message)
        connection.close()

    connection = Connection(
        hello("a"), lambda _connection: None, close_on_first, lambda _connection: None
    )
    connection.connection_made(MemoryTransport())
    frames = [encode_frame(message) for message in (hello("b"), WhoIsControl(), WhoIsControl())]
    connection.data_received(b"".join(frames))
    assert received == [WhoIsControl()]
    connection.connection_lost(None)


async def test_first_message_other_than_hello_is_a_typed_error() -> None:
    connected: list[Connection] = []
    connection = Connection(
        hello("a"),
        connected.append,
        lambda _connection, _message: None,
        lambda _connection: None,
    )
    transport = MemoryTransport()
    connection.connection_made(transport)
    connection.data_received(encode_frame(WhoIsControl()))
    assert isinstance(connection.error, HelloError)
    assert transport.is_closing()
    assert connected == []
    connection.connection_lost(None)


async def test_a_message_that_fits_into_no_frame_is_lost_and_the_connection_stays_usable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that ends, or a peer that disconnects, for one message."""
    inbox = Inbox()
    listener = Listener(LOOPBACK, hello("a"), on_message=inbox)
    await listener.start()
    connection = await connect(listener.address, hello("b"), Inbox(), BOUND_SECONDS)
    monkeypatch.setattr(framing, "MAX_FRAME_BYTES", 10_000)
    assert not connection.send(ConsensusMessage(payload=bytes(20_000)))
    assert not connection.send(FleetUpdateRequest(adopted_revision=2**64))
    assert connection.send(WhoIsControl())
    assert await inbox.get() == WhoIsControl()
    connection.close()
    await listener.close()


async def test_a_large_frame_before_the_hello_closes_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against strangers that fill the memory of a process with frames that never end."""
    monkeypatch.setattr(handshake, "HELLO_TIMEOUT_SECONDS", 10 * BOUND_SECONDS)
    listener = Listener(LOOPBACK, hello("a"))
    await listener.start()
    host, port = listener.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write((MAX_HELLO_BYTES + 1).to_bytes(4, "big") + bytes(4))
    async with asyncio.timeout(BOUND_SECONDS):
        with suppress(ConnectionError):
            while await reader.read(1000):
                pass
    writer.close()
    await listener.close()


async def test_connections_without_a_hello_make_room_for_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against strangers that keep the fleet's own processes from connecting."""
    monkeypatch.setattr(handshake, "HELLO_TIMEOUT_SECONDS", 10 * BOUND_SECONDS)
    monkeypatch.setattr(listener_module, "MAX_PENDING_CONNECTIONS", 3)
    listener = Listener(LOOPBACK, hello("a"))
    await listener.start()
    host, port = listener.address.split(":")
    strangers = [await asyncio.open_connection(host, int(port)) for _ in range(3)]
    connection = await connect(listener.address, hello("b"), Inbox(), BOUND_SECONDS)
    async with asyncio.timeout(BOUND_SECONDS):
        with suppress(ConnectionError):
            while await strangers[0][0].read(1000):
                pass
    assert connection.is_open
    connection.close()
    for _, writer in strangers:
        writer.close()
    await listener.close()
