"""Progress of a forwarded request: permitted retries, the retry budget, and the final outcome."""

import pytest

from orchidpath.forwarding.progress import (
    FIRST_RESPONSE_LATENCY_FACTOR,
    MIN_PREFILL_TIMEOUT_SECONDS,
    PREFILL_DEADLINE_SHARE,
    PREFILL_TIMEOUT_FACTOR,
    FailureKind,
    FailureOutcome,
    ForwardProgress,
    RetryAfterRange,
)
from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.configuration import (
    ForwardRoute,
    Repetition,
    RetryPolicy,
    WeightedService,
)

NOW = 100.0


def progress(
    repetition: Repetition = Repetition.NEVER,
    max_attempts: int = 2,
    budget_per_second: float = 10.0,
    seconds: float = 8.0,
    streaming: bool = True,
) -> ForwardProgress:
    route = ForwardRoute(
        name="r",
        host="h",
        path_prefix="/",
        services=[WeightedService(service="s")],
        streaming=streaming,
        repetition=repetition,
        max_attempts=max_attempts,
        target_latency_seconds=0.8,
    )
    policy = RetryPolicy(budget_ratio=0.0, budget_minimum_per_second=budget_per_second)
    return ForwardProgress(route, RetryBudget(policy), NOW + seconds)


def test_the_first_dispatch_is_not_charged() -> None:
    request = progress(budget_per_second=0.0)
    assert request.may_dispatch("a", NOW)
    assert request.failure_outcome() is FailureOutcome.NOT_EXECUTED


@pytest.mark.parametrize("kind", [FailureKind.BROKEN, FailureKind.TIMED_OUT])
@pytest.mark.parametrize(
    ("repetition", "streaming"),
    [(Repetition.NEVER, False), (Repetition.NEVER, True), (Repetition.RESUMED, False)],
)
def test_a_request_that_may_have_executed_is_never_retried(
    kind: FailureKind, repetition: Repetition, streaming: bool
) -> None:
    request = progress(repetition, streaming=streaming)
    request.record_dispatch("a")
    request.record_dispatch_failure(kind)
    assert not request.may_dispatch("b", NOW)
    assert request.failure_outcome() is not FailureOutcome.NOT_EXECUTED


@pytest.mark.parametrize("repetition", [Repetition.WHOLE, Repetition.RESUMED])
def test_an_idempotent_request_is_retried_on_one_other_worker(repetition: Repetition) -> None:
    request = progress(repetition)
    request.record_dispatch("a")
    request.record_dispatch_failure(FailureKind.BROKEN)
    assert request.may_dispatch("b", NOW)
    request.record_dispatch("b")
    request.record_dispatch_failure(FailureKind.BROKEN)
    assert not request.may_dispatch("c", NOW)
    assert request.failure_outcome() is FailureOutcome.BROKEN


def test_a_not_executed_guarantee_permits_a_retry() -> None:
    request = progress()
    request.record_dispatch("a")
    request.record_dispatch_failure(FailureKind.REFUSED)
    assert request.failure_outcome() is FailureOutcome.NOT_EXECUTED
    assert request.may_dispatch("b", NOW)


def test_a_not_executed_guarantee_does_not_cover_an_earlier_attempt() -> None:
    request = progress(Repetition.WHOLE, max_attempts=3)
    request.record_dispatch("a")
    request.record_dispatch_failure(FailureKind.BROKEN)
    request.record_dispatch("b")
    request.record_dispatch_failure(FailureKind.REFUSED)
    assert request.failure_outcome() is FailureOutcome.BROKEN


def test_with_one_attempt_only_the_same_worker_may_be_retried() -> None:
    request = progress(max_attempts=1)
    request.record_dispatch("a")
    request.record_dispatch_failure(FailureKind.REFUSED)
    assert request.may_dispatch("a", NOW)
    assert not request.may_dispatch("b", NOW)


def test_a_retry_is_charged_to_the_budget() -> None:
    request = progress(budget_per_second=0.0)
    request.record_dispatch("a")
    request.record_dispatch_failure(FailureKind.REFUSED)
    assert not request.may_dispatch("b", NOW)


def test_a_second_prefill_counts_as_an_attempt() -> None:
    request = progress(max_attempts=2)
    assert request.may_prefill(NOW)
    request.record_prefill_dispatch()
    assert request.may_prefill(NOW)
    request.record_prefill_dispatch()
    # One attempt remains for the decode, and only on one worker.
    assert not request.may_prefill(NOW)
    assert request.may_dispatch("a", NOW)


def test_a_failed_prefill_is_charged_even_as_the_first_dispatch() -> None:
    request = progress(max_attempts=3, budget_per_second=0.1)
    request.record_prefill_dispatch()
    request.record_prefill_failure(NOW)
    assert not request.may_prefill(NOW)


def test_nothing_is_dispatched_after_the_deadline() -> None:
    request = progress(seconds=0.0)
    assert not request.may_dispatch("a", NOW)


def test_only_an_idempotent_request_has_a_first_response_timeout() -> None:
    assert progress().first_response_timeout_seconds(NOW) == pytest.approx(8.0)
    idempotent = progress(Repetition.RESUMED)
    expected = 0.8 * FIRST_RESPONSE_LATENCY_FACTOR
    assert idempotent.first_response_timeout_seconds(NOW) == pytest.approx(expected)
    single_attempt = progress(Repetition.RESUMED, max_attempts=1)
    single_attempt.record_dispatch("a")
    assert single_attempt.first_response_timeout_seconds(NOW) == pytest.approx(8.0)


def test_retry_after_is_spread_and_has_a_minimum() -> None:
    retry_after = RetryAfterRange(shortest_seconds=0.1, longest_seconds=0.4)
    assert retry_after.seconds(0.0) == pytest.approx(0.1)
    assert retry_after.seconds(1.0) == pytest.approx(0.4)
    assert retry_after.seconds(0.0, at_least=2.0) >= 2.0


def test_the_prefill_timeout_follows_the_expected_duration() -> None:
    assert progress().prefill_timeout_seconds(NOW) == pytest.approx(8.0 * PREFILL_DEADLINE_SHARE)
    expected = MIN_PREFILL_TIMEOUT_SECONDS + PREFILL_TIMEOUT_FACTOR * 0.5
    assert progress().prefill_timeout_seconds(NOW, 0.5) == pytest.approx(expected)
    assert progress().prefill_timeout_seconds(NOW, 60.0) == pytest.approx(
        8.0 * PREFILL_DEADLINE_SHARE
    )
    assert progress().prefill_timeout_seconds(NOW + 9.0, 0.5) == 0.0
