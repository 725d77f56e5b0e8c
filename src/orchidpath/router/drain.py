"""Graceful stop of a router: unready at once, new requests refused, running ones finished."""

import asyncio


class DrainState:
    """Counts the requests being served, and knows whether the router is stopping."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_draining = False

    @property
    def in_flight(self) -> int:
        """Requests being served."""
        return self._in_flight

    def begin(self) -> None:
        """Refuse new requests from now on."""
        self.is_draining = True

    def enter(self) -> None:
        """Count a request in."""
        self._in_flight += 1
        self._idle.clear()

    def leave(self) -> None:
        """Count a request out."""
        self._in_flight -= 1
        if self._in_flight == 0:
            self._idle.set()

    async def wait_until_idle(self, timeout_seconds: float) -> bool:
        """Wait until nothing is served any more.

        Parameters
        ----------
        timeout_seconds
            Bound on the wait.

        Returns
        -------
        bool
            False when requests were still running at the end of it.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
