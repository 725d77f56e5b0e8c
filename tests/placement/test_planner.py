"""Which workers a plan moves, and why a plan is rejected (docs/design/plans.md)."""

from collections import Counter
from itertools import combinations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plan_environment import SERVICE, record, service

from orchidpath.placement.planner import RefusalReason, make_preview, ring_shares
from orchidpath.routing.ring import HashRing, moved_share
from orchidpath.wire.configuration import Configuration, Route, Service, ServiceKind
from orchidpath.wire.records import FleetView, Stage, WorkerRecord, WorkerStatus


def view(*workers: WorkerRecord, services: list[Service], version: int = 1) -> FleetView:
    route = Route(name="chat", service=SERVICE, model="m", deadline_seconds=30.0)
    configuration = Configuration(services=services, routes=[route])
    return FleetView(
        revision=7, configuration_version=version, configuration=configuration, workers=workers
    )


def fleet(prefill: int, decode: int, zones: int = 1) -> list[WorkerRecord]:
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    return [
        record(f"w{number}", stage, zone=f"z{number % zones}")
        for number, stage in enumerate(stages)
    ]


def reason(*workers: WorkerRecord, wanted: Service) -> RefusalReason:
    preview = make_preview(view(*workers, services=[wanted]))
    assert not preview.steps
    assert not preview.plan.steps
    (refusal,) = preview.refusals
    return refusal.reason


@settings(max_examples=80, deadline=None)
@given(
    places=st.lists(
        st.tuples(st.sampled_from([Stage.PREFILL, Stage.DECODE]), st.integers(0, 2)),
        min_size=2,
        max_size=9,
    ),
    desired_prefill=st.integers(1, 5),
    desired_decode=st.integers(1, 5),
)
def test_a_plan_reaches_the_desired_state_with_the_fewest_moves(
    places: list[tuple[Stage, int]], desired_prefill: int, desired_decode: int
) -> None:
    workers = [
        record(f"w{number}", stage, zone=f"z{zone}", domain=f"d{number % 4}")
        for number, (stage, zone) in enumerate(places)
    ]
    wanted = service(desired_prefill, desired_decode)
    preview = make_preview(view(*workers, services=[wanted]))
    before = Counter(one.stage for one in workers)
    if len(workers) < desired_prefill + desired_decode:
        assert preview.refusals[0].reason is RefusalReason.NOT_ENOUGH_WORKERS
        return
    lacking = max(desired_prefill - before[Stage.PREFILL], 0) + max(
        desired_decode - before[Stage.DECODE], 0
    )
    assert len(preview.steps) == lacking
    if not lacking:
        assert preview.refusals[0].reason is RefusalReason.ALREADY_AS_DESIRED
        return
    moved = {step.worker_id for step in preview.plan.steps}
    after = Counter(stage_after(one, moved) for one in workers)
    assert after[Stage.PREFILL] >= desired_prefill
    assert after[Stage.DECODE] >= desired_decode
    shown = preview.services[0]
    assert (shown.prefill_after, shown.decode_after) == (after[Stage.PREFILL], after[Stage.DECODE])
    giving = preview.plan.steps[0].from_stage
    best = min(
        unevenness(workers, set(chosen))
        for chosen in combinations(
            [one.worker_id for one in workers if one.stage is giving], lacking
        )
    )
    assert unevenness(workers, moved) == best


def stage_after(worker: WorkerRecord, moved: set[str]) -> Stage:
    if worker.worker_id not in moved:
        return worker.stage
    return Stage.DECODE if worker.stage is Stage.PREFILL else Stage.PREFILL


def unevenness(workers: list[WorkerRecord], moved: set[str]) -> int:
    counts = Counter((stage_after(one, moved), one.zone) for one in workers)
    return sum(count * count for count in counts.values())


def test_of_equally_placed_workers_the_one_with_the_smallest_ring_share_is_moved() -> None:
    workers = fleet(prefill=9, decode=1)
    preview = make_preview(view(*workers, services=[service(5, 5)]))
    shares = ring_shares([one.worker_id for one in workers if one.stage is Stage.PREFILL])
    smallest = sorted(shares, key=lambda one: shares[one])[:4]
    assert [step.worker_id for step in preview.plan.steps] == smallest
    assert sum(shares.values()) == pytest.approx(1.0)


@pytest.mark.parametrize(("prefill_workers", "decode_workers"), [(3, 9), (10, 2)])
def test_the_previewed_share_is_the_share_of_keys_that_move_on_the_ring(
    prefill_workers: int, decode_workers: int
) -> None:
    workers = fleet(prefill=7, decode=5, zones=3)
    preview = make_preview(view(*workers, services=[service(prefill_workers, decode_workers)]))
    moved = {step.worker_id for step in preview.plan.steps}
    old = [one.worker_id for one in workers if one.stage is Stage.PREFILL]
    new = [one.worker_id for one in workers if stage_after(one, moved) is Stage.PREFILL]
    expected = moved_share(HashRing.build(old), HashRing.build(new))
    assert preview.services[0].moved_ring_share == pytest.approx(expected)


