"""Simulation of the control plane of a complete fleet under faults, in virtual time.

A seed determines the run. Control processes and routers use the same cores as the real processes,
and so do workers in the simulations where they execute requests or commands. docs/PROOFS.md lists
what the simulation leaves out.
"""

import msgspec

from orchidpath.consensus.types import Guard, Membership
from orchidpath.control.leadership.confirmation import ConfirmationGuard
from orchidpath.routing.freshness import FreshnessGuard
from orchidpath.routing.request.guards import Guard as RequestGuard
from orchidpath.simulation.control_node import ControlNode
from orchidpath.simulation.environment import NetworkFaults, SimulatedEnvironment
from orchidpath.simulation.fleet_checks import FleetHistory, InvariantError
from orchidpath.simulation.member_links import MemberLinks
from orchidpath.simulation.operators import Operators
from orchidpath.simulation.requests.path_guards import PathGuard
from orchidpath.simulation.router_node import RouterNode
from orchidpath.simulation.worker_node import WorkerNode

START_SECONDS = 8.0
"""Time in which the fleet forms, before the first fault is injected."""

RECOVERY_SECONDS = 12.0
"""All routers must serve again within this time after the last fault ended (a requirement)."""


class FleetShape(msgspec.Struct, frozen=True, kw_only=True):
    """Number of processes of each role and of zones; ``voters`` control processes are voters."""

    controls: int
    routers: int
    zones: int
    workers: int
    voters: int = 3


VINBRUG = FleetShape(controls=4, routers=10, zones=4, workers=9)
AGENCY = FleetShape(controls=3, routers=11, zones=3, workers=12)
FIVE_VOTERS = FleetShape(controls=7, routers=10, zones=5, workers=9, voters=5)
"""With five voters, two disks may be lost at the same time."""


class DisabledGuards(msgspec.Struct, frozen=True):
    """Guards to disable in each core, to verify that the checks detect their absence."""

    raft: frozenset[Guard] = frozenset()
    freshness: frozenset[FreshnessGuard] = frozenset()
    confirmation: frozenset[ConfirmationGuard] = frozenset()
    request: frozenset[RequestGuard] = frozenset()
    path: frozenset[PathGuard] = frozenset()


