"""Routers that leave a simulated fleet: some start again at once, others leave for good."""

from collections.abc import Callable
from functools import partial

from orchidpath.routing.freshness import LEAVE_TIMEOUT_SECONDS
from orchidpath.simulation.fleet_simulation import FleetSimulation
from orchidpath.simulation.router_node import RouterNode

LEAVE_PERIOD_SECONDS = 1.3
"""Time between two routers that leave in turn."""

MAX_COMMIT_SECONDS = 0.1
"""Longest time in which a leader commits that a router has left."""

REMAINING_ROUTERS = 4
"""Number of routers that stay; fewer than half of the witnesses of a whole fleet."""


class RouterDepartures:
    """Faults in which routers leave a fleet.

    Parameters
    ----------
    fleet
        The fleet that the routers leave.
    """

    def __init__(self, fleet: FleetSimulation) -> None:
        self._fleet = fleet
        self._environment = fleet.environment

    def timed_faults(self) -> list[tuple[float, Callable[[], None]]]:
        """Return the faults and when they begin, in seconds from the first one's time."""
        return [(2.0, self._restart_witnesses_unheard), (24.0, self._shrink_fleet)]

    def _restart_witnesses_unheard(self) -> None:
        """Let two witnesses leave and start again, while no router hears that they have left.

        All routers are partitioned from control just after the two have told the leader, so the two
        become fresh by witnesses that know nothing of it. Then they and three others are
        partitioned from the rest, which reaches control again. The five are a majority of the
        witnesses that their views name; the leader counts on the silence of the two.
        """
        leader = self._fleet.leader()
        if leader is None or leader.core is None:
            return
        witnesses = set(leader.core.state.witnesses)
        dark = [router for router in self._fleet.routers if router.address in witnesses][:5]
        for router in dark[:2]:
            router.leave()
            self._environment.schedule(LEAVE_TIMEOUT_SECONDS + 0.1, router.start)
        unheard_from = self._environment.random.uniform(0.0, MAX_COMMIT_SECONDS)
        self._environment.schedule(unheard_from, self._partition_routers_from_control)
        addresses = {router.address for router in dark}
        self._environment.schedule(4.0, partial(self._partition_only, addresses))
        self._environment.schedule(16.0, self._environment.partitioned_links.clear)

    def _partition_routers_from_control(self) -> None:
        for router in self._fleet.routers:
            for control in self._fleet.controls:
                self._environment.cut(router.address, control.address)

    def _partition_only(self, addresses: set[str]) -> None:
        self._environment.partitioned_links.clear()
        self._environment.split(addresses)

    def _shrink_fleet(self) -> None:
        """Let all routers but `REMAINING_ROUTERS` leave for good, at once or one after another."""
        random = self._environment.random
        count = len(self._fleet.routers) - REMAINING_ROUTERS
        period_seconds = random.choice((0.0, LEAVE_PERIOD_SECONDS))
        for position, router in enumerate(random.sample(self._fleet.routers, count)):
            self._environment.schedule(period_seconds * position, partial(self._remove, router))

    def _remove(self, router: RouterNode) -> None:
        self._fleet.routers.remove(router)
        router.leave()
