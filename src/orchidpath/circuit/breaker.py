"""State machine of the circuit breaker: a table of transitions and a pure function that reads it.

An event without a row for the current status causes no transition. A late failure therefore never
extends the opening of a circuit that is already open.

``allowed_fails`` is the number of transient failures that opens a circuit: with the default of 3,
the third failure opens it. Every transition creates a new generation, which is the fencing token
of the probe that the transition grants.

Sources: paper, "Circuit breakers and bounded retries"; design page.
"""

import random
from enum import Enum, StrEnum

import msgspec

from orchidpath.circuit.transitions import CircuitTransition
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.records import CircuitRecord, CircuitStatus

COOLDOWN_GROWTH = 2.0
"""Factor by which each reopening multiplies the cooldown."""

COOLDOWN_JITTER = 0.2
"""Largest relative deviation of a growing cooldown from its nominal value, in both directions.

It is small enough that each cooldown is still longer than the one before.
"""


class BreakerEvent(StrEnum):
    """Event that may cause a transition of a circuit."""

    FAILURES_REACHED = "failures_reached"
    MISCONFIGURED = "misconfigured"
    PROBE_GRANTED = "probe_granted"
    PROBE_SUCCEEDED = "probe_succeeded"
    PROBE_FAILED = "probe_failed"
    PROBE_MISCONFIGURED = "probe_misconfigured"
    PROBE_RETURNED = "probe_returned"
    """The probe gave no evidence about the worker; the next request may probe it."""


class Duration(Enum):
    """Rule that determines how long the status after a transition lasts."""

    NONE = "none"
    FIRST_COOLDOWN = "first_cooldown"
    GROWING_COOLDOWN = "growing_cooldown"
    CONFIGURATION_COOLDOWN = "configuration_cooldown"
    PROBE = "probe"


class Reopenings(Enum):
    """Effect of a transition on the number of reopenings."""

    RESET = "reset"
    KEEP = "keep"
    INCREASE = "increase"


class TransitionRule(msgspec.Struct, frozen=True):
    """Row of the transition table: the status that follows when an event occurs in a status."""

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
"""All transitions. A quarantined worker is released by a successful probe, as after a cooldown."""

_RULES = {(rule.before, rule.event): rule for rule in TRANSITION_RULES}


def propose(
    record: CircuitRecord,
    event: BreakerEvent,
    *,
    policy: CircuitPolicy,
    generator: random.Random,
    attempt_id: str = "",
) -> CircuitTransition | None:
    """Return the transition that an event causes, to be committed through the log.

    Parameters
    ----------
    record
        The agreed record of the circuit.
    event
        The event.
    policy
        Durations of cooldowns, quarantines and probes.
    generator
        Random source of the jitter. The proposal contains the jittered duration, so that every
        replica applies the same value.
    attempt_id
        The attempt that receives the probe when the event grants one.

    Returns
    -------
    CircuitTransition | None
        The proposal; None when the event causes no transition in the current status.
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
    """Return a cooldown that grows exponentially with the reopenings, with jitter and a cap.

    Parameters
    ----------
    reopenings
        Number of probes that have failed since the circuit opened.
    policy
        The first and the longest cooldown.
    generator
        Random source of the jitter.

    Returns
    -------
    float
        Seconds, at most ``max_cooldown_seconds``.
    """
    # The exponent is limited to 64, because a larger one would eventually overflow a float. The
    # cap is reached long before.
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
