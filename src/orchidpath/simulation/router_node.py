"""A simulated router's control part: the real freshness core and leader finder."""

from collections.abc import Callable, Sequence

from orchidpath.router.fleet_link.leader_finder import LeaderFinder
from orchidpath.routing.freshness import (
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
    """One router: its lease, its view, and what it forwards; no requests.

    Parameters
    ----------
    environment
        Where it runs.
    address
        Its address, which is its id as well.
    zone
        Its zone.
    seeds
        Three addresses of any processes.
    guards
        Guards to leave out.
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
        self._acknowledging = False

    @property
    def node_id(self) -> str:
        """The router's id."""
        return self.address

    @property
    def view(self) -> FleetView | None:
        """The adopted view."""
        return self.core.view if self.core is not None else None

    def is_fresh(self) -> bool:
        """Whether a request that came now would be served."""
        running = self.alive and not self.frozen and self.core is not None
        return running and self.core is not None and self.core.is_fresh(self.now)

    def on_start(self) -> None:
        """Begin without any view."""
        incarnation = f"{self.address}-{self.epoch}"
        self.core = FreshnessCore(self._record, incarnation, self.now, self._guards)
        self._finder = LeaderFinder(self._seeds, self.now)
        self._acknowledging = False
        self.every(TURN_SECONDS, self._turn)

    def on_kill(self) -> None:
        """Lose everything: a router needs no disk."""
        self.core = None

    def announce(self, announcement: Announcement) -> None:
        """Forward a worker's announcement."""
        if self.alive and not self.frozen:
            self._send_to_leader(ForwardedAnnouncements(announcements=(announcement,)))

    def on_message(self, sender_id: str, message: Message) -> None:
        """Take a message as the real shell does."""
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
        """Apply a newly adopted view; a router without requests has nothing to do."""

    def _acknowledge_soon(self, delay_seconds: float) -> None:
        if not self._acknowledging:
            self._acknowledging = True
            self.after(delay_seconds, self._acknowledge)

    def _acknowledge(self) -> None:
        assert self.core is not None
        self._acknowledging = False
        self._execute(self.core.heartbeat(self.now))

    def _send_to_leader(self, message: Message) -> None:
        if self._finder.leader_address:
            self.send(self._finder.leader_address, message)
