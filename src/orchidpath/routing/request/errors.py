"""Errors that the request state machine answers with, by the reason for which it gives up."""

from types import MappingProxyType

import msgspec

from orchidpath.wire.backend import ErrorBody, ErrorCode, Ran
from orchidpath.wire.messages import AttemptEffect, DecisionReply, Rejection

DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Told to a caller when nothing better is known (paper, ``retryAfterSeconds``)."""


class GiveUp(msgspec.Struct, frozen=True, kw_only=True):
    """Why the caller gets no result; the ledger adds whether the call ran."""

    code: ErrorCode
    message: str
    retry_after_seconds: float | None = DEFAULT_RETRY_AFTER_SECONDS

    def body(self, request_id: str, ran: Ran) -> ErrorBody:
        """Make the error as the caller sees it."""
        return ErrorBody(
            code=self.code,
            message=self.message,
            ran=ran,
            request_id=request_id,
            retry_after_seconds=self.retry_after_seconds,
        )


DEADLINE_PASSED = GiveUp(
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
        # Paper: every circuit open is 503 deployments_in_cooldown; shared capacity is 429.
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


def failed_attempt(effect: AttemptEffect, reason: str, retry_after_seconds: float | None) -> GiveUp:
    """Return how to give up after an attempt that failed with an effect."""
    code = _EFFECT_CODES.get(effect, ErrorCode.UPSTREAM_FAILED)
    if effect is AttemptEffect.REQUEST:
        return GiveUp(code=code, message=reason, retry_after_seconds=retry_after_seconds)
    after = DEFAULT_RETRY_AFTER_SECONDS if retry_after_seconds is None else retry_after_seconds
    return GiveUp(code=code, message=reason, retry_after_seconds=after)


def denied(reply: DecisionReply) -> GiveUp:
    """Return how to give up when a decision names no worker."""
    code = _REJECTION_CODES.get(reply.rejection, ErrorCode.NO_WORKER)
    message = _REJECTION_MESSAGES.get(reply.rejection, "no worker may be tried for this request")
    after = reply.retry_after_seconds or DEFAULT_RETRY_AFTER_SECONDS
    return GiveUp(code=code, message=message, retry_after_seconds=after)


def no_candidates(reason: str) -> GiveUp:
    """Return how to give up when the fleet has no worker for the request."""
    return GiveUp(code=ErrorCode.NO_WORKER, message=reason)


def not_fresh(retry_after_seconds: float) -> GiveUp:
    """Return how to give up when this router's lease to serve has expired."""
    message = "this router may not serve at the moment"
    return GiveUp(
        code=ErrorCode.NOT_FRESH, message=message, retry_after_seconds=retry_after_seconds
    )


def out_of_budget(last_failure: str, retry_after_seconds: float) -> GiveUp:
    """Return how to give up when the service's retry budget is spent."""
    message = f"no retry is left in the service's budget; the last failure: {last_failure}"
    return GiveUp(
        code=ErrorCode.RETRY_BUDGET_SPENT,
        message=message,
        retry_after_seconds=retry_after_seconds,
    )


def stream_broken(reason: str) -> GiveUp:
    """Return how a committed stream breaks; no retry-after is given."""
    return GiveUp(code=ErrorCode.STREAM_BROKEN, message=reason, retry_after_seconds=None)
