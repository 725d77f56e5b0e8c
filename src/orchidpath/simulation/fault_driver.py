"""Injects the faults of a scenario into the control plane of a simulated fleet."""

from collections.abc import Callable

from orchidpath.simulation.control_node import ControlNode
from orchidpath.simulation.environment import NetworkFaults
from orchidpath.simulation.fleet_simulation import FleetSimulation
from orchidpath.simulation.router_departures import RouterDepartures
from orchidpath.simulation.scenario import Scenario

FAULT_PERIOD_SECONDS = 1.5
LONG_FREEZE_SECONDS = 21.0
POWER_FAILURES_AT_SECONDS = (4.0, 14.0, 25.0, 36.0)
HEALING_PROBABILITY = 0.5
"""Probability that a partition of the control processes is healed before the next one."""
FREEZE_PROBABILITY = 0.25
"""Probability that the leader freezes when the control processes are partitioned."""
MAX_LAG_SECONDS = 2.0
"""Longest time for which a voter is partitioned before the power failure."""
MAX_REPLACEMENT_SECONDS = 4.5
"""A voter that lost its disk is replaced within about this time."""


NEW_ADDRESS = "c-new"
"""Address of a machine that replaces another one."""
CATCH_UP_SECONDS = 4.0
"""A machine that was added counts as lost for this long after its start."""


