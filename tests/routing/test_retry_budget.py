"""The retry budget: the retries of all routers together stay within the share in any window."""

import math
from collections.abc import Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.routing.retry_budget import (
    BUCKET_SECONDS,
    MAXIMUM_WINDOW_SECONDS,
    RetryBudget,
)
from orchidpath.wire.configuration import RetryPolicy

SLACK = 1e-6

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=200)

# Index of the router, seconds since the previous event, whether the event is a first attempt
# (otherwise a retry), and the number of attempts.
Event = tuple[int, float, bool, int]
events = st.lists(
    st.tuples(st.integers(0, 2), st.floats(0, 3), st.booleans(), st.integers(1, 12)), max_size=80
)


def count_within(times: Iterable[float], start: float, end: float) -> int:
    return sum(start <= time <= end for time in times)


def replay(budgets: list[RetryBudget], history: list[Event]) -> tuple[list[float], list[float]]:
    """Return the times of all first attempts and of all granted retries."""
    firsts: list[float] = []
    retries: list[float] = []
    now = 1000.0
    for router, pause, is_first, repeats in history:
        now += pause
        budget = budgets[router % len(budgets)]
        for _ in range(repeats):
            if is_first:
                budget.record_first_attempt(now)
                firsts.append(now)
            elif budget.try_spend(now):
                retries.append(now)
    return firsts, retries


@DETERMINISTIC
@given(events, st.sampled_from([0.0, 0.1, 0.5]), st.sampled_from([0.0, 0.02, 0.3, 2.0]))
def test_retries_of_all_routers_stay_within_the_share_over_any_window(
    history: list[Event], ratio: float, minimum: float
) -> None:
    policy = RetryPolicy(budget_ratio=ratio, budget_minimum_per_second=minimum)
    routers = [RetryBudget(policy, router_count=3) for _ in range(3)]
    firsts, retries = replay(routers, history)
    window = routers[0].window_seconds
    for end in retries:
        # Each router granted its newest retry within one window before the end, so the first
        # attempts of two windows can count towards these retries.
        share = ratio * count_within(firsts, end - 2 * window, end)
        assert count_within(retries, end - window, end) <= share + minimum * window + SLACK


@DETERMINISTIC
@given(events)
def test_retries_of_one_router_stay_within_the_share_of_the_same_window(
    history: list[Event],
) -> None:
    policy = RetryPolicy()
    firsts, retries = replay([RetryBudget(policy)], history)
    for end in retries:
        start = end - policy.budget_window_seconds
        allowed = policy.budget_ratio * count_within(firsts, start, end) + 5.0
        assert count_within(retries, start, end) <= allowed + SLACK


def test_the_share_is_usable_and_is_restored() -> None:
    budget = RetryBudget(RetryPolicy(budget_minimum_per_second=0.0))
    for number in range(100):
        budget.record_first_attempt(number * 0.01)
    assert sum(budget.try_spend(1.0) for _ in range(100)) == 10
    assert not budget.try_spend(9.0)
    assert budget.retry_after(9.0) == pytest.approx(2.25)
    for number in range(100):
        budget.record_first_attempt(9.0 + number * 0.01)
    assert budget.retry_after(11.5) == 0.0
    assert budget.try_spend(11.5)


def test_buckets_at_the_edge_of_the_window_are_rounded_towards_fewer_retries() -> None:
    policy = RetryPolicy(budget_ratio=1.0, budget_minimum_per_second=0.0)
    expired = RetryBudget(policy)
    expired.record_first_attempt(0.05)
    assert not expired.try_spend(10.1)
    spent = RetryBudget(policy)
    spent.record_first_attempt(0.05)
    assert spent.try_spend(0.2)
    spent.record_first_attempt(5.0)
    assert not spent.try_spend(10.1)


@DETERMINISTIC
@given(st.integers(1, 40), st.sampled_from([0.5, 1.0, 3.0]))
def test_routers_divide_the_minimum_and_each_can_retry(router_count: int, minimum: float) -> None:
    policy = RetryPolicy(budget_minimum_per_second=minimum)
    routers = [RetryBudget(policy) for _ in range(router_count)]
    for router in routers:
        router.set_router_count(router_count)
    window = routers[0].window_seconds
    granted = [sum(router.try_spend(50.0) for _ in range(100)) for router in routers]
    assert min(granted) >= 1
    assert sum(granted) <= minimum * window + SLACK
    assert all(router.retry_after(50.0) <= window for router in routers)
    later = 50.0 + window + BUCKET_SECONDS
    assert all(router.try_spend(later) for router in routers)


def test_policy_changes_retain_the_counts() -> None:
    budget = RetryBudget(RetryPolicy(), router_count=1)
    assert sum(budget.try_spend(5.0) for _ in range(9)) == 5
    budget.set_policy(RetryPolicy(budget_minimum_per_second=0.7))
    assert sum(budget.try_spend(6.0) for _ in range(9)) == 2
    budget.set_policy(RetryPolicy(budget_ratio=0.0, budget_minimum_per_second=0.0))
    assert not budget.try_spend(7.0)
    assert budget.retry_after(7.0) == budget.window_seconds


def test_memory_is_bounded() -> None:
    budget = RetryBudget(RetryPolicy())
    for number in range(20_000):
        budget.record_first_attempt(number * 0.1)
    retained = len(budget._first_attempts._buckets)
    assert retained <= math.ceil(MAXIMUM_WINDOW_SECONDS / BUCKET_SECONDS) + 2