class FleetSimulation:
    """One simulated fleet with its operators and its history.

    Parameters
    ----------
    seed
        Determines the whole run.
    shape
        Number of processes of each role.
    disabled
        Guards to disable.
    """

    def __init__(self, seed: int, shape: FleetShape, disabled: DisabledGuards) -> None:
        self.shape = shape
        self.environment = SimulatedEnvironment(seed)
        self.history = FleetHistory()
        self.prepare(disabled)
        control_names = [f"c{number}" for number in range(shape.controls)]
        router_names = [f"r{number}" for number in range(shape.routers)]
        seeds = [control_names[0], router_names[0], router_names[-1]]
        self._control_seeds = [*seeds, *control_names]
        self._disabled = disabled
        self.controls = [self._make_control(name) for name in control_names]
        self.routers = [
            self.make_router(name, f"z{number % shape.zones}", seeds, disabled)
            for number, name in enumerate(router_names)
        ]
        self.workers: list[WorkerNode] = []
        self.make_workers(shape)
        self.operators = Operators(self.environment, self.controls, self.history)
        for router in self.routers:
            router.on_observed = self._router_observed

    def replace_control(self, lost: ControlNode, address: str) -> ControlNode:
        """Lose a machine for good, and return an empty one at a new address, still to be started.

        Parameters
        ----------
        lost
            The control process that is lost with its disk.
        address
            Address of its successor.
        """
        lost.kill()
        self.controls.remove(lost)
        successor = self._make_control(address)
        if lost.links is not None:
            successor.links = MemberLinks(self.environment)
        self.controls.append(successor)
        return successor

    def model_links(self) -> None:
        """Let control processes reach new members only once they have connected to them."""
        for control in self.controls:
            control.links = MemberLinks(self.environment)

    def _make_control(self, name: str) -> ControlNode:
        control = ControlNode(
            self.environment,
            name,
            self._control_seeds,
            self._disabled.raft,
            self._disabled.confirmation,
            self.shape.voters,
        )
        control.after_turn = self._after_control_turn
        return control

    def prepare(self, disabled: DisabledGuards) -> None:
        """Create the objects that the processes share, before any process is created.

        The base class has no such objects. Subclasses override this method.
        """

    def make_router(
        self, name: str, zone: str, seeds: list[str], disabled: DisabledGuards
    ) -> RouterNode:
        """Return a new router that handles no requests."""
        return RouterNode(self.environment, name, zone, seeds, disabled.freshness)

    def make_workers(self, shape: FleetShape) -> None:
        """Create workers that announce themselves but handle no requests."""
        self.workers = [
            WorkerNode(self.environment, f"w{number}", self.routers)
            for number in range(shape.workers)
        ]

    def start(self) -> None:
        """Start all processes and run until the fleet has formed (`START_SECONDS`)."""
        voters = [control.load_identity() for control in self.controls[: self.shape.voters]]
        addresses = {node_id: node_id.partition(".")[0] for node_id in voters}
        membership = Membership(tuple(voters), (), addresses)
        for control in self.controls:
            if control.node_id in voters:
                control.bootstrap_with(membership)
            control.start()
        for router in self.routers:
            router.start()
        for worker in self.workers:
            worker.start()
        self.environment.run_until(START_SECONDS)

    def heal(self) -> None:
        """End all faults and start all processes that are not running."""
        self.environment.network = NetworkFaults()
        self.environment.partitioned_links.clear()
        self.operators.answers_get_lost = False
        for control in self.controls:
            control.sync_seconds = 0.0
            control.files.sync_fails = False
            control.files.capacity_bytes = None
            control.start()
        for router in self.routers:
            router.start()
        for worker in self.workers:
            if not worker.running:
                worker.start()

    def leader(self) -> ControlNode | None:
        """Return the control process that currently has authority over the fleet, if any."""
        for control in self.controls:
            if self._has_authority(control):
                return control
        return None

    def check_recovered(self) -> None:
        """Check that the fleet serves again and has lost no confirmed configuration update.

        The caller must have run `RECOVERY_SECONDS` of virtual time without faults.

        Raises
        ------
        InvariantError
            There is no leader, the set of voters is incomplete, a router has no fresh view, a new
            configuration update is not confirmed, or the final state contradicts the history.
        """
        self._check_final_state()
        unready = [router.address for router in self.routers if not router.is_fresh()]
        if unready:
            raise InvariantError(
                f"routers not serving after the faults ended: {', '.join(unready)}"
            )
        before = self.history.confirmed_updates
        leader = self.leader()
        assert leader is not None
        assert leader.core is not None
        update = self.operators.new_update(leader.core.state.configuration_version)
        self.operators.submit(update)
        self.environment.run_until(self.environment.time + RECOVERY_SECONDS)
        if self.history.confirmed_updates == before:
            raise InvariantError("no configuration update was confirmed after the faults ended")
        self._check_final_state()

    def _check_final_state(self) -> None:
        leader = self.leader()
        if leader is None or leader.core is None:
            raise InvariantError("no leader after the faults ended")
        state = leader.core.state
        membership = leader.core.raft.membership
        desired = {control.node_id for control in self.controls}
        if len(membership.voters) != self.shape.voters or not set(membership.voters) <= desired:
            raise InvariantError(f"the set of voters was not restored: {membership.voters}")
        order_by_version = {entry.version: entry.order_id for entry in state.history()}
        self.history.check_final_state(state.configuration_version, order_by_version)

    def _has_authority(self, control: ControlNode) -> bool:
        core = control.core
        running = control.is_running and not control.frozen and core is not None
        return running and core is not None and core.has_authority(control.now)

    def _after_control_turn(self, control: ControlNode) -> None:
        """Check the invariants that span several processes, after a turn of a control process.

        At most one control process has authority. When the leader confirms a newer revision, all
        routers are checked against it.
        """
        core = control.core
        if core is None or not core.has_authority(control.now):
            return
        leaders = [node.node_id for node in self.controls if self._has_authority(node)]
        self.history.leaders_observed(leaders)
        if core.duties is None:
            return
        confirmed = core.duties.confirmation.confirmed_revision
        if confirmed > self.history.confirmed_revision:
            self.history.revision_confirmed(confirmed)
            for router in self.routers:
                self._router_observed(router)

    def _router_observed(self, router: RouterNode) -> None:
        view = router.view
        if view is None or not router.is_running or router.frozen:
            return
        self.history.router_observed(
            router.address,
            router.epoch,
            router.is_fresh(),
            view.revision,
            view.configuration_version,
        )
