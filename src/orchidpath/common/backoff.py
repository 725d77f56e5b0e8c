"""Exponential backoff with jitter; it computes the delays, and the caller waits."""

from random import Random


class Backoff:
    """Random delays whose upper bound doubles from a base up to a cap.

    Each delay is selected at random between half the base and the current bound. This jitter
    spreads the reconnects and retries of many processes that lost the same peer at the same time.

    Parameters
    ----------
    base_seconds
        Upper bound of the first delay.
    cap_seconds
        Upper bound of every delay.
    random
        Source of randomness.
    """

    def __init__(self, base_seconds: float, cap_seconds: float, random: Random) -> None:
        self._base_seconds = base_seconds
        self._cap_seconds = cap_seconds
        self._random = random
        self._bound_seconds = base_seconds

    def next_delay_seconds(self) -> float:
        """Return the next delay in seconds, and double the bound of the delay after it."""
        delay_seconds = self._random.uniform(self._base_seconds / 2, self._bound_seconds)
        self._bound_seconds = min(self._bound_seconds * 2, self._cap_seconds)
        return delay_seconds

    def reset(self) -> None:
        """Set the bound back to the base, after a success."""
        self._bound_seconds = self._base_seconds
