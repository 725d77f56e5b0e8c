"""What one forwarded request has spent, and whether it may be sent again; pure.

The rules, each asked as a plain question: a request that may have run is never sent a second time
unless its route lets it; the workers that it reaches are bounded by its route; every order past the
first is paid for by the service's retry budget; and nothing is sent again after the first bytes of
an answer have reached the caller (paper, "Circuit breakers and bounded retries"), but for the rest
of a stream that its route lets another worker take up. Whether an answer may promise "not run"
follows from the same facts.
"""

from enum import StrEnum

import msgspec

from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.configuration import ForwardRoute, Repetition

LEAST_RETRY_SECONDS = 0.05
"""With less time left than this no further worker is tried."""

PROMPT_READ_SHARE = 0.8
"""A prompt read gets this share of the time that is left.

A read that waits its turn at a busy worker is not given up for another one: the time that it has
waited would be lost, and the other worker would read shared parts that the first one holds.
"""

PREFILL_TIMEOUT_FACTOR = 3.0
MIN_PREFILL_TIMEOUT_SECONDS = 1.2
"""A read that takes so many times as long as expected, and this, is at a worker that hangs.

Callers of streams do not wait for their deadline: they give up after a few target latencies.
"""

FIRST_ANSWER_LATENCY_FACTOR = 2.0
"""A request that may be repeated gives a silent worker up after this many target latencies."""

MIN_TIMEOUT_SECONDS = 1.5
"""No worker is given up sooner than this for being silent."""


class FailureKind(StrEnum):
    """How an order to a worker failed."""

    NOT_SENT = "not_sent"
    """No byte of it left this router."""
    REFUSED = "refused"
    """The worker promised that it did not run and never will."""
    BROKEN = "broken"
    """The connection failed or the answer can't be passed on; it may have run."""
    TIMED_OUT = "timed_out"
    """No answer came in time; it may have run."""


class FinalOutcome(StrEnum):
    """What the caller is told when a request is given up."""

    NOT_RUN = "not_run"
    """It has not run and never will; come back."""
    BROKEN = "broken"
    """It may have run, and the worker broke off."""
    TIMED_OUT = "timed_out"
    """It may have run, and no answer came in time."""


class ForwardProgress:
    """The history of one forwarded request.

    Parameters
    ----------
    route
        The route whose rules hold for it.
    budget
        Retry budget of its service.
    deadline
        Monotonic time by which it must be answered.
    """

    def __init__(self, route: ForwardRoute, budget: RetryBudget, deadline: float) -> None:
        self._route = route
        self._budget = budget
        self.deadline = deadline
        self.may_have_run = False
        self.last_failure: FailureKind | None = None
        self._had_run_before = False
        self._orders = 0
        self._prefills = 0
        self._workers: set[str] = set()

    def time_left(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now

    def may_prefill(self, now: float) -> bool:
        """Whether the prompt may be read, or read again, on a worker of its own.

        The first read is free; a further one counts as an attempt, and one attempt must remain
        for the run itself.
        """
        if self._prefills == 0:
            return True
        if self.time_left(now) < LEAST_RETRY_SECONDS:
            return False
        spent = self._prefills - 1 + self._orders
        return spent + 2 <= self._route.max_attempts and self._budget.try_spend(now)

    def prefill_dispatched(self) -> None:
        """Count a prompt read that has left this router."""
        self._prefills += 1

    def prefill_failed(self, now: float) -> None:
        """Charge a prompt read that no worker took up, or that failed there, to the budget."""
        self._budget.record_extra(now)

    def may_send(self, worker_id: str, now: float) -> bool:
        """Whether the request itself may be sent to a worker now; pays for a retry.

        Parameters
        ----------
        worker_id
            The worker.
        now
            Monotonic seconds.
        """
        if self.time_left(now) <= 0:
            return False
        if self._orders == 0:
            return True
        if self.time_left(now) < LEAST_RETRY_SECONDS or not self._may_execute_again():
            return False
        extra_prefills = max(self._prefills - 1, 0)
        workers = len(self._workers | {worker_id}) + extra_prefills
        return workers <= self._route.max_attempts and self._budget.try_spend(now)

    def sent(self, worker_id: str) -> None:
        """Count an order whose first byte has left this router; it may run from now on."""
        self._had_run_before = self.may_have_run
        self.may_have_run = True
        self._orders += 1
        self._workers.add(worker_id)

    def failed(self, kind: FailureKind) -> None:
        """Take the failure of the last order; a refusal is a promise that it never will run."""
        self.last_failure = kind
        if kind is FailureKind.REFUSED:
            self.may_have_run = self._had_run_before

    def has_workers_left(self) -> bool:
        """Whether another worker than those used may still be tried."""
        extra_prefills = max(self._prefills - 1, 0)
        return len(self._workers) + extra_prefills < self._route.max_attempts

    def prompt_read_seconds(self, now: float, expected_seconds: float = 0.0) -> float:
        """Return how long a prompt read may take from now on.

        Parameters
        ----------
        now
            Monotonic seconds.
        expected_seconds
            How long it is expected to take; 0 when nothing is known.
        """
        longest = max(self.time_left(now) * PROMPT_READ_SHARE, 0.0)
        if expected_seconds <= 0:
            return longest
        return min(longest, MIN_PREFILL_TIMEOUT_SECONDS + PREFILL_TIMEOUT_FACTOR * expected_seconds)

    def first_answer_seconds(self, now: float) -> float:
        """Return how long to wait for the first byte of an answer from now on.

        A silent worker may still answer, so it is given up before the deadline only by a request
        that another worker may then run.
        """
        left = max(self.time_left(now), 0.0)
        gives_up = self._route.repetition is not Repetition.NEVER and self.has_workers_left()
        if not gives_up:
            return left
        wanted = self._route.target_latency_seconds * FIRST_ANSWER_LATENCY_FACTOR
        return min(left, max(wanted, MIN_TIMEOUT_SECONDS))

    def final_status(self) -> FinalOutcome:
        """Return what the caller is told when the request is given up."""
        if not self.may_have_run:
            return FinalOutcome.NOT_RUN
        if self.last_failure is FailureKind.TIMED_OUT:
            return FinalOutcome.TIMED_OUT
        return FinalOutcome.BROKEN

    def _may_execute_again(self) -> bool:
        return not self.may_have_run or self._route.repetition is not Repetition.NEVER


class ReturnTime(msgspec.Struct, frozen=True):
    """When a refused caller should come back; spread so that callers don't return together."""

    shortest_seconds: float = 0.1
    longest_seconds: float = 0.4

    def seconds(self, share: float, at_least: float = 0.0) -> float:
        """Return the time for a random share between 0 and 1.

        Parameters
        ----------
        share
            Drawn evenly between 0 and 1.
        at_least
            Known time before which coming back is no use.
        """
        spread = self.shortest_seconds + share * (self.longest_seconds - self.shortest_seconds)
        return max(spread, at_least * (1.0 + 0.25 * share))
