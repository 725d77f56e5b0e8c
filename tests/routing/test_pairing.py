"""Ranking of the prefill, decode and plain candidates."""

from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.routing.kv_transfer_evidence import PairAvoidance
from orchidpath.routing.pairing import (
    CANDIDATE_LIMIT,
    ModelQuery,
    PairSelector,
    PlainQuery,
    RingCache,
    model_query,
)
from orchidpath.routing.ring import HashRing, prefix_key
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.records import FleetView, Stage, WorkerRecord, WorkerStatus

DRAINING, GONE = WorkerStatus.DRAINING, WorkerStatus.GONE
PROMPT = "cellar " * 400


def worker(
    worker_id: str,
    *,
    zone: str = "z1",
    service: str = "wine",
    status: WorkerStatus = WorkerStatus.READY,
    cordoned: bool = False,
    model: str = "m",
) -> WorkerRecord:
    stages = {"p": Stage.PREFILL, "d": Stage.DECODE, "s": Stage.PLAIN}
    return WorkerRecord(
        worker_id=worker_id,
        incarnation="i",
        service=service,
        stage=stages[worker_id[0]],
        url="http://10.0.0.1:1",
        models=(model,),
        zone=zone,
        status=status,
        cordoned=cordoned,
    )


def selector_of(
    workers: Sequence[WorkerRecord], avoidance: PairAvoidance | None = None, zone: str = ""
) -> PairSelector:
    selector = PairSelector(avoidance or PairAvoidance(), zone=zone)
    view = FleetView(
        revision=1,
        configuration_version=1,
        configuration=Configuration(),
        workers=tuple(workers),
    )
    selector.update_view(view)
    return selector


def query(**changes: object) -> ModelQuery:
    fields = {"service": "wine", "model": "m", "request_id": "r", "key": prefix_key("m", PROMPT)}
    return ModelQuery(**{**fields, **changes})  # type: ignore[arg-type]


PREFILL = [worker(f"p{number}") for number in range(5)]
DECODE = [worker(f"d{number}", zone=f"z{number % 2 + 1}") for number in range(6)]


@pytest.mark.parametrize(
    "excluded",
    [
        worker("p9", status=DRAINING),
        worker("p9", status=GONE),
        worker("p9", cordoned=True),
        worker("p9", model="other"),
        worker("p9", service="puzzle"),
    ],
)
def test_only_ready_uncordoned_workers_of_the_service_and_model_are_candidates(
    excluded: WorkerRecord,
) -> None:
    selector = selector_of([*PREFILL, excluded, *DECODE])
    prefill, decode = selector.model_candidates(query(), {}, 0.0)
    assert sorted(prefill.candidates) == [f"p{number}" for number in range(5)]
    assert sorted(decode.candidates) == [f"d{number}" for number in range(6)]
    assert selector.model_candidates(query(model="unknown"), {}, 0.0)[0].candidates == ()


def test_prefill_follows_the_ring_of_the_prefix_and_spills_over_the_load_bound() -> None:
    selector = selector_of(PREFILL)
    ring_order = HashRing.build([record.worker_id for record in PREFILL])
    expected = ring_order.preference(prefix_key("m", PROMPT), 5)
    first = model_query("wine", "m", "r", PROMPT)
    assert selector.prefill_candidates(first, {}).candidates == expected
    assert selector.prefill_candidates(first, {expected[0]: 1}).candidates == expected
    spilled = selector.prefill_candidates(first, {expected[0]: 5}).candidates
    assert spilled == (*expected[1:], expected[0])
    evenly_loaded = {record.worker_id: 9 for record in PREFILL}
    assert selector.prefill_candidates(first, evenly_loaded).candidates == expected


def test_tried_workers_come_last_whatever_their_load() -> None:
    selector = selector_of([*PREFILL, *DECODE])
    order = selector.prefill_candidates(query(), {}).candidates
    stage_candidates = selector.prefill_candidates(query(tried_prefill=order[:2]), {order[2]: 50})
    assert stage_candidates.candidates == (order[3], order[4], order[2], order[0], order[1])
    assert stage_candidates.tried == order[:2]
    decode = selector.decode_candidates(query(tried_decode=("d0", "d2")), "p0", {"d4": 90}, 0.0)
    assert set(decode.candidates[-2:]) == {"d0", "d2"}


