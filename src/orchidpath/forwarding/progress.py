"""Attempts of one forwarded request, and the rules for retrying it; does no input or output.

The rules are:

- a request that may have executed is not dispatched a second time, unless its route allows it;
- the number of workers that a request reaches is bounded by its route;
- every dispatch after the first is charged to the service's retry budget;
- nothing is dispatched again after the first bytes of a response have reached the caller (paper,
  "Circuit breakers and bounded retries"), except to resume a stream on a route that allows it.

The same history determines whether the final response may guarantee not-executed.
"""

from enum import StrEnum

import msgspec

from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.configuration import ForwardRoute

MIN_RETRY_SECONDS = 0.05
"""No further worker is tried with less time than this left until the deadline, in seconds."""

PREFILL_DEADLINE_SHARE = 0.8
"""A prefill may take at most this fraction of the time left until the deadline.

A prefill that is queued at a loaded worker is not moved to another worker. The time already spent
in the queue would be lost, and the other worker would recompute prefixes that the first worker has
cached.
"""

PREFILL_TIMEOUT_FACTOR = 3.0
MIN_PREFILL_TIMEOUT_SECONDS = 1.2
"""A prefill times out after its expected seconds times the factor, plus this minimum in seconds.

Its worker is then assumed to hang. The timeout does not extend to the deadline, because callers of
streams disconnect after a few target latencies.
"""

FIRST_RESPONSE_LATENCY_FACTOR = 2.0
"""A repeatable request times out at a worker after this multiple of the route's target latency."""

MIN_TIMEOUT_SECONDS = 1.5
"""Lower bound of the timeout for the first byte of a response, in seconds."""


class FailureKind(StrEnum):
    """How a dispatch to a worker failed."""

    NOT_SENT = "not_sent"
    """No byte of the request left this router."""
    REFUSED = "refused"
    """The worker guaranteed not-executed: the request did not execute and never will."""
    BROKEN = "broken"
    """The connection failed or the response can't be relayed; the request may have executed."""
    TIMED_OUT = "timed_out"
    """No response arrived in time; the request may have executed."""


class FailureOutcome(StrEnum):
    """Outcome of a request without a response from a worker; determines the error response."""

    NOT_EXECUTED = "not_run"
    """The request has not executed and never will; the caller may retry."""
    BROKEN = "broken"
    """The request may have executed, and the worker's response was interrupted or invalid."""
    TIMED_OUT = "timed_out"
    """The request may have executed, and no response arrived in time."""


