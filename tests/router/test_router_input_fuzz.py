"""Fuzzed input from callers and back ends.

Each input must end in a typed rejection or failure within its timeout.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from itertools import pairwise
from random import Random
from typing import Any, cast

import msgspec
import pytest
from aiohttp import web
from edge_fakes import FakeFleet, running_site, view_of
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.router.chat.backend_client import BackendClient
from orchidpath.router.chat.backend_exchange import DispatchTarget
from orchidpath.router.chat.event_stream import EventParser, MalformedEventError
from orchidpath.router.chat.http_intake import Intake, RefusedError, read_chat, read_plain
from orchidpath.router.routing_state import RoutingState
from orchidpath.routing.request.events import (
    AttemptFailed,
    DecodeEnded,
    DecodeFrameReceived,
    RequestEvent,
)
from orchidpath.wire.backend import (
    CacheHandle,
    CallRequest,
    DecodeRequest,
    ErrorCode,
    PrefillRequest,
)

FUZZ = settings(deadline=None, derandomize=True, max_examples=200)
DEEP = b"[" * 100_000
DEEP_CHAT = b'{"model":"wine","messages":[],"x":' + DEEP
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=7), inner),
    max_leaves=6,
)
CHAT: dict[str, Any] = {
    "model": "wine",
    "messages": [{"role": "user", "content": "Which wine?"}],
    "max_tokens": 8,
}


class FakeRequest:
    """The part of an HTTP request that the intake reads."""

    def __init__(self, body: bytes, headers: dict[str, str] | None = None) -> None:
        self.method = "GET"
        self.path = self.path_qs = "/stock/1"
        self.headers = headers or {}
        self._body = body

    def __getitem__(self, key: object) -> "FakeRequest":
        """Return the share of the memory, which is this object as well."""
        return self

    async def read(self, request: "FakeRequest", max_bytes: int, timeout: float | None) -> bytes:
        assert request is self
        assert len(self._body) <= max_bytes
        return self._body


def read_intake(
    read: Callable[..., Awaitable[Intake]], body: bytes, headers: dict[str, str] | None = None
) -> Intake | ErrorCode:
    state = RoutingState(FakeFleet(view_of([], repeatable=True)), Random(1))
    assert state.refresh()
    request = cast(web.Request, FakeRequest(body, headers))
    try:
        return asyncio.run(_awaited(read(request, "r1", state, 100.0)))
    except RefusedError as rejected:
        assert rejected.error.ran.value == "no"
        return rejected.error.code


async def _awaited(work: Awaitable[Intake]) -> Intake:
    return await work


@FUZZ
@given(body=st.binary(max_size=200))
def test_random_bytes_are_a_bad_chat_request(body: bytes) -> None:
    assert read_intake(read_chat, body) is ErrorCode.BAD_REQUEST


@pytest.mark.parametrize("read", [read_chat, read_plain])
@pytest.mark.parametrize("body", [DEEP, DEEP_CHAT, b'"\xff"', b"{", b"NaN"])
def test_pathological_bodies_are_bad_requests(
    read: Callable[..., Awaitable[Intake]], body: bytes
) -> None:
    assert read_intake(read, body) is ErrorCode.BAD_REQUEST


@FUZZ
@given(
    field=st.sampled_from([*CHAT, "stream", "max_completion_tokens", "temperature"]),
    value=JSON_VALUES,
)
def test_a_chat_with_any_field_is_accepted_or_rejected(field: str, value: object) -> None:
    intake = read_intake(read_chat, json.dumps({**CHAT, field: value}).encode())
    if isinstance(intake, Intake):
        assert intake.cost_tokens >= 1
        assert intake.routed.max_tokens >= 1
        assert intake.routed.subject.model == "wine"
    else:
        assert intake in {ErrorCode.BAD_REQUEST, ErrorCode.UNKNOWN_ROUTE}


@FUZZ
@given(value=JSON_VALUES)
def test_a_plain_body_is_forwarded_unchanged(value: object) -> None:
    body = json.dumps(value).encode()
    intake = read_intake(read_plain, body)
    assert isinstance(intake, Intake)
    assert intake.routed.body == body


@FUZZ
@given(text=st.text(max_size=20) | st.floats().map(str))
def test_a_deadline_is_positive_and_no_later_than_the_routes(text: str) -> None:
    intake = read_intake(read_plain, b"1", {"x-deadline-seconds": text})
    if isinstance(intake, Intake):
        assert (
            100.0
            <= intake.routed.plan.deadline
            <= 100.0 + intake.routed.plan.route.deadline_seconds
        )
    else:
        assert intake is ErrorCode.BAD_REQUEST


async def test_undecodable_announcements_are_bad_requests() -> None:
    async with running_site() as site:
        for body in (b"", b"{", DEEP, DEEP_CHAT, b'{"record":{}}', b'"\xff"'):
            url = f"{site.url}/v1/workers/announce"
            async with site.session.post(url, data=body) as response:
                assert response.status == 400
                assert (await response.json())["error"]["code"] == "bad_request"
        assert site.fleet.announced == []


async def test_a_deeply_nested_chat_is_a_bad_request() -> None:
    async with (
        running_site() as site,
        site.session.post(f"{site.url}/v1/chat/completions", data=DEEP_CHAT) as response,
    ):
        assert response.status == 400
        assert (await response.json())["error"]["ran"] == "no"


@FUZZ
@given(
    body=st.lists(
        st.sampled_from([b"data: ", b"data:", b"\n", b"\n\n", b"\r\n", b": c", b"{}", b"event: x"])
        | st.binary(max_size=8),
        max_size=30,
    ).map(b"".join),
    boundaries=st.lists(st.integers(0, 200), max_size=6),
)
def test_events_do_not_depend_on_the_chunks(body: bytes, boundaries: list[int]) -> None:
    unsplit = EventParser()
    events = unsplit.feed(body)
    parser = EventParser()
    found: list[bytes] = []
    edges = [0, *sorted(boundaries), len(body)]
    for start, end in pairwise(edges):
        found += parser.feed(body[start:end])
    assert (found, parser.has_pending) == (events, unsplit.has_pending)


def test_the_size_of_an_event_is_bounded_for_any_chunks() -> None:
    parser = EventParser()
    with pytest.raises(MalformedEventError):
        for _ in range(200):
            parser.feed(b"data: " + b"x" * 10_000)


HANDLE = CacheHandle(
    handle_id="h",
    request_id="r1",
    attempt_id="a1",
    worker_id="p1",
    incarnation="1",
    url="http://127.0.0.1:1",
    prompt_tokens=1,
    expires_in_seconds=1.0,
)
HEAD = b"HTTP/1.1 %s\r\ncontent-type: text/event-stream\r\nx-attempt-id: a1\r\n"


def invalid_responses() -> list[bytes]:
    """Return raw responses of a back end, none of them valid."""
    generator = Random(5)
    bodies = [
        b"",
        DEEP,
        b'{"request_id":"r1","attempt_id":"a1","body":' + DEEP,
        b'{"error":' + DEEP,
        b"data: " + DEEP + b"\n\n",
        b'data: {"kind":"content"}\n\n',
        b"data: \xff\n\ndata: {}\n\n",
        *(generator.randbytes(60) for _ in range(6)),
    ]
    raw = [generator.randbytes(80) for _ in range(6)]
    for body in bodies:
        for status in (b"200 OK", b"503 Busy", b"302 Found"):
            raw.append(HEAD % status + b"content-length: %d\r\n\r\n" % len(body) + body)
            raw.append(HEAD % status + b"content-length: %d\r\n\r\n" % (len(body) + 9) + body)
            raw.append(HEAD % status + b"transfer-encoding: chunked\r\n\r\n" + body)
    return raw


@asynccontextmanager
async def raw_backend(answer: bytes) -> AsyncIterator[str]:
    """Send one raw response to every client, then close."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        # Closing before the request has been read would reset the connection.
        await asyncio.sleep(0)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


