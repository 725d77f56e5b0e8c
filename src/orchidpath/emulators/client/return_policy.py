"""Whether and when a refused caller comes back with the same request id."""

import random

import msgspec

from orchidpath.emulators.client.caller_report import RequestResult
from orchidpath.emulators.client.verification import Outcome
from orchidpath.wire.backend import Ran

RETRY_LATER_STATUSES = frozenset({429, 503})


class ReturnPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on coming back."""

    max_returns: int = 3
    default_pause_seconds: float = 1.0
    max_pause_seconds: float = 30.0
    jitter_share: float = 0.2


def may_return(result: RequestResult, policy: ReturnPolicy) -> bool:
    """Tell whether a caller may send the same request again.

    Parameters
    ----------
    result : RequestResult
        How the request ended.
    policy : ReturnPolicy
        Bounds.

    Returns
    -------
    bool
        Never when the answer leaves open whether the call ran: the caller itself would then be
        the one that runs it twice.
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
    """Return how long to stay away: at least what Retry-After asks for, within the bound."""
    requested_seconds = result.retry_after_seconds
    pause = policy.default_pause_seconds if requested_seconds is None else requested_seconds
    jitter = 1.0 + policy.jitter_share * generator.random()
    return min(policy.max_pause_seconds, pause * jitter)
