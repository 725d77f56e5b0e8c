"""Prompts go to the worker with their prefix in its cache, unless its queue is too long."""

from collections.abc import Callable

import msgspec

from orchidpath.placement.prefill_placement import (
    MAX_OVERDUE_SECONDS,
    MAX_POSTPONEMENT_SECONDS,
    MIN_POSTPONEMENT_SECONDS,
    PrefillPlacement,
)
from orchidpath.placement.prefill_queues import PREFILL_TTL_SECONDS
from orchidpath.wire.configuration import PlacementPolicy
from orchidpath.wire.messages import (
    PREFILL_DONE_SUFFIX,
    AttemptEffect,
    AttemptReport,
    Choice,
    DecisionReply,
    DecisionRequest,
    PromptShape,
    StageCandidates,
)
from orchidpath.wire.records import Stage

RING = ("p1", "p2", "p3")
DECODERS = ("d1", "d2")


def idle(_worker_id: str) -> int:
    return 0


def request(
    number: int,
    prefix: int = 7,
    shared: int = 13_000,
    own: int = 3_700,
    ring: tuple[str, ...] = RING,
) -> DecisionRequest:
    return DecisionRequest(
        correlation=number,
        request_id=f"r{number}",
        attempt_id=f"r{number}.1",
        service="s",
        per_stage=(
            StageCandidates(stage=Stage.PREFILL, candidates=ring),
            StageCandidates(stage=Stage.DECODE, candidates=DECODERS),
        ),
        prompt=PromptShape(prefix_key=prefix, shared_tokens=shared, own_tokens=own),
    )


def place(
    placement: PrefillPlacement,
    decision_request: DecisionRequest,
    now: float = 0.0,
    in_flight: Callable[[str], int] = idle,
) -> dict[Stage, str]:
    """Choose the first candidate of each stage, as with closed circuits."""
    ordered = placement.order_candidates(decision_request, in_flight, now)
    choices = tuple(
        Choice(stage=stage_candidates.stage, worker_id=stage_candidates.candidates[0])
        for stage_candidates in ordered.per_stage
    )
    placement.record_decision(ordered, DecisionReply(correlation=0, term=1, choices=choices), now)
    return {choice.stage: choice.worker_id for choice in choices}


def complete_prefill(
    placement: PrefillPlacement, decision_request: DecisionRequest, worker_id: str, now: float = 0.0
) -> None:
    report = AttemptReport(
        request_id=decision_request.request_id,
        attempt_id=decision_request.attempt_id + PREFILL_DONE_SUFFIX,
        worker_id=worker_id,
        effect=AttemptEffect.GATEWAY,
    )
    placement.record_reports([report], now)


def test_a_new_leader_follows_the_ring() -> None:
    assert place(PrefillPlacement(), request(1))[Stage.PREFILL] == "p1"


def test_a_prefix_is_placed_where_it_is_cached() -> None:
    placement = PrefillPlacement()
    first = request(1, ring=("p2", "p1", "p3"))
    assert place(placement, first)[Stage.PREFILL] == "p2"
    complete_prefill(placement, first, "p2")
    assert place(placement, request(2))[Stage.PREFILL] == "p2"


def test_a_long_queue_at_the_caching_worker_sends_a_prompt_elsewhere() -> None:
    placement = PrefillPlacement()
    place(placement, request(1, prefix=8, own=60_000))
    assert placement.waiting_tokens("p1") == 73_000
    assert place(placement, request(2))[Stage.PREFILL] == "p2"


def test_a_completed_prefill_leaves_the_queue() -> None:
    placement = PrefillPlacement()
    decision_request = request(1)
    place(placement, decision_request)
    complete_prefill(placement, decision_request, "p1")
    assert placement.waiting_tokens("p1") == 0
    complete_prefill(placement, decision_request, "p1")
    assert placement.waiting_tokens("p1") == 0


def test_empty_prompts_on_one_worker_are_completed_one_after_the_other() -> None:
    # In a bench run, the second end of a prefill without tokens stopped the leader.
    placement = PrefillPlacement()
    requests = [request(number, shared=0, own=0) for number in range(3)]
    chosen = [place(placement, each) for each in requests]
    for each, choice in zip(requests, chosen, strict=True):
        complete_prefill(placement, each, next(iter(choice.values())))


def test_a_prefill_without_a_report_expires() -> None:
    placement = PrefillPlacement()
    place(placement, request(1))
    place(placement, request(2, prefix=9), now=PREFILL_TTL_SECONDS + 1.0)
    assert placement.waiting_tokens("p1") <= 16_700


def test_a_short_prompt_gets_decode_side_prefill_while_prefill_workers_are_busy() -> None:
    placement = PrefillPlacement()
    for number, worker_id in enumerate(RING):
        place(placement, request(number, prefix=number + 20, own=60_000, ring=(worker_id,)))
    assert Stage.PREFILL not in place(placement, request(9, shared=0, own=1_000))


