"""Waiting for a state that has no event of its own, such as the end of an injected fault."""

import asyncio
from collections.abc import Callable

POLL_SECONDS = 0.02
"""Time between two looks."""


async def wait_until(condition: Callable[[], bool], deadline: float = float("inf")) -> None:
    """Wait until a condition holds or the loop's clock reaches a deadline.

    Parameters
    ----------
    condition : callable
        Asked again and again; cheap and without side effects.
    deadline : float
        Time of the running loop at which to give up.
    """
    clock = asyncio.get_running_loop().time
    while not condition() and clock() < deadline:  # noqa: ASYNC110 - faults end by time alone
        await asyncio.sleep(POLL_SECONDS)


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event within a bound and tell whether it is set.

    ``asyncio.wait_for`` is not used: on Python 3.11 it loses a cancellation that comes together
    with the event.
    """
    try:
        async with asyncio.timeout(seconds):
            return await event.wait()
    except TimeoutError:
        return False
