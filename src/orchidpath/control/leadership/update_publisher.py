"""Sends routers the revisions that they lack; pure."""

from collections.abc import Mapping

from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import FleetUpdate, FleetUpdateRequest

PUSH_PERIOD_SECONDS = 0.05
"""Least time between two pushes of changes; the first change after a calm goes out at once."""

MAX_CACHED_UPDATES = 16
"""Updates that are cached, each for the routers that have adopted one revision."""


class UpdatePublisher:
    """Pushes new revisions to routers and answers their requests for updates.

    Parameters
    ----------
    state
        The replicated state.
    adopted_revisions
        Revision that each router heard in this leadership has adopted; read at each push.
    output
        Where updates go.
    now
        Start of this leadership, monotonic seconds.
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
        """Send a router all that lies above the revision it names."""
        self._output.send(router_id, self._update_since(request.adopted_revision))

    def push(self, now: float) -> None:
        """Push the newest revision to every router that was heard and not sent it yet.

        A router that is heard for the first time asks by itself when it lacks something. In a storm
        of changes, such as a fleet that forms, many revisions go out together.
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
        """Return one and the same update for every router that has adopted the same revision.

        When a whole fleet restarts, all routers ask at once for the whole view.
        """
        update = self._cached.get(adopted_revision)
        if update is None or update.revision != self._state.revision:
            update = self._state.update_since(adopted_revision)
            if len(self._cached) >= MAX_CACHED_UPDATES:
                self._cached.clear()
            self._cached[adopted_revision] = update
        return update
