"""Turns in which a control process decodes and commits the updates of the configuration.

An update takes several times the size of its text until it is confirmed: the decoded configuration,
the command, its entry in the log. Small updates have their turns together, large ones one after
another, in the order in which they arrived.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

MAX_BYTES_IN_TURN = 8 * 1024 * 1024
"""Bound on the texts of the updates that are decoded and committed at once."""


class UpdateTurns:
    """Grants turns to updates.

    Parameters
    ----------
    limit_bytes
        Bound on the sizes of the updates that have a turn. A larger update has one alone.
    """

    def __init__(self, limit_bytes: int = MAX_BYTES_IN_TURN) -> None:
        self._limit_bytes = limit_bytes
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()
        self.granted_bytes = 0

    @asynccontextmanager
    async def turn(self, size_bytes: int) -> AsyncIterator[None]:
        """Wait for the turn of an update, which lasts while the context is open."""
        size_bytes = min(size_bytes, self._limit_bytes)
        await self._wait(size_bytes)
        try:
            yield
        finally:
            self.granted_bytes -= size_bytes
            self._grant()

    async def _wait(self, size_bytes: int) -> None:
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append((size_bytes, granted))
        self._grant()
        try:
            await granted
        except asyncio.CancelledError:
            if not granted.cancelled():
                self.granted_bytes -= size_bytes
            self._grant()
            raise

    def _grant(self) -> None:
        """Grant the oldest turns for which there is room."""
        while self._waiting:
            size_bytes, granted = self._waiting[0]
            if not granted.done():
                if self.granted_bytes + size_bytes > self._limit_bytes:
                    return
                self.granted_bytes += size_bytes
                granted.set_result(None)
            self._waiting.popleft()


UPDATE_TURNS = web.AppKey("update_turns", UpdateTurns)
"""The turns of an application that accepts updates."""


@asynccontextmanager
async def update_turn(request: web.Request, size_bytes: int) -> AsyncIterator[None]:
    """Wait for the turn of the update that a request contains.

    Parameters
    ----------
    request
        The request, whose body has arrived.
    size_bytes
        Size of the configuration that is decoded for it.

    Raises
    ------
    web.HTTPException
        The caller has closed the connection while it waited (400); nothing was submitted.
    """
    async with request.app[UPDATE_TURNS].turn(size_bytes):
        if request.transport is None or request.transport.is_closing():
            raise web.HTTPBadRequest(reason="the connection closed before the update was read")
        yield