def test_there_is_no_decode_side_prefill_while_a_pair_is_free() -> None:
    chosen = place(PrefillPlacement(), request(1, shared=0, own=1_000))
    assert set(chosen) == {Stage.PREFILL, Stage.DECODE}


def test_the_least_loaded_decode_worker_comes_first() -> None:
    loads = {"d1": 4, "d2": 1}
    chosen = place(
        PrefillPlacement(), request(1), in_flight=lambda worker_id: loads.get(worker_id, 0)
    )
    assert chosen[Stage.DECODE] == "d2"


def test_tried_workers_come_last() -> None:
    decision_request = request(1)
    per_stage = (
        msgspec.structs.replace(decision_request.per_stage[0], tried=("p1",)),
        decision_request.per_stage[1],
    )
    decision_request = msgspec.structs.replace(decision_request, per_stage=per_stage)
    assert place(PrefillPlacement(), decision_request)[Stage.PREFILL] == "p2"


def test_a_removed_worker_has_no_cached_prefixes() -> None:
    placement = PrefillPlacement()
    first = request(1, ring=("p2", "p1", "p3"))
    place(placement, first)
    complete_prefill(placement, first, "p2")
    placement.set_workers(frozenset({"p1", "p3"}))
    assert place(placement, request(2))[Stage.PREFILL] == "p1"


def test_a_full_cache_evicts_the_least_recently_used_prefix() -> None:
    placement = PrefillPlacement()
    placement.set_capacity(40_000)
    for number in range(1, 5):
        decision_request = request(number, prefix=number, ring=("p2", "p1", "p3"))
        place(placement, decision_request)
        complete_prefill(placement, decision_request, "p2")
    assert place(placement, request(9, prefix=1))[Stage.PREFILL] == "p1"
    assert place(placement, request(10, prefix=4))[Stage.PREFILL] == "p2"


def test_a_prefilled_prompt_is_not_queued_at_its_decode_worker() -> None:
    placement = PrefillPlacement()
    decision_request = msgspec.structs.replace(
        request(1), per_stage=(request(1).per_stage[1],), is_read=True
    )
    place(placement, decision_request)
    assert placement.waiting_tokens("d1") == 0


def fill_prefill_queues(placement: PrefillPlacement) -> None:
    """Give every prefill worker a long queue."""
    for number, worker_id in enumerate(RING):
        place(placement, request(number, prefix=number + 20, own=60_000, ring=(worker_id,)))


def test_a_long_prompt_never_gets_decode_side_prefill() -> None:
    # In a bench run, 22,000 tokens delayed all KV transfers to a worker by two seconds.
    placement = PrefillPlacement()
    fill_prefill_queues(placement)
    assert Stage.PREFILL in place(placement, request(9, shared=0, own=9_000))


def test_a_decode_worker_has_a_prefix_cached_after_its_prefill() -> None:
    placement = PrefillPlacement()
    decision_request = request(1)
    decoder = place(placement, decision_request)[Stage.DECODE]
    fill_prefill_queues(placement)
    again = request(9, own=500)
    assert Stage.PREFILL in place(placement, again)
    complete_prefill(placement, decision_request, decoder)
    assert place(placement, request(10, own=500)) == {Stage.DECODE: decoder}


def test_a_slow_worker_gets_fewer_prompts() -> None:
    placement = PrefillPlacement()
    now = 0.0
    for number in range(12):
        decision_request = request(number, prefix=number + 100, ring=(RING[number % 2],))
        worker_id = place(placement, decision_request, now)[Stage.PREFILL]
        seconds = 2.0 if worker_id == "p1" else 0.4
        complete_prefill(placement, decision_request, worker_id, now + seconds)
        now += seconds
    fresh = request(50, prefix=7, shared=0, own=10_000, ring=("p1", "p2"))
    assert place(placement, fresh, now)[Stage.PREFILL] == "p2"


def postponed_seconds(
    placement: PrefillPlacement,
    decision_request: DecisionRequest,
    now: float,
    *,
    may_wait: bool = True,
) -> float:
    decision_request = msgspec.structs.replace(decision_request, may_wait=may_wait)
    return placement.postponed_seconds(placement.order_candidates(decision_request, idle, now), now)


def test_a_second_prompt_is_postponed_while_its_prefix_is_being_prefilled() -> None:
    # In a bench run, a worker that was chosen meanwhile prefilled all of it a second time.
    placement = PrefillPlacement()
    decision_request = request(1)
    place(placement, decision_request)
    assert postponed_seconds(placement, request(2), 0.01) == MAX_POSTPONEMENT_SECONDS
    assert postponed_seconds(placement, request(2), 0.41) == MIN_POSTPONEMENT_SECONDS
    assert postponed_seconds(placement, request(2, prefix=8), 0.01) == 0.0
    assert postponed_seconds(placement, request(2, shared=500), 0.01) == 0.0
    assert postponed_seconds(placement, request(2), 0.01, may_wait=False) == 0.0
    complete_prefill(placement, decision_request, "p1", 0.42)
    assert postponed_seconds(placement, request(2), 0.43) == 0.0
    assert place(placement, request(2), 0.43)[Stage.PREFILL] == "p1"


