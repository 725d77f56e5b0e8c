"""Small parts of the HTTP edge, without a network."""

import asyncio

import pytest

from orchidpath.router.chat.event_queue import MAXIMUM_QUEUED_ANSWERS, EventQueue
from orchidpath.router.chat.event_stream import (
    MAXIMUM_EVENT_BYTES,
    EventParser,
    MalformedEventError,
)
from orchidpath.router.chat.http_errors import STATUS_BY_CODE, retry_after_header
from orchidpath.router.drain import DrainState
from orchidpath.router.load_view import KNOWN_FOR_SECONDS, LoadView
from orchidpath.routing.request.events import ClientDisconnected, DecodeEnded
from orchidpath.wire.backend import ErrorCode
from orchidpath.wire.messages import CandidateState


@pytest.mark.parametrize(("seconds", "header"), [(0.0, "1"), (0.2, "1"), (1.0, "1"), (1.01, "2")])
def test_retry_after_is_rounded_up_and_at_least_one(seconds: float, header: str) -> None:
    assert retry_after_header(seconds) == header


def test_paper_statuses() -> None:
    assert STATUS_BY_CODE[ErrorCode.ALL_CIRCUITS_OPEN] == 503
    assert STATUS_BY_CODE[ErrorCode.RATE_LIMITED] == 429


def test_events_are_cut_wherever_the_chunks_end() -> None:
    body = b': comment\n\ndata: {"a":1}\n\ndata: two\n\n'
    parser = EventParser()
    events = [event for byte in body for event in parser.feed(bytes([byte]))]
    assert events == [b'{"a":1}', b"two"]
    assert not parser.has_pending


def test_half_an_event_is_pending() -> None:
    parser = EventParser()
    parser.feed(b"data: {")
    assert parser.has_pending


def test_an_event_without_end_is_malformed() -> None:
    parser = EventParser()
    with pytest.raises(MalformedEventError):
        parser.feed(b"x" * (MAXIMUM_EVENT_BYTES + 1))


async def test_queue_holds_back_ends_but_not_timers() -> None:
    queue = EventQueue()
    for _ in range(MAXIMUM_QUEUED_ANSWERS):
        await queue.offer(DecodeEnded(attempt_id="a"))
    waiting = asyncio.create_task(queue.offer(DecodeEnded(attempt_id="a")))
    queue.post(ClientDisconnected())
    await asyncio.sleep(0)
    assert not waiting.done()
    queue.done(await queue.get())
    await asyncio.wait_for(waiting, 5.0)


async def test_closed_queue_lets_everybody_go() -> None:
    queue = EventQueue()
    for _ in range(MAXIMUM_QUEUED_ANSWERS):
        await queue.offer(DecodeEnded(attempt_id="a"))
    waiting = [asyncio.create_task(queue.offer(DecodeEnded(attempt_id="a"))) for _ in range(3)]
    await asyncio.sleep(0)
    queue.close()
    await asyncio.wait_for(asyncio.gather(*waiting), 5.0)


async def test_drain_waits_for_the_last_request_and_no_longer_than_told() -> None:
    drain = DrainState()
    assert await drain.wait_until_idle(0.0)
    drain.enter()
    drain.begin()
    assert not await drain.wait_until_idle(0.01)
    drain.leave()
    assert await drain.wait_until_idle(0.0)


def test_load_is_the_larger_of_known_and_own_and_forgets() -> None:
    loads = LoadView()
    loads.begin(["w1", "w1", "w2"])
    state = CandidateState(worker_id="w2", status="available", health=0.5, in_flight=9)
    loads.learn([state], now=0.0)
    assert loads.in_flight(1.0) == {"w1": 2, "w2": 9}
    loads.end("w1")
    assert loads.in_flight(KNOWN_FOR_SECONDS + 1.0) == {"w1": 1, "w2": 1}
