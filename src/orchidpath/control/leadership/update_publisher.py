"""Sends routers the revisions that they have not adopted yet; performs no I/O."""

from collections.abc import Mapping

from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import FleetUpdate, FleetUpdateRequest

PUSH_PERIOD_SECONDS = 0.05
"""Minimum time between two pushes. A change after a longer pause is pushed at once."""

MAX_CACHED_UPDATES = 16
"""Most updates that are cached; each serves all routers that have adopted the same revision."""


class UpdatePublisher:
    """Pushes new revisions to routers and answers their requests for updates.

    Parameters
    ----------
    state
        The replicated state.
    adopted_revisions
        Revision that each router with a heartbeat in this leadership has adopted, by router id;
        read at each push.
    output
        Collects the updates.
    now
        Start of this leadership, in monotonic seconds.
    """

    def __init__(
        self,
        state: FleetState,
        adopted_revisions: Mapping[str, int],
        output: ControlOutput,
        now: float,
    ) -> None:
        self._state = state
        self._adopted_revisions = adopted_revisions
        self._output = output
        self._cached: dict[int, FleetUpdate] = {}
        self._pushed_to: dict[str, int] = {}
        self._pushed_revision = 0
        self._next_push_at = now

    def receive_request(self, router_id: str, request: FleetUpdateRequest) -> None:
        """Send a router all changes since the revision in its request."""
        self._output.send(router_id, self._update_since(request.adopted_revision))

    def push(self, now: float) -> None:
        """Push the newest revision to every router that has not adopted it and was not sent it yet.

        A router that connects later requests the changes that it lacks itself. When many revisions
        are committed in a short time, as while a fleet forms, one push contains several of them.
        """
        revision = self._state.revision
        if revision == self._pushed_revision or now < self._next_push_at:
            return
        self._pushed_revision = revision
        self._next_push_at = now + PUSH_PERIOD_SECONDS
        for router_id, adopted in self._adopted_revisions.items():
            known = max(adopted, self._pushed_to.get(router_id, 0))
            if known >= revision:
                continue
            self._pushed_to[router_id] = revision
            self._output.send(router_id, self._update_since(known))

    def _update_since(self, adopted_revision: int) -> FleetUpdate:
        """Return the update since a revision, which routers at the same revision share.

        After a restart of the fleet all routers request the complete view at once. Because they
        get the same object, it is built only once.
        """
        update = self._cached.get(adopted_revision)
        if update is None or update.revision != self._state.revision:
            update = self._state.update_since(adopted_revision)
            if len(self._cached) >= MAX_CACHED_UPDATES:
                self._cached.clear()
            self._cached[adopted_revision] = update
        return update
