"""The ledger of execution orders of one request: what may have run, and what may be sent again.

Holds the at-most-once rule (brief, "What must never happen"): a call that may not be repeated is
sent again only if no earlier order of it can have run, and ``ran=no`` is only ever said of a
request none of whose orders can run.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.backend import Ran
from orchidpath.wire.configuration import Route
from orchidpath.wire.records import Stage


class DispatchState(StrEnum):
    """What is known about one order."""

    IN_DOUBT = "in_doubt"
    """Bytes of it may have left and nothing is known of its fate."""
    NEVER_LEFT = "never_left"
    """No byte of it left this router."""
    NOT_EXECUTED_GUARANTEED = "promised_not_run"
    """Its worker promised that it did not run and never will."""
    COMPLETED = "completed"
    """It ran to its end."""


_CANNOT_RUN = frozenset({DispatchState.NEVER_LEFT, DispatchState.NOT_EXECUTED_GUARANTEED})


class Order(msgspec.Struct, kw_only=True):
    """One execution order of one attempt."""

    attempt_id: str
    worker_id: str
    stage: Stage
    state: DispatchState = DispatchState.IN_DOUBT


class DispatchLog:
    """Every order of one request; an order is in doubt from the moment it is handed to the shell.

    Parameters
    ----------
    route
        Says what may be repeated.
    """

    def __init__(self, route: Route) -> None:
        self._route = route
        self._orders: list[Order] = []

    @property
    def current(self) -> Order | None:
        """The newest order, or None before the first."""
        return self._orders[-1] if self._orders else None

    def add(self, attempt_id: str, worker_id: str, stage: Stage) -> None:
        """Record an order before it is handed over for sending."""
        self._orders.append(Order(attempt_id=attempt_id, worker_id=worker_id, stage=stage))

    def settle(self, state: DispatchState) -> None:
        """Record the fate of the newest order; an order once settled is not changed."""
        current = self.current
        if current is not None and current.state is DispatchState.IN_DOUBT:
            current.state = state

    def is_in_doubt(self) -> bool:
        """Whether the newest order may still be running."""
        current = self.current
        return current is not None and current.state is DispatchState.IN_DOUBT

    def may_dispatch_again(self) -> bool:
        """Whether a further attempt cannot make a call run twice that must not.

        A prompt read counts as running too, whether it completed or is in doubt, unless the route
        says ``repeat_prompt_read``: then only a decode that may have run bars a retry. Nothing
        that a prompt read made can reach the caller twice in any case, since its handle is never
        used by another attempt; the route decides about the work.

        Returns
        -------
        bool
        """
        if self._route.repeatable:
            return True
        return not any(self._bars_a_retry(order) for order in self._orders)

    def would_guarantee_allow_retry(self) -> bool:
        """Whether a promise about the newest order would allow a further attempt."""
        if self._route.repeatable:
            return True
        return not any(self._bars_a_retry(order) for order in self._orders[:-1])

    def ran(self) -> Ran:
        """Return the honest answer to a caller who gets no result."""
        if all(order.state in _CANNOT_RUN for order in self._orders):
            return Ran.NO
        return Ran.UNKNOWN

    def _bars_a_retry(self, order: Order) -> bool:
        if order.state in _CANNOT_RUN:
            return False
        return order.stage is not Stage.PREFILL or not self._route.repeat_prompt_read
