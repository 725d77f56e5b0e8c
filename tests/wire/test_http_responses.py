"""Large responses of an aiohttp application: written as fast as their callers read them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from orchidpath.common.request_memory import RequestMemory
from orchidpath.common.response_memory import ResponseMemory
from orchidpath.wire.http_bodies import share_request_memory
from orchidpath.wire.http_responses import PIECE_BYTES, LargeResponses
from orchidpath.wire.http_server import BoundedHttpServer

LARGE_BYTES = 32 * 1024 * 1024
"""Size of a body that no socket buffers hold."""

REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


class Server:
    """A server whose only response has a body of a given size."""

    def __init__(self, body: bytes, responses: LargeResponses | None) -> None:
        self.body = body
        self.connections: list[web.RequestHandler] = []
        app = web.Application()
        share_request_memory(app, RequestMemory())
        app.router.add_get("/x", self._answer)
        self.http = BoundedHttpServer(app, shutdown_seconds=0.1, responses=responses)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.http.address.split(":")
        return await asyncio.open_connection(host, int(port))

    async def _answer(self, request: web.Request) -> web.Response:
        self.connections.append(request.protocol)
        return web.Response(body=self.body, content_type="text/x-test")


@asynccontextmanager
async def serving(body: bytes, responses: LargeResponses | None = None) -> AsyncIterator[Server]:
    server = Server(body, responses)
    await server.http.start("127.0.0.1:0")
    try:
        async with asyncio.timeout(60.0):
            yield server
    finally:
        await server.http.close()


async def read_response(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    (length,) = (line for line in head.split("\r\n") if line.startswith("Content-Length: "))
    return head, await reader.readexactly(int(length.removeprefix("Content-Length: ")))


async def test_a_large_body_arrives_whole_and_the_connection_goes_on() -> None:
    async with serving(bytes(range(256)) * 4096) as server:
        reader, writer = await server.connect()
        for _ in range(2):
            writer.write(REQUEST)
            head, body = await read_response(reader)
            assert "Content-Type: text/x-test\r\n" in head
            assert body == server.body
        assert server.http.responses.memory.held_bytes == 0
        writer.close()


async def test_a_head_request_gets_the_length_of_a_large_body_alone() -> None:
    async with serving(bytes(PIECE_BYTES + 1)) as server:
        reader, writer = await server.connect()
        writer.write(REQUEST.replace(b"GET", b"HEAD") + REQUEST)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        assert f"Content-Length: {PIECE_BYTES + 1}\r\n" in head
        assert (await read_response(reader))[1] == server.body
        writer.close()


async def test_a_caller_that_reads_nothing_leaves_little_in_its_connection() -> None:
    """Guards against a copy of the body for each caller that does not read it."""
    async with serving(bytes(LARGE_BYTES)) as server:
        callers = [await server.connect() for _ in range(3)]
        for _, writer in callers:
            assert isinstance(writer.transport, asyncio.Transport)
            writer.transport.pause_reading()
            writer.write(REQUEST)
        while len(server.connections) < 3:
            await asyncio.sleep(0)
        memory = server.http.responses.memory
        while memory.held_bytes < LARGE_BYTES:
            await asyncio.sleep(0)
        assert memory.held_bytes == LARGE_BYTES
        for connection in server.connections:
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() <= 2 * PIECE_BYTES
        for _, writer in callers:
            writer.transport.abort()
        while memory.held_bytes:
            await asyncio.sleep(0)


async def test_a_caller_that_reads_nothing_for_too_long_is_disconnected() -> None:
    """Guards against bodies that are held for ever."""
    responses = LargeResponses(ResponseMemory(), unread_seconds=0.05)
    async with serving(bytes(LARGE_BYTES), responses) as server:
        _, writer = await server.connect()
        assert isinstance(writer.transport, asyncio.Transport)
        writer.transport.pause_reading()
        writer.write(REQUEST)
        while not responses.memory.held_bytes:
            await asyncio.sleep(0)
        while responses.memory.held_bytes:
            await asyncio.sleep(0)
        (connection,) = server.connections
        while connection.transport is not None:
            await asyncio.sleep(0)
        writer.transport.abort()


async def test_an_old_response_gives_way_to_a_further_one() -> None:
    """Guards against callers that keep others from reading."""
    responses = LargeResponses(ResponseMemory(LARGE_BYTES))
    async with serving(bytes(LARGE_BYTES), responses) as server:
        _, idle = await server.connect()
        assert isinstance(idle.transport, asyncio.Transport)
        idle.transport.pause_reading()
        idle.write(REQUEST)
        while not responses.memory.held_bytes:
            await asyncio.sleep(0)
        server.body = b"x" * LARGE_BYTES
        reader, writer = await server.connect()
        writer.write(REQUEST)
        assert (await read_response(reader))[1] == server.body
        assert responses.memory.given_up_count == 1
        writer.close()
        idle.transport.abort()
