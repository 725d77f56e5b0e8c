"""The retry budget of one service on one router.

Retries are a small share of the first attempts that this router made itself. As every router keeps
to the share of its own traffic, all of them together keep to the same share of the service's whole
traffic, with no message between them. A small minimum lets a service with little traffic retry at
all; the routers divide it among themselves.

The bound: whenever a retry is granted, the retries of the window that ends there are at most
``budget_ratio`` of the first attempts of that window, plus ``budget_minimum_per_second`` times the
window divided by the number of routers. Where that minimum would come to less than one retry, the
window is widened until it comes to one, so the rate holds and no router is left without any.
"""

import math
from collections import deque
from itertools import takewhile

from orchidpath.wire.configuration import RetryPolicy

BUCKET_SECONDS = 0.25
"""Attempts are counted in buckets of this length."""

MAXIMUM_WINDOW_SECONDS = 120.0
"""The window is never widened beyond this; it also bounds memory."""

_ROUNDING_SLACK = 1e-9


class _BucketedCount:
    """Events counted in buckets of time, the oldest first; forgets what no window can hold."""

    def __init__(self) -> None:
        self._buckets: deque[tuple[int, int]] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        index = math.floor(now / BUCKET_SECONDS)
        if self._buckets and self._buckets[-1][0] >= index:
            newest, count = self._buckets.pop()
            self._buckets.append((newest, count + 1))
        else:
            self._buckets.append((index, 1))
        oldest_retained = math.floor((now - MAXIMUM_WINDOW_SECONDS) / BUCKET_SECONDS)
        while self._buckets[0][0] < oldest_retained:
            self._buckets.popleft()

    def certainly_since(self, start: float) -> int:
        """Count the events of buckets that lie wholly at or after a time: never too many."""
        first = math.ceil(start / BUCKET_SECONDS)
        recent = takewhile(lambda bucket: bucket[0] >= first, reversed(self._buckets))
        return sum(count for _, count in recent)

    def possibly_since(self, start: float) -> int:
        """Count the events of buckets that end after a time: never too few."""
        first = math.floor(start / BUCKET_SECONDS)
        recent = takewhile(lambda bucket: bucket[0] >= first, reversed(self._buckets))
        return sum(count for _, count in recent)

    def expiry_of_oldest(self, start: float, count: int) -> float | None:
        """Return the end of the bucket that holds the last of that many oldest events."""
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
        Share, window and minimum.
    router_count : int
        Routers that divide the minimum among themselves.
    """

    def __init__(self, policy: RetryPolicy, router_count: int = 1):
        self._policy = policy
        self._router_count = max(router_count, 1)
        self._first_attempts = _BucketedCount()
        self._retries = _BucketedCount()

    @property
    def window_seconds(self) -> float:
        """Length of the window applied, widened where the minimum would be under one retry."""
        window = self._policy.budget_window_seconds
        if self._policy.budget_minimum_per_second > 0:
            one_retry = self._router_count / self._policy.budget_minimum_per_second
            window = max(window, one_retry)
        return min(window, MAXIMUM_WINDOW_SECONDS)

    def set_policy(self, policy: RetryPolicy) -> None:
        """Apply another policy from now on; what was counted stays counted.

        Parameters
        ----------
        policy : RetryPolicy
            The new policy.
        """
        self._policy = policy

    def set_router_count(self, router_count: int) -> None:
        """Divide the minimum among another number of routers.

        Parameters
        ----------
        router_count : int
            Registered routers, this one included; fewer than one counts as one.
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
        """Grant one retry if the budget holds it, and count it.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the retry may be made.
        """
        spent = self._retries.possibly_since(now - self.window_seconds)
        if spent + 1 > self._allowance(now):
            return False
        self._retries.add(now)
        return True

    def record_extra(self, now: float) -> None:
        """Count an order that turned out to be an extra one after it was sent, whatever is left.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._retries.add(now)

    def retry_after(self, now: float) -> float:
        """Estimate when the next retry will be granted if first attempts go on as they do.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds; 0 when one would be granted now, at most the window.
        """
        window = self.window_seconds
        spent = self._retries.possibly_since(now - window)
        excess = spent + 1 - math.floor(self._allowance(now))
        if excess <= 0:
            return 0.0
        expiring = self._retries.expiry_of_oldest(now - window, excess)
        if expiring is None:
            return window
        return min(max(expiring + window - now, BUCKET_SECONDS), window)

    def _allowance(self, now: float) -> float:
        window = self.window_seconds
        share = self._policy.budget_ratio * self._first_attempts.certainly_since(now - window)
        minimum = self._policy.budget_minimum_per_second * window / self._router_count
        return share + minimum + _ROUNDING_SLACK
