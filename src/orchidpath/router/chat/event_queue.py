"""Queue of the events of one request for its state machine.

The number of queued events from back ends is bounded.
"""

import asyncio

import msgspec

from orchidpath.routing.request.events import RequestEvent

MAXIMUM_QUEUED_ANSWERS = 64
"""Maximum number of queued events from back ends; when it is reached, the back end is blocked."""


class QueuedEvent(msgspec.Struct, frozen=True):
    """An event, and whether it counts towards ``MAXIMUM_QUEUED_ANSWERS``."""

    event: RequestEvent
    has_place: bool


class EventQueue:
    """Queue of events that blocks back ends while it is full, but never timers."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[QueuedEvent] = asyncio.Queue()
        self._places = asyncio.Semaphore(MAXIMUM_QUEUED_ANSWERS)
        self._is_closed = False

    def post(self, event: RequestEvent) -> None:
        """Queue an event without waiting; only for sources of few events, such as timers."""
        self._queue.put_nowait(QueuedEvent(event, has_place=False))

    async def offer(self, event: RequestEvent) -> None:
        """Queue an event from a back end, waiting while the queue is full.

        The event is dropped if the queue is closed.
        """
        await self._places.acquire()
        if self._is_closed:
            self._places.release()
            return
        self._queue.put_nowait(QueuedEvent(event, has_place=True))

    async def get(self) -> QueuedEvent:
        """Wait for the next event."""
        return await self._queue.get()

    def done(self, queued: QueuedEvent) -> None:
        """Release the place of an event that has been processed."""
        if queued.has_place:
            self._places.release()

    def close(self) -> None:
        """Drop all later events from back ends, and release those that wait for a place."""
        self._is_closed = True
        self._places.release()
