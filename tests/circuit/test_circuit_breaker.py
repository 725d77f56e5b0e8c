"""Transition table of a circuit (paper, "Circuit breakers and bounded retries"; design page)."""

import random

from circuit_builders import POLICY, circuit_in

from orchidpath.circuit.breaker import (
    COOLDOWN_JITTER,
    TRANSITION_RULES,
    BreakerEvent,
    growing_cooldown_seconds,
    propose,
)
from orchidpath.wire.records import CircuitStatus

RANDOM = random.Random(1)


def test_no_failure_row_leaves_an_open_status() -> None:
    allowed = {
        (rule.before, rule.event)
        for rule in TRANSITION_RULES
        if rule.before in {CircuitStatus.COOLDOWN, CircuitStatus.QUARANTINED}
    }
    assert {event for _, event in allowed} == {BreakerEvent.PROBE_GRANTED}
    record = circuit_in(CircuitStatus.COOLDOWN).record
    for event in set(BreakerEvent) - {BreakerEvent.PROBE_GRANTED}:
        assert propose(record, event, policy=POLICY, generator=RANDOM) is None


def test_cooldown_grows_exponentially_with_jitter_up_to_the_cap() -> None:
    # Design page: "a growing jittered cooldown capped at maxCooldownSeconds 300".
    generator = random.Random(3)
    cooldowns = [growing_cooldown_seconds(n, POLICY, generator) for n in range(5)]
    assert cooldowns == sorted(cooldowns)
    for reopenings, seconds in enumerate(cooldowns):
        expected = POLICY.cooldown_seconds * 2.0**reopenings
        assert abs(seconds - expected) <= COOLDOWN_JITTER * expected
    assert len({growing_cooldown_seconds(1, POLICY, generator) for _ in range(9)}) == 9
    assert growing_cooldown_seconds(9, POLICY, generator) == POLICY.max_cooldown_seconds
    assert growing_cooldown_seconds(5000, POLICY, generator) == POLICY.max_cooldown_seconds


def test_a_failed_probe_reopens_longer_and_a_success_starts_over() -> None:
    record = circuit_in(CircuitStatus.HALF_OPEN).record
    failed = propose(record, BreakerEvent.PROBE_FAILED, policy=POLICY, generator=RANDOM)
    assert failed is not None
    assert (failed.status, failed.reopenings) == (CircuitStatus.COOLDOWN, 3)
    assert failed.duration_seconds > POLICY.cooldown_seconds * 4
    closed = propose(record, BreakerEvent.PROBE_SUCCEEDED, policy=POLICY, generator=RANDOM)
    assert closed is not None
    assert (closed.status, closed.reopenings) == (CircuitStatus.AVAILABLE, 0)
