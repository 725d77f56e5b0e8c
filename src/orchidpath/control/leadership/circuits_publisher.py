"""Pushes circuit states to routers, which skip workers with an open circuit; performs no I/O."""

from collections.abc import Iterable

from orchidpath.control.leadership.attempt_decisions import AttemptDecisions
from orchidpath.control.replica.control_output import ControlOutput

CIRCUITS_PUSH_SECONDS = 0.2
"""Changed circuits are pushed to the routers at most this often."""

CIRCUITS_REPEAT_SECONDS = 5.0
"""Period at which unchanged circuits are pushed again.

It bounds how long a router uses outdated circuits after a lost push.
"""


class CircuitsPublisher:
    """Pushes the circuits to the routers when they have changed, and periodically.

    Parameters
    ----------
    decisions
        Provides the circuits.
    router_ids
        Ids of the routers that have sent a heartbeat in this leadership; read at each push.
    output
        Collects the pushes.
    now
        Start of this leadership, in monotonic seconds.
    """

    def __init__(
        self,
        decisions: AttemptDecisions,
        router_ids: Iterable[str],
        output: ControlOutput,
        now: float,
    ) -> None:
        self._decisions = decisions
        self._router_ids = router_ids
        self._output = output
        self._sequence = 0
        self._changed = True
        self._next_push_at = now
        self._next_repeat_at = now + CIRCUITS_REPEAT_SECONDS

    def mark_changed(self) -> None:
        """Request a push, because a circuit has changed or a router is new to this leadership."""
        self._changed = True

    def push(self, now: float) -> None:
        """Push the circuits to every router if a push is due."""
        is_due = self._changed and now >= self._next_push_at
        if not is_due and now < self._next_repeat_at:
            return
        self._changed = False
        self._next_push_at = now + CIRCUITS_PUSH_SECONDS
        self._next_repeat_at = now + CIRCUITS_REPEAT_SECONDS
        self._sequence += 1
        view = self._decisions.circuits_view(self._sequence, now)
        for router_id in self._router_ids:
            self._output.send(router_id, view)
