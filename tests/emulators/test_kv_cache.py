"""The prefix cache and the binding of KV handles to their attempt."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidpath.emulators.worker.kv_cache import (
    BLOCK_TOKENS,
    HandleClaim,
    HandleTable,
    HandleVerdict,
    PrefixCache,
    block_keys,
)

PROMPTS = st.lists(st.sampled_from(["x", "y"]), max_size=5 * BLOCK_TOKENS)


def claim(**fields: str) -> HandleClaim:
    values = {"handle_id": "i1-1", "request_id": "r", "attempt_id": "a", "incarnation": "i1"}
    values.update(fields)
    return HandleClaim(**values)


@given(PROMPTS, PROMPTS)
def test_keys_agree_exactly_on_shared_blocks(first: list[str], second: list[str]) -> None:
    first_keys, second_keys = block_keys(" ".join(first)), block_keys(" ".join(second))
    for number in range(min(len(first_keys), len(second_keys))):
        end = (number + 1) * BLOCK_TOKENS
        assert (first_keys[number] == second_keys[number]) == (first[:end] == second[:end])


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(1, 6)), max_size=40))
def test_the_cache_is_bounded_and_retains_the_newest_prompt(
    reads: list[tuple[int, int]],
) -> None:
    cache = PrefixCache(capacity_tokens=8 * BLOCK_TOKENS)
    for label, blocks in reads:
        keys = block_keys(" ".join(f"{label}" for _ in range(blocks * BLOCK_TOKENS)))
        cache.insert(keys)
        assert cache.tokens <= 8 * BLOCK_TOKENS
        assert cache.cached_tokens(keys) == blocks * BLOCK_TOKENS


def test_the_least_recently_used_prompt_is_evicted_from_its_end() -> None:
    cache = PrefixCache(capacity_tokens=4 * BLOCK_TOKENS)
    old, new = [1, 2, 3], [11, 12]
    cache.insert(old)
    cache.insert(new)
    assert cache.cached_tokens(new) == 2 * BLOCK_TOKENS
    assert cache.cached_tokens(old) == 2 * BLOCK_TOKENS


def test_a_handle_is_granted_once() -> None:
    table = HandleTable("i1", lifetime_seconds=5.0)
    assert table.issue("r", "a", 30, now=0.0) == "i1-1"
    granted = table.take(claim(), now=1.0)
    assert (granted.verdict, granted.prompt_tokens) == (HandleVerdict.GRANTED, 30)
    assert table.take(claim(), now=1.0).verdict is HandleVerdict.EXPIRED


@pytest.mark.parametrize("field", ["request_id", "attempt_id", "incarnation"])
def test_a_handle_is_rejected_for_any_other_claim(field: str) -> None:
    table = HandleTable("i1", lifetime_seconds=5.0)
    table.issue("r", "a", 30, now=0.0)
    assert table.take(claim(**{field: "other"}), now=1.0).verdict is HandleVerdict.MISMATCH
    assert table.take(claim(), now=1.0).verdict is HandleVerdict.GRANTED


def test_handles_expire_by_time_by_fault_and_by_cancel() -> None:
    table = HandleTable("i1", lifetime_seconds=5.0)
    table.issue("r", "a", 30, now=0.0)
    assert table.take(claim(), now=5.0).verdict is HandleVerdict.EXPIRED
    table.issue("r", "b", 30, now=5.0)
    table.issue("r", "c", 30, now=5.0)
    table.release("b")
    assert table.outstanding(5.0) == 1
    assert table.expire_all() == 1
    assert table.outstanding(5.0) == 0
