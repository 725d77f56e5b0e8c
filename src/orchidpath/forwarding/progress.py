"""What one forwarded request has spent, and whether it may be dispatched again; pure.

The rules, each asked as a plain question: a request that may have executed is never dispatched a
second time unless its route allows it; the number of workers that it reaches is bounded by its
route; every dispatch after the first is charged to the service's retry budget; and nothing is
dispatched again after the first bytes of a response have reached the caller (paper, "Circuit
breakers and bounded retries"), except to resume a stream on a route that allows it. Whether the
final response may guarantee not-executed follows from the same history.
"""

from enum import StrEnum

import msgspec

from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.configuration import ForwardRoute, Repetition

MIN_RETRY_SECONDS = 0.05
"""With less time left than this, in seconds, no further worker is tried."""

PREFILL_DEADLINE_SHARE = 0.8
"""A prefill gets this share of the time that is left.

A prefill that is queued at a busy worker is not abandoned for another one: the time in the queue
would be lost, and the other worker would recompute prefixes that the first one has cached.
"""

PREFILL_TIMEOUT_FACTOR = 3.0
MIN_PREFILL_TIMEOUT_SECONDS = 1.2
"""A prefill times out after its expected time, in seconds, times the factor, plus this minimum.

Its worker is then taken as hung. Callers of streams do not wait for their deadline: they give up
after a few target latencies.
"""

FIRST_RESPONSE_LATENCY_FACTOR = 2.0
"""A repeatable request times out at a worker after this many of its route's target latencies."""

MIN_TIMEOUT_SECONDS = 1.5
"""No worker times out sooner than this, in seconds."""


class FailureKind(StrEnum):
    """How a dispatch to a worker failed."""

    NOT_SENT = "not_sent"
    """No byte of it left this router."""
    REFUSED = "refused"
    """The worker guaranteed not-executed: it did not run and never will."""
    BROKEN = "broken"
    """The connection failed or the response can't be relayed; it may have executed."""
    TIMED_OUT = "timed_out"
    """No response came in time; it may have executed."""


class FailureOutcome(StrEnum):
    """How a request ended that no worker answered; the caller's response follows from it."""

    NOT_EXECUTED = "not_run"
    """It has not executed and never will; the caller may retry."""
    BROKEN = "broken"
    """It may have executed, and the worker's response broke off."""
    TIMED_OUT = "timed_out"
    """It may have executed, and no response came in time."""


class ForwardProgress:
    """The history of one forwarded request.

    Parameters
    ----------
    route
        The route whose rules hold for it.
    budget
        Retry budget of its service.
    deadline
        Monotonic time by which it must be answered, in seconds.
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
        """Whether the prompt may be prefilled, or prefilled again, on a prefill worker.

        The first prefill is free; a further one counts as an attempt and is charged to the retry
        budget, and one attempt must remain for the request itself.

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

    def prefill_dispatched(self) -> None:
        """Count a prefill that has left this router."""
        self._prefills += 1

    def prefill_failed(self, now: float) -> None:
        """Charge a prefill that was dispatched and failed, or timed out, to the budget."""
        self._budget.record_extra(now)

    def may_dispatch(self, worker_id: str, now: float) -> bool:
        """Whether the request itself may be dispatched to a worker now; a retry is charged.

        Parameters
        ----------
        worker_id
            The worker.
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

    def dispatched(self, worker_id: str) -> None:
        """Count a dispatch whose first byte has left this router; it may execute from now on."""
        self._may_have_executed_before = self.may_have_executed
        self.may_have_executed = True
        self._dispatches += 1
        self._workers.add(worker_id)

    def dispatch_failed(self, kind: FailureKind) -> None:
        """Record how the last dispatch failed; a refusal guarantees that it never executes."""
        self.last_failure = kind
        if kind is FailureKind.REFUSED:
            self.may_have_executed = self._may_have_executed_before

    def has_workers_left(self) -> bool:
        """Whether another worker than those used may still be tried."""
        extra_prefills = max(self._prefills - 1, 0)
        return len(self._workers) + extra_prefills < self._route.max_attempts

    def prefill_timeout_seconds(self, now: float, expected_seconds: float = 0.0) -> float:
        """Return how long a prefill may take from now on, in seconds.

        Parameters
        ----------
        now
            Monotonic seconds.
        expected_seconds
            How long it is expected to take, queueing included; 0 when nothing is known.
        """
        longest = max(self.time_left(now) * PREFILL_DEADLINE_SHARE, 0.0)
        if expected_seconds <= 0:
            return longest
        return min(longest, MIN_PREFILL_TIMEOUT_SECONDS + PREFILL_TIMEOUT_FACTOR * expected_seconds)

    def first_response_timeout_seconds(self, now: float) -> float:
        """Return how long to wait for the first byte of a response, in seconds.

        A worker that has sent nothing may still respond, so it times out before the deadline only
        where another worker may then execute the request.
        """
        left = max(self.time_left(now), 0.0)
        may_time_out = self._route.repetition is not Repetition.NEVER and self.has_workers_left()
        if not may_time_out:
            return left
        target_seconds = self._route.target_latency_seconds * FIRST_RESPONSE_LATENCY_FACTOR
        return min(left, max(target_seconds, MIN_TIMEOUT_SECONDS))

    def failure_outcome(self) -> FailureOutcome:
        """Return how the request ended if it is given up now."""
        if not self.may_have_executed:
            return FailureOutcome.NOT_EXECUTED
        if self.last_failure is FailureKind.TIMED_OUT:
            return FailureOutcome.TIMED_OUT
        return FailureOutcome.BROKEN

    def _may_execute_again(self) -> bool:
        return not self.may_have_executed or self._route.repetition is not Repetition.NEVER


class RetryAfterRange(msgspec.Struct, frozen=True):
    """Range of Retry-After, in seconds; spread so that callers do not return together."""

    shortest_seconds: float = 0.1
    longest_seconds: float = 0.4

    def seconds(self, share: float, at_least: float = 0.0) -> float:
        """Return the Retry-After for a random share between 0 and 1, in seconds.

        Parameters
        ----------
        share
            Drawn uniformly between 0 and 1.
        at_least
            Known time before which a retry is rejected, in seconds.
        """
        spread = self.shortest_seconds + share * (self.longest_seconds - self.shortest_seconds)
        return max(spread, at_least * (1.0 + 0.25 * share))
