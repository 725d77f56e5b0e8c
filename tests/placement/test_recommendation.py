"""The recommended split follows a lasting change of the load and ignores oscillation."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidpath.placement.recommendation import (
    NoSplitError,
    RateAverage,
    SplitPolicy,
    TokenRates,
    WorkerCapacity,
    recommend,
)

CAPACITY = WorkerCapacity(prompt_tokens_per_second=100.0, output_tokens_per_second=10.0)
POLICY = SplitPolicy()


def rates(prompt: float, output: float) -> TokenRates:
    return TokenRates(prompt_tokens_per_second=prompt, output_tokens_per_second=output)


@given(
    prompt=st.floats(0.0, 1e6),
    output=st.floats(0.0, 1e6),
    prefill=st.integers(1, 30),
    decode=st.integers(1, 30),
)
def test_the_recommended_split_is_optimal_or_the_current_split_is_close_to_optimal(
    prompt: float, output: float, prefill: int, decode: int
) -> None:
    found = recommend(rates(prompt, output), CAPACITY, prefill, decode, POLICY)
    total = prefill + decode
    assert found.prefill_workers + found.decode_workers == total
    assert min(found.prefill_workers, found.decode_workers) >= 1
    best = min(
        max(prompt / 100.0 / number, output / 10.0 / (total - number)) for number in range(1, total)
    )
    if found.change:
        assert found.utilization_then == pytest.approx(best)
        assert found.utilization_then < found.utilization_now * 0.9
    else:
        assert found.prefill_workers == prefill
        assert found.utilization_now * 0.9 <= best * (1 + 1e-9)


def test_after_a_change_the_same_load_recommends_no_further_change() -> None:
    load = rates(700.0, 10.0)
    first = recommend(load, CAPACITY, 2, 8, POLICY)
    assert first.change
    second = recommend(load, CAPACITY, first.prefill_workers, first.decode_workers, POLICY)
    assert not second.change


def test_load_that_oscillates_around_a_threshold_changes_nothing() -> None:
    for prompt in (290.0, 310.0, 290.0, 310.0):
        assert not recommend(rates(prompt, 70.0), CAPACITY, 3, 7, POLICY).change


def test_without_load_no_change_is_recommended() -> None:
    assert not recommend(rates(0.0, 0.0), CAPACITY, 1, 9, POLICY).change


@pytest.mark.parametrize(("prefill", "decode"), [(0, 5), (5, 0)])
def test_an_empty_stage_has_no_split(prefill: int, decode: int) -> None:
    with pytest.raises(NoSplitError):
        recommend(rates(1.0, 1.0), CAPACITY, prefill, decode, POLICY)


def test_the_average_follows_a_shift_by_its_half_life() -> None:
    average = RateAverage(half_life_seconds=600.0)
    assert average.add(rates(100.0, 0.0), 0.0) == rates(100.0, 0.0)
    assert average.add(rates(200.0, 0.0), 600.0).prompt_tokens_per_second == pytest.approx(150.0)
    assert average.add(rates(200.0, 0.0), 6600.0).prompt_tokens_per_second > 199.0
