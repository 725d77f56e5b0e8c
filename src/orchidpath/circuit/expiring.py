"""Set whose keys expire a fixed time after they were added.

All tables of this package whose keys have the same time to live use this set. Two similar
structures do not: :mod:`orchidpath.circuit.in_flight`, whose deadlines come in any order and
require a heap, and the sliding windows of :mod:`orchidpath.circuit.worker_health` and
:mod:`orchidpath.circuit.throttle`, which are only summed and need no lookup by key.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class ExpiringSet(Generic[Key]):
    """Set that retains each key for ``ttl_seconds`` after it was first added.

    ``now`` must not decrease between calls. Keys then expire in the order in which they were
    added, so only the oldest keys have to be checked.

    Parameters
    ----------
    ttl_seconds
        Time to live of a key, in seconds.
    """

    def __init__(self, ttl_seconds: float) -> None:
        self._ttl_seconds = ttl_seconds
        self._deadlines: dict[Key, float] = {}

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, key: Key, now: float) -> bool:
        """Add a key.

        Parameters
        ----------
        key
            The key.
        now
            Monotonic time in seconds.

        Returns
        -------
        bool
            True when the key is new, False when it was added before and has not expired.
        """
        self._expire(now)
        if key in self._deadlines:
            return False
        self._deadlines[key] = now + self._ttl_seconds
        return True

    def contains(self, key: Key, now: float) -> bool:
        """Return whether the key was added and has not expired.

        Parameters
        ----------
        key
            The key.
        now
            Monotonic time in seconds.

        Returns
        -------
        bool
            True until the key expires.
        """
        self._expire(now)
        return key in self._deadlines

    def _expire(self, now: float) -> None:
        while self._deadlines:
            oldest = next(iter(self._deadlines))
            if self._deadlines[oldest] > now:
                return
            del self._deadlines[oldest]