def test_failure_domains_are_kept_even_within_a_zone() -> None:
    workers = [record(f"a{number}", Stage.PREFILL, "z", "rack-a") for number in range(4)]
    workers += [record(f"b{number}", Stage.PREFILL, "z", "rack-b") for number in range(4)]
    workers += [record("c", Stage.DECODE, "z", "rack-c")]
    preview = make_preview(view(*workers, services=[service(4, 5)]))
    racks = Counter(step.failure_domain for step in preview.steps)
    assert racks == {"rack-a": 2, "rack-b": 2}


def test_rejections_state_their_reason() -> None:
    assert reason(*fleet(1, 1), wanted=service(1, 2)) is RefusalReason.NOT_ENOUGH_WORKERS
    assert reason(*fleet(2, 2), wanted=service(0, 4)) is RefusalReason.STAGE_WOULD_BE_EMPTY
    assert reason(*fleet(2, 2), wanted=service(4, 0)) is RefusalReason.STAGE_WOULD_BE_EMPTY
    assert reason(*fleet(2, 2), wanted=service(2, 2)) is RefusalReason.ALREADY_AS_DESIRED
    assert reason(*fleet(3, 2), wanted=service(2, 2)) is RefusalReason.ALREADY_AS_DESIRED


def test_a_worker_that_does_not_serve_is_not_counted_and_not_moved() -> None:
    draining = msgspec.structs.replace(record("w9", Stage.PREFILL), status=WorkerStatus.DRAINING)
    cordoned = msgspec.structs.replace(record("w8", Stage.PREFILL), cordoned=True)
    preview = make_preview(view(*fleet(2, 2), draining, cordoned, services=[service(1, 3)]))
    assert preview.not_counted == ("w9", "w8")
    assert len(preview.steps) == 1
    assert preview.plan.steps[0].worker_id in {"w0", "w1"}
    assert reason(*fleet(2, 2), draining, cordoned, wanted=service(3, 2)) is (
        RefusalReason.NOT_ENOUGH_WORKERS
    )


def test_services_without_desired_counts_and_plain_services_are_unchanged() -> None:
    services = [service(0, 0), Service(name="stock", kind=ServiceKind.PLAIN)]
    preview = make_preview(view(*fleet(2, 2), services=services))
    assert not preview.refusals
    assert not preview.steps


def test_a_rejected_service_does_not_block_another() -> None:
    others = [record(f"o{number}", Stage.PREFILL, service="other") for number in range(3)]
    services = [service(9, 9), service(1, 2, name="other")]
    preview = make_preview(view(*fleet(2, 2), *others, services=services))
    assert [refusal.service for refusal in preview.refusals] == [SERVICE]
    assert {step.service for step in preview.plan.steps} == {"other"}


def test_the_plan_id_changes_with_every_input_of_the_plan() -> None:
    workers = fleet(4, 2)
    wanted = [service(2, 4)]
    first = make_preview(view(*workers, services=wanted)).plan
    assert make_preview(view(*workers, services=wanted)).plan == first
    other_revision = msgspec.structs.replace(view(*workers, services=wanted), revision=8)
    assert make_preview(other_revision).plan.plan_id == first.plan_id
    restarted = [*workers[:5], record("w5", Stage.DECODE, zone="z0", incarnation="2")]
    changed = [
        view(*workers, services=wanted, version=2),
        view(*restarted, services=wanted),
        view(*workers, record("w6", Stage.DECODE), services=wanted),
        view(*workers, services=[service(2, 4, max_cordoned=2)]),
    ]
    ids = {make_preview(one).plan.plan_id for one in changed}
    assert len(ids) == len(changed)
    assert first.plan_id not in ids
    elsewhere = record("x", Stage.DECODE, service="other")
    assert make_preview(view(*workers, elsewhere, services=wanted)).plan.plan_id == first.plan_id


def test_bounds_follow_the_longest_deadline_and_the_number_cordoned_at_once() -> None:
    preview = make_preview(view(*fleet(6, 2), services=[service(2, 6, max_cordoned=3)]))
    (shown,) = preview.services
    (bounds,) = preview.plan.bounds
    assert bounds.drain_seconds == 40.0
    assert shown.cordoned_at_once == 3
    assert shown.plan_seconds_at_most == 2 * shown.max_cordoned_seconds
