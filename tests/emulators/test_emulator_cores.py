"""Timing, frames, faults, announcements, arrivals, requests and the choice of a router."""

import random

import pytest
from emulator_harness import make_record
from hypothesis import given
from hypothesis import strategies as st

from orchidpath.emulators.backend.announcing import Announcer
from orchidpath.emulators.backend.answers import expected_text
from orchidpath.emulators.backend.injected_faults import Fault, FaultBoard, FaultKind
from orchidpath.emulators.client.arrivals import all_arrivals, multiplier_at
from orchidpath.emulators.client.request_plan import RequestPlanner
from orchidpath.emulators.client.router_selection import RouterSelection
from orchidpath.emulators.client.traffic_mix import (
    CrowdBurst,
    RatePoint,
    Swing,
    TrafficKind,
    TrafficMix,
    TrafficMixError,
    TrafficStream,
    decode_traffic_mix,
)
from orchidpath.emulators.worker.engine_model import (
    SerialResource,
    WorkerTiming,
    decode_interval_seconds,
    prefill_seconds,
    transfer_seconds,
)
from orchidpath.emulators.worker.frames import StreamPlan, decode_frames
from orchidpath.wire.backend import AnnouncementReply, FrameKind
from orchidpath.wire.records import Stage

STREAM = TrafficStream(name="wine", kind=TrafficKind.MODEL, rate_per_second=50.0, model="wine")


def test_durations_follow_the_configured_rates() -> None:
    timing = WorkerTiming(
        prefill_tokens_per_second=100.0,
        prefill_overhead_seconds=0.5,
        decode_tokens_per_second=10.0,
        batch_slowdown=0.5,
        kv_bytes_per_token=10,
        link_bytes_per_second=100.0,
    )
    assert prefill_seconds(timing, 300, 100) == 2.5
    assert decode_interval_seconds(timing, 1) == pytest.approx(0.1)
    assert decode_interval_seconds(timing, 3) == pytest.approx(0.2)
    assert transfer_seconds(timing, 20) == 2.0


def test_a_serial_resource_queues() -> None:
    resource = SerialResource()
    assert [resource.reserve(1.0, 2.0), resource.reserve(1.0, 2.0)] == [2.0, 4.0]
    assert resource.reserve(9.0, 2.0) == 2.0


@given(st.integers(0, 30), st.integers(1, 5))
def test_a_stream_without_faults_is_complete(max_tokens: int, tokens_per_frame: int) -> None:
    plan = StreamPlan(
        request_id="r", attempt_id="a", max_tokens=max_tokens, tokens_per_frame=tokens_per_frame
    )
    frames = list(decode_frames(plan))
    assert [frame.sequence for frame in frames] == list(range(len(frames)))
    assert "".join(frame.text for frame in frames) == expected_text("r", max_tokens)
    kinds = [frame.kind for frame in frames if frame.kind is not FrameKind.CONTENT]
    assert kinds == [FrameKind.ROLE, FrameKind.USAGE, FrameKind.DONE]


def test_faults_are_limited_by_count_by_time_and_by_peer() -> None:
    board = FaultBoard()
    board.add(Fault(kind=FaultKind.FAIL_NEXT, count=2), 0.0)
    active = [board.take(FaultKind.FAIL_NEXT, 0.0) is not None for _ in range(3)]
    assert active == [True, True, False]
    board.add(Fault(kind=FaultKind.GO_DARK, seconds=5.0), 0.0)
    assert board.active(FaultKind.GO_DARK, 4.9) is not None
    assert board.active(FaultKind.GO_DARK, 5.0) is None
    board.add(Fault(kind=FaultKind.SLOW_LINK, factor=3.0, worker_id="p1"), 0.0)
    assert board.factor(FaultKind.SLOW_LINK, 9.0, "p1") == 3.0
    assert board.factor(FaultKind.SLOW_LINK, 9.0, "p2") == 1.0
    board.clear()
    assert board.list_active(0.0) == ()


