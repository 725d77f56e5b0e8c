"""Graceful stop of a router.

A draining router is not ready, rejects new requests and finishes the running ones.
"""

import asyncio


class DrainState:
    """Number of requests being served, and whether the router is draining."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_draining = False

    @property
    def in_flight(self) -> int:
        """Number of requests being served."""
        return self._in_flight

    def begin(self) -> None:
        """Mark the router as draining, so that new requests are rejected."""
        self.is_draining = True

    def enter(self) -> None:
        """Count the start of a request."""
        self._in_flight += 1
        self._idle.clear()

    def leave(self) -> None:
        """Count the end of a request."""
        self._in_flight -= 1
        if self._in_flight == 0:
            self._idle.set()

    async def wait_until_idle(self, timeout_seconds: float) -> bool:
        """Wait until no request is being served.

        Parameters
        ----------
        timeout_seconds
            Bound on the wait.

        Returns
        -------
        bool
            False when requests were still running when the wait timed out.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
