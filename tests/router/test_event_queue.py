"""Event queue of a request: back ends are blocked while it is full, timers are not."""

import asyncio

import pytest

from orchidpath.router.chat.event_queue import MAXIMUM_QUEUED_ANSWERS, EventQueue
from orchidpath.routing.request.events import ClientDisconnected, DecodeEnded


@pytest.fixture
async def full_queue() -> EventQueue:
    queue = EventQueue()
    for _ in range(MAXIMUM_QUEUED_ANSWERS):
        await queue.offer(DecodeEnded(attempt_id="a"))
    return queue


async def test_a_full_queue_blocks_back_ends_but_not_timers(full_queue: EventQueue) -> None:
    waiting = asyncio.create_task(full_queue.offer(DecodeEnded(attempt_id="a")))
    full_queue.post(ClientDisconnected())
    await asyncio.sleep(0)
    assert not waiting.done()
    full_queue.done(await full_queue.get())
    await asyncio.wait_for(waiting, 5.0)


async def test_closing_the_queue_releases_blocked_back_ends(full_queue: EventQueue) -> None:
    waiting = [asyncio.create_task(full_queue.offer(DecodeEnded(attempt_id="a"))) for _ in range(3)]
    await asyncio.sleep(0)
    full_queue.close()
    await asyncio.wait_for(asyncio.gather(*waiting), 5.0)
