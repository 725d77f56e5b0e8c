"""The one place that classifies how an attempt on a worker ended.

Failures are classified by effect and not by a broad class of "upstream error" (paper, "Circuit
breakers and bounded retries"). Consequences of each effect:

========================  ======  ==================  ====================================
effect                    health  transient count     circuit
========================  ======  ==================  ====================================
``SUCCESS``               raised  cleared if closed   closes it, when it is the probe
``REQUEST``               no      no                  none; a probe is returned
``THROTTLE``              no      no                  the domain's capacity circuit, through
                                                      :mod:`orchidpath.circuit.throttle`
``TRANSIENT``             lowered once per request    opens at ``allowed_fails``; reopens it,
                                  and worker          when it is the probe
``CONFIGURATION``         lowered no                  quarantined at once
``GATEWAY``               no      no                  none; a probe is returned
========================  ======  ==================  ====================================
"""

from enum import StrEnum
from types import MappingProxyType

import msgspec

from orchidpath.wire.backend import ErrorCode
from orchidpath.wire.messages import AttemptEffect


class Observed(StrEnum):
    """What a router saw of one attempt on one worker."""

    SUCCESS = "success"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_RESET = "connection_reset"
    TIMED_OUT = "timed_out"
    STALLED = "stalled"
    MALFORMED_PROTOCOL = "malformed_protocol"
    WRONG_ATTEMPT_ECHO = "wrong_attempt_echo"
    MISSING_TERMINAL = "missing_terminal"
    SEQUENCE_GAP = "sequence_gap"
    HTTP_STATUS = "http_status"
    """An error status without an error body; ``http_status`` decides."""
    REFUSED = "refused"
    """An error body; ``error_code`` decides."""
    KV_TRANSFER_CHARGED = "hand_over_charged"
    """The KV transfer failed and the evidence points at this worker."""
    KV_TRANSFER_UNDECIDED = "hand_over_undecided"
    """The KV transfer failed and the evidence points at the link, or not at this worker."""
    HANDLE_EXPIRED = "handle_lapsed"
    DEADLINE_BEFORE_SEND = "deadline_before_send"
    """The request's deadline was used up before anything was sent to the worker."""
    CLIENT_CANCELLED = "client_cancelled"
    GATEWAY_FAULT = "gateway_fault"


class AttemptObservation(msgspec.Struct, frozen=True, kw_only=True):
    """An observation with the detail that its kind needs."""

    observed: Observed
    http_status: int | None = None
    error_code: ErrorCode | None = None


OBSERVED_EFFECTS = MappingProxyType(
    {
        Observed.SUCCESS: AttemptEffect.SUCCESS,
        # Transient: timeouts, network failures, malformed protocol, a missing terminal (paper).
        Observed.CONNECT_FAILED: AttemptEffect.TRANSIENT,
        Observed.CONNECTION_RESET: AttemptEffect.TRANSIENT,
        Observed.TIMED_OUT: AttemptEffect.TRANSIENT,
        Observed.STALLED: AttemptEffect.TRANSIENT,
        Observed.MALFORMED_PROTOCOL: AttemptEffect.TRANSIENT,
        Observed.WRONG_ATTEMPT_ECHO: AttemptEffect.TRANSIENT,
        Observed.MISSING_TERMINAL: AttemptEffect.TRANSIENT,
        Observed.SEQUENCE_GAP: AttemptEffect.TRANSIENT,
        # A failed KV transfer charges a side only on evidence; otherwise it is neutral for both.
        Observed.KV_TRANSFER_CHARGED: AttemptEffect.TRANSIENT,
        Observed.KV_TRANSFER_UNDECIDED: AttemptEffect.GATEWAY,
        # Neutral: the worker did nothing wrong (paper, "Gateway/request-scoped failures").
        Observed.HANDLE_EXPIRED: AttemptEffect.GATEWAY,
        Observed.DEADLINE_BEFORE_SEND: AttemptEffect.GATEWAY,
        Observed.CLIENT_CANCELLED: AttemptEffect.GATEWAY,
        Observed.GATEWAY_FAULT: AttemptEffect.GATEWAY,
    }
)
"""Effect of every observation that needs no further detail."""

