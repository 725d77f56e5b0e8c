"""Health of a worker: the share of successful attempts in a rolling window.

Paper, "How each metric is measured": the score is neutral when the window contains no attempt, so
that a worker whose counters have expired does not appear perfectly healthy. Only successes and
failures that the worker caused are recorded; see :mod:`orchidpath.circuit.classification`.
"""

from collections import deque

import msgspec

from orchidpath.wire.messages import AttemptEffect

NEUTRAL_HEALTH = 0.5
"""Score of a worker without attempts in the window."""

DEFAULT_WINDOW_SECONDS = 600.0
"""Length of the rolling window: 10 minutes (paper)."""

BUCKET_COUNT = 60
"""Number of fixed buckets of a window; the window moves by one bucket at a time."""

HEALTH_LOWERING_EFFECTS = frozenset({AttemptEffect.TRANSIENT, AttemptEffect.CONFIGURATION})
"""Effects that count as a failure; REQUEST, THROTTLE and GATEWAY are not counted."""


class HealthCounts(msgspec.Struct, frozen=True):
    """Attempts of one worker within the window."""

    successes: int
    failures: int


class _Bucket:
    """Counts of one bucket; ``index`` is the start of the bucket in units of the bucket length."""

    __slots__ = ("failures", "index", "successes")

    def __init__(self, index: int) -> None:
        self.index = index
        self.successes = 0
        self.failures = 0


class HealthWindow:
    """Counter of the successes and failures of one worker in a rolling window.

    Parameters
    ----------
    window_seconds
        Length of the window in seconds.
    """

    def __init__(self, window_seconds: float = DEFAULT_WINDOW_SECONDS) -> None:
        self._window_seconds = window_seconds
        self._bucket_seconds = window_seconds / BUCKET_COUNT
        self._buckets: deque[_Bucket] = deque()
        self._successes = 0
        self._failures = 0

    @property
    def window_seconds(self) -> float:
        """Length of the window in seconds."""
        return self._window_seconds

    def record(self, effect: AttemptEffect, now: float) -> None:
        """Count one attempt, if its effect counts as a success or a failure of the worker.

        Parameters
        ----------
        effect
            Effect of the attempt.
        now
            Monotonic time in seconds.
        """
        if effect is AttemptEffect.SUCCESS:
            self.add(1, 0, now)
        elif effect in HEALTH_LOWERING_EFFECTS:
            self.add(0, 1, now)

    def add(self, successes: int, failures: int, at: float) -> None:
        """Count attempts that ended at a given time, which may be in the past.

        Parameters
        ----------
        successes
            Successes to add.
        failures
            Failures to add.
        at
            Monotonic time in seconds that determines the bucket of the attempts.
        """
        bucket = self._bucket(int(at // self._bucket_seconds))
        bucket.successes += successes
        bucket.failures += failures
        self._successes += successes
        self._failures += failures

    def score(self, now: float) -> float:
        """Return the share of successful attempts in the window.

        Parameters
        ----------
        now
            Monotonic time in seconds.

        Returns
        -------
        float
            Score between 0 and 1; ``NEUTRAL_HEALTH`` when the window has no attempts.
        """
        self._expire(now)
        attempts = self._successes + self._failures
        if attempts == 0:
            return NEUTRAL_HEALTH
        return self._successes / attempts

    def counts(self, now: float) -> HealthCounts:
        """Return the number of successes and failures in the window.

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
        """Return a window of another length with the same attempts.

        Parameters
        ----------
        window_seconds
            Length of the new window in seconds.

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
        """Return the bucket of an index, inserted in sorted order if it does not exist."""
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
