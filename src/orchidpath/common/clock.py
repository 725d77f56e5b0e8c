"""The one place that reads a clock: monotonic seconds, so a clock step changes nothing."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds that only ever grow; their zero point means nothing."""


def monotonic_seconds() -> float:
    """Return the seconds of the machine's monotonic clock, which also counts while frozen."""
    return time.monotonic()
