"""Local decisions of a router while the leader is slow or unavailable."""

import random

import msgspec
from circuit_builders import POLICY, AgreedTable, report, request, stage_candidates, worker

from orchidpath.circuit.fallback import FallbackCircuits
from orchidpath.wire.messages import (
    AttemptEffect,
    CapacityObserved,
    Choice,
    CircuitsView,
    Rejection,
)
from orchidpath.wire.records import CapacityRecord, CircuitRecord, CircuitStatus, Stage

TRANSIENT = AttemptEffect.TRANSIENT


def fallback_of(*worker_ids: str) -> FallbackCircuits:
    fallback = FallbackCircuits(POLICY, random.Random(1))
    fallback.set_workers([worker(worker_id, domain="d") for worker_id in worker_ids])
    return fallback


def choose(fallback: FallbackCircuits, attempt_id: str, names: str, now: float) -> str:
    choices = fallback.decide(request(attempt_id, stage_candidates(list(names))), now).choices
    return choices[0].worker_id if choices else ""


def view_of(record: CircuitRecord, sequence: int) -> CircuitsView:
    return CircuitsView(term=1, sequence=sequence, circuits=(record,), capacities=())


def cooldown_record(generation: int, duration_seconds: float = 20.0) -> CircuitRecord:
    return CircuitRecord(
        worker_id="a",
        status=CircuitStatus.COOLDOWN,
        generation=generation,
        duration_seconds=duration_seconds,
    )


def open_circuit(fallback: FallbackCircuits, now: float) -> None:
    """Open the local circuit of worker "a" by transient failures of the router's attempts."""
    for number in range(POLICY.allowed_fails):
        attempt_id = f"fail-{now}-{number}"
        choose(fallback, attempt_id, "a", now)
        fallback.observe([report(attempt_id, "a", TRANSIENT)], now)


def test_the_last_known_circuits_apply() -> None:
    fallback = fallback_of("a", "b")
    assert fallback.accept_view(view_of(cooldown_record(1), 1), 0.0)
    assert choose(fallback, "1", "ab", 19.0) == "b"
    reply = fallback.decide(request("2", stage_candidates(["a"])), 1.0)
    assert reply.rejection is Rejection.CIRCUITS_OPEN
    assert reply.retry_after_seconds >= 19.0


def test_a_late_or_repeated_view_changes_nothing() -> None:
    fallback = fallback_of("a", "b")
    assert fallback.accept_view(view_of(cooldown_record(2), 2), 0.0)
    closed = msgspec.structs.replace(cooldown_record(1), status=CircuitStatus.AVAILABLE)
    assert not fallback.accept_view(view_of(closed, 1), 1.0)
    assert not fallback.accept_view(view_of(cooldown_record(2), 2), 1.0)
    assert choose(fallback, "1", "ab", 2.0) == "b"


def test_a_newer_view_of_the_same_generation_restarts_no_timer() -> None:
    fallback = fallback_of("a", "b")
    for sequence in range(1, 30):
        fallback.accept_view(view_of(cooldown_record(1), sequence), float(sequence))
    assert choose(fallback, "1", "ab", 42.0) == "a"


def test_own_failures_open_an_own_circuit_which_a_newer_agreed_one_replaces() -> None:
    fallback = fallback_of("a", "b")
    open_circuit(fallback, 0.0)
    assert choose(fallback, "1", "ab", 9.0) == "b"
    closed = msgspec.structs.replace(cooldown_record(5, 0.0), status=CircuitStatus.AVAILABLE)
    fallback.accept_view(view_of(closed, 1), 9.0)
    assert choose(fallback, "2", "ab", 9.0) == "a"


def test_own_probes_wait_longer_and_one_is_in_flight_at_most() -> None:
    # Without the leader, each router may run one probe on a worker, after a jittered cooldown of
    # its own. With the leader, only one probe is granted in the fleet.
    ready: list[float] = []
    for seed in range(5):
        fallback = FallbackCircuits(POLICY, random.Random(seed))
        fallback.set_workers([worker("a"), worker("b")])
        open_circuit(fallback, 0.0)
        wait = fallback.decide(request("w", stage_candidates(["a"])), 0.0).retry_after_seconds
        assert POLICY.cooldown_seconds <= wait <= 2 * POLICY.cooldown_seconds
        ready.append(wait)
        assert choose(fallback, "probe", "ab", wait) == "a"
        assert choose(fallback, "next", "ab", wait) == "b"
        # No further probe is granted after the first one has expired, because it may still run.
        expired = wait + POLICY.half_open_probe_seconds
        assert choose(fallback, "expired", "ab", expired) == "b"
        fallback.observe([report("probe", "a", AttemptEffect.SUCCESS)], expired)
        assert choose(fallback, "closed", "ab", expired) == "a"
    assert len(set(ready)) == 5


