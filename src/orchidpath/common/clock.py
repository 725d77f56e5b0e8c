"""The one place that reads a clock: monotonic seconds, so a clock step changes nothing."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds that never decrease; their zero point has no meaning."""

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", None)


def monotonic_seconds() -> float:
    """Return the seconds of a monotonic clock that runs on while the machine is suspended.

    A lease that expired while a machine was suspended must count as expired; the plain monotonic
    clock of Linux stops during that time.
    """
    if _BOOT_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(_BOOT_CLOCK)
