"""Waiting for conditions that trigger no event, such as the expiry of an injected fault."""

import asyncio
from collections.abc import Callable

POLL_SECONDS = 0.02
"""Time between two checks of a condition."""


async def wait_until(condition: Callable[[], bool], deadline: float = float("inf")) -> None:
    """Wait until a condition is true or the loop's clock reaches a deadline.

    Parameters
    ----------
    condition : callable
        Evaluated every ``POLL_SECONDS``; must be cheap and without side effects.
    deadline : float
        Time of the running event loop, in seconds, at which waiting ends.
    """
    clock = asyncio.get_running_loop().time
    while not condition() and clock() < deadline:  # noqa: ASYNC110 - faults expire without an event
        await asyncio.sleep(POLL_SECONDS)


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait at most ``seconds`` for an event and return whether it was set.

    ``asyncio.wait_for`` is not used: on Python 3.11 it loses a cancellation that arrives at the
    same time as the event.
    """
    try:
        async with asyncio.timeout(seconds):
            return await event.wait()
    except TimeoutError:
        return False