def test_no_prompt_is_postponed_for_an_overdue_or_failed_prefill() -> None:
    placement = PrefillPlacement()
    decision_request = request(1)
    place(placement, decision_request)
    assert postponed_seconds(placement, request(2), 1.0 + MAX_OVERDUE_SECONDS) == 0.0
    failed = AttemptReport(
        request_id=decision_request.request_id,
        attempt_id=decision_request.attempt_id,
        worker_id="p1",
        effect=AttemptEffect.TRANSIENT,
    )
    placement.record_reports([failed], 0.2)
    assert postponed_seconds(placement, request(2), 0.21) == 0.0


def test_a_prompt_with_too_long_a_wait_goes_to_another_worker() -> None:
    placement = PrefillPlacement()
    place(placement, request(1, prefix=8, own=60_000))
    place(placement, request(2, ring=("p1", "p2")))
    assert postponed_seconds(placement, request(3), 0.01) > 0
    for number in range(10, 14):
        place(placement, request(number, prefix=number, own=60_000, ring=("p2",)))
    ordered = placement.order_candidates(request(4), idle, 0.02)
    assert ordered.per_stage[0].candidates[0] == "p3"


def test_each_mechanism_can_be_disabled() -> None:
    placement = PrefillPlacement()
    decision_request = request(1, ring=("p2", "p1", "p3"))
    place(placement, decision_request)
    assert postponed_seconds(placement, request(2), 0.01) > 0
    placement.set_policy(PlacementPolicy(postponement=False))
    assert postponed_seconds(placement, request(2), 0.01) == 0.0
    complete_prefill(placement, decision_request, "p2", 0.5)
    assert place(placement, request(3), 0.6)[Stage.PREFILL] == "p2"
    placement.set_policy(PlacementPolicy(prefix_affinity=False))
    assert place(placement, request(4), 0.6)[Stage.PREFILL] == "p1"
    placement.set_policy(PlacementPolicy())
    fill_prefill_queues(placement)
    assert Stage.PREFILL not in place(placement, request(9, shared=0, own=1_000), 0.7)
    placement.set_policy(PlacementPolicy(direct_reads=False))
    assert Stage.PREFILL in place(placement, request(10, shared=0, own=1_000), 0.7)


ZONES = {"p1": "z1", "p2": "z2", "p3": "z1", "d1": "z1", "d2": "z2"}


def test_a_kv_cache_is_transferred_within_the_zone_of_its_prefill_worker() -> None:
    placement = PrefillPlacement()
    placement.set_zones(ZONES)
    assert place(placement, request(1)) == {Stage.PREFILL: "p1", Stage.DECODE: "d1"}
    chosen = place(placement, request(2, prefix=8, ring=("p2",)))
    assert chosen == {Stage.PREFILL: "p2", Stage.DECODE: "d2"}
    placement.set_policy(PlacementPolicy(near_pairs=False))
    assert place(placement, request(3, prefix=9, ring=("p2",)))[Stage.DECODE] == "d1"


def test_a_much_busier_worker_of_the_zone_is_passed_over() -> None:
    placement = PrefillPlacement()
    placement.set_zones(ZONES)
    loads = {"d1": 60, "d2": 1}
    chosen = place(placement, request(1), in_flight=lambda worker_id: loads.get(worker_id, 0))
    assert chosen[Stage.DECODE] == "d2"


def short_request(is_read: bool = False) -> DecisionRequest:
    stage_candidates = StageCandidates(stage=Stage.DECODE, candidates=("far", "near"))
    return msgspec.structs.replace(
        request(1, shared=0, own=900), per_stage=(stage_candidates,), is_read=is_read
    )


def test_a_short_prompt_goes_to_the_routers_zone_unless_it_is_busier_there() -> None:
    placement = PrefillPlacement()
    placement.set_zones({"far": "z1", "near": "z2"})

    def first(decision_request: DecisionRequest, near_load: int = 0, zone: str = "z2") -> str:
        loads = {"near": near_load}
        ordered = placement.order_candidates(
            decision_request, lambda worker_id: loads.get(worker_id, 0), 0.0, zone
        )
        return ordered.per_stage[0].candidates[0]

    assert first(short_request()) == "near"
    assert first(short_request(), near_load=1) == "near"
    assert first(short_request(), near_load=3) == "far"
    assert first(short_request(), zone="") == "far"
    assert first(short_request(is_read=True)) == "far"
    placement.set_policy(PlacementPolicy(near_requests=False))
    assert first(short_request()) == "far"
