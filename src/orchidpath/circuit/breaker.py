"""The circuit breaker's transitions: one table, and a pure function that proposes from it.

Sources: paper, "Circuit breakers and bounded retries"; design page. An event that the table has
no row for proposes nothing: that is how a late failure on an open circuit never extends it.

``allowed_fails`` is the number of transient failures that opens a circuit: with the default of 3
the third one does. Every transition makes a new generation, which is the fencing token of the
probe that it grants.
"""

import random
from enum import Enum, StrEnum

import msgspec

from orchidpath.circuit.transitions import CircuitTransition
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.records import CircuitRecord, CircuitStatus

COOLDOWN_GROWTH = 2.0
"""Each reopening multiplies the cooldown by this."""

COOLDOWN_JITTER = 0.2
"""A growing cooldown is spread by this share to both sides; small enough that it still grows."""


class BreakerEvent(StrEnum):
    """What happened to a circuit."""

    FAILURES_REACHED = "failures_reached"
    MISCONFIGURED = "misconfigured"
    PROBE_GRANTED = "probe_granted"
    PROBE_SUCCEEDED = "probe_succeeded"
    PROBE_FAILED = "probe_failed"
    PROBE_MISCONFIGURED = "probe_misconfigured"
    PROBE_RETURNED = "probe_returned"
    """The probe said nothing about the worker; the next request may probe."""


class Duration(Enum):
    """How long the status after a transition lasts."""

    NONE = "none"
    FIRST_COOLDOWN = "first_cooldown"
    GROWING_COOLDOWN = "growing_cooldown"
    CONFIGURATION_COOLDOWN = "configuration_cooldown"
    PROBE = "probe"


class Reopenings(Enum):
    """What a transition does to the count of reopenings."""

    RESET = "reset"
    KEEP = "keep"
    INCREASE = "increase"


class TransitionRule(msgspec.Struct, frozen=True):
    """One row: in this status, this event leads to that one."""

    before: CircuitStatus
    event: BreakerEvent
    after: CircuitStatus
    duration: Duration
    reopenings: Reopenings


_AVAILABLE = CircuitStatus.AVAILABLE
_COOLDOWN = CircuitStatus.COOLDOWN
_HALF_OPEN = CircuitStatus.HALF_OPEN
_QUARANTINED = CircuitStatus.QUARANTINED
_Event = BreakerEvent

# fmt: off
TRANSITION_RULES = (
    TransitionRule(_AVAILABLE, _Event.FAILURES_REACHED, _COOLDOWN,
                   Duration.FIRST_COOLDOWN, Reopenings.RESET),
    TransitionRule(_AVAILABLE, _Event.MISCONFIGURED, _QUARANTINED,
                   Duration.CONFIGURATION_COOLDOWN, Reopenings.RESET),
    TransitionRule(_COOLDOWN, _Event.PROBE_GRANTED, _HALF_OPEN,
                   Duration.PROBE, Reopenings.KEEP),
    TransitionRule(_QUARANTINED, _Event.PROBE_GRANTED, _HALF_OPEN,
                   Duration.PROBE, Reopenings.KEEP),
    TransitionRule(_HALF_OPEN, _Event.PROBE_GRANTED, _HALF_OPEN,
                   Duration.PROBE, Reopenings.KEEP),
    TransitionRule(_HALF_OPEN, _Event.PROBE_SUCCEEDED, _AVAILABLE,
                   Duration.NONE, Reopenings.RESET),
    TransitionRule(_HALF_OPEN, _Event.PROBE_FAILED, _COOLDOWN,
                   Duration.GROWING_COOLDOWN, Reopenings.INCREASE),
    TransitionRule(_HALF_OPEN, _Event.PROBE_MISCONFIGURED, _QUARANTINED,
                   Duration.CONFIGURATION_COOLDOWN, Reopenings.INCREASE),
    TransitionRule(_HALF_OPEN, _Event.PROBE_RETURNED, _COOLDOWN,
                   Duration.NONE, Reopenings.KEEP),
)
# fmt: on
"""Every transition there is. A quarantined worker is released by a probe like any other."""

_RULES = {(rule.before, rule.event): rule for rule in TRANSITION_RULES}


def propose(
    record: CircuitRecord,
    event: BreakerEvent,
    *,
    policy: CircuitPolicy,
    generator: random.Random,
    attempt_id: str = "",
) -> CircuitTransition | None:
    """Propose the transition that an event causes.

    Parameters
    ----------
    record
        The circuit as agreed.
    event
        What happened.
    policy
        Durations.
    generator
        Source of the jitter, which the proposal carries so that every replica applies the same.
    attempt_id
        The attempt that is granted the probe.

    Returns
    -------
    CircuitTransition | None
        The proposal; None when the event changes nothing in this status.
    """
    rule = _RULES.get((record.status, event))
    if rule is None:
        return None
    reopenings = _next_reopenings(rule.reopenings, record.reopenings)
    owner = attempt_id if rule.after is CircuitStatus.HALF_OPEN else ""
    return CircuitTransition(
        worker_id=record.worker_id,
        expected_generation=record.generation,
        status=rule.after,
        reopenings=reopenings,
        duration_seconds=_duration_seconds(rule.duration, reopenings, policy, generator),
        probe_owner=owner,
    )


def growing_cooldown_seconds(
    reopenings: int, policy: CircuitPolicy, generator: random.Random
) -> float:
    """Return a cooldown that grows exponentially with every reopening, with jitter and a cap.

    Parameters
    ----------
    reopenings
        How many probes have failed since the circuit opened.
    policy
        First and largest cooldown.
    generator
        Source of the jitter.

    Returns
    -------
    float
        Seconds, at most ``max_cooldown_seconds``.
    """
    # The exponent is bounded because a float overflows long after the cap has been reached.
    grown = policy.cooldown_seconds * COOLDOWN_GROWTH ** min(reopenings, 64)
    spread = generator.uniform(1.0 - COOLDOWN_JITTER, 1.0 + COOLDOWN_JITTER)
    return min(policy.max_cooldown_seconds, grown * spread)


def _next_reopenings(change: Reopenings, reopenings: int) -> int:
    if change is Reopenings.RESET:
        return 0
    if change is Reopenings.INCREASE:
        return reopenings + 1
    return reopenings


def _duration_seconds(
    duration: Duration, reopenings: int, policy: CircuitPolicy, generator: random.Random
) -> float:
    if duration is Duration.FIRST_COOLDOWN:
        return min(policy.cooldown_seconds, policy.max_cooldown_seconds)
    if duration is Duration.GROWING_COOLDOWN:
        return growing_cooldown_seconds(reopenings, policy, generator)
    if duration is Duration.CONFIGURATION_COOLDOWN:
        return policy.configuration_cooldown_seconds
    if duration is Duration.PROBE:
        return policy.half_open_probe_seconds
    return 0.0