def test_decode_prefers_the_zone_then_load_and_puts_avoided_pairs_last() -> None:
    avoidance = PairAvoidance()
    avoidance.avoid("p1", "d0", 10.0)
    selector = selector_of([*PREFILL, *DECODE], avoidance)
    candidates = selector.decode_candidates(query(), "p1", {"d2": 1, "d3": 1}, 0.0).candidates
    assert candidates[:2] == ("d4", "d2")
    assert set(candidates[2:4]) == {"d1", "d5"}
    assert candidates[4:] == ("d3", "d0")
    after = selector.decode_candidates(query(), "p1", {"d2": 1}, 10.0).candidates
    assert set(after[:2]) == {"d0", "d4"}


def test_decode_worker_over_the_load_bound_comes_after_another_zone() -> None:
    selector = selector_of([worker("p1"), worker("d1"), worker("d2", zone="z2")])
    assert selector.decode_candidates(query(), "p1", {"d1": 1}, 0.0).candidates == ("d1", "d2")
    assert selector.decode_candidates(query(), "p1", {"d1": 9}, 0.0).candidates == ("d2", "d1")


def test_decode_is_paired_with_the_worker_that_has_the_kv_cache() -> None:
    selector = selector_of([*PREFILL, worker("p7", zone="z2"), *DECODE])
    (stage_candidates,) = selector.model_candidates(query(prefill_worker_id="p7"), {}, 0.0)
    assert stage_candidates.stage is Stage.DECODE
    assert set(stage_candidates.candidates[:3]) == {"d1", "d3", "d5"}


def test_plain_stage_prefers_the_less_loaded_of_two() -> None:
    selector = selector_of([worker(f"s{number}", service="stock") for number in range(4)])
    plain = PlainQuery(service="stock", request_id="r1")
    order = selector.plain_candidates(plain, {}).candidates
    assert len(set(order)) == 4
    assert selector.plain_candidates(plain, {order[0]: 2, order[1]: 1}).candidates[0] == order[1]
    again = PlainQuery(service="stock", request_id="r1", tried=order[:3])
    assert selector.plain_candidates(again, {order[3]: 90}).candidates == (order[3], *order[:3])
    assert (
        selector.plain_candidates(PlainQuery(service="none", request_id="r"), {}).candidates == ()
    )


def zoned(name: str, count: int, zones: int, service: str = "wine") -> list[WorkerRecord]:
    return [
        worker(f"{name}{number}", zone=f"z{number % zones}", service=service)
        for number in range(count)
    ]


def test_a_plain_worker_of_the_own_zone_ranks_first_unless_its_load_is_much_higher() -> None:
    workers = zoned("s", 7, 7, service="stock")
    selector = selector_of(workers, zone="z3")
    for number in range(50):
        plain = PlainQuery(service="stock", request_id=f"r{number}")
        assert selector.plain_candidates(plain, {}).candidates[0] == "s3"
        assert selector.plain_candidates(plain, {"s3": 1}).candidates[0] == "s3"
        loaded = selector.plain_candidates(plain, {"s3": 3}).candidates
        assert loaded[0] != "s3"
        assert "s3" in loaded
        again = PlainQuery(service="stock", request_id=f"r{number}", tried=("s3",))
        assert selector.plain_candidates(again, {}).candidates[0] != "s3"


def test_a_router_whose_zone_has_no_plain_worker_samples_all_zones() -> None:
    selector = selector_of(zoned("s", 4, 2, service="stock"), zone="z9")
    firsts = {
        selector.plain_candidates(PlainQuery(service="stock", request_id=f"r{n}"), {}).candidates[0]
        for n in range(100)
    }
    assert firsts == {"s0", "s1", "s2", "s3"}


