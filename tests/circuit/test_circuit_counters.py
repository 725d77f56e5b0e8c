"""Health window and in-flight register (paper, "How each metric is measured")."""

import pytest

from orchidpath.circuit.expiring import ExpiringSet
from orchidpath.circuit.in_flight import InFlightRegister, Registration
from orchidpath.circuit.worker_health import NEUTRAL_HEALTH, HealthCounts, HealthWindow
from orchidpath.wire.messages import AttemptEffect, Choice
from orchidpath.wire.records import Stage

WORKER = Registration(worker_id="w", generation=0)


def test_health_is_neutral_without_attempts() -> None:
    # Paper: "defaults to a neutral 0.5, not a perfect 1.0".
    assert HealthWindow().score(0.0) == NEUTRAL_HEALTH == 0.5


def test_health_is_successes_over_attempts() -> None:
    health = HealthWindow()
    for effect in (AttemptEffect.SUCCESS, AttemptEffect.SUCCESS, AttemptEffect.TRANSIENT):
        health.record(effect, 1.0)
    health.record(AttemptEffect.CONFIGURATION, 2.0)
    assert health.score(3.0) == 0.5


@pytest.mark.parametrize(
    "effect", [AttemptEffect.REQUEST, AttemptEffect.THROTTLE, AttemptEffect.GATEWAY]
)
def test_neutral_effects_never_lower_health(effect: AttemptEffect) -> None:
    # Paper: request, throttle and gateway failures never lower health.
    health = HealthWindow()
    health.record(AttemptEffect.SUCCESS, 0.0)
    health.record(effect, 1.0)
    assert health.score(2.0) == 1.0


def test_health_rolls_over_ten_minutes_and_returns_to_neutral() -> None:
    health = HealthWindow()
    health.record(AttemptEffect.TRANSIENT, 5.0)
    health.record(AttemptEffect.SUCCESS, 300.0)
    assert health.score(590.0) == 0.5
    assert health.score(605.0) == 1.0
    assert health.score(905.0) == NEUTRAL_HEALTH


def test_health_takes_older_counts_and_survives_a_new_window_length() -> None:
    health = HealthWindow()
    health.add(1, 0, 400.0)
    health.add(0, 3, 100.0)
    assert health.resized(1200.0).counts(700.0) == HealthCounts(1, 3)
    assert health.counts(705.0) == HealthCounts(1, 0)


def test_in_flight_registration_is_idempotent_by_attempt() -> None:
    register = InFlightRegister(120.0)
    register.register("r", "a", [WORKER], 0.0)
    register.register("r", "a", [WORKER], 60.0)
    assert register.count("w") == 1
    # The duplicate does not renew the time to live.
    register.expire(120.0)
    assert register.count("w") == 0


def test_a_crashed_router_leaks_no_busy_mark() -> None:
    # Paper: "TTL'd so a crashed process can't leak a permanently busy deployment".
    register = InFlightRegister(120.0)
    register.register("r1", "a1", [WORKER], 0.0)
    register.register("r2", "a2", [WORKER], 50.0, age_seconds=40.0)
    register.expire(119.9)
    assert register.count("w") == 2
    register.expire(120.0)
    assert register.count("w") == 1
    register.expire(130.0)
    assert register.count("w") == 0
    assert register.release("a1", "w", 130.0) is None


def test_release_frees_each_worker_of_an_attempt_once() -> None:
    register = InFlightRegister(120.0)
    choices = (Choice(stage=Stage.PREFILL, worker_id="w"),)
    other = Registration(worker_id="v", generation=4)
    register.register("r", "a", [WORKER, other], 0.0, choices=choices)
    assert register.release("a", "w", 1.0) == WORKER
    assert register.release("a", "w", 1.0) is None
    assert (register.count("w"), register.count("v")) == (0, 1)
    assert register.choices("a") == choices
    assert [mark.worker_id for mark in register.marks(2.0)] == ["v"]
    assert register.release("a", "v", 2.0) == other
    assert register.choices("a") == ()


def test_an_id_registered_anew_keeps_its_own_deadline() -> None:
    register = InFlightRegister(100.0)
    register.register("r", "a", [WORKER], 0.0)
    register.release("a", "w", 10.0)
    register.register("r", "a", [WORKER], 50.0)
    register.expire(100.0)
    assert register.count("w") == 1
    register.expire(150.0)
    assert register.count("w") == 0


def test_expiring_set_forgets_in_order() -> None:
    keys: ExpiringSet[str] = ExpiringSet(10.0)
    assert keys.add("a", 0.0)
    assert keys.add("b", 5.0)
    assert not keys.add("a", 9.0)
    assert keys.add("a", 10.0)
    assert keys.contains("b", 14.0)
    assert not keys.contains("b", 15.0)
    assert len(keys) == 1
