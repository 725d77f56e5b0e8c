"""What the callers of an aiohttp application may take together: memory and connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from orchidpath.common.event_loop_turns import EventLoopTurns
from orchidpath.common.request_memory import RequestMemory
from orchidpath.wire.http_bodies import SHARED_BODIES, read_body, share_request_memory
from orchidpath.wire.http_server import BoundedHttpServer

WAIT_SECONDS = 30.0
MAX_BODY_BYTES = 100_000
HEAD = b"PUT /x HTTP/1.1\r\nHost: control\r\n"


class Application:
    """An application that answers with the length of the body, once ``may_answer`` is set."""

    def __init__(self, memory: RequestMemory, body_seconds: float | None) -> None:
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.arrived = 0
        self.received = 0
        self.errors: list[Exception] = []
        self._body_seconds = body_seconds
        self.app = web.Application()
        share_request_memory(self.app, memory)
        self.app.router.add_put("/x", self._answer)

    async def _answer(self, request: web.Request) -> web.Response:
        self.arrived += 1
        try:
            body = await read_body(request, MAX_BODY_BYTES, self._body_seconds)
        except Exception as error:
            self.errors.append(error)
            raise
        self.received += 1
        await self.may_answer.wait()
        return web.Response(text=str(len(body)))


class CountingTurns(EventLoopTurns):
    """Counts the turns that were asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    async def next_turn(self) -> None:
        self.count += 1
        await super().next_turn()


class Serving:
    def __init__(self, server: BoundedHttpServer, application: Application) -> None:
        self._server = server
        self.application = application

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self._server.address.split(":")
        return await asyncio.open_connection(host, int(port))


@asynccontextmanager
async def serving(
    memory: RequestMemory | None = None,
    body_seconds: float | None = None,
    max_connections: int | None = None,
) -> AsyncIterator[Serving]:
    application = Application(memory or RequestMemory(), body_seconds)
    server = BoundedHttpServer(
        application.app, shutdown_seconds=0.1, max_connections=max_connections
    )
    await server.start("127.0.0.1:0")
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            yield Serving(server, application)
    finally:
        await server.close()


async def status(reader: asyncio.StreamReader) -> int:
    return int((await reader.readuntil(b"\r\n\r\n")).split()[1])


async def test_incomplete_bodies_give_way_to_others() -> None:
    """Guards against a control process that runs out of memory over bodies that never end."""
    memory = RequestMemory(200_000)
    async with serving(memory) as server:
        connections = [await server.connect() for _ in range(6)]
        for _, writer in connections:
            writer.write(HEAD + b"Content-Length: 90000\r\n\r\n" + bytes(89_999))
        refused = await asyncio.wait(
            [asyncio.create_task(status(reader)) for reader, _ in connections],
            return_when=asyncio.FIRST_COMPLETED,
        )
        assert {task.result() for task in refused[0]} == {503}
        while memory.shed_count < 4:
            await asyncio.sleep(0)
        assert memory.held_bytes <= memory.limit_bytes
        for task in refused[1]:
            task.cancel()
        for _, writer in connections:
            writer.close()


async def test_bodies_of_many_parts_are_read_in_turns() -> None:
    """Guards against ordinary callers that wait until all bodies in tiny chunks are parsed."""
    async with serving() as server:
        turns = CountingTurns()
        server.application.app[SHARED_BODIES].turns = turns
        connections = [await server.connect() for _ in range(4)]
        chunks = b"1\r\nx\r\n" * (MAX_BODY_BYTES - 1)
        for _, writer in connections:
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")
        for reader, writer in connections:
            assert await status(reader) == 200
            writer.close()
        assert turns.count >= len(connections)
        reader, writer = await server.connect()
        before = turns.count
        writer.write(HEAD + b"Content-Length: 5\r\n\r\nstock")
        assert await status(reader) == 200
        assert turns.count == before
        writer.close()


async def test_the_memory_of_a_body_is_held_until_its_answer() -> None:
    memory = RequestMemory()
    async with serving(memory) as server:
        server.application.may_answer.clear()
        reader, writer = await server.connect()
        writer.write(HEAD + b"Content-Length: 1000\r\n\r\n" + bytes(1000))
        while not server.application.received:
            await asyncio.sleep(0)
        assert memory.complete_bytes == 1000
        server.application.may_answer.set()
        assert await status(reader) == 200
        assert memory.held_bytes == 0
        writer.close()


async def test_a_body_over_the_limit_is_refused_announced_or_sent() -> None:
    async with serving() as server:
        reader, writer = await server.connect()
        writer.write(HEAD + b"Content-Length: 100001\r\n\r\n")
        assert await status(reader) == 413
        writer.close()
        reader, writer = await server.connect()
        chunk = b"%x\r\n" % MAX_BODY_BYTES + bytes(MAX_BODY_BYTES) + b"\r\n"
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"1\r\nx\r\n")
        assert await status(reader) == 413
        writer.close()


async def test_a_body_that_comes_too_slowly_is_refused() -> None:
    async with serving(body_seconds=0.05) as server:
        reader, writer = await server.connect()
        writer.write(HEAD + b"Content-Length: 10\r\n\r\n")
        assert await status(reader) == 408
        writer.close()


async def test_the_oldest_connection_makes_room() -> None:
    """Guards against a control process that accepts no one while others hold idle connections."""
    async with serving(max_connections=2) as server:
        oldest, second, further = [await server.connect() for _ in range(3)]
        assert await oldest[0].read() == b""
        further[1].write(HEAD + b"Content-Length: 0\r\n\r\n")
        assert await status(further[0]) == 200
        for _, writer in (oldest, second, further):
            writer.close()


async def test_a_request_that_is_served_is_answered_before_its_connection_makes_room() -> None:
    async with serving(max_connections=1) as server:
        server.application.may_answer.clear()
        reader, writer = await server.connect()
        writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
        while not server.application.received:
            await asyncio.sleep(0)
        _, further = await server.connect()
        server.application.may_answer.set()
        assert await status(reader) == 200
        assert await reader.read() == b"0"
        writer.close()
        further.close()


async def test_a_request_whose_body_never_ends_makes_room_at_once() -> None:
    """Guards against incomplete bodies that keep workers and operators from connecting."""
    async with serving(max_connections=2) as server:
        crowd = []
        for number in range(4):
            crowd.append(await server.connect())
            crowd[-1][1].write(HEAD + b"Content-Length: 10\r\n\r\nx")
            while server.application.arrived <= number:
                await asyncio.sleep(0)
        reader, writer = await server.connect()
        writer.write(HEAD + b"Content-Length: 1\r\n\r\nx")
        assert await status(reader) == 200
        for _, member in crowd:
            member.close()
        writer.close()


async def test_a_caller_that_leaves_within_its_body_is_no_error_of_the_server() -> None:
    """Guards against a traceback in the log for each member of a crowd that leaves."""
    async with serving() as server:
        _, writer = await server.connect()
        writer.write(HEAD + b"Content-Length: 10\r\n\r\nx")
        while not server.application.arrived:
            await asyncio.sleep(0)
        writer.close()
        while not server.application.errors:
            await asyncio.sleep(0)
        assert [type(error) for error in server.application.errors] == [web.HTTPBadRequest]
