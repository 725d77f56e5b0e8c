"""Names of the request path's rules that live outside the request machine.

A simulation can leave one out, to see that its checks catch what the rule holds.
"""

from enum import StrEnum


class PathGuard(StrEnum):
    """Rules of the routers' request path that a simulation may leave out."""

    FRESH_TO_SERVE = "fresh_to_serve"
    """A router without a lease takes no request in and sends no order."""
    STATUS_BEFORE_SEND = "status_before_send"
    """The worker's agreed status is looked at right before the first byte."""
    DRAINING_HEARD = "draining_heard"
    """A router applies what a worker itself told it of its draining."""
    PAIR_EVIDENCE = "pair_evidence"
    """A failed KV transfer is charged to a worker on evidence only."""
    DEADLINE_TIMER = "deadline_timer"
    """A request is answered when its deadline passes, whatever runs."""
    ONE_PROBE = "one_probe"
    """A granted probe belongs to one attempt."""
    STRICT_CALLER = "strict_caller"
    """A caller comes back only when it was told that nothing has run."""
