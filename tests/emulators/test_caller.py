"""Callers against a fake router with scripted responses."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec
import pytest
from aiohttp import web

from orchidpath.emulators.backend.answers import answer_tokens, expected_call_body
from orchidpath.emulators.client.caller import Callers, CallerSettings
from orchidpath.emulators.client.caller_report import CallerProgress, CallerSummary
from orchidpath.emulators.client.return_policy import ReturnPolicy
from orchidpath.emulators.client.router_client import ChatCompletionRequest, make_session
from orchidpath.emulators.client.traffic_mix import (
    RequestBurst,
    TokenDistribution,
    TrafficKind,
    TrafficMix,
    TrafficStream,
)

Chat = Callable[[web.Request, web.StreamResponse, str, int], Awaitable[None]]
FEW = TokenDistribution(median=6, minimum=2, maximum=10)
MODEL_STREAM = TrafficStream(
    name="wine", kind=TrafficKind.MODEL, rate_per_second=0.0, model="wine", max_tokens=FEW
)
PLAIN_STREAM = TrafficStream(
    name="stock", kind=TrafficKind.PLAIN, rate_per_second=0.0, path="/stock/{}"
)
REQUESTS = 5


async def send_content(response: web.StreamResponse, text: str) -> None:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    await response.write(b"data: " + msgspec.json.encode({"choices": [choice]}) + b"\n\n")


async def send_end(response: web.StreamResponse) -> None:
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    await response.write(b"data: " + msgspec.json.encode({"choices": [choice]}) + b"\n\n")
    await response.write(b"data: [DONE]\n\n")


class FakeRouter:
    """Answers chats with a given function and plain calls correctly.

    The responses in ``rejections`` are sent first, one per request.
    """

    def __init__(self, chat: Chat, ready: bool = True) -> None:
        self.chat = chat
        self.ready = ready
        self.rejections: list[web.Response] = []
        self.request_ids: list[str] = []

    async def handle(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/health/ready":
            return web.Response(status=200 if self.ready else 503)
        request_id = request.headers["x-request-id"]
        self.request_ids.append(request_id)
        if self.rejections:
            return self.rejections.pop()
        if request.method == "GET":
            return web.Response(body=expected_call_body(request_id, "GET", request.path))
        chat = msgspec.json.decode(await request.read(), type=ChatCompletionRequest)
        response = web.StreamResponse()
        await response.prepare(request)
        await self.chat(request, response, request_id, chat.max_tokens)
        return response

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[str]:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        try:
            yield f"http://127.0.0.1:{runner.addresses[0][1]}"
        finally:
            await runner.cleanup()


async def complete_response(
    request: web.Request, response: web.StreamResponse, request_id: str, count: int
) -> None:
    for token in answer_tokens(request_id, count):
        await send_content(response, token)
    await send_end(response)


async def response_to_another_request(
    request: web.Request, response: web.StreamResponse, request_id: str, count: int
) -> None:
    await complete_response(request, response, f"{request_id}-other", count)


async def truncated_response_with_clean_end(
    request: web.Request, response: web.StreamResponse, request_id: str, count: int
) -> None:
    for token in answer_tokens(request_id, count - 1):
        await send_content(response, token)
    await send_end(response)


async def aborted_response(
    request: web.Request, response: web.StreamResponse, request_id: str, count: int
) -> None:
    for token in answer_tokens(request_id, count - 1):
        await send_content(response, token)
    assert request.transport is not None
    request.transport.abort()


async def error_event(
    request: web.Request, response: web.StreamResponse, request_id: str, count: int
) -> None:
    await send_content(response, next(answer_tokens(request_id, count)))
    await response.write(
        b'event: error\ndata: {"error": {"code": "stream_broken", "ran": "yes"}}\n\n'
    )


def rejection(ran: str, retry_after: str) -> web.Response:
    body = {"error": {"code": "overloaded", "message": "", "ran": ran}}
    headers = {"retry-after": retry_after}
    return web.Response(status=503, body=msgspec.json.encode(body), headers=headers)


async def call_routers(
    routers: list[str],
    stream: TrafficStream = MODEL_STREAM,
    disconnect_share: float = 0.0,
    for_seconds: float = 0.3,
) -> CallerSummary:
    burst = RequestBurst(stream=stream.name, at_seconds=0.0, requests=REQUESTS, over_seconds=0.0)
    mix = TrafficMix(streams=[stream], bursts=[burst], disconnect_share=disconnect_share)
    settings = CallerSettings(
        routers=tuple(routers),
        mix=mix,
        for_seconds=for_seconds,
        run_id="run",
        timeout_seconds=5.0,
        drain_seconds=5.0,
        returns=ReturnPolicy(max_returns=1),
    )
    progress: list[CallerProgress] = []
    return await Callers(settings, progress.append).run()


async def outcome_of(chat: Chat) -> CallerSummary:
    async with FakeRouter(chat).running() as url:
        return await call_routers([url])


async def test_complete_responses_are_counted_and_timed() -> None:
    summary = await outcome_of(complete_response)
    assert summary.outcomes.answered == summary.due == REQUESTS
    assert summary.violations == 0
    assert summary.first_token.count == REQUESTS
    assert summary.between_tokens.count >= REQUESTS


async def test_a_response_to_another_request_is_a_violation() -> None:
    summary = await outcome_of(response_to_another_request)
    assert summary.outcomes.wrong_content == summary.violations == REQUESTS
    assert len(summary.examples) == REQUESTS


async def test_a_truncated_response_that_looks_complete_is_a_violation() -> None:
    summary = await outcome_of(truncated_response_with_clean_end)
    assert summary.outcomes.incomplete_but_clean == summary.violations == REQUESTS


async def test_aborted_responses_are_no_violation() -> None:
    for chat in (aborted_response, error_event):
        summary = await outcome_of(chat)
        assert summary.outcomes.broken == REQUESTS
        assert summary.violations == 0


async def test_a_rejected_caller_retries_under_the_same_request_id() -> None:
    router = FakeRouter(complete_response)
    router.rejections = [rejection("no", "0")]
    async with router.running() as url:
        # A caller retries only while the load runs, which is far longer than these retries take.
        summary = await call_routers([url], for_seconds=8.0)
    assert (summary.outcomes.answered, summary.returns) == (REQUESTS, 1)
    assert len(router.request_ids) == REQUESTS + 1
    assert len(set(router.request_ids)) == REQUESTS


async def test_a_call_that_may_have_executed_is_not_retried() -> None:
    router = FakeRouter(complete_response)
    router.rejections = [rejection("unknown", "0")]
    async with router.running() as url:
        summary = await call_routers([url])
    assert (summary.outcomes.refused, summary.returns) == (1, 0)
    assert len(router.request_ids) == REQUESTS
    assert [code.count for code in summary.codes if code.code == "overloaded"] == [1]


async def test_unready_and_dead_routers_are_skipped() -> None:
    ready, unready = FakeRouter(complete_response), FakeRouter(complete_response, ready=False)
    async with ready.running() as url, unready.running() as unready_url:
        summary = await call_routers([unready_url, "http://127.0.0.1:1", url])
    assert summary.outcomes.answered == REQUESTS
    assert (len(ready.request_ids), len(unready.request_ids)) == (REQUESTS, 0)


async def test_without_a_router_the_request_fails() -> None:
    summary = await call_routers(["http://127.0.0.1:1"])
    assert summary.outcomes.unreachable == REQUESTS


async def test_plain_calls_and_disconnecting_callers() -> None:
    async with FakeRouter(complete_response).running() as url:
        plain = await call_routers([url], PLAIN_STREAM)
        assert plain.outcomes.answered == plain.plain_call.count == REQUESTS
        disconnecting = await call_routers([url], disconnect_share=1.0)
        assert disconnecting.outcomes.abandoned == REQUESTS


@pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
async def test_the_library_never_sends_a_request_twice(method: str) -> None:
    received_count = 0

    async def close_without_response(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal received_count
        await reader.readuntil(b"\r\n\r\n")
        received_count += 1
        writer.close()

    server = await asyncio.start_server(close_without_response, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with make_session() as session:
        with pytest.raises(aiohttp.ClientConnectionError):
            await session.request(method, f"http://127.0.0.1:{port}/")
    server.close()
    assert received_count == 1
