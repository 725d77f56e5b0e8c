"""Updates the confirmed revision from the state and the routers' heartbeats; performs no I/O.

The rule itself is in :mod:`.confirmation`. This duty supplies the rule with its input, and records
a confirmation in the replicated log where the next leader needs it.
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
    """Tracks the newest revision that every serving router has applied.

    Parameters
    ----------
    state
        The replicated state, applied at least up to the first log entry of this leadership.
    output
        Collects the proposals.
    now
        Start of this leadership, in monotonic seconds.
    disabled_guards
        Safety checks to turn off; for tests only.
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
        """Newest revision that every serving router had applied at the last `advance`."""
        return self._tracker.confirmed_revision

    def revision_committed(self) -> None:
        """Start to track the newest revision of the replicated state."""
        self._tracker.revision_committed(
            self._state.revision, current_router_membership(self._state)
        )

    def router_adopted(self, router_id: str, revision: int, now: float) -> None:
        """Record the revision that a router has adopted; advance at once if no router lags now."""
        self._tracker.router_adopted(router_id, revision)
        if not self._tracker.has_lagging_routers:
            self.advance(now)

    def router_left(self, router_id: str) -> None:
        """Await nothing more of a router that has left, once the state no longer registers it."""
        self._tracker.router_left(router_id)

    def advance(self, now: float) -> None:
        """Update the confirmed revision as of ``now``, and record it in the log if necessary."""
        confirmed = self._tracker.advance(now)
        if self._is_worth_recording(confirmed):
            self._output.propose_once(RevisionConfirmed(revision=confirmed))

    def _is_worth_recording(self, confirmed: int) -> bool:
        """Whether this confirmation reduces the witness sets that need a majority to a single one.

        This is rare. Without the record, the next leader would wait for a majority of an older
        witness set, whose routers may have been removed permanently.
        """
        recorded = self._state.confirmed_revision
        if len(self._state.witness_sets_since(recorded)) <= 1:
            return False
        return confirmed > recorded and len(self._state.witness_sets_since(confirmed)) == 1


def current_router_membership(state: FleetState) -> RouterMembership:
    """Return the router membership that is effective at the state's newest revision."""
    return RouterMembership(
        revision=state.revision,
        routers=frozenset(router.router_id for router in state.routers()),
        witnesses=frozenset(state.witnesses),
    )


def _router_memberships_of(state: FleetState) -> list[RouterMembership]:
    """Return a router membership for every witness set since the last recorded confirmation.

    The oldest comes first. The registered routers are those of the newest revision in each.
    """
    routers = frozenset(router.router_id for router in state.routers())
    return [
        RouterMembership(state.confirmed_revision, routers, frozenset(witnesses))
        for witnesses in state.witness_sets_since(state.confirmed_revision)
    ]