def test_announcements_continue_at_a_reachable_address_and_leave_an_unreachable_one() -> None:
    announcer = Announcer("w1", ["one", "two"])
    record = make_record("w1", Stage.DECODE)
    sent = []
    for reply in (None, None, AnnouncementReply(accepted=True, announce_to=("three",)), None):
        plan = announcer.next_plan(record, 0.0)
        assert plan is not None
        sent.append((plan.address, plan.announcement.sequence))
        announcer.on_reply(reply, 0.0)
    addresses = [address for address, _ in sent]
    assert sorted(addresses[:2]) == ["one", "two"]
    assert addresses[2] == addresses[3] == addresses[0]
    assert [sequence for _, sequence in sent] == [1, 2, 3, 4]
    assert announcer.addresses == ["one", "two", "three"]


def test_announcements_are_due_by_change_by_failure_and_by_period() -> None:
    announcer = Announcer("w1", ["one", "two"])
    record = make_record("w1", Stage.DECODE)
    assert announcer.due_in(record, 0.0) == 0.0
    announcer.next_plan(record, 0.0)
    assert announcer.due_in(record, 0.0) == 0.5
    assert announcer.due_in(make_record("w1", Stage.PREFILL), 0.0) == 0.0
    announcer.on_reply(None, 0.1)
    assert announcer.due_in(record, 0.1) == 0.0
    announcer.next_plan(record, 0.1)
    announcer.on_reply(None, 0.2)
    assert announcer.due_in(record, 0.2) == pytest.approx(0.4)


def test_arrivals_follow_oscillation_and_bursts_and_are_reproducible() -> None:
    points = [RatePoint(at_seconds=0, multiplier=0), RatePoint(at_seconds=100, multiplier=2)]
    assert [multiplier_at(points, at) for at in (-1, 0, 50, 100, 200)] == [0, 0, 1, 2, 2]
    mix = TrafficMix(
        streams=[STREAM],
        swings=[Swing(points=points)],
        bursts=[CrowdBurst(stream="wine", at_seconds=1.0, requests=500)],
    )
    arrivals = list(all_arrivals(mix, 100.0, seed=7))
    times = [arrival.at_seconds for arrival in arrivals]
    assert times == sorted(times)
    assert sum(1.0 <= at < 1.1 for at in times) >= 500
    assert 4500 < len(times) - 500 < 5500
    assert sum(at < 50 for at in times) - 500 < len(times) / 3
    assert arrivals == list(all_arrivals(mix, 100.0, seed=7))


def test_requests_share_skewed_prefixes_and_have_unique_ids() -> None:
    planner = RequestPlanner(TrafficMix(streams=[STREAM]), "run", random.Random(1))
    planned = [planner.plan("wine") for _ in range(300)]
    assert len({request.request_id for request in planned}) == 300
    prefixes = [" ".join(request.prompt.split()[:512]) for request in planned]
    counts = sorted((prefixes.count(prefix) for prefix in set(prefixes)), reverse=True)
    assert len(counts) <= STREAM.prefixes
    assert counts[0] > 3 * counts[-1]


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (b"{", "truncated"),
        (b'{"streams": [], "strems": 1}', "strems"),
        (b'{"streams": [{"name": "a", "kind": "model", "rate_per_second": 1}]}', "model"),
        (b'{"streams": [], "bursts": [{"stream":"x","at_seconds":1,"requests":1}]}', "'x'"),
        (b'{"streams": [], "swings": [{"points": []}]}', "points"),
    ],
)
def test_an_invalid_mix_is_reported(content: bytes, message: str) -> None:
    with pytest.raises(TrafficMixError, match=message):
        decode_traffic_mix(content, is_toml=False)


def test_a_toml_mix_is_decoded() -> None:
    content = b'[[streams]]\nname="s"\nkind="plain"\nrate_per_second=3\npath="/stock/{}"\n'
    assert decode_traffic_mix(content, is_toml=True).streams[0].path == "/stock/{}"


def test_a_caller_stays_with_its_router_while_others_change() -> None:
    routers = [f"http://r{number}" for number in range(8)]
    selection = RouterSelection(routers)
    nearest = {f"c{number}": selection.order(f"c{number}")[0] for number in range(100)}
    assert len(set(nearest.values())) == 8
    selection.mark(routers[0], ready=False)
    assert selection.ready_count == 7
    for caller_id, router in nearest.items():
        preference = selection.order(caller_id)
        assert preference[-1] == routers[0]
        assert preference[0] == router or router == routers[0]
