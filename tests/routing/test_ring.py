"""The hash ring: minimal movement of keys, balance, prefix affinity and determinism."""

import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.routing import ring as ring_module
from orchidpath.routing.ring import HashRing, moved_share, prefix_key, request_key

DETERMINISTIC = settings(derandomize=True, deadline=None)
KEYS = [request_key(f"request-{number}") for number in range(400)]

pools = st.sets(st.integers(0, 60), min_size=2, max_size=12).map(
    lambda numbers: sorted(f"worker-{number}" for number in numbers)
)


@DETERMINISTIC
@given(pools)
def test_removed_worker_moves_only_its_own_keys(worker_ids: list[str]) -> None:
    full, smaller = HashRing.build(worker_ids), HashRing.build(worker_ids[1:])
    for key in KEYS:
        if full.owner(key) != worker_ids[0]:
            assert smaller.owner(key) == full.owner(key)


@DETERMINISTIC
@given(pools)
def test_moved_share_of_a_join_is_the_share_that_the_new_worker_owns(worker_ids: list[str]) -> None:
    before, after = HashRing.build(worker_ids[1:]), HashRing.build(worker_ids)
    share = moved_share(before, after)
    assert share == moved_share(after, before)
    assert 0.4 / len(worker_ids) < share < 1.9 / len(worker_ids)
    sampled = sum(before.owner(key) != after.owner(key) for key in KEYS) / len(KEYS)
    assert sampled == pytest.approx(share, abs=0.12)


def test_moved_share_of_equal_and_of_disjoint_rings() -> None:
    ring = HashRing.build(["a", "b"])
    empty = HashRing.build([])
    assert moved_share(ring, HashRing.build(["b", "a"])) == 0.0
    assert moved_share(ring, HashRing.build(["c"])) == 1.0
    assert moved_share(empty, ring) == 1.0
    assert moved_share(empty, empty) == 0.0
    assert empty.owner(1) is None
    assert HashRing.build(["b", "a", "b"]).worker_ids == ("a", "b")


def test_moved_share_is_exact_on_hand_made_arcs() -> None:
    old = HashRing([1 << 62, 1 << 63], ["a", "b"], ("a", "b"))
    new = HashRing([1 << 62, 1 << 63], ["a", "c"], ("a", "c"))
    assert moved_share(old, new) == 0.25
    first_owner_changed = HashRing([1 << 62, 1 << 63], ["c", "b"], ("b", "c"))
    assert moved_share(old, first_owner_changed) == 0.75


@pytest.mark.parametrize("worker_count", [5, 50, 200])
def test_no_worker_owns_much_more_than_its_share(worker_count: int) -> None:
    worker_ids = [f"worker-{number}" for number in range(worker_count)]
    ring = HashRing.build(worker_ids)
    for worker_id in worker_ids[:20]:
        others = HashRing.build([other for other in worker_ids if other != worker_id])
        assert moved_share(ring, others) < 1.5 / worker_count


@DETERMINISTIC
@given(pools, st.integers(0, 2**64 - 1), st.integers(-1, 15))
def test_preference_is_distinct_bounded_and_starts_with_the_owner(
    worker_ids: list[str], key: int, limit: int
) -> None:
    ring = HashRing.build(worker_ids)
    preference = ring.preference(key, limit)
    assert len(set(preference)) == len(preference) == min(max(limit, 0), len(worker_ids))
    assert preference[:1] == (ring.owner(key),)[: len(preference)]
    assert preference == HashRing.build(reversed(worker_ids)).preference(key, limit)


def test_another_process_builds_the_same_ring() -> None:
    code = (
        "from orchidpath.routing.ring import HashRing, prefix_key;"
        "print(prefix_key('m', 'p'), HashRing.build({'a', 'b', 'c', 'd'}).preference(7, 4))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    expected = (prefix_key("m", "p"), HashRing.build({"a", "b", "c", "d"}).preference(7, 4))
    assert completed.stdout.split(maxsplit=1) == [str(expected[0]), f"{expected[1]}\n"]


@DETERMINISTIC
@given(st.text(max_size=50), st.text(max_size=400), st.text(max_size=400))
def test_prompts_with_a_long_shared_prefix_share_the_key(
    salt: str, one_ending: str, other_ending: str
) -> None:
    prefix = (salt + "x" * 1024)[:1024]
    assert prefix_key("m", prefix + one_ending) == prefix_key("m", prefix + other_ending)
    assert prefix_key("m", prefix) != prefix_key("n", prefix)
    assert prefix_key("m", prefix) != prefix_key("m", "y" + prefix)


def test_short_prompts_have_different_keys_and_a_lone_surrogate_is_hashed() -> None:
    assert prefix_key("m", "valuation of a") != prefix_key("m", "valuation of b")
    assert prefix_key("m", "\ud800") != prefix_key("m", "\udfff")


def test_a_ring_without_virtual_nodes_is_rejected() -> None:
    with pytest.raises(ValueError, match="virtual node"):
        HashRing.build(["a"], 0)


def test_the_first_name_gets_a_position_that_two_workers_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ring_module, "_worker_positions", lambda worker_id, count: (7, 9))
    for worker_ids in (["a", "b"], ["b", "a"]):
        assert HashRing.build(worker_ids).owner(8) == "a"
