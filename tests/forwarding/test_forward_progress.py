"""What may be sent again, at what price, and what the caller may be told."""

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
) -> ForwardProgress:
    route = ForwardRoute(
        name="r",
        host="h",
        path_prefix="/",
        services=[WeightedService(service="s")],
        repetition=repetition,
        max_attempts=max_attempts,
        target_latency_seconds=0.8,
    )
    policy = RetryPolicy(budget_ratio=0.0, budget_minimum_per_second=budget_per_second)
    return ForwardProgress(route, RetryBudget(policy), NOW + seconds)


def test_the_first_order_costs_nothing() -> None:
    one = progress(budget_per_second=0.0)
    assert one.may_dispatch("a", NOW)
    assert one.failure_outcome() is FailureOutcome.NOT_EXECUTED


@pytest.mark.parametrize("kind", [FailureKind.BROKEN, FailureKind.TIMED_OUT])
def test_what_may_have_run_is_never_sent_again(kind: FailureKind) -> None:
    one = progress()
    one.dispatched("a")
    one.dispatch_failed(kind)
    assert not one.may_dispatch("b", NOW)
    assert one.failure_outcome() is not FailureOutcome.NOT_EXECUTED


@pytest.mark.parametrize("repetition", [Repetition.WHOLE, Repetition.RESUMED])
def test_what_may_be_repeated_goes_to_another_worker_once(repetition: Repetition) -> None:
    one = progress(repetition)
    one.dispatched("a")
    one.dispatch_failed(FailureKind.BROKEN)
    assert one.may_dispatch("b", NOW)
    one.dispatched("b")
    one.dispatch_failed(FailureKind.BROKEN)
    assert not one.may_dispatch("c", NOW)
    assert one.failure_outcome() is FailureOutcome.BROKEN


def test_a_promise_of_the_worker_lets_it_go_on() -> None:
    one = progress()
    one.dispatched("a")
    one.dispatch_failed(FailureKind.REFUSED)
    assert one.failure_outcome() is FailureOutcome.NOT_EXECUTED
    assert one.may_dispatch("b", NOW)


def test_a_promise_does_not_undo_an_earlier_run() -> None:
    one = progress(Repetition.WHOLE, max_attempts=3)
    one.dispatched("a")
    one.dispatch_failed(FailureKind.BROKEN)
    one.dispatched("b")
    one.dispatch_failed(FailureKind.REFUSED)
    assert one.failure_outcome() is FailureOutcome.BROKEN


def test_with_one_worker_the_same_one_may_be_asked_again() -> None:
    one = progress(max_attempts=1)
    one.dispatched("a")
    one.dispatch_failed(FailureKind.REFUSED)
    assert one.may_dispatch("a", NOW)
    assert not one.may_dispatch("b", NOW)


def test_a_retry_is_paid_for() -> None:
    one = progress(budget_per_second=0.0)
    one.dispatched("a")
    one.dispatch_failed(FailureKind.REFUSED)
    assert not one.may_dispatch("b", NOW)


def test_a_second_prompt_read_is_an_attempt() -> None:
    one = progress(max_attempts=2)
    assert one.may_prefill(NOW)
    one.prefill_dispatched()
    assert one.may_prefill(NOW)
    one.prefill_dispatched()
    # One attempt is left for the run itself, and only on one worker.
    assert not one.may_prefill(NOW)
    assert one.may_dispatch("a", NOW)


def test_a_failed_prompt_read_is_charged_though_it_was_the_first() -> None:
    one = progress(max_attempts=3, budget_per_second=0.1)
    one.prefill_dispatched()
    one.prefill_failed(NOW)
    assert not one.may_prefill(NOW)


def test_nothing_is_sent_after_the_deadline() -> None:
    one = progress(seconds=0.0)
    assert not one.may_dispatch("a", NOW)


def test_only_what_may_be_repeated_gives_a_silent_worker_up() -> None:
    assert progress().first_response_timeout_seconds(NOW) == pytest.approx(8.0)
    repeatable = progress(Repetition.RESUMED)
    expected = 0.8 * FIRST_RESPONSE_LATENCY_FACTOR
    assert repeatable.first_response_timeout_seconds(NOW) == pytest.approx(expected)
    alone = progress(Repetition.RESUMED, max_attempts=1)
    alone.dispatched("a")
    assert alone.first_response_timeout_seconds(NOW) == pytest.approx(8.0)


def test_return_times_are_spread_and_never_too_early() -> None:
    one = RetryAfterRange(shortest_seconds=0.1, longest_seconds=0.4)
    assert one.seconds(0.0) == pytest.approx(0.1)
    assert one.seconds(1.0) == pytest.approx(0.4)
    assert one.seconds(0.0, at_least=2.0) >= 2.0


def test_a_prompt_read_that_takes_far_longer_than_expected_is_given_up() -> None:
    assert progress().prefill_timeout_seconds(NOW) == pytest.approx(8.0 * PREFILL_DEADLINE_SHARE)
    expected = MIN_PREFILL_TIMEOUT_SECONDS + PREFILL_TIMEOUT_FACTOR * 0.5
    assert progress().prefill_timeout_seconds(NOW, 0.5) == pytest.approx(expected)
    assert progress().prefill_timeout_seconds(NOW, 60.0) == pytest.approx(
        8.0 * PREFILL_DEADLINE_SHARE
    )
    assert progress().prefill_timeout_seconds(NOW + 9.0, 0.5) == 0.0
