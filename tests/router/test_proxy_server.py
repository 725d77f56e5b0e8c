"""Handling of callers' connections while the proxy server stops."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from orchidpath.common.clock import monotonic_seconds
from orchidpath.router.proxy.caller_connection import CallerConnection
from orchidpath.router.proxy.proxy_messages import ForwardedRequest, ResponseHead
from orchidpath.router.proxy.proxy_server import ProxyServer
from orchidpath.wire.configuration import EdgeLimits

REQUEST = b"GET /x HTTP/1.1\r\nHost: shop\r\n\r\n"
RESPONSE_END = b"\r\n\r\nanswer"
WAIT_SECONDS = 30.0


class Handler:
    """Request handler that responds once ``may_answer`` is set, which it is by default."""

    def __init__(self) -> None:
        self.received = 0
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.has_received = asyncio.Event()

    async def handle(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        self.received += 1
        self.has_received.set()
        await self.may_answer.wait()
        caller.send_response(200, (), b"answer")


@asynccontextmanager
async def serving(handler: Handler) -> AsyncIterator[ProxyServer]:
    server = ProxyServer(
        "127.0.0.1:0", handler.handle, EdgeLimits, lambda: False, monotonic_seconds
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


async def test_a_stopping_server_closes_idle_connections() -> None:
    # Guards against requests on idle connections after the server has begun to stop: in a bench
    # run, a request sent 5.7 s after SIGTERM was still accepted, and then aborted.
    handler = Handler()
    async with serving(handler) as server:
        reader, writer = await connect(server)
        writer.write(REQUEST)
        await reader.readuntil(RESPONSE_END)
        server.stop_listening()
        assert await reader.read() == b""
        assert handler.received == 1
        writer.close()


async def test_a_stopping_server_finishes_running_requests_and_accepts_no_other() -> None:
    handler = Handler()
    handler.may_answer.clear()
    async with serving(handler) as server:
        reader, writer = await connect(server)
        writer.write(REQUEST)
        await handler.has_received.wait()
        server.stop_listening()
        handler.may_answer.set()
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(RESPONSE_END)
        assert handler.received == 1
        writer.close()


async def test_a_stopping_server_closes_connections_without_a_request() -> None:
    handler = Handler()
    async with serving(handler) as server:
        reader, writer = await connect(server)
        while not server.connections:
            await asyncio.sleep(0)
        server.stop_listening()
        assert await reader.read() == b""
        writer.close()


class FailingHandler(Handler):
    """Request handler with a fault: it raises, after the head of a response if ``begins``."""

    def __init__(self, *, begins: bool) -> None:
        super().__init__()
        self.begins = begins

    async def handle(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        if self.begins:
            caller.send_head(ResponseHead(status=200, headers=()))
            caller.send_body(b"part")
        raise KeyError("fault")


async def test_a_fault_in_the_handler_is_answered() -> None:
    """Guards against a caller whose connection closes without an answer."""
    async with serving(FailingHandler(begins=False)) as server:
        reader, writer = await connect(server)
        writer.write(REQUEST)
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 500")
        assert answer.endswith(b"\r\n\r\nthe router failed")
        writer.close()


async def test_a_fault_in_the_middle_of_a_response_leaves_it_visibly_incomplete() -> None:
    async with serving(FailingHandler(begins=True)) as server:
        reader, writer = await connect(server)
        writer.write(REQUEST)
        answer = b""
        with suppress(ConnectionError):
            while part := await reader.read(100):
                answer += part
        assert not answer.endswith(b"0\r\n\r\n")
        writer.close()


HEAD, BODY = b"POST /x HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n\r\n", b"body"


@pytest.mark.parametrize("sent_before", [HEAD[:1], HEAD[:30], HEAD, HEAD + BODY[:2], HEAD + BODY])
async def test_a_request_that_has_begun_to_arrive_is_served_by_a_stopping_server(
    sent_before: bytes,
) -> None:
    """Guards against a request whose connection is closed between its head and its body."""
    handler = Handler()
    async with serving(handler) as server:
        reader, writer = await connect(server)
        writer.write(REQUEST)
        await reader.readuntil(RESPONSE_END)
        await send_and_wait(server, writer, sent_before)
        server.stop_listening()
        writer.write((HEAD + BODY)[len(sent_before) :])
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(RESPONSE_END)
        assert await server.wait_until_closed(WAIT_SECONDS)
        writer.close()


async def send_and_wait(server: ProxyServer, writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send bytes on the only connection, and return once the server has parsed them."""
    (connection,) = server.connections
    has_arrived = asyncio.Event()
    receive = connection.data_received

    def note(received: bytes) -> None:
        receive(received)
        has_arrived.set()

    connection.data_received = note  # type: ignore[method-assign, assignment]
    writer.write(data)
    await has_arrived.wait()
    # The task that reads the request runs in the next turns of the event loop.
    for _ in range(10):
        await asyncio.sleep(0)


async def test_a_stopping_server_waits_for_its_connections_for_a_bounded_time() -> None:
    handler = Handler()
    async with serving(handler) as server:
        reader, writer = await connect(server)
        writer.write(REQUEST)
        await reader.readuntil(RESPONSE_END)
        await send_and_wait(server, writer, HEAD)
        server.stop_listening()
        assert not await server.wait_until_closed(0.05)
        server.close()
        assert await server.wait_until_closed(WAIT_SECONDS)
        writer.close()
