"""Events of one request on their way to its machine, with bounded room for what back ends send."""

import asyncio

import msgspec

from orchidpath.routing.request.events import RequestEvent

MAXIMUM_QUEUED_ANSWERS = 64
"""Answers and frames of back ends that wait for the machine; above it the back end waits."""


class QueuedEvent(msgspec.Struct, frozen=True):
    """An event, and whether it occupies one of the bounded places."""

    event: RequestEvent
    has_place: bool


class EventQueue:
    """Queues events; timers never wait, back ends do."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[QueuedEvent] = asyncio.Queue()
        self._places = asyncio.Semaphore(MAXIMUM_QUEUED_ANSWERS)
        self._is_closed = False

    def post(self, event: RequestEvent) -> None:
        """Queue an event of which there are only a few, such as a timer's."""
        self._queue.put_nowait(QueuedEvent(event, has_place=False))

    async def offer(self, event: RequestEvent) -> None:
        """Queue what a back end sent, once there is a place for it."""
        await self._places.acquire()
        if self._is_closed:
            self._places.release()
            return
        self._queue.put_nowait(QueuedEvent(event, has_place=True))

    async def get(self) -> QueuedEvent:
        """Wait for the next event."""
        return await self._queue.get()

    def done(self, queued: QueuedEvent) -> None:
        """Give an event's place back once it has been dealt with."""
        if queued.has_place:
            self._places.release()

    def close(self) -> None:
        """Drop what comes from now on, and let everybody go who waits for a place."""
        self._is_closed = True
        self._places.release()
