"""The retry budget of one service on one router.

Retries are limited to a small share of the first attempts that this router made itself. Because
every router stays within the share of its own traffic, all routers together stay within the same
share of the service's total traffic, without exchanging messages. A small minimum, which is divided
among the routers, lets a service with little traffic retry as well.

Whenever a retry is granted, the retries in the window that ends at that time are at most
``budget_ratio`` times the first attempts in that window, plus ``budget_minimum_per_second`` times
the length of the window divided by the number of routers. If that minimum is less than one retry,
the window is widened until the minimum is one retry: the rate still holds, and every router can
retry. The window never exceeds ``MAXIMUM_WINDOW_SECONDS``; if one retry would take longer than
that, a router without first attempts of its own gets no retry.
"""

import math
from collections import deque
from itertools import takewhile

from orchidpath.wire.configuration import RetryPolicy

BUCKET_SECONDS = 0.25
"""Length of the time buckets in which attempts are counted."""

MAXIMUM_WINDOW_SECONDS = 120.0
"""Upper bound of the window; also bounds the number of buckets in memory."""

_ROUNDING_SLACK = 1e-9
"""Added to an allowance in retries, against floating-point error just below a whole number."""


class _BucketedCount:
    """Counts events in time buckets, the oldest first.

    Buckets older than ``MAXIMUM_WINDOW_SECONDS`` are removed.
    """

    def __init__(self) -> None:
        self._buckets: deque[tuple[int, int]] = deque()

    def add(self, now: float) -> None:
        """Count one event at ``now``, in monotonic seconds."""
        index = math.floor(now / BUCKET_SECONDS)
        if self._buckets and self._buckets[-1][0] >= index:
            newest, count = self._buckets.pop()
            self._buckets.append((newest, count + 1))
        else:
            self._buckets.append((index, 1))
        oldest_retained = math.floor((now - MAXIMUM_WINDOW_SECONDS) / BUCKET_SECONDS)
        while self._buckets[0][0] < oldest_retained:
            self._buckets.popleft()

    def lower_bound_since(self, start: float) -> int:
        """Return a lower bound of the events since ``start``: buckets entirely at or after it."""
        first = math.ceil(start / BUCKET_SECONDS)
        recent = takewhile(lambda bucket: bucket[0] >= first, reversed(self._buckets))
        return sum(count for _, count in recent)

    def upper_bound_since(self, start: float) -> int:
        """Return an upper bound of the events since ``start``: buckets that end after it."""
        first = math.floor(start / BUCKET_SECONDS)
        recent = takewhile(lambda bucket: bucket[0] >= first, reversed(self._buckets))
        return sum(count for _, count in recent)

    def expiry_of_oldest(self, start: float, count: int) -> float | None:
        """Return the end of the bucket with the ``count``-th oldest event since ``start``.

        None if there are fewer events.
        """
        first = math.floor(start / BUCKET_SECONDS)
        remaining = count
        for index, events in self._buckets:
            if index < first:
                continue
            remaining -= events
            if remaining <= 0:
                return (index + 1) * BUCKET_SECONDS
        return None


class RetryBudget:
    """Grants retries of one service within a share of this router's own first attempts.

    Parameters
    ----------
    policy : RetryPolicy
        Share, window and minimum of the budget.
    router_count : int
        Number of routers among which the minimum is divided.
    """

    def __init__(self, policy: RetryPolicy, router_count: int = 1):
        self._policy = policy
        self._router_count = max(router_count, 1)
        self._first_attempts = _BucketedCount()
        self._retries = _BucketedCount()

    @property
    def window_seconds(self) -> float:
        """Length of the window, widened if the minimum would be less than one retry in it."""
        window = self._policy.budget_window_seconds
        if self._policy.budget_minimum_per_second > 0:
            one_retry_seconds = self._router_count / self._policy.budget_minimum_per_second
            window = max(window, one_retry_seconds)
        return min(window, MAXIMUM_WINDOW_SECONDS)

    def set_policy(self, policy: RetryPolicy) -> None:
        """Apply another policy from now on; attempts counted so far are retained.

        Parameters
        ----------
        policy : RetryPolicy
            The new policy.
        """
        self._policy = policy

    def set_router_count(self, router_count: int) -> None:
        """Set the number of routers among which the minimum is divided.

        Parameters
        ----------
        router_count : int
            Number of registered routers, this one included; at least one is assumed.
        """
        self._router_count = max(router_count, 1)

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._first_attempts.add(now)

    def try_spend(self, now: float) -> bool:
        """Grant and count one retry if the budget allows it.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the retry may be made.
        """
        spent = self._retries.upper_bound_since(now - self.window_seconds)
        if spent + 1 > self._allowance(now):
            return False
        self._retries.add(now)
        return True

    def record_extra_attempt(self, now: float) -> None:
        """Count a dispatch that has proved to be an extra attempt, even if the budget is exhausted.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._retries.add(now)

    def retry_after(self, now: float) -> float:
        """Estimate when the next retry will be granted if first attempts continue at the same rate.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds to wait, at most the window; 0 if a retry would be granted now.
        """
        window = self.window_seconds
        spent = self._retries.upper_bound_since(now - window)
        excess = spent + 1 - math.floor(self._allowance(now))
        if excess <= 0:
            return 0.0
        expiring = self._retries.expiry_of_oldest(now - window, excess)
        if expiring is None:
            return window
        return min(max(expiring + window - now, BUCKET_SECONDS), window)

    def _allowance(self, now: float) -> float:
        window = self.window_seconds
        share = self._policy.budget_ratio * self._first_attempts.lower_bound_since(now - window)
        minimum = self._policy.budget_minimum_per_second * window / self._router_count
        return share + minimum + _ROUNDING_SLACK
