"""Renews router leases on heartbeats and removes routers without heartbeats; performs no I/O."""

from collections.abc import Mapping

from orchidpath.control.leadership.liveness import LivenessTracker
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import RegisterRouter, RemoveRouter
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import RouterHeartbeat, RouterHeartbeatReply

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

    @property
    def adopted_revisions(self) -> Mapping[str, int]:
        """Adopted revision by router id, for routers with a heartbeat in this leadership."""
        return self._adopted

    def renew(self, heartbeat: RouterHeartbeat, now: float) -> None:
        """Renew a router's lease, record its adopted revision and register the router if necessary.

        The caller has checked that this leader holds its own lease at ``now``.
        """
        router_id = heartbeat.record.router_id
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

    def propose_removals(self, now: float) -> None:
        """Propose to remove routers without a heartbeat for too long."""
        router_ids = [router.router_id for router in self._state.routers()]
        for router_id in self._liveness.silent_routers(router_ids, now):
            self._output.propose(RemoveRouter(router_id=router_id))
