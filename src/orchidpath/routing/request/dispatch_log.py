"""The dispatches of one request: what may have run, and what may be sent again.

Holds the at-most-once rule (brief, "What must never happen"): a call that may not be repeated is
sent again only if no earlier dispatch of it can have run, and ``ran=no`` is only ever said of a
request none of whose dispatches can run.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.backend import Ran
from orchidpath.wire.configuration import Route
from orchidpath.wire.records import Stage


class DispatchState(StrEnum):
    """What is known about one dispatch."""

    IN_DOUBT = "in_doubt"
    """Bytes of it may have left and nothing is known of its fate."""
    NEVER_LEFT = "never_left"
    """No byte of it left this router."""
    NOT_EXECUTED_GUARANTEED = "promised_not_run"
    """Its worker guaranteed that it did not run and never will."""
    COMPLETED = "completed"
    """It ran to its end."""


_CANNOT_RUN = frozenset({DispatchState.NEVER_LEFT, DispatchState.NOT_EXECUTED_GUARANTEED})


class Dispatch(msgspec.Struct, kw_only=True):
    """One dispatch of one attempt."""

    attempt_id: str
    worker_id: str
    stage: Stage
    state: DispatchState = DispatchState.IN_DOUBT


class DispatchLog:
    """Every dispatch of one request, in doubt from the moment it is handed to the shell.

    Parameters
    ----------
    route
        Says what may be repeated.
    """

    def __init__(self, route: Route) -> None:
        self._route = route
        self._dispatches: list[Dispatch] = []

    @property
    def current(self) -> Dispatch | None:
        """The newest dispatch, or None before the first."""
        return self._dispatches[-1] if self._dispatches else None

    def add(self, attempt_id: str, worker_id: str, stage: Stage) -> None:
        """Record a dispatch before it is handed to the shell for sending."""
        self._dispatches.append(Dispatch(attempt_id=attempt_id, worker_id=worker_id, stage=stage))

    def resolve(self, state: DispatchState) -> None:
        """Record the outcome of the newest dispatch; a resolved one is not changed."""
        current = self.current
        if current is not None and current.state is DispatchState.IN_DOUBT:
            current.state = state

    def is_in_doubt(self) -> bool:
        """Whether the newest dispatch may still be running."""
        current = self.current
        return current is not None and current.state is DispatchState.IN_DOUBT

    def may_retry(self) -> bool:
        """Whether a further attempt cannot make a call run twice that must not.

        A prefill counts as running too, whether it completed or is in doubt, unless the route
        says ``repeat_prompt_read``: then only a decode that may have run bars a retry. Nothing
        that a prefill made can reach the caller twice in any case, since its handle is never
        used by another attempt; the route decides about the work.

        Returns
        -------
        bool
        """
        if self._route.repeatable:
            return True
        return not any(self._prevents_retry(dispatch) for dispatch in self._dispatches)

    def would_guarantee_allow_retry(self) -> bool:
        """Whether a guarantee about the newest dispatch would allow a further attempt."""
        if self._route.repeatable:
            return True
        return not any(self._prevents_retry(dispatch) for dispatch in self._dispatches[:-1])

    def ran(self) -> Ran:
        """Return the honest answer to a caller who gets no result."""
        if all(dispatch.state in _CANNOT_RUN for dispatch in self._dispatches):
            return Ran.NO
        return Ran.UNKNOWN

    def _prevents_retry(self, dispatch: Dispatch) -> bool:
        if dispatch.state in _CANNOT_RUN:
            return False
        return dispatch.stage is not Stage.PREFILL or not self._route.repeat_prompt_read
