"""Errors that the request state machine returns to callers whose requests fail."""

from types import MappingProxyType

import msgspec

from orchidpath.wire.backend import ErrorBody, ErrorCode, Ran
from orchidpath.wire.messages import AttemptEffect, DecisionReply, Rejection

DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Retry-after returned to a caller if no more specific value is known.

Source: paper, ``retryAfterSeconds``.
"""


class RequestFailure(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for which a request ends without a result.

    Whether the call ran is not part of it; the dispatch log of the request determines that.
    """

    code: ErrorCode
    message: str
    retry_after_seconds: float | None = DEFAULT_RETRY_AFTER_SECONDS

    def body(self, request_id: str, ran: Ran) -> ErrorBody:
        """Return the error body that is sent to the caller."""
        return ErrorBody(
            code=self.code,
            message=self.message,
            ran=ran,
            request_id=request_id,
            retry_after_seconds=self.retry_after_seconds,
        )


DEADLINE_PASSED = RequestFailure(
    code=ErrorCode.DEADLINE_EXCEEDED, message="the request's deadline has passed"
)

_EFFECT_CODES = MappingProxyType(
    {
        AttemptEffect.REQUEST: ErrorCode.UPSTREAM_REFUSED,
        AttemptEffect.THROTTLE: ErrorCode.RATE_LIMITED,
    }
)

_REJECTION_CODES = MappingProxyType(
    {
        # Paper: the status is 503 deployments_in_cooldown if every circuit is open, and 429 if the
        # shared capacity is used up.
        Rejection.CIRCUITS_OPEN: ErrorCode.ALL_CIRCUITS_OPEN,
        Rejection.SHARED_CAPACITY: ErrorCode.RATE_LIMITED,
    }
)

_REJECTION_MESSAGES = MappingProxyType(
    {
        Rejection.CIRCUITS_OPEN: "the circuit of every worker that could serve this is open",
        Rejection.SHARED_CAPACITY: "the workers' shared capacity is used up",
    }
)


def failed_attempt(
    effect: AttemptEffect, reason: str, retry_after_seconds: float | None
) -> RequestFailure:
    """Return the failure of a request whose last attempt failed with this effect."""
    code = _EFFECT_CODES.get(effect, ErrorCode.UPSTREAM_FAILED)
    if effect is AttemptEffect.REQUEST:
        return RequestFailure(code=code, message=reason, retry_after_seconds=retry_after_seconds)
    retry_after = (
        DEFAULT_RETRY_AFTER_SECONDS if retry_after_seconds is None else retry_after_seconds
    )
    return RequestFailure(code=code, message=reason, retry_after_seconds=retry_after)


def denied(reply: DecisionReply) -> RequestFailure:
    """Return the failure of a request for which the decision selected no worker."""
    code = _REJECTION_CODES.get(reply.rejection, ErrorCode.NO_WORKER)
    message = _REJECTION_MESSAGES.get(reply.rejection, "no worker may be tried for this request")
    retry_after = reply.retry_after_seconds or DEFAULT_RETRY_AFTER_SECONDS
    return RequestFailure(code=code, message=message, retry_after_seconds=retry_after)


def no_candidates(reason: str) -> RequestFailure:
    """Return the failure of a request that no worker of the fleet can serve."""
    return RequestFailure(code=ErrorCode.NO_WORKER, message=reason)


def not_fresh(retry_after_seconds: float) -> RequestFailure:
    """Return the failure of a request while this router's lease to serve has expired."""
    message = "this router may not serve at the moment"
    return RequestFailure(
        code=ErrorCode.NOT_FRESH, message=message, retry_after_seconds=retry_after_seconds
    )


def out_of_budget(last_failure: str, retry_after_seconds: float) -> RequestFailure:
    """Return the failure of a request whose service has used up its retry budget."""
    message = f"no retry is left in the service's budget; the last failure: {last_failure}"
    return RequestFailure(
        code=ErrorCode.RETRY_BUDGET_SPENT,
        message=message,
        retry_after_seconds=retry_after_seconds,
    )


def stream_broken(reason: str) -> RequestFailure:
    """Return the failure of a request whose committed stream breaks; it has no retry-after."""
    return RequestFailure(code=ErrorCode.STREAM_BROKEN, message=reason, retry_after_seconds=None)
