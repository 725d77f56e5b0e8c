"""Guards of the request path that are enforced outside the request machine.

A simulation can disable a guard to test that the checks detect the failure which it prevents.
"""

from enum import StrEnum


class PathGuard(StrEnum):
    """Guards of the request path that a simulation can disable."""

    FRESH_TO_SERVE = "fresh_to_serve"
    """A router without a lease admits no requests and sends no dispatches."""
    STATUS_BEFORE_SEND = "status_before_send"
    """A router checks the worker's replicated status right before the first byte of a dispatch."""
    DRAINING_HEARD = "draining_heard"
    """A router stops dispatches to a worker that has announced its draining to this router."""
    PAIR_EVIDENCE = "pair_evidence"
    """A failed KV transfer is charged to a worker only if evidence attributes it to that worker."""
    DEADLINE_TIMER = "deadline_timer"
    """A request is answered when its deadline passes, even if an attempt is still running."""
    ONE_PROBE = "one_probe"
    """A granted circuit breaker probe is used by one attempt only."""
    STRICT_CALLER = "strict_caller"
    """After an error reply, a caller submits a request again only if the error has ``ran=no``."""
