"""Retry backoff with full jitter (paper, "Circuit breakers and bounded retries")."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.routing.retry_backoff import full_jitter
from orchidpath.wire.configuration import RetryPolicy


@settings(derandomize=True, deadline=None)
@given(
    st.integers(1, 10_000),
    st.floats(0.001, 5.0),
    st.floats(0.001, 60.0),
    st.integers(0, 2**32),
)
def test_wait_is_within_the_doubling_ceiling_and_the_cap(
    attempt_number: int, base: float, cap: float, seed: int
) -> None:
    policy = RetryPolicy(backoff_base_seconds=base, backoff_cap_seconds=cap)
    wait = full_jitter(attempt_number, policy, Random(seed))
    assert 0.0 <= wait <= cap
    # After a thousand doublings the ceiling exceeds every cap of this test.
    assert wait <= base * 2.0 ** min(attempt_number - 1, 1000)


def test_jitter_is_full_and_the_ceiling_doubles() -> None:
    policy = RetryPolicy(backoff_base_seconds=0.1, backoff_cap_seconds=0.4)
    random = Random(7)
    for attempt_number, ceiling in ((1, 0.1), (2, 0.2), (3, 0.4), (4, 0.4)):
        waits = [full_jitter(attempt_number, policy, random) for _ in range(1000)]
        assert min(waits) < 0.02 * ceiling
        assert max(waits) > 0.98 * ceiling


def test_attempt_numbers_start_at_one() -> None:
    with pytest.raises(ValueError, match="attempt_number must be at least 1"):
        full_jitter(0, RetryPolicy(), Random(1))