class ForwardProgress:
    """Attempts of one forwarded request so far, and the attempts that are still allowed.

    Parameters
    ----------
    route
        Route of the request, which sets the retry rules.
    budget
        Retry budget of its service.
    deadline
        Monotonic time by which the caller must have a response, in seconds.
    """

    def __init__(self, route: ForwardRoute, budget: RetryBudget, deadline: float) -> None:
        self._route = route
        self._budget = budget
        self.deadline = deadline
        self.may_have_executed = False
        self.last_failure: FailureKind | None = None
        self._may_have_executed_before = False
        self._dispatches = 0
        self._prefills = 0
        self._workers: set[str] = set()

    def time_left(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now

    def may_prefill(self, now: float) -> bool:
        """Return whether the prompt may be prefilled, or prefilled again, on a prefill worker.

        The first prefill is not charged. A further prefill counts as an attempt and is charged to
        the retry budget by this call, and one attempt must remain for the request itself.

        Parameters
        ----------
        now
            Monotonic seconds.
        """
        if self._prefills == 0:
            return True
        if self.time_left(now) < MIN_RETRY_SECONDS:
            return False
        spent = self._prefills - 1 + self._dispatches
        return spent + 2 <= self._route.max_attempts and self._budget.try_spend(now)

    def record_prefill_dispatch(self) -> None:
        """Record that a prefill has been sent to a worker."""
        self._prefills += 1

    def record_prefill_failure(self, now: float) -> None:
        """Charge the retry budget for a dispatched prefill that failed or timed out."""
        self._budget.record_extra_attempt(now)

    def may_dispatch(self, worker_id: str, now: float) -> bool:
        """Return whether the request itself may be dispatched to a worker now.

        A retry is charged to the retry budget by this call.

        Parameters
        ----------
        worker_id
            Id of the worker.
        now
            Monotonic seconds.
        """
        if self.time_left(now) <= 0:
            return False
        if self._dispatches == 0:
            return True
        if self.time_left(now) < MIN_RETRY_SECONDS or not self._may_execute_again():
            return False
        extra_prefills = max(self._prefills - 1, 0)
        workers = len(self._workers | {worker_id}) + extra_prefills
        return workers <= self._route.max_attempts and self._budget.try_spend(now)

    def record_dispatch(self, worker_id: str) -> None:
        """Record a dispatch whose first byte was sent; from now on the request may execute."""
        self._may_have_executed_before = self.may_have_executed
        self.may_have_executed = True
        self._dispatches += 1
        self._workers.add(worker_id)

    def record_dispatch_failure(self, kind: FailureKind) -> None:
        """Record how the last dispatch failed.

        A refusal guarantees that this dispatch never executes; earlier dispatches may still have
        executed.
        """
        self.last_failure = kind
        if kind is FailureKind.REFUSED:
            self.may_have_executed = self._may_have_executed_before

    def record_possible_dispatch(self) -> None:
        """Record that the request may have been sent; it is unknown whether it was."""
        self.may_have_executed = True
        self.last_failure = FailureKind.BROKEN

    def has_workers_left(self) -> bool:
        """Return whether the route allows the request to be dispatched to a further worker."""
        extra_prefills = max(self._prefills - 1, 0)
        return len(self._workers) + extra_prefills < self._route.max_attempts

    def prefill_timeout_seconds(self, now: float, expected_seconds: float = 0.0) -> float:
        """Return how long a prefill may take from now on, in seconds.

        Parameters
        ----------
        now
            Monotonic seconds.
        expected_seconds
            Expected duration including the time in the queue; 0 if unknown.
        """
        longest = max(self.time_left(now) * PREFILL_DEADLINE_SHARE, 0.0)
        if expected_seconds <= 0:
            return longest
        return min(longest, MIN_PREFILL_TIMEOUT_SECONDS + PREFILL_TIMEOUT_FACTOR * expected_seconds)

    def first_response_timeout_seconds(self, now: float) -> float:
        """Return how long to wait for the first byte of a response, in seconds.

        A worker that has sent nothing may still respond. The timeout therefore ends before the
        deadline only if another worker may then execute the request.
        """
        left = max(self.time_left(now), 0.0)
        may_time_out = self._route.may_repeat and self.has_workers_left()
        if not may_time_out:
            return left
        target_seconds = self._route.target_latency_seconds * FIRST_RESPONSE_LATENCY_FACTOR
        return min(left, max(target_seconds, MIN_TIMEOUT_SECONDS))

    def failure_outcome(self) -> FailureOutcome:
        """Return the outcome of the request if it is abandoned now."""
        if not self.may_have_executed:
            return FailureOutcome.NOT_EXECUTED
        if self.last_failure is FailureKind.TIMED_OUT:
            return FailureOutcome.TIMED_OUT
        return FailureOutcome.BROKEN

    def _may_execute_again(self) -> bool:
        return not self.may_have_executed or self._route.may_repeat


class RetryAfterRange(msgspec.Struct, frozen=True):
    """Range of the Retry-After value in seconds, which spreads the retries of callers over time."""

    shortest_seconds: float = 0.1
    longest_seconds: float = 0.4

    def seconds(self, share: float, at_least: float = 0.0) -> float:
        """Return a Retry-After value in seconds.

        Parameters
        ----------
        share
            Random position within the range, sampled uniformly from 0 to 1.
        at_least
            Seconds during which a retry is known to be rejected; 0 if unknown. The value exceeds
            this minimum by up to 25 %, so that callers do not return together.
        """
        spread = self.shortest_seconds + share * (self.longest_seconds - self.shortest_seconds)
        return max(spread, at_least * (1.0 + 0.25 * share))