class FaultDriver:
    """Injects the faults of a scenario into a simulated fleet.

    Parameters
    ----------
    fleet
        The fleet that the faults are injected into.
    """

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
        recurring_faults: dict[Scenario, list[Callable[[], None]]] = {
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
            Scenario.MACHINE_REPLACED_LATE: [],
            Scenario.DISK_LOST_IN_POWER_FAILURE: [],
            Scenario.TWO_DISKS_LOST_IN_POWER_FAILURE: [],
            Scenario.CONTROL_HALVED: [self._partition_control_in_halves],
            Scenario.SLOW_DISKS: [self._slow_disk, self._full_disk],
            Scenario.RESTARTS: [],
            Scenario.BAD_NETWORK: [self._kill_router],
            Scenario.WITNESSES_RESTARTED: [],
            Scenario.MIXED: self._mixed_faults(),
        }
        self._schedule_timed_faults(scenario)
        choices = recurring_faults.get(scenario, [])
        if scenario is Scenario.MIXED_WITH_REQUESTS:
            choices = self._mixed_faults()
        if choices:
            self._environment.repeat(FAULT_PERIOD_SECONDS, lambda: self._inject_fault(choices))

    def _mixed_faults(self) -> list[Callable[[], None]]:
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

    def _schedule_timed_faults(self, scenario: Scenario) -> None:
        """Schedule the faults that occur once, or a few times, at fixed times."""
        timed_faults: dict[Scenario, list[tuple[float, Callable[[], None]]]] = {
            Scenario.LONG_FREEZE: [(2.0, self._freeze_leader_long)],
            Scenario.CONTROL_LOST: [(3.0, self._kill_all_controls)],
            Scenario.SECOND_LOSS: [(3.0, self._lose_disk_twice)],
            Scenario.MACHINE_REPLACED_LATE: [(3.0, self._replace_machine)],
            Scenario.RESTARTS: [(5.0, self._restart_in_turn), (22.0, self._restart_at_once)],
            Scenario.WITNESSES_RESTARTED: [(2.0, self._partition_seed_routers)],
            Scenario.ROUTERS_LEAVE: RouterDepartures(self._fleet).timed_faults(),
            Scenario.ROUTERS_UNHEARD: [(2.0, self._partition_routers_from_control)],
            Scenario.DISK_LOST_IN_POWER_FAILURE: [
                (seconds, self._lose_disk_in_power_failure) for seconds in POWER_FAILURES_AT_SECONDS
            ],
            Scenario.TWO_DISKS_LOST_IN_POWER_FAILURE: [
                (seconds, self._lose_two_disks_in_power_failure)
                for seconds in POWER_FAILURES_AT_SECONDS
            ],
        }
        for seconds, inject_fault in timed_faults.get(scenario, []):
            self._environment.schedule(seconds, inject_fault)
        if scenario is Scenario.BAD_NETWORK:
            self._worsen_network()
        if scenario is Scenario.LATE_ANSWERS:
            self._environment.network = NetworkFaults(late=0.3, delay_seconds=0.05)

    def _inject_fault(self, choices: list[Callable[[], None]]) -> None:
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

    def _kill_all_controls(self) -> None:
        for control in self._fleet.controls:
            control.kill()
            self._environment.schedule(15.0, control.start)

    def _partition_routers_from_control(self) -> None:
        """Partition four routers from all control processes; their links to other routers stay up.

        The partition lasts long enough for the leader to remove these routers from the fleet.
        """
        for router in self._fleet.routers[:4]:
            for control in self._fleet.controls:
                self._environment.cut(router.address, control.address)

    def _partition_seed_routers(self) -> None:
        """Partition four routers, among them the seed routers, and later restart all others.

        The partitioned routers keep an old view. After 8 s the links are healed, all control
        processes are killed for 10 s, and all other routers are restarted. The restarted routers
        can receive only the old view, from the partitioned ones. Without a guard, all these routers
        together would be a majority of witnesses that has lost the confirmed view.
        """
        behind = {router.address for router in self._fleet.routers[:3]}
        behind.add(self._fleet.routers[-1].address)
        self._environment.split(behind)
        self._environment.schedule(8.0, lambda: self._restart_all_except(behind))

    def _restart_all_except(self, behind: set[str]) -> None:
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
        sender, receiver = self._random.sample(sorted(self._environment.processes), 2)
        self._environment.cut(sender, receiver, both_ways=False)

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
            self._random.uniform(0.5, 2.0), lambda: self._free_disk_space(control)
        )

    def _free_disk_space(self, control: ControlNode) -> None:
        control.files.capacity_bytes = None
        control.start()

    def _lose_disk(self) -> None:
        """Erase one disk, if all voters run and store all committed entries."""
        leader = self._fleet.leader()
        if leader is None or not self._is_fully_replicated(leader):
            return
        control = self._pick_control()
        control.lose_disk()
        self._environment.schedule(self._random.uniform(0.01, 3.0), control.start)

    def _is_fully_replicated(self, leader: ControlNode) -> bool:
        """Return whether the set of voters is complete and fully replicated.

        All voters must run with their own disks and store all committed entries.
        """
        core = leader.core
        if core is None or not core.raft.membership_committed:
            return False
        voters = core.raft.membership.voters
        running = {control.node_id for control in self._fleet.controls if control.is_running}
        complete = all(core.raft.match_index(voter) >= core.raft.commit_index for voter in voters)
        return len(voters) == self._fleet.shape.voters and set(voters) <= running and complete

    def _lose_disk_twice(self) -> None:
        """Erase the leader's disk, and a second disk as soon as the first voter is replaced."""
        leader = self._fleet.leader()
        if leader is None:
            self._environment.schedule(0.5, self._lose_disk_twice)
            return
        leader.lose_disk()
        self._environment.schedule(1.0, leader.start)
        self._environment.schedule(0.1, lambda: self._lose_second_disk(leader.node_id))

    def _lose_second_disk(self, lost_id: str) -> None:
        leader = self._fleet.leader()
        core = leader.core if leader is not None else None
        repaired = core is not None and lost_id not in core.raft.membership.voters
        if leader is None or not repaired or not self._is_fully_replicated(leader):
            self._environment.schedule(0.02, lambda: self._lose_second_disk(lost_id))
            return
        second = self._pick_control()
        second.lose_disk()
        self.second_losses += 1
        self._environment.schedule(1.0, second.start)

    def _replace_machine(self) -> None:
        """Replace a machine by an empty one at a new address, and then erase another disk.

        The lost voter is not the leader, so that the leader keeps its age. The second disk is lost
        once the successor has had the time that it is allowed for catching up, whether or not it
        votes by then.
        """
        leader = self._fleet.leader()
        if leader is None or not self._is_fully_replicated(leader):
            self._environment.schedule(0.1, self._replace_machine)
            return
        lost = self._random.choice(self._voters_except(excluded=leader))
        successor = self._fleet.replace_control(lost, NEW_ADDRESS)
        start_seconds = self._random.uniform(0.5, 2.0)
        self._environment.schedule(start_seconds, successor.start)
        self._environment.schedule(start_seconds + CATCH_UP_SECONDS, self._lose_disk_of_a_voter)

    def _lose_disk_of_a_voter(self) -> None:
        """Erase the disk of one of the voters that were there from the beginning."""
        control = self._random.choice(
            [control for control in self._fleet.controls if control.address != NEW_ADDRESS]
        )
        control.lose_disk()
        self.second_losses += 1
        self._environment.schedule(1.0, control.start)

    def _lose_disk_in_power_failure(self) -> None:
        """Erase one disk while every process loses power and another voter lags behind.

        Afterwards a confirmed update is stored only by the voters that had synced it and still have
        their disks. Of three voters this is a single one if another voter was partitioned.
        """
        leader = self._fleet.leader()
        if leader is None or not self._is_fully_replicated(leader):
            self._environment.schedule(0.05, self._lose_disk_in_power_failure)
            return
        lagging = self._random.choice(self._voters_except(excluded=leader))
        self._partition_from_control(lagging)
        self._environment.schedule(
            self._random.uniform(0.0, MAX_LAG_SECONDS),
            lambda: self._fail_power([self._random.choice(self._voters_except(excluded=lagging))]),
        )

    def _lose_two_disks_in_power_failure(self) -> None:
        """Erase two of five disks, the second one while every process loses power.

        At that time the voter of the first disk is being replaced, and a third voter lags behind
        since it is partitioned. Two of five voters are left that store the confirmed updates.
        """
        leader = self._fleet.leader()
        if leader is None or not self._is_fully_replicated(leader):
            self._environment.schedule(0.05, self._lose_two_disks_in_power_failure)
            return
        lagging = self._random.choice(self._voters_except(excluded=leader))
        self._partition_from_control(lagging)
        first = self._random.choice(self._voters_except(excluded=lagging))
        second = self._random.choice(
            [voter for voter in self._voters_except(excluded=lagging) if voter is not first]
        )
        first.lose_disk()
        self._environment.schedule(self._random.uniform(0.1, 1.0), first.start)
        self._environment.schedule(
            self._random.uniform(0.0, MAX_REPLACEMENT_SECONDS),
            lambda: self._fail_power([second]),
        )

    def _voters_except(self, excluded: ControlNode) -> list[ControlNode]:
        """Return the voters except one; without a voter, all control processes except it."""
        leader = self._fleet.leader()
        core = leader.core if leader is not None else None
        voters = core.raft.membership.voters if core is not None else ()
        remaining = [
            control
            for control in self._fleet.controls
            if control.node_id in voters and control is not excluded
        ]
        return remaining or [control for control in self._fleet.controls if control is not excluded]

    def _partition_from_control(self, control: ControlNode) -> None:
        """Partition one control process from the others, so that it lags behind."""
        for other in self._fleet.controls:
            if other is not control:
                self._environment.cut(control.address, other.address)

    def _fail_power(self, lost: list[ControlNode]) -> None:
        """Kill all control processes and routers, erase the disks of some, and heal all links.

        The processes are started again after a random delay.
        """
        for process in [*self._fleet.controls, *self._fleet.routers]:
            process.kill()
            self._environment.schedule(self._random.uniform(0.3, 1.5), process.start)
        for control in lost:
            control.lose_disk()
        self._heal_links()
        self.power_failures += 1

    def _partition_control_in_halves(self) -> None:
        """Partition the control processes into two halves; routers still reach both halves.

        The halves change with each call. A process that was isolated starts an election, and may
        now be in one half with a process that has just received a heartbeat of the leader, while
        the leader is isolated and still holds its lease. The leader may also freeze, and resume in
        the smaller half.
        """
        self._heal_links()
        leader = self._fleet.leader()
        if leader is not None and self._random.random() < FREEZE_PROBABILITY:
            leader.freeze(self._random.uniform(0.1, 3.0))
        names = [control.address for control in self._fleet.controls]
        self._random.shuffle(names)
        half = len(names) // 2
        for name in names[:half]:
            for other in names[half:]:
                self._environment.cut(name, other)
        if self._random.random() < HEALING_PROBABILITY:
            self._environment.schedule(self._random.uniform(0.1, 1.4), self._heal_links)

    def _restart_in_turn(self) -> None:
        processes = [*self._fleet.controls, *self._fleet.routers]
        self._random.shuffle(processes)
        for number, process in enumerate(processes):
            self._environment.schedule(number * 1.0, process.kill)
            self._environment.schedule(number * 1.0 + 0.7, process.start)

    def _restart_at_once(self) -> None:
        for process in [*self._fleet.controls, *self._fleet.routers]:
            process.kill()
            self._environment.schedule(self._random.uniform(0.5, 2.0), process.start)