def test_a_failed_own_probe_reopens_the_own_circuit() -> None:
    fallback = fallback_of("a", "b")
    open_circuit(fallback, 0.0)
    assert choose(fallback, "probe", "ab", 20.0) == "a"
    fallback.observe([report("probe", "a", TRANSIENT)], 21.0)
    assert choose(fallback, "next", "ab", 36.9) == "b"


def test_an_own_probe_has_no_fencing_token() -> None:
    fallback = fallback_of("a")
    open_circuit(fallback, 0.0)
    for _ in range(2):
        reply = fallback.decide(request("probe", stage_candidates(["a"])), 20.0)
        assert reply.choices == (Choice(stage=Stage.PLAIN, worker_id="a"),)
    leader = AgreedTable([worker("a")])
    leader.open("a", 0.0)
    leader.decide(request("owner", stage_candidates(["a"])), 20.0)
    assert leader.report(report("probe", "a", AttemptEffect.SUCCESS), 21.0) == 0
    assert leader.status("a", 21.0) == "half_open"


def test_a_probe_of_the_leader_in_flight_here_blocks_an_own_one() -> None:
    fallback = fallback_of("a", "b")
    granted = Choice(stage=Stage.PLAIN, worker_id="a", probe_generation=2)
    fallback.register_leader_decision("r", "leader's", [granted], 0.0)
    fallback.accept_view(view_of(cooldown_record(1), 1), 0.0)
    assert choose(fallback, "1", "ab", 60.0) == "b"
    ended = report("leader's", "a", AttemptEffect.GATEWAY, probe_generation=2)
    fallback.observe([ended], 60.0)
    assert choose(fallback, "2", "ab", 60.0) == "a"


def test_a_request_takes_one_own_probe_while_the_other_stage_has_a_closed_worker() -> None:
    fallback = fallback_of("a", "b", "c", "d")
    both = (cooldown_record(1), msgspec.structs.replace(cooldown_record(1), worker_id="c"))
    fallback.accept_view(CircuitsView(term=1, sequence=1, circuits=both, capacities=()), 0.0)
    per_stage = (
        stage_candidates(["a", "b"], stage=Stage.PREFILL),
        stage_candidates(["c", "d"], stage=Stage.DECODE),
    )
    choices = fallback.decide(request("1", *per_stage), 60.0).choices
    assert [choice.worker_id for choice in choices] == ["a", "d"]


def test_agreed_and_own_throttles_apply() -> None:
    fallback = fallback_of("a")
    capacity = CapacityRecord(failure_domain="d", generation=1, duration_seconds=5.0)
    view = CircuitsView(term=1, sequence=1, circuits=(), capacities=(capacity,))
    fallback.accept_view(view, 0.0)
    assert (
        fallback.decide(request("1", stage_candidates(["a"])), 4.0).rejection
        is Rejection.SHARED_CAPACITY
    )
    observed = CapacityObserved(failure_domain="d", retry_after_seconds=6.0)
    fallback.observe_capacity(observed, 4.0)
    assert choose(fallback, "2", "a", 9.9) == ""
    assert choose(fallback, "3", "a", 10.0) == "a"


def test_the_circuit_of_an_unregistered_worker_is_retained() -> None:
    fallback = fallback_of("b")
    fallback.accept_view(view_of(cooldown_record(1), 1), 0.0)
    fallback.set_workers([worker("a"), worker("b")])
    assert choose(fallback, "1", "ab", 1.0) == "b"


def test_counters_for_a_new_leader_exclude_unacknowledged_reports() -> None:
    fallback = fallback_of("a")
    ends = [report("1", "a", AttemptEffect.SUCCESS), report("2", "a", TRANSIENT)]
    fallback.observe(ends, 0.0)
    choose(fallback, "3", "a", 0.0)
    counters = fallback.counter_report(2, 5.0, unacknowledged=ends[1:])
    tally = counters.tallies[0]
    assert (tally.successes, tally.failures, tally.consecutive_transients) == (1, 0, 0)
    assert [(mark.attempt_id, mark.age_seconds) for mark in counters.in_flight] == [("3", 5.0)]
    # The leader then counts the unacknowledged report once.
    leader = AgreedTable([worker("a")])
    leader.table.rebuild("router", msgspec.structs.replace(counters, term=1), 5.0)
    leader.report(ends[1], 5.0)
    assert leader.table.view(5.0)[0].transient_failures == 1
    assert leader.health("a", 5.0) == 0.5
