"""Log of one request's dispatches, which determines whether the request may be sent again.

It implements the at-most-once rule (brief, "What must never happen"): a call that must not be
repeated is sent again only if no earlier dispatch of it can run, and ``ran=no`` is returned only
for a request none of whose dispatches can run.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.backend import Ran
from orchidpath.wire.configuration import Route
from orchidpath.wire.records import Stage


class DispatchState(StrEnum):
    """Outcome of one dispatch, as far as the router can determine it."""

    IN_DOUBT = "in_doubt"
    """Bytes of it may have been sent, and its outcome is unknown."""
    NEVER_LEFT = "never_left"
    """No byte of it was sent by this router."""
    NOT_EXECUTED_GUARANTEED = "promised_not_run"
    """Its worker guaranteed that it has not run and will not run."""
    COMPLETED = "completed"
    """It ran to completion."""


_CANNOT_RUN = frozenset({DispatchState.NEVER_LEFT, DispatchState.NOT_EXECUTED_GUARANTEED})


class Dispatch(msgspec.Struct, kw_only=True):
    """One dispatch of an attempt to a worker."""

    attempt_id: str
    worker_id: str
    stage: Stage
    state: DispatchState = DispatchState.IN_DOUBT


class DispatchLog:
    """All dispatches of one request; each is in doubt from its hand-over to the shell.

    Parameters
    ----------
    route
        Route of the request, which determines whether a call may be repeated.
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
        """Record the outcome of the newest dispatch unless it was recorded before."""
        current = self.current
        if current is not None and current.state is DispatchState.IN_DOUBT:
            current.state = state

    def is_in_doubt(self) -> bool:
        """Whether the newest dispatch may still be running."""
        current = self.current
        return current is not None and current.state is DispatchState.IN_DOUBT

    def may_retry(self) -> bool:
        """Return whether a further attempt is safe, given the dispatches made so far.

        A further attempt is safe if the route is repeatable or if no earlier dispatch can have run.
        A prefill that completed or is in doubt prevents a retry, too, unless the route sets
        ``repeat_prompt_read``. With that setting, only a decode that may have run does. Repeating a
        prefill never sends output to the caller twice, because its handle is not used by any other
        attempt; the setting is only about the repeated work.

        Returns
        -------
        bool
        """
        if self._route.repeatable:
            return True
        return not any(self._prevents_retry(dispatch) for dispatch in self._dispatches)

    def would_guarantee_allow_retry(self) -> bool:
        """Return whether a retry would be safe if the newest dispatch was not executed."""
        if self._route.repeatable:
            return True
        return not any(self._prevents_retry(dispatch) for dispatch in self._dispatches[:-1])

    def ran(self) -> Ran:
        """Return whether the call may have run, for a caller who gets no result."""
        if all(dispatch.state in _CANNOT_RUN for dispatch in self._dispatches):
            return Ran.NO
        return Ran.UNKNOWN

    def _prevents_retry(self, dispatch: Dispatch) -> bool:
        if dispatch.state in _CANNOT_RUN:
            return False
        return dispatch.stage is not Stage.PREFILL or not self._route.repeat_prompt_read
