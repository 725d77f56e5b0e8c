"""Keeps the confirmed revision up to date with the state and the routers' heartbeats; pure.

The rule itself is in :mod:`.confirmation`; this duty feeds it, and records a confirmation in the
replicated log where a successor would need it.
"""

from orchidpath.control.leadership.confirmation import (
    ConfirmationGuard,
    ConfirmationTracker,
    RouterMembership,
)
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import RevisionConfirmed
from orchidpath.state.fleet_state import FleetState


class RevisionConfirmation:
    """Follows which revision is in force at every serving router.

    Parameters
    ----------
    state
        The replicated state, complete up to this leadership's first entry.
    output
        Where proposals go.
    now
        Start of this leadership, monotonic seconds.
    disabled_guards
        For tests only.
    """

    def __init__(
        self,
        state: FleetState,
        output: ControlOutput,
        now: float,
        disabled_guards: frozenset[ConfirmationGuard],
    ) -> None:
        self._state = state
        self._output = output
        self._tracker = ConfirmationTracker(
            state.confirmed_revision, _router_memberships_of(state), now, disabled_guards
        )
        if state.revision > state.confirmed_revision:
            self.revision_committed()

    @property
    def confirmed_revision(self) -> int:
        """Newest revision in force at every serving router, as of the last `advance`."""
        return self._tracker.confirmed_revision

    def revision_committed(self) -> None:
        """Start to follow the state's newest revision."""
        self._tracker.revision_committed(
            self._state.revision, current_router_membership(self._state)
        )

    def router_adopted(self, router_id: str, revision: int, now: float) -> None:
        """Note which revision a router obeys; advance at once if it was the last one awaited."""
        self._tracker.router_adopted(router_id, revision)
        if not self._tracker.is_anyone_lagging:
            self.advance(now)

    def advance(self, now: float) -> None:
        """Confirm what is confirmed as of ``now``."""
        confirmed = self._tracker.advance(now)
        if self._is_worth_recording(confirmed):
            self._output.propose_once(RevisionConfirmed(revision=confirmed))

    def _is_worth_recording(self, confirmed: int) -> bool:
        """Whether a confirmation puts an older witness set out of force.

        That is rare, and the record keeps a successor from asking for the majority of a set whose
        routers may be gone for good.
        """
        recorded = self._state.confirmed_revision
        if len(self._state.witness_sets_since(recorded)) <= 1:
            return False
        return confirmed > recorded and len(self._state.witness_sets_since(confirmed)) == 1


def current_router_membership(state: FleetState) -> RouterMembership:
    """Return the router membership in force at the state's newest revision."""
    return RouterMembership(
        revision=state.revision,
        routers=frozenset(router.router_id for router in state.routers()),
        witnesses=frozenset(state.witnesses),
    )


def _router_memberships_of(state: FleetState) -> list[RouterMembership]:
    """Return every witness set since the last revision recorded as confirmed, oldest first."""
    routers = frozenset(router.router_id for router in state.routers())
    return [
        RouterMembership(state.confirmed_revision, routers, frozenset(witnesses))
        for witnesses in state.witness_sets_since(state.confirmed_revision)
    ]
