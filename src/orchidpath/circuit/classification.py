"""Classification of the outcomes of attempts on workers.

All outcomes are classified in this module. A failure is classified by its effect and not as a
general "upstream error" (paper, "Circuit breakers and bounded retries"). Each effect has these
consequences:

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
    """Outcome of one attempt on one worker as the router observed it."""

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
    """An error status without an error body; ``http_status`` determines the effect."""
    REFUSED = "refused"
    """A response with an error body; ``error_code`` determines the effect."""
    KV_TRANSFER_CHARGED = "hand_over_charged"
    """The KV transfer failed, and the evidence attributes the failure to this worker."""
    KV_TRANSFER_UNDECIDED = "hand_over_undecided"
    """The KV transfer failed, and the evidence does not attribute the failure to this worker.

    The evidence may point to the link between the workers.
    """
    HANDLE_EXPIRED = "handle_lapsed"
    DEADLINE_BEFORE_SEND = "deadline_before_send"
    """The request's deadline expired before anything was sent to the worker."""
    CLIENT_CANCELLED = "client_cancelled"
    GATEWAY_FAULT = "gateway_fault"


class AttemptObservation(msgspec.Struct, frozen=True, kw_only=True):
    """An observed outcome, with the status or error code for the outcomes that require one."""

    observed: Observed
    http_status: int | None = None
    error_code: ErrorCode | None = None


OBSERVED_EFFECTS = MappingProxyType(
    {
        Observed.SUCCESS: AttemptEffect.SUCCESS,
        # Transient (paper): timeouts, network failures, malformed protocol, no terminal event.
        Observed.CONNECT_FAILED: AttemptEffect.TRANSIENT,
        Observed.CONNECTION_RESET: AttemptEffect.TRANSIENT,
        Observed.TIMED_OUT: AttemptEffect.TRANSIENT,
        Observed.STALLED: AttemptEffect.TRANSIENT,
        Observed.MALFORMED_PROTOCOL: AttemptEffect.TRANSIENT,
        Observed.WRONG_ATTEMPT_ECHO: AttemptEffect.TRANSIENT,
        Observed.MISSING_TERMINAL: AttemptEffect.TRANSIENT,
        Observed.SEQUENCE_GAP: AttemptEffect.TRANSIENT,
        # A failed KV transfer counts against a worker only on evidence; otherwise it is neutral
        # for both workers.
        Observed.KV_TRANSFER_CHARGED: AttemptEffect.TRANSIENT,
        Observed.KV_TRANSFER_UNDECIDED: AttemptEffect.GATEWAY,
        # Neutral: the worker did not cause these (paper, "Gateway/request-scoped failures").
        Observed.HANDLE_EXPIRED: AttemptEffect.GATEWAY,
        Observed.DEADLINE_BEFORE_SEND: AttemptEffect.GATEWAY,
        Observed.CLIENT_CANCELLED: AttemptEffect.GATEWAY,
        Observed.GATEWAY_FAULT: AttemptEffect.GATEWAY,
    }
)
"""Effect of every observed outcome that is classified without a status or an error code."""

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
        # A decode worker reports a failed KV transfer. The evidence about the pair of workers
        # determines which worker the failure counts against.
        ErrorCode.UPSTREAM_FAILED: AttemptEffect.GATEWAY,
        ErrorCode.UPSTREAM_REFUSED: AttemptEffect.GATEWAY,
        # The worker was right to reject these requests of the fleet.
        ErrorCode.DRAINING: AttemptEffect.GATEWAY,
        ErrorCode.HANDLE_EXPIRED: AttemptEffect.GATEWAY,
        ErrorCode.HANDLE_MISMATCH: AttemptEffect.GATEWAY,
        ErrorCode.ATTEMPT_REFUSED: AttemptEffect.GATEWAY,
        ErrorCode.STALE_ORDER: AttemptEffect.GATEWAY,
        # Error codes that only routers send; no worker causes them.
        ErrorCode.NOT_FRESH: AttemptEffect.GATEWAY,
        ErrorCode.ALL_CIRCUITS_OPEN: AttemptEffect.GATEWAY,
        ErrorCode.NO_WORKER: AttemptEffect.GATEWAY,
        ErrorCode.RETRY_BUDGET_SPENT: AttemptEffect.GATEWAY,
    }
)
"""Effect of a rejection, by its error code."""

STATUS_EFFECTS = MappingProxyType(
    {
        401: AttemptEffect.CONFIGURATION,
        403: AttemptEffect.CONFIGURATION,
        407: AttemptEffect.CONFIGURATION,
        408: AttemptEffect.TRANSIENT,
        429: AttemptEffect.THROTTLE,
    }
)
"""Effect of individual HTTP statuses; all others are classified by their status class."""

CLIENT_ERROR_STATUSES = range(400, 500)
"""All other 4xx statuses, including unknown ones, are caused by the request (paper)."""


def classify(observation: AttemptObservation) -> AttemptEffect:
    """Return the effect of one attempt on one worker.

    Parameters
    ----------
    observation
        The outcome that the router observed.

    Returns
    -------
    AttemptEffect
        The effect. A rejection without an error code and an HTTP status without a number are
        classified as a malformed response.
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
    # A 5xx status is transient. Any other status without its expected body is a malformed
    # response, which is transient, too.
    return AttemptEffect.TRANSIENT
