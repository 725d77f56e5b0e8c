"""Reports of the callers, for each second and for the run: outcomes, codes and latencies."""

from collections import Counter

import msgspec
from hdrh.histogram import HdrHistogram

from orchidpath.emulators.client.request_plan import PlannedRequest
from orchidpath.emulators.client.traffic_mix import TrafficKind
from orchidpath.emulators.client.verification import Outcome

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3

MAX_EXAMPLES = 20
"""Maximum number of violations listed individually; the count includes all of them."""


class RequestResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one request.

    ``attempts`` is the number of times the request was sent. Times are measured from the moment at
    which the request was due, not from its sending, so that delay in an overloaded caller is
    included.
    """

    request_id: str
    stream: str
    kind: TrafficKind
    outcome: Outcome
    attempts: int = msgspec.field(default=1, name="tries")
    status: int = 0
    code: str = ""
    ran: str = ""
    retry_after_seconds: float | None = None
    router: str = ""
    first_token_seconds: float | None = None
    total_seconds: float = 0.0
    detail: str = ""


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """Percentiles of a distribution of times in seconds."""

    count: int
    p50_seconds: float
    p95_seconds: float
    p99_seconds: float
    maximum_seconds: float


class OutcomeCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Number of requests by outcome."""

    answered: int = 0
    refused: int = 0
    broken: int = 0
    timed_out: int = 0
    unreachable: int = 0
    abandoned: int = 0
    wrong_content: int = 0
    incomplete_but_clean: int = 0


class CodeCount(msgspec.Struct, frozen=True, kw_only=True):
    """Number of requests with a given outcome, error code and execution status (``ran``)."""

    outcome: Outcome
    code: str
    ran: str
    count: int


class CallerProgress(msgspec.Struct, frozen=True, kw_only=True, tag="progress"):
    """Progress report of one second.

    ``due`` and ``outcomes`` count that second only; the percentiles cover the run so far.
    """

    second: int
    due: int
    outstanding: int
    ready_routers: int
    outcomes: OutcomeCounts
    first_token: Percentiles
    between_tokens: Percentiles
    plain_call: Percentiles


class CallerSummary(msgspec.Struct, frozen=True, kw_only=True, tag="summary"):
    """Summary of a complete run.

    ``not_sent`` counts requests that were due while too many others were outstanding; ``returns``
    counts retries.
    """

    seconds: float
    due: int
    not_sent: int
    returns: int
    violations: int
    outcomes: OutcomeCounts
    codes: tuple[CodeCount, ...]
    first_token: Percentiles
    between_tokens: Percentiles
    plain_call: Percentiles
    examples: tuple[RequestResult, ...]


class TimeRecorder:
    """Histogram of times with microsecond resolution."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Record one time in seconds."""
        microseconds = max(LOWEST_MICROSECONDS, round(seconds * 1e6))
        self._histogram.record_value(min(microseconds, HIGHEST_MICROSECONDS))

    def percentiles(self) -> Percentiles:
        """Return the percentiles of all times recorded so far."""
        return Percentiles(
            count=int(self._histogram.get_total_count()),
            p50_seconds=self._at(50.0),
            p95_seconds=self._at(95.0),
            p99_seconds=self._at(99.0),
            maximum_seconds=self._histogram.get_max_value() / 1e6,
        )

    def _at(self, percentile: float) -> float:
        return float(self._histogram.get_value_at_percentile(percentile)) / 1e6


class CallerTally:
    """Counters and latency histograms of one run."""

    def __init__(self) -> None:
        self.due = 0
        self.not_sent = 0
        self.returns = 0
        self.first_token = TimeRecorder()
        self.between_tokens = TimeRecorder()
        self.plain_call = TimeRecorder()
        self._outcomes: Counter[Outcome] = Counter()
        self._codes: Counter[CodeCount] = Counter()
        self._examples: list[RequestResult] = []
        self._outcomes_reported: Counter[Outcome] = Counter()
        self._due_reported = 0

    def add(self, result: RequestResult) -> None:
        """Count the result of a request."""
        self._outcomes[result.outcome] += 1
        self._codes[
            CodeCount(outcome=result.outcome, code=result.code, ran=result.ran, count=0)
        ] += 1
        if result.outcome.is_violation and len(self._examples) < MAX_EXAMPLES:
            self._examples.append(result)
        if result.kind is TrafficKind.PLAIN and result.outcome is Outcome.ANSWERED:
            self.plain_call.record(result.total_seconds)

    def progress(self, second: int, outstanding: int, ready_routers: int) -> CallerProgress:
        """Return the report of one second, with the counts since the previous report."""
        new_outcomes = self._outcomes - self._outcomes_reported
        new_due = self.due - self._due_reported
        self._outcomes_reported = Counter(self._outcomes)
        self._due_reported = self.due
        return CallerProgress(
            second=second,
            due=new_due,
            outstanding=outstanding,
            ready_routers=ready_routers,
            outcomes=_counts(new_outcomes),
            first_token=self.first_token.percentiles(),
            between_tokens=self.between_tokens.percentiles(),
            plain_call=self.plain_call.percentiles(),
        )

    def summary(self, seconds: float) -> CallerSummary:
        """Return the summary of the run, which took ``seconds``."""
        violations = sum(count for outcome, count in self._outcomes.items() if outcome.is_violation)
        codes = [
            msgspec.structs.replace(key, count=count) for key, count in self._codes.most_common()
        ]
        return CallerSummary(
            seconds=seconds,
            due=self.due,
            not_sent=self.not_sent,
            returns=self.returns,
            violations=violations,
            outcomes=_counts(self._outcomes),
            codes=tuple(codes),
            first_token=self.first_token.percentiles(),
            between_tokens=self.between_tokens.percentiles(),
            plain_call=self.plain_call.percentiles(),
            examples=tuple(self._examples),
        )


def _counts(outcomes: Counter[Outcome]) -> OutcomeCounts:
    return OutcomeCounts(
        answered=outcomes[Outcome.ANSWERED],
        refused=outcomes[Outcome.REFUSED],
        broken=outcomes[Outcome.BROKEN],
        timed_out=outcomes[Outcome.TIMED_OUT],
        unreachable=outcomes[Outcome.UNREACHABLE],
        abandoned=outcomes[Outcome.ABANDONED],
        wrong_content=outcomes[Outcome.WRONG_CONTENT],
        incomplete_but_clean=outcomes[Outcome.INCOMPLETE_BUT_CLEAN],
    )


def result_of(request: PlannedRequest, outcome: Outcome, router: str = "") -> RequestResult:
    """Return a result that contains only the request's identity, outcome and router."""
    return RequestResult(
        request_id=request.request_id,
        stream=request.stream,
        kind=request.kind,
        outcome=outcome,
        router=router,
    )
