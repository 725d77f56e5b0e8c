"""Turns in which connections parse what they have received, one after another.

A caller may send a body in chunks of one byte, and parsing them takes far longer than receiving
them. A connection that parses many events waits for a turn now and then, and each turn of the event
loop grants one: whatever some callers send, the others are served in between.
"""

import asyncio
from collections import deque

EVENTS_PER_TURN = 64
"""Number of HTTP events that a connection parses in one turn; ordinary requests have fewer."""


class ParsingTurns:
    """Grants turns to the connections of one server, in the order in which they asked."""

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def next_turn(self) -> None:
        """Wait until no other connection is about to parse its events."""
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
