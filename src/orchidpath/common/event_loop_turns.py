"""Turns of the event loop for work that takes long or much memory, granted one after another.

A caller may send a body in chunks of one byte, and parsing them takes far longer than receiving
them; many callers may ask for a large response at the same moment. Such work waits for a turn, of
which each turn of the event loop grants one: whatever some callers ask for, the others are served
in between.
"""

import asyncio
from collections import deque


class EventLoopTurns:
    """Grants turns to the requests of one server, in the order in which they asked."""

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def next_turn(self) -> None:
        """Wait until no other request has its turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        """Grant the oldest turn, and the next one in the next turn of the event loop."""
        while self._waiting and self._waiting[0].done():
            self._waiting.popleft()
        if not self._waiting:
            return
        self._waiting[0].set_result(None)
        asyncio.get_running_loop().call_soon(self._grant)
