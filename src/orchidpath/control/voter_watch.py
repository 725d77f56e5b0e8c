"""Shows operators when a fleet has fewer voters than it wants.

With two of three voters the fleet serves as always, but the next lost disk loses confirmed updates.
Nothing else shows that a lost voter is not replaced.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from orchidpath.common.clock import Clock
from orchidpath.common.logs import Logger, get_logger
from orchidpath.common.metrics import Metrics

VOTERS_MISSING_WARNING_SECONDS = 15.0
"""Voters may be missing for this long without a warning: the time of an ordinary replacement."""

CHECK_PERIOD_SECONDS = 1.0
"""Time between two checks."""


class VoterCount(Protocol):
    """The part of a control replica that is watched."""

    def missing_voters(self, now: float) -> int:
        """Return how many voters are missing or lost; 0 on a replica that does not lead."""


class VoterWatch:
    """Counts the missing voters of a leader and warns when they stay missing.

    Parameters
    ----------
    metrics
        Gets the gauge ``voters_missing`` and the counter ``learners_removed``.
    clock
        Monotonic clock.
    """

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._clock = clock
        self._logger: Logger = get_logger("voters")
        self._missing = metrics.gauge(
            "voters_missing", "Voters that are missing or lost, as the leader sees it."
        )
        self._learners_removed = metrics.counter(
            "learners_removed", "Learners that the leader has removed for their silence."
        )
        self._missing_since: float | None = None
        self._has_warned = False

    def check(self, replica: VoterCount) -> None:
        """Update the gauge; log when voters have been missing for too long, and when they are not.

        Parameters
        ----------
        replica
            The replica of this process.
        """
        now = self._clock()
        missing = replica.missing_voters(now)
        self._missing.set(missing)
        if not missing:
            if self._has_warned:
                self._logger.info("voters_complete")
            self._missing_since, self._has_warned = None, False
            return
        if self._missing_since is None:
            self._missing_since = now
        seconds = now - self._missing_since
        if seconds > VOTERS_MISSING_WARNING_SECONDS and not self._has_warned:
            self._has_warned = True
            self._logger.warning("voters_missing", missing=missing, seconds=round(seconds, 1))

    def record_learner_removed(self, node_id: str) -> None:
        """Count and log that the leader has removed a learner for its silence."""
        self._learners_removed.inc()
        self._logger.warning("learner_removed", member=node_id)

    async def run_forever(self, current_replica: Callable[[], VoterCount]) -> None:
        """Check again and again the replica that the function returns at that time."""
        while True:
            self.check(current_replica())
            await asyncio.sleep(CHECK_PERIOD_SECONDS)
