"""A set whose keys expire a fixed time after they were added.

The one expiring table of this package for keys of equal time to live. What looks like it and
isn't: :mod:`orchidpath.circuit.in_flight` (deadlines in any order, so a heap),
:mod:`orchidpath.circuit.worker_health` and :mod:`orchidpath.circuit.throttle` (a sliding window
that sums what it holds, and looks up no key).
"""

from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class ExpiringSet(Generic[Key]):
    """Holds keys for ``ttl_seconds`` after each was first added.

    ``now`` must not go back between calls: keys then expire in the order they were added, so
    only the oldest ones need a look.

    Parameters
    ----------
    ttl_seconds
        How long a key is held, in seconds.
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
            True when the key was new, False when it had been added and not expired.
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
            True until it expires.
        """
        self._expire(now)
        return key in self._deadlines

    def _expire(self, now: float) -> None:
        while self._deadlines:
            oldest = next(iter(self._deadlines))
            if self._deadlines[oldest] > now:
                return
            del self._deadlines[oldest]
