"""Classification of outcomes (paper, "Circuit breakers and bounded retries"; design page)."""

import pytest

from orchidpath.circuit.classification import (
    ERROR_CODE_EFFECTS,
    OBSERVED_EFFECTS,
    AttemptObservation,
    Observed,
    classify,
)
from orchidpath.wire.backend import ErrorCode
from orchidpath.wire.messages import AttemptEffect


def test_every_observation_and_every_error_code_has_an_effect() -> None:
    detailed = {Observed.HTTP_STATUS, Observed.REFUSED}
    assert set(OBSERVED_EFFECTS) == set(Observed) - detailed
    assert set(ERROR_CODE_EFFECTS) == set(ErrorCode)


@pytest.mark.parametrize(
    ("observed", "effect"),
    [
        # "Transient (timeouts, network failures, malformed protocol, missing terminal)"
        (Observed.TIMED_OUT, AttemptEffect.TRANSIENT),
        (Observed.CONNECT_FAILED, AttemptEffect.TRANSIENT),
        (Observed.CONNECTION_RESET, AttemptEffect.TRANSIENT),
        (Observed.STALLED, AttemptEffect.TRANSIENT),
        (Observed.MALFORMED_PROTOCOL, AttemptEffect.TRANSIENT),
        (Observed.MISSING_TERMINAL, AttemptEffect.TRANSIENT),
        (Observed.SEQUENCE_GAP, AttemptEffect.TRANSIENT),
        (Observed.WRONG_ATTEMPT_ECHO, AttemptEffect.TRANSIENT),
        # "Gateway/request-scoped failures: do not penalize any deployment"
        (Observed.CLIENT_CANCELLED, AttemptEffect.GATEWAY),
        (Observed.DEADLINE_BEFORE_SEND, AttemptEffect.GATEWAY),
        (Observed.GATEWAY_FAULT, AttemptEffect.GATEWAY),
        (Observed.HANDLE_EXPIRED, AttemptEffect.GATEWAY),
        # A failed KV transfer counts against a worker only on evidence.
        (Observed.KV_TRANSFER_CHARGED, AttemptEffect.TRANSIENT),
        (Observed.KV_TRANSFER_UNDECIDED, AttemptEffect.GATEWAY),
        (Observed.SUCCESS, AttemptEffect.SUCCESS),
    ],
)
def test_effect_of_an_observation(observed: Observed, effect: AttemptEffect) -> None:
    assert classify(AttemptObservation(observed=observed)) is effect


@pytest.mark.parametrize(
    ("status", "effect"),
    [
        (400, AttemptEffect.REQUEST),
        (404, AttemptEffect.REQUEST),
        (418, AttemptEffect.REQUEST),
        (401, AttemptEffect.CONFIGURATION),
        (403, AttemptEffect.CONFIGURATION),
        (408, AttemptEffect.TRANSIENT),
        (429, AttemptEffect.THROTTLE),
        (500, AttemptEffect.TRANSIENT),
        (503, AttemptEffect.TRANSIENT),
        (302, AttemptEffect.TRANSIENT),
        (None, AttemptEffect.TRANSIENT),
    ],
)
def test_effect_of_a_bare_status(status: int | None, effect: AttemptEffect) -> None:
    observation = AttemptObservation(observed=Observed.HTTP_STATUS, http_status=status)
    assert classify(observation) is effect


@pytest.mark.parametrize(
    ("code", "effect"),
    [
        (ErrorCode.OVERLOADED, AttemptEffect.THROTTLE),
        (ErrorCode.WRONG_MODEL, AttemptEffect.CONFIGURATION),
        (ErrorCode.WRONG_STAGE, AttemptEffect.CONFIGURATION),
        (ErrorCode.BAD_REQUEST, AttemptEffect.REQUEST),
        (ErrorCode.HANDLE_EXPIRED, AttemptEffect.GATEWAY),
        (ErrorCode.DRAINING, AttemptEffect.GATEWAY),
        (ErrorCode.INTERNAL, AttemptEffect.TRANSIENT),
        (None, AttemptEffect.TRANSIENT),
    ],
)
def test_effect_of_a_rejection(code: ErrorCode | None, effect: AttemptEffect) -> None:
    observation = AttemptObservation(observed=Observed.REFUSED, error_code=code)
    assert classify(observation) is effect