async def outcomes_of(answer: bytes) -> list[list[RequestEvent]]:
    """Send each kind of back-end request; return the events of each."""
    client = BackendClient()
    ids = {"request_id": "r1", "attempt_id": "a1"}
    found: list[list[RequestEvent]] = [[], [], []]

    def emit_into(events: list[RequestEvent]) -> Callable[[RequestEvent], Awaitable[None]]:
        async def emit(event: RequestEvent) -> None:
            events.append(event)

        return emit

    try:
        async with raw_backend(answer) as url, asyncio.timeout(10.0):
            target = DispatchTarget(
                url=url,
                **ids,
                first_answer_seconds=1.0,
                stall_seconds=1.0,
                refused_retry_after_seconds=1.0,
            )
            prefill = PrefillRequest(**ids, model="wine", prompt="")
            decode = DecodeRequest(**ids, model="wine", handle=HANDLE, max_tokens=1)
            call = CallRequest(**ids, method="GET", path="/", body=msgspec.Raw(b"null"))
            await client.prefill(target, prefill, lambda: None, emit_into(found[0]))
            await client.decode(target, decode, lambda: None, emit_into(found[1]))
            await client.call(target, call, lambda: None, emit_into(found[2]))
            assert await client.cancel(url, "a1", 1.0) is None
    finally:
        await client.close()
    return found


async def test_an_undecodable_response_of_a_back_end_is_a_failed_attempt() -> None:
    for answer in invalid_responses():
        prefill, decode, call = await outcomes_of(answer)
        for events in (prefill, decode, call):
            ended = [event for event in events if not isinstance(event, DecodeFrameReceived)]
            assert len(ended) == 1, (answer[:200], events)
            # A stream may end without a frame; the request machine treats that as broken.
            allowed = (AttemptFailed, DecodeEnded) if events is decode else AttemptFailed
            assert isinstance(ended[0], allowed), answer[:200]
