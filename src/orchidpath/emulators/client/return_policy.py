"""Retry policy of callers: whether and when a request is sent again under the same id."""

import random

import msgspec

from orchidpath.emulators.client.caller_report import RequestResult
from orchidpath.emulators.client.verification import Outcome
from orchidpath.wire.backend import Ran

RETRY_LATER_STATUSES = frozenset({429, 503})


class ReturnPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the retries of one request.

    The pause before a retry is lengthened by a random share of up to ``jitter_share``.
    """

    max_returns: int = 3
    default_pause_seconds: float = 1.0
    max_pause_seconds: float = 30.0
    jitter_share: float = 0.2


def may_return(result: RequestResult, policy: ReturnPolicy) -> bool:
    """Return whether a caller may send the same request again.

    Parameters
    ----------
    result : RequestResult
        Result of the last attempt.
    policy : ReturnPolicy
        Limits on retries.

    Returns
    -------
    bool
        False if the call ran or may have run: a retry by the caller could then execute it twice.
    """
    if result.attempts > policy.max_returns:
        return False
    if result.outcome is Outcome.UNREACHABLE:
        return True
    if result.outcome is not Outcome.REFUSED or result.ran in (Ran.UNKNOWN, Ran.YES):
        return False
    if result.ran == Ran.NO:
        return True
    return result.status in RETRY_LATER_STATUSES and result.retry_after_seconds is not None


def pause_seconds(result: RequestResult, policy: ReturnPolicy, generator: random.Random) -> float:
    """Return the pause before a retry in seconds.

    It is at least the value of Retry-After, or the default pause without one, plus jitter, but at
    most ``max_pause_seconds``.
    """
    requested_seconds = result.retry_after_seconds
    pause = policy.default_pause_seconds if requested_seconds is None else requested_seconds
    jitter = 1.0 + policy.jitter_share * generator.random()
    return min(policy.max_pause_seconds, pause * jitter)