def test_decode_side_prefill_prefers_the_own_zone() -> None:
    selector = selector_of(zoned("d", 26, 5), zone="z2")
    for number in range(50):
        model_query = query(request_id=f"r{number}")
        stage_candidates = selector.decode_candidates(model_query, "", {}, 0.0)
        zones = [int(worker_id[1:]) % 5 for worker_id in stage_candidates.candidates]
        assert zones[0] == 2
        assert len(set(zones)) > 1
        elsewhere = selector.decode_candidates(model_query, "p-unknown", {}, 0.0)
        assert len(set(elsewhere.candidates)) == CANDIDATE_LIMIT


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 60), st.integers(0, 60), st.integers(0, 2**64 - 1), st.text(max_size=5))
def test_stage_candidates_are_bounded_distinct_and_the_same_on_every_router(
    prefill_count: int, decode_count: int, key: int, request_id: str
) -> None:
    workers = [
        *(worker(f"p{number}") for number in range(prefill_count)),
        *(worker(f"d{number}", zone=f"z{number % 3}") for number in range(decode_count)),
    ]
    model_query = query(key=key, request_id=request_id)
    selector, reversed_selector = selector_of(workers), selector_of(workers[::-1])
    per_stage = selector.model_candidates(model_query, {}, 0.0)
    assert per_stage == reversed_selector.model_candidates(model_query, {}, 0.0)
    eligible = reversed_selector.eligible("wine", Stage.DECODE, "m")
    assert list(eligible) == sorted(f"d{number}" for number in range(decode_count))
    for stage_candidates, count in zip(per_stage, (prefill_count, decode_count), strict=True):
        assert (
            len(set(stage_candidates.candidates))
            == len(stage_candidates.candidates)
            == min(count, CANDIDATE_LIMIT)
        )


def test_rings_are_reused_after_a_view_change_and_are_bounded() -> None:
    cache = RingCache(capacity=2)
    first = cache.ring("wine", Stage.PREFILL, ("a", "b"))
    assert cache.ring("wine", Stage.PREFILL, ("a", "b")) is first
    assert cache.ring("wine", Stage.DECODE, ("a", "b")) is not first
    cache.ring("wine", Stage.PREFILL, ("a",))
    assert len(cache) == 2
    selector = selector_of(PREFILL)
    before = selector.prefill_candidates(query(), {}).candidates
    view = FleetView(revision=2, configuration_version=1, configuration=Configuration())
    selector.update_view(view)
    assert selector.prefill_candidates(query(), {}).candidates == ()
    assert before != ()


def many_zones() -> PairSelector:
    decode = [worker(f"d{number}", zone=f"z{number % 4 + 1}") for number in range(40)]
    return selector_of([*PREFILL, *decode])


def test_decode_candidates_come_from_every_zone_and_half_of_them_are_near() -> None:
    zones = {f"d{number}": f"z{number % 4 + 1}" for number in range(40)}
    for number in range(50):
        model_query = query(request_id=f"r{number}")
        _, decode = many_zones().model_candidates(model_query, {}, 0.0)
        found = [zones[worker_id] for worker_id in decode.candidates]
        assert found[: CANDIDATE_LIMIT // 2] == ["z1"] * (CANDIDATE_LIMIT // 2)
        assert set(found) == {"z1", "z2", "z3", "z4"}
        assert len(set(decode.candidates)) == CANDIDATE_LIMIT


def test_a_prefilled_prompt_has_candidates_in_the_zone_of_its_prefill_worker_only() -> None:
    (decode,) = many_zones().model_candidates(query(prefill_worker_id="p1"), {}, 0.0)
    assert {int(worker_id[1:]) % 4 for worker_id in decode.candidates} == {0}


def test_tried_workers_of_another_zone_do_not_take_the_place_of_untried_ones() -> None:
    tried = tuple(f"d{number}" for number in range(40) if number % 4)
    _, decode = many_zones().model_candidates(query(tried_decode=tried), {}, 0.0)
    assert not set(decode.candidates) & set(tried)
