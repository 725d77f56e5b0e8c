"""Health of a worker: successes over attempts in a rolling window.

Paper, "How each metric is measured": the score is neutral when the window holds no attempt, so
that a worker whose counters expired doesn't look like a perfect one. Only successes and failures
that the worker caused are recorded; see :mod:`orchidpath.circuit.classification`.
"""

from collections import deque

import msgspec

from orchidpath.wire.messages import AttemptEffect

NEUTRAL_HEALTH = 0.5
"""Score of a worker without attempts in the window."""

DEFAULT_WINDOW_SECONDS = 600.0
"""Rolling 10-minute window (paper)."""

BUCKET_COUNT = 60
"""Fixed buckets of a window; the window slides by one bucket at a time."""

HEALTH_LOWERING_EFFECTS = frozenset({AttemptEffect.TRANSIENT, AttemptEffect.CONFIGURATION})
"""Effects that count as a failure; REQUEST, THROTTLE and GATEWAY count as nothing."""


class HealthCounts(msgspec.Struct, frozen=True):
    """Attempts of one worker within the window."""

    successes: int
    failures: int


class _Bucket:
    """Counts of one bucket; ``index`` is its start in bucket lengths."""

    __slots__ = ("failures", "index", "successes")

    def __init__(self, index: int) -> None:
        self.index = index
        self.successes = 0
        self.failures = 0


class HealthWindow:
    """Counts successes and failures of one worker over a rolling window.

    Parameters
    ----------
    window_seconds
        Length of the window.
    """

    def __init__(self, window_seconds: float = DEFAULT_WINDOW_SECONDS) -> None:
        self._window_seconds = window_seconds
        self._bucket_seconds = window_seconds / BUCKET_COUNT
        self._buckets: deque[_Bucket] = deque()
        self._successes = 0
        self._failures = 0

    @property
    def window_seconds(self) -> float:
        """Length of the window."""
        return self._window_seconds

    def record(self, effect: AttemptEffect, now: float) -> None:
        """Count one attempt, if its effect says anything about the worker's health.

        Parameters
        ----------
        effect
            How the attempt ended.
        now
            Monotonic time in seconds.
        """
        if effect is AttemptEffect.SUCCESS:
            self.add(1, 0, now)
        elif effect in HEALTH_LOWERING_EFFECTS:
            self.add(0, 1, now)

    def add(self, successes: int, failures: int, at: float) -> None:
        """Count attempts that ended at a time, which may lie a little in the past.

        Parameters
        ----------
        successes
            Successes to add.
        failures
            Failures to add.
        at
            Monotonic time in seconds of the bucket that counts them.
        """
        bucket = self._bucket(int(at // self._bucket_seconds))
        bucket.successes += successes
        bucket.failures += failures
        self._successes += successes
        self._failures += failures

    def score(self, now: float) -> float:
        """Return successes over attempts in the window.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        float
            Between 0 and 1; ``NEUTRAL_HEALTH`` without attempts.
        """
        self._expire(now)
        attempts = self._successes + self._failures
        if attempts == 0:
            return NEUTRAL_HEALTH
        return self._successes / attempts

    def counts(self, now: float) -> HealthCounts:
        """Return successes and failures in the window.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        HealthCounts
            The counts.
        """
        self._expire(now)
        return HealthCounts(self._successes, self._failures)

    def resized(self, window_seconds: float) -> "HealthWindow":
        """Return a window of another length that holds the same attempts.

        Parameters
        ----------
        window_seconds
            Length of the new window.

        Returns
        -------
        HealthWindow
            The new window.
        """
        resized = HealthWindow(window_seconds)
        for bucket in self._buckets:
            ended_at = bucket.index * self._bucket_seconds
            resized.add(bucket.successes, bucket.failures, ended_at)
        return resized

    def _bucket(self, index: int) -> _Bucket:
        """Return the bucket of this index; buckets stay sorted, the newest one last."""
        position = len(self._buckets)
        while position > 0 and self._buckets[position - 1].index > index:
            position -= 1
        if position > 0 and self._buckets[position - 1].index == index:
            return self._buckets[position - 1]
        bucket = _Bucket(index)
        self._buckets.insert(position, bucket)
        return bucket

    def _expire(self, now: float) -> None:
        newest_expired = int(now // self._bucket_seconds) - BUCKET_COUNT
        while self._buckets and self._buckets[0].index <= newest_expired:
            bucket = self._buckets.popleft()
            self._successes -= bucket.successes
            self._failures -= bucket.failures