ERROR_CODE_EFFECTS = MappingProxyType(
    {
        ErrorCode.BAD_REQUEST: AttemptEffect.REQUEST,
        ErrorCode.UNKNOWN_ROUTE: AttemptEffect.REQUEST,
        ErrorCode.OVERLOADED: AttemptEffect.THROTTLE,
        ErrorCode.RATE_LIMITED: AttemptEffect.THROTTLE,
        ErrorCode.WRONG_MODEL: AttemptEffect.CONFIGURATION,
        ErrorCode.WRONG_STAGE: AttemptEffect.CONFIGURATION,
        ErrorCode.INTERNAL: AttemptEffect.TRANSIENT,
        ErrorCode.STREAM_BROKEN: AttemptEffect.TRANSIENT,
        ErrorCode.DEADLINE_EXCEEDED: AttemptEffect.TRANSIENT,
        # A decode worker reports a failed KV transfer: the pairing charges a side on evidence.
        ErrorCode.UPSTREAM_FAILED: AttemptEffect.GATEWAY,
        ErrorCode.UPSTREAM_REFUSED: AttemptEffect.GATEWAY,
        # The worker was right to refuse what the fleet sent.
        ErrorCode.DRAINING: AttemptEffect.GATEWAY,
        ErrorCode.HANDLE_EXPIRED: AttemptEffect.GATEWAY,
        ErrorCode.HANDLE_MISMATCH: AttemptEffect.GATEWAY,
        ErrorCode.ATTEMPT_REFUSED: AttemptEffect.GATEWAY,
        ErrorCode.STALE_ORDER: AttemptEffect.GATEWAY,
        # Codes of the routers themselves; no worker is to blame for them.
        ErrorCode.NOT_FRESH: AttemptEffect.GATEWAY,
        ErrorCode.ALL_CIRCUITS_OPEN: AttemptEffect.GATEWAY,
        ErrorCode.NO_WORKER: AttemptEffect.GATEWAY,
        ErrorCode.RETRY_BUDGET_SPENT: AttemptEffect.GATEWAY,
    }
)
"""Effect of a refusal, by its error code."""

STATUS_EFFECTS = MappingProxyType(
    {
        401: AttemptEffect.CONFIGURATION,
        403: AttemptEffect.CONFIGURATION,
        407: AttemptEffect.CONFIGURATION,
        408: AttemptEffect.TRANSIENT,
        429: AttemptEffect.THROTTLE,
    }
)
"""Effect of single HTTP statuses; the others go by their class."""

CLIENT_ERROR_STATUSES = range(400, 500)
"""Other 400-class statuses, unknown ones included, are the request's fault (paper)."""


def classify(observation: AttemptObservation) -> AttemptEffect:
    """Classify one attempt on one worker by its effect.

    Parameters
    ----------
    observation
        What the router saw.

    Returns
    -------
    AttemptEffect
        The effect; a refusal without a code or a status without a number is a malformed answer.
    """
    if observation.observed is Observed.REFUSED:
        return _classify_refusal(observation.error_code)
    if observation.observed is Observed.HTTP_STATUS:
        return _classify_status(observation.http_status)
    return OBSERVED_EFFECTS[observation.observed]


def _classify_refusal(error_code: ErrorCode | None) -> AttemptEffect:
    if error_code is None:
        return OBSERVED_EFFECTS[Observed.MALFORMED_PROTOCOL]
    return ERROR_CODE_EFFECTS[error_code]


def _classify_status(http_status: int | None) -> AttemptEffect:
    if http_status is None:
        return OBSERVED_EFFECTS[Observed.MALFORMED_PROTOCOL]
    if http_status in STATUS_EFFECTS:
        return STATUS_EFFECTS[http_status]
    if http_status in CLIENT_ERROR_STATUSES:
        return AttemptEffect.REQUEST
    # 500-class, and any other status without a body that belongs to it: a malformed answer.
    return AttemptEffect.TRANSIENT
