"""The control plane client of a simulated router: the real freshness core and leader finder."""

from collections.abc import Callable, Sequence

from orchidpath.router.fleet_link.leader_finder import LeaderFinder
from orchidpath.routing.freshness import (
    LEAVE_TIMEOUT_SECONDS,
    AcknowledgeSoon,
    FreshnessCore,
    FreshnessEffect,
    FreshnessGuard,
    SendToLeader,
    SendToRouter,
    ViewAdopted,
)
from orchidpath.simulation.environment import SimulatedEnvironment, SimulatedProcess
from orchidpath.wire.backend import Announcement
from orchidpath.wire.messages import (
    ControlMembers,
    FleetUpdate,
    ForwardedAnnouncements,
    FreshnessQuery,
    FreshnessReply,
    Message,
    RouterHeartbeatReply,
    WhoIsControl,
)
from orchidpath.wire.records import FleetView, RouterRecord

TURN_SECONDS = 0.05


class RouterNode(SimulatedProcess):
    """One simulated router, which holds a lease and a view of the fleet but handles no requests.

    It forwards announcements of workers to the leader.

    Parameters
    ----------
    environment
        The environment that the router runs in.
    address
        Network address of the router, which is also its id.
    zone
        Zone of the router.
    seeds
        Addresses of processes that the router queries for the leader at first.
    guards
        Guards to disable.
    """

    def __init__(
        self,
        environment: SimulatedEnvironment,
        address: str,
        zone: str,
        seeds: Sequence[str],
        guards: frozenset[FreshnessGuard],
    ) -> None:
        super().__init__(environment, address)
        self.core: FreshnessCore | None = None
        self.on_observed: Callable[[RouterNode], None] = lambda _router: None
        self._record = RouterRecord(
            router_id=address, address=address, http_address=address, zone=zone
        )
        self._seeds = seeds
        self._guards = guards
        self._finder = LeaderFinder(seeds, 0.0)
        self._acknowledgement_scheduled = False

    @property
    def node_id(self) -> str:
        """Id of the router."""
        return self.address

    @property
    def view(self) -> FleetView | None:
        """The adopted view of the fleet, or None before the first one and while not running."""
        return self.core.view if self.core is not None else None

    def is_fresh(self) -> bool:
        """Return whether the router would serve a request that arrived now."""
        running = self.is_running and not self.frozen and self.core is not None
        return running and self.core is not None and self.core.is_fresh(self.now)

    def on_start(self) -> None:
        """Start as a new incarnation without a view."""
        incarnation = f"{self.address}-{self.epoch}"
        self.core = FreshnessCore(self._record, incarnation, self.now, self._guards)
        self._finder = LeaderFinder(self._seeds, self.now)
        self._acknowledgement_scheduled = False
        self.every(TURN_SECONDS, self._turn)

    def on_kill(self) -> None:
        """Discard all state; a router has no disk."""
        self.core = None

    def leave(self) -> None:
        """Leave the fleet, and end once the leader has recorded it or the time is over."""
        if self.is_running:
            self._leave_until(self.now + LEAVE_TIMEOUT_SECONDS)

    def _leave_until(self, deadline: float) -> None:
        core = self.core
        assert core is not None
        if core.has_left or self.now > deadline:
            self.kill()
            return
        self._execute(core.leave())
        self.after(TURN_SECONDS, lambda: self._leave_until(deadline))

    def announce(self, announcement: Announcement) -> None:
        """Forward an announcement of a worker to the leader, if the router is running."""
        if self.is_running and not self.frozen:
            self._send_to_leader(ForwardedAnnouncements(announcements=(announcement,)))

    def on_message(self, sender_id: str, message: Message) -> None:
        """Process a message in the same way as the shell of the real process."""
        core = self.core
        assert core is not None
        sender_address = sender_id.partition(".")[0]
        match message:
            case ControlMembers():
                self._finder.update_members(message)
            case WhoIsControl():
                self.send(sender_address, self._finder.members)
            case RouterHeartbeatReply():
                self._finder.record_leader_contact(self.now)
                self._execute(core.receive_heartbeat_reply(message, self.now))
            case FleetUpdate():
                self._execute(core.receive_update(message, self.now))
            case FreshnessQuery():
                self._execute(core.receive_query(message, sender_address, self.now))
            case FreshnessReply():
                self._execute(core.receive_reply(message, self.now))
            case _:
                pass
        self.on_observed(self)

    def _turn(self) -> None:
        core = self.core
        assert core is not None
        self.on_observed(self)
        self._execute(core.tick(self.now))
        if not self._finder.should_query(self.now):
            return
        for address in sorted(self._finder.addresses(self.now)):
            if address != self.address:
                self.send(address, WhoIsControl())
                if core.view is None:
                    self.send(address, core.seed_query(self.now))

    def _execute(self, effects: Sequence[FreshnessEffect]) -> None:
        for effect in effects:
            match effect:
                case SendToLeader():
                    self._send_to_leader(effect.message)
                case SendToRouter():
                    self.send(effect.address, effect.message)
                case AcknowledgeSoon():
                    self._acknowledge_soon(effect.delay_seconds)
                case ViewAdopted():
                    self.on_view_adopted(effect.view)

    def on_view_adopted(self, view: FleetView) -> None:
        """Handle a newly adopted view; subclasses that serve requests override this method."""

    def _acknowledge_soon(self, delay_seconds: float) -> None:
        if not self._acknowledgement_scheduled:
            self._acknowledgement_scheduled = True
            self.after(delay_seconds, self._acknowledge)

    def _acknowledge(self) -> None:
        assert self.core is not None
        self._acknowledgement_scheduled = False
        self._execute(self.core.heartbeat(self.now))

    def _send_to_leader(self, message: Message) -> None:
        if self._finder.leader_address:
            self.send(self._finder.leader_address, message)
