"""Pushes the circuits to the routers, which skip workers with an open one; pure."""

from collections.abc import Iterable

from orchidpath.control.leadership.attempt_decisions import AttemptDecisions
from orchidpath.control.replica.control_output import ControlOutput

CIRCUITS_PUSH_SECONDS = 0.2
"""Changed circuits are pushed to the routers at most this often."""

CIRCUITS_REPEAT_SECONDS = 5.0
"""Circuits are pushed this often even when nothing changed, so that a lost push does not last."""


class CircuitsPublisher:
    """Pushes the circuits when they changed, and now and then anyway.

    Parameters
    ----------
    decisions
        Holds the circuits.
    router_ids
        Routers heard in this leadership; read at each push.
    output
        Where pushes go.
    now
        Start of this leadership, monotonic seconds.
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
        """Note that routers lack something: a circuit changed, or a router is new."""
        self._changed = True

    def push(self, now: float) -> None:
        """Push the circuits to every router heard, if that is due."""
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
