"""Injects the faults of a scenario into the control part of a simulated fleet."""

from collections.abc import Callable

from orchidpath.simulation.control_node import ControlNode
from orchidpath.simulation.environment import NetworkFaults
from orchidpath.simulation.fleet_simulation import FleetSimulation
from orchidpath.simulation.scenario import Scenario

FAULT_PERIOD_SECONDS = 1.5
LONG_FREEZE_SECONDS = 21.0
POWER_FAILURES_AT_SECONDS = (4.0, 14.0, 25.0, 36.0)
HEALING_SHARE = 0.5
"""Share of the halvings of control that heal before the next one."""
FREEZE_SHARE = 0.25
"""Share of the halvings of control at which the leader freezes."""
LONGEST_BEHIND_SECONDS = 2.0
LONGEST_REPLACEMENT_SECONDS = 4.5
"""A voter whose disk was lost is replaced within about this time."""


class FaultDriver:
    """Injects the faults of a scenario into a simulated fleet."""

    def __init__(self, fleet: FleetSimulation) -> None:
        self._fleet = fleet
        self._environment = fleet.environment
        self._random = fleet.environment.random
        self._active = True
        self.second_losses = 0
        self.power_failures = 0

    def stop(self) -> None:
        """Inject no further faults."""
        self._active = False

    def begin(self, scenario: Scenario) -> None:
        """Schedule the faults of a scenario."""
        strikes: dict[Scenario, list[Callable[[], None]]] = {
            Scenario.FAULT_FREE: [],
            Scenario.KILLS: [self._kill_control, self._kill_router],
            Scenario.FREEZES: [self._freeze_control, self._freeze_router],
            Scenario.LONG_FREEZE: [],
            Scenario.PARTITIONS: [
                self._partition,
                self._partition_one_way,
                self._isolate,
                self._heal_links,
            ],
            Scenario.CONTROL_LOST: [],
            Scenario.DISK_LOSS: [self._lose_disk],
            Scenario.SECOND_LOSS: [],
            Scenario.DISK_LOST_IN_POWER_FAILURE: [],
            Scenario.TWO_DISKS_LOST_IN_POWER_FAILURE: [],
            Scenario.CONTROL_HALVED: [self._halve_control],
            Scenario.SLOW_DISKS: [self._slow_disk, self._full_disk],
            Scenario.RESTARTS: [],
            Scenario.BAD_NETWORK: [self._kill_router],
            Scenario.WITNESSES_RESTARTED: [],
            Scenario.MIXED: self._mixed(),
        }
        self._begin_single(scenario)
        choices = strikes.get(scenario, [])
        if scenario is Scenario.MIXED_WITH_REQUESTS:
            choices = self._mixed()
        if choices:
            self._environment.repeat(FAULT_PERIOD_SECONDS, lambda: self._strike(choices))

    def _mixed(self) -> list[Callable[[], None]]:
        return [
            self._kill_control,
            self._kill_router,
            self._freeze_control,
            self._freeze_router,
            self._partition,
            self._partition_one_way,
            self._isolate,
            self._heal_links,
            self._heal_links,
            self._lose_disk,
            self._slow_disk,
            self._full_disk,
            self._worsen_network,
        ]

    def _begin_single(self, scenario: Scenario) -> None:
        """Schedule the faults that come once, or a few times, at a known time."""
        moments: dict[Scenario, list[tuple[float, Callable[[], None]]]] = {
            Scenario.LONG_FREEZE: [(2.0, self._freeze_leader_long)],
            Scenario.CONTROL_LOST: [(3.0, self._lose_control_tier)],
            Scenario.SECOND_LOSS: [(3.0, self._lose_and_repair)],
            Scenario.RESTARTS: [(5.0, self._restart_in_turn), (22.0, self._restart_at_once)],
            Scenario.WITNESSES_RESTARTED: [(2.0, self._partition_seed_routers)],
            Scenario.ROUTERS_UNHEARD: [(2.0, self._hide_routers_from_control)],
            Scenario.DISK_LOST_IN_POWER_FAILURE: [
                (seconds, self._lose_disk_in_power_failure) for seconds in POWER_FAILURES_AT_SECONDS
            ],
            Scenario.TWO_DISKS_LOST_IN_POWER_FAILURE: [
                (seconds, self._lose_two_disks_in_power_failure)
                for seconds in POWER_FAILURES_AT_SECONDS
            ],
        }
        for seconds, strike in moments.get(scenario, []):
            self._environment.schedule(seconds, strike)
        if scenario is Scenario.BAD_NETWORK:
            self._worsen_network()
        if scenario is Scenario.LATE_ANSWERS:
            self._environment.network = NetworkFaults(late=0.3, delay_seconds=0.05)

    def _strike(self, choices: list[Callable[[], None]]) -> None:
        if self._active:
            self._random.choice(choices)()

    def _pick_control(self) -> ControlNode:
        leader = self._fleet.leader()
        if leader is not None and self._random.random() < 0.5:
            return leader
        return self._random.choice(self._fleet.controls)

    def _kill_control(self) -> None:
        control = self._pick_control()
        control.kill()
        self._environment.schedule(self._random.uniform(0.01, 3.0), control.start)

    def _kill_router(self) -> None:
        router = self._random.choice(self._fleet.routers)
        router.kill()
        self._environment.schedule(self._random.uniform(0.01, 3.0), router.start)

    def _freeze_control(self) -> None:
        self._pick_control().freeze(self._random.uniform(0.1, 5.0))

    def _freeze_router(self) -> None:
        self._random.choice(self._fleet.routers).freeze(self._random.uniform(0.1, 5.0))

    def _freeze_leader_long(self) -> None:
        leader = self._fleet.leader()
        if leader is not None:
            leader.freeze(LONG_FREEZE_SECONDS)

    def _lose_control_tier(self) -> None:
        for control in self._fleet.controls:
            control.kill()
            self._environment.schedule(15.0, control.start)

    def _hide_routers_from_control(self) -> None:
        """Let some routers be heard by other routers only, until they are off the roster."""
        for router in self._fleet.routers[:4]:
            for control in self._fleet.controls:
                self._environment.cut(router.address, control.address)

    def _partition_seed_routers(self) -> None:
        """Let a few routers, seeds among them, fall behind; then lose all that know better.

        The restarted routers can only learn the old view, from those few: together they would be a
        majority of witnesses that has forgotten what was confirmed.
        """
        behind = {router.address for router in self._fleet.routers[:3]}
        behind.add(self._fleet.routers[-1].address)
        self._environment.split(behind)
        self._environment.schedule(8.0, lambda: self._restart_the_others(behind))

    def _restart_the_others(self, behind: set[str]) -> None:
        for control in self._fleet.controls:
            control.kill()
            self._environment.schedule(10.0, control.start)
        for router in self._fleet.routers:
            if router.address not in behind:
                router.kill()
                self._environment.schedule(0.1, router.start)
        self._heal_links()

    def _partition(self) -> None:
        addresses = sorted(self._environment.processes)
        side = set(self._random.sample(addresses, self._random.randint(1, len(addresses) // 2)))
        self._environment.split(side)

    def _partition_one_way(self) -> None:
        one, other = self._random.sample(sorted(self._environment.processes), 2)
        self._environment.cut(one, other, both_ways=False)

    def _isolate(self) -> None:
        self._environment.split({self._random.choice(sorted(self._environment.processes))})

    def _heal_links(self) -> None:
        self._environment.partitioned_links.clear()

    def _worsen_network(self) -> None:
        self._environment.network = NetworkFaults(
            loss=self._random.choice((0.0, 0.02, 0.1)),
            duplication=self._random.choice((0.0, 0.05, 0.2)),
            late=self._random.choice((0.0, 0.01, 0.05)),
            delay_seconds=self._random.choice((0.005, 0.02, 0.1)),
        )

    def _slow_disk(self) -> None:
        self._pick_control().sync_seconds = self._random.choice((0.0, 0.05, 0.5, 2.0))

    def _full_disk(self) -> None:
        control = self._pick_control()
        control.files.capacity_bytes = 0
        self._environment.schedule(
            self._random.uniform(0.5, 2.0), lambda: self._empty_disk(control)
        )

    def _empty_disk(self, control: ControlNode) -> None:
        control.files.capacity_bytes = None
        control.start()

    def _lose_disk(self) -> None:
        """Empty one disk, if the fleet is whole: all voters hold everything and run."""
        leader = self._fleet.leader()
        if leader is None or not self._is_complete(leader):
            return
        control = self._pick_control()
        control.lose_disk()
        self._environment.schedule(self._random.uniform(0.01, 3.0), control.start)

    def _is_complete(self, leader: ControlNode) -> bool:
        """Whether all voters are there, run on their own disks and hold all that is committed."""
        core = leader.core
        if core is None or not core.raft.membership_committed:
            return False
        voters = core.raft.membership.voters
        running = {control.node_id for control in self._fleet.controls if control.alive}
        complete = all(core.raft.match_index(one) >= core.raft.commit_index for one in voters)
        return len(voters) == self._fleet.shape.voters and set(voters) <= running and complete

    def _lose_and_repair(self) -> None:
        """Empty the leader's disk right away, and another as soon as the repair is done."""
        leader = self._fleet.leader()
        if leader is None:
            self._environment.schedule(0.5, self._lose_and_repair)
            return
        leader.lose_disk()
        self._environment.schedule(1.0, leader.start)
        self._environment.schedule(0.1, lambda: self._lose_when_repaired(leader.node_id))

    def _lose_when_repaired(self, lost_id: str) -> None:
        leader = self._fleet.leader()
        core = leader.core if leader is not None else None
        repaired = core is not None and lost_id not in core.raft.membership.voters
        if leader is None or not repaired or not self._is_complete(leader):
            self._environment.schedule(0.02, lambda: self._lose_when_repaired(lost_id))
            return
        second = self._pick_control()
        second.lose_disk()
        self.second_losses += 1
        self._environment.schedule(1.0, second.start)

    def _lose_disk_in_power_failure(self) -> None:
        """Empty one disk while every process loses power, with another voter behind.

        What was confirmed is then held by those voters only that had synced it and still have their
        disks: of three voters, by a single one if the third was partitioned at that moment.
        """
        leader = self._fleet.leader()
        if leader is None or not self._is_complete(leader):
            self._environment.schedule(0.05, self._lose_disk_in_power_failure)
            return
        behind = self._random.choice(self._voting(but=leader))
        self._partition_from_control(behind)
        self._environment.schedule(
            self._random.uniform(0.0, LONGEST_BEHIND_SECONDS),
            lambda: self._fail_power([self._random.choice(self._voting(but=behind))]),
        )

    def _lose_two_disks_in_power_failure(self) -> None:
        """Empty two of five disks, the second while every process loses power.

        The first one's voter is being replaced at that moment, and a third voter is behind, being
        partitioned: of five voters two are left that hold what was confirmed.
        """
        leader = self._fleet.leader()
        if leader is None or not self._is_complete(leader):
            self._environment.schedule(0.05, self._lose_two_disks_in_power_failure)
            return
        behind = self._random.choice(self._voting(but=leader))
        self._partition_from_control(behind)
        first = self._random.choice(self._voting(but=behind))
        second = self._random.choice([one for one in self._voting(but=behind) if one is not first])
        first.lose_disk()
        self._environment.schedule(self._random.uniform(0.1, 1.0), first.start)
        self._environment.schedule(
            self._random.uniform(0.0, LONGEST_REPLACEMENT_SECONDS),
            lambda: self._fail_power([second]),
        )

    def _voting(self, but: ControlNode) -> list[ControlNode]:
        """Return the control processes that vote, without one of them."""
        leader = self._fleet.leader()
        core = leader.core if leader is not None else None
        voters = core.raft.membership.voters if core is not None else ()
        voting = [one for one in self._fleet.controls if one.node_id in voters and one is not but]
        return voting or [one for one in self._fleet.controls if one is not but]

    def _partition_from_control(self, control: ControlNode) -> None:
        """Cut one control process off from the others; it falls behind."""
        for other in self._fleet.controls:
            if other is not control:
                self._environment.cut(control.address, other.address)

    def _fail_power(self, lost: list[ControlNode]) -> None:
        """Have every process lose power, and some their disks; links heal with the power."""
        for process in [*self._fleet.controls, *self._fleet.routers]:
            process.kill()
            self._environment.schedule(self._random.uniform(0.3, 1.5), process.start)
        for control in lost:
            control.lose_disk()
        self._heal_links()
        self.power_failures += 1

    def _halve_control(self) -> None:
        """Cut the control processes into two halves that everybody else still reaches.

        The halves change from one moment to the next: whoever was alone wants an election, and is
        joined by a process that has just heard the leader, which is alone now and still has its
        lease. The leader may also freeze, and wake in the smaller half.
        """
        self._heal_links()
        leader = self._fleet.leader()
        if leader is not None and self._random.random() < FREEZE_SHARE:
            leader.freeze(self._random.uniform(0.1, 3.0))
        names = [control.address for control in self._fleet.controls]
        self._random.shuffle(names)
        half = len(names) // 2
        for one in names[:half]:
            for other in names[half:]:
                self._environment.cut(one, other)
        if self._random.random() < HEALING_SHARE:
            self._environment.schedule(self._random.uniform(0.1, 1.4), self._heal_links)

    def _restart_in_turn(self) -> None:
        everything = [*self._fleet.controls, *self._fleet.routers]
        self._random.shuffle(everything)
        for number, process in enumerate(everything):
            self._environment.schedule(number * 1.0, process.kill)
            self._environment.schedule(number * 1.0 + 0.7, process.start)

    def _restart_at_once(self) -> None:
        for process in [*self._fleet.controls, *self._fleet.routers]:
            process.kill()
            self._environment.schedule(self._random.uniform(0.5, 2.0), process.start)
