"""The clock for leases, deadlines and timeouts.

It returns monotonic seconds, so that steps of the wall clock have no effect.
"""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds that never decrease; only differences between two readings have a meaning."""

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", None)


def monotonic_seconds() -> float:
    """Return the seconds of a monotonic clock that also advances while the machine is suspended.

    A lease that expires while the machine is suspended must count as expired; ``CLOCK_MONOTONIC``
    of Linux stops during that time. On a system without ``CLOCK_BOOTTIME`` the standard monotonic
    clock is used.
    """
    if _BOOT_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(_BOOT_CLOCK)
