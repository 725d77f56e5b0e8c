"""What one connection of a caller may cost the others: memory, turns of the event loop, places."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from orchidpath.common.clock import monotonic_seconds
from orchidpath.common.event_loop_turns import EventLoopTurns
from orchidpath.common.request_memory import RequestMemory
from orchidpath.router.proxy.caller_connection import CallerConnection
from orchidpath.router.proxy.proxy_messages import ForwardedRequest
from orchidpath.router.proxy.proxy_metrics import ProxyMetrics
from orchidpath.router.proxy.proxy_server import ProxyServer
from orchidpath.router.proxy.request_reader import (
    EVENTS_PER_TURN,
    HEADER_OVERHEAD_BYTES,
    MAX_LINGERING,
)
from orchidpath.wire.configuration import EdgeLimits

WAIT_SECONDS = 30.0
CHUNKS = 40_000
CHUNK_OF_ONE_BYTE = b"1\r\nx\r\n"
HEAD = b"POST /x HTTP/1.1\r\nHost: shop\r\n"
LIMITS = EdgeLimits(max_body_bytes=100_000)


class Handler:
    """Responds with the length of the body, once ``may_answer`` is set."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.received = 0

    async def handle(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        self.received += 1
        await self.may_answer.wait()
        caller.send_response(200, (), b"%d" % len(request.body))


@asynccontextmanager
async def serving(
    handler: Handler,
    memory: RequestMemory | None = None,
    max_connections: int = 100,
    metrics: ProxyMetrics | None = None,
) -> AsyncIterator[ProxyServer]:
    server = ProxyServer(
        "127.0.0.1:0",
        handler.handle,
        lambda: LIMITS,
        lambda: False,
        monotonic_seconds,
        memory,
        max_connections,
        metrics,
    )
    await server.start()
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            yield server
    finally:
        server.close()


async def connect(server: ProxyServer) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = server.address.split(":")
    return await asyncio.open_connection(host, int(port))


async def answer(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    return head + await reader.read(1000)


async def test_chunks_of_one_byte_leave_turns_to_the_other_connections() -> None:
    """Guards against a caller whose small chunks keep the router from answering anyone else."""
    async with serving(Handler()) as server:
        reader, writer = await connect(server)
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        writer.write(CHUNK_OF_ONE_BYTE * CHUNKS + b"0\r\n\r\n")
        turns = 0
        response = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
        while not response.done():
            await asyncio.sleep(0)
            turns += 1
        assert (await response).startswith(b"HTTP/1.1 200")
        assert turns >= CHUNKS / EVENTS_PER_TURN
        writer.close()


async def test_turns_are_granted_one_at_a_time_in_order() -> None:
    turns = EventLoopTurns()
    granted: list[int] = []
    loop_turns: list[int] = []

    async def take(number: int) -> None:
        await turns.next_turn()
        granted.append(number)
        loop_turns.append(loop_turn)

    tasks = [asyncio.create_task(take(number)) for number in range(5)]
    await asyncio.sleep(0)
    tasks[2].cancel()
    loop_turn = 0
    while not all(task.done() for task in tasks):
        await asyncio.sleep(0)
        loop_turn += 1
    assert granted == [0, 1, 3, 4]
    assert len(set(loop_turns)) == len(granted)


async def test_an_incomplete_body_gives_way_with_a_promise() -> None:
    """Guards against a caller that can't tell whether its refused request was executed."""
    memory = RequestMemory(200_000)
    metrics = ProxyMetrics()
    async with serving(Handler(), memory, metrics=metrics) as server:
        connections = [await connect(server) for _ in range(4)]
        for _, writer in connections:
            writer.write(HEAD + b"Content-Length: 90000\r\n\r\n" + bytes(89_999))
            await writer.drain()
        refused, _ = connections[0]
        response = await answer(refused)
        assert response.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1.00" in response
        last_reader, last_writer = connections[-1]
        last_writer.write(b"x")
        assert (await answer(last_reader)).endswith(b"90000")
        assert memory.held_bytes <= memory.limit_bytes
        assert b'rejected_requests_total{status="503"} 2.0' in metrics.page()
        for _, writer in connections:
            writer.close()


async def test_the_memory_of_a_request_is_given_back() -> None:
    """Guards against a router that refuses everyone some time after a crowd has left."""
    memory = RequestMemory()
    handler = Handler()
    async with serving(handler, memory) as server:
        for ending in (b"", b"x" * 10, b"x" * 11):
            reader, writer = await connect(server)
            writer.write(HEAD + b"Content-Length: 10\r\n\r\n" + ending)
            if ending:
                await reader.readuntil(b"\r\n\r\n")
            writer.close()
        handler.may_answer.clear()
        _, writer = await connect(server)
        writer.write(HEAD + b"Content-Length: 0\r\n\r\nsurplus")
        while handler.received < 3:
            await asyncio.sleep(0)
        writer.close()
        while server.connections or memory.held_bytes:
            await asyncio.sleep(0)


async def test_an_announced_length_over_the_limit_is_refused_before_the_body() -> None:
    async with serving(Handler()) as server:
        reader, writer = await connect(server)
        writer.write(HEAD + b"Content-Length: 100001\r\n\r\n")
        assert (await answer(reader)).startswith(b"HTTP/1.1 413")
        writer.close()


async def test_the_answer_to_a_body_over_the_limit_can_be_read() -> None:
    """Guards against a reset that takes the answer from a caller that sends its whole body."""
    async with serving(Handler()) as server:
        reader, writer = await connect(server)
        writer.write(HEAD + b"Content-Length: 4000000\r\n\r\n" + bytes(4_000_000))
        assert (await answer(reader)).startswith(b"HTTP/1.1 413")
        writer.close()


async def test_bytes_after_a_request_are_not_received_without_bound() -> None:
    """Guards against a router that stores what a caller sends while its request is served."""
    handler = Handler()
    handler.may_answer.clear()
    memory = RequestMemory(100_000_000)
    async with serving(handler, memory) as server:
        _, writer = await connect(server)
        writer.write(HEAD + b"Content-Length: 0\r\n\r\n" + bytes(50_000_000))
        while not memory.held_bytes:
            await asyncio.sleep(0)
        for _ in range(1000):
            await asyncio.sleep(0)
        assert memory.held_bytes < 1_000_000
        writer.transport.abort()


async def test_the_connection_without_a_request_for_the_longest_time_makes_room() -> None:
    """Guards against a router that accepts no caller while others hold idle connections."""
    metrics = ProxyMetrics()
    async with serving(Handler(), max_connections=3, metrics=metrics) as server:
        first, second, third = [await connect(server) for _ in range(3)]
        first[1].write(HEAD + b"Content-Length: 0\r\n\r\n")
        await first[0].readuntil(b"\r\n\r\n0")
        further = await connect(server)
        further[1].write(HEAD + b"Content-Length: 0\r\n\r\n")
        await further[0].readuntil(b"\r\n\r\n0")
        assert await second[0].read() == b""
        assert len(server.connections) == 3
        assert b"connections_closed_for_room_total 1.0" in metrics.page()
        for _, writer in (first, second, third, further):
            writer.close()


async def test_a_request_that_is_served_keeps_its_connection() -> None:
    handler = Handler()
    handler.may_answer.clear()
    async with serving(handler, max_connections=1) as server:
        reader, writer = await connect(server)
        writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
        while not handler.received:
            await asyncio.sleep(0)
        further_reader, further_writer = await connect(server)
        with suppress(ConnectionError):
            assert await further_reader.read() == b""
        handler.may_answer.set()
        assert (await reader.readuntil(b"\r\n\r\n0")).startswith(b"HTTP/1.1 200")
        writer.close()
        further_writer.close()


async def test_parsed_headers_are_charged() -> None:
    """Guards against a router that runs out of memory over heads of many tiny headers."""
    memory = RequestMemory()
    async with serving(Handler(), memory) as server:
        _, writer = await connect(server)
        writer.write(HEAD + b"a:b\r\n" * 1000 + b"Content-Length: 1\r\n\r\n")
        while memory.held_bytes < 1000 * HEADER_OVERHEAD_BYTES:
            await asyncio.sleep(0)
        writer.close()
        while memory.held_bytes:
            await asyncio.sleep(0)


async def test_a_request_dropped_while_it_is_served_is_cancelled() -> None:
    """Guards against requests that keep memory which is no longer counted."""
    handler = Handler()
    handler.may_answer.clear()
    memory = RequestMemory(90_000)
    async with serving(handler, memory) as server:
        reader, writer = await connect(server)
        writer.write(HEAD + b"Content-Length: 80000\r\n\r\n" + bytes(80_000))
        while not handler.received:
            await asyncio.sleep(0)
        writer.write(bytes(100_000))
        with suppress(ConnectionError):
            assert await reader.read() == b""
        assert memory.held_bytes == 0
        writer.close()


async def test_few_connections_linger_after_a_rejection() -> None:
    """Guards against rejected connections that hold what they have received for a second."""
    async with serving(Handler(), max_connections=2 * MAX_LINGERING) as server:
        connections = [await connect(server) for _ in range(MAX_LINGERING + 20)]
        for _, writer in connections:
            writer.write(HEAD + b"Content-Length: 100001\r\n\r\n")
        for reader, _ in connections:
            assert (await answer(reader)).startswith(b"HTTP/1.1 413")
        assert server.limits.lingering <= MAX_LINGERING
        for _, writer in connections:
            writer.close()
