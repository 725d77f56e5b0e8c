"""Renews router leases on heartbeats and removes routers without heartbeats; performs no I/O."""

from collections.abc import Mapping

from orchidpath.control.leadership.liveness import LivenessTracker
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import RegisterRouter, RemoveRouter
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import RouterHeartbeat, RouterHeartbeatReply, RouterLeaving

REGISTRATION_RETRY_SECONDS = 0.4
"""A router's registration is not proposed again within this time after its last heartbeat.

Within this time the earlier proposal may still be in the log, not yet applied.
"""


class RouterLeases:
    """Renews the leases of routers and tracks the revision that each router has adopted.

    Parameters
    ----------
    term
        Term of this leadership.
    state
        The replicated state.
    liveness
        Records the routers' heartbeats.
    output
        Collects the replies and proposals.
    """

    def __init__(
        self, term: int, state: FleetState, liveness: LivenessTracker, output: ControlOutput
    ) -> None:
        self._term = term
        self._state = state
        self._liveness = liveness
        self._output = output
        self._adopted: dict[str, int] = {}
        self._incarnations: dict[str, str] = {}
        self._leaving: dict[str, str] = {}
        self._awaiting_removal: set[str] = set()

    @property
    def adopted_revisions(self) -> Mapping[str, int]:
        """Adopted revision by router id, for routers with a heartbeat in this leadership."""
        return self._adopted

    def renew(self, heartbeat: RouterHeartbeat, now: float) -> None:
        """Renew a router's lease, record its adopted revision and register the router if necessary.

        The caller has checked that this leader holds its own lease at ``now``.
        """
        router_id = heartbeat.record.router_id
        if self._leaving.get(router_id) == heartbeat.incarnation:
            return  # A late heartbeat must not register the router again.
        self._leaving.pop(router_id, None)
        self._awaiting_removal.discard(router_id)
        self._incarnations[router_id] = heartbeat.incarnation
        registered = self._state.find_router(router_id) == heartbeat.record
        age_seconds = self._liveness.seconds_since_heartbeat(router_id, now)
        if not registered and age_seconds > REGISTRATION_RETRY_SECONDS:
            self._output.propose(RegisterRouter(record=heartbeat.record))
        self._liveness.record_router_contact(router_id, now)
        self._adopted[router_id] = heartbeat.adopted_revision
        reply = RouterHeartbeatReply(
            term=self._term,
            sequence=heartbeat.sequence,
            revision=self._state.revision,
            registered=registered,
        )
        self._output.send(router_id, reply)

    def leave(self, leaving: RouterLeaving) -> None:
        """Remove a router that leaves; once the state shows it, answer that it is not registered.

        Only an incarnation of which this leader has received a heartbeat can leave, and no later
        one: a router that has restarted may answer queries again.
        """
        router_id = leaving.router_id
        if self._incarnations.get(router_id) != leaving.incarnation:
            return
        self._leaving[router_id] = leaving.incarnation
        self._awaiting_removal.add(router_id)
        self._adopted.pop(router_id, None)
        if not self._has_left(router_id):
            self._output.propose_once(RemoveRouter(router_id=router_id, left=True))
            return
        reply = RouterHeartbeatReply(
            term=self._term, sequence=0, revision=self._state.revision, registered=False
        )
        self._output.send(router_id, reply)

    def take_departed(self) -> list[str]:
        """Return the routers that have left, as the state shows, since the last call."""
        departed = [router_id for router_id in self._awaiting_removal if self._has_left(router_id)]
        self._awaiting_removal.difference_update(departed)
        return sorted(departed)

    def _has_left(self, router_id: str) -> bool:
        is_registered = self._state.find_router(router_id) is not None
        return not is_registered and not self._state.is_witness(router_id)

    def propose_removals(self, now: float) -> None:
        """Propose to remove routers without a heartbeat for too long."""
        router_ids = [router.router_id for router in self._state.routers()]
        for router_id in self._liveness.silent_routers(router_ids, now):
            self._output.propose(RemoveRouter(router_id=router_id))
