"""Health window of a worker (paper, "How each metric is measured")."""

import pytest

from orchidpath.circuit.worker_health import NEUTRAL_HEALTH, HealthCounts, HealthWindow
from orchidpath.wire.messages import AttemptEffect


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
