"""Machines of a replica group and their network, in virtual time."""

import heapq
import itertools
import random as random_module
from collections.abc import Callable

from orchidpath.consensus.raft_messages import RaftMessage
from orchidpath.consensus.types import Guard, Membership, RaftSettings, Role
from orchidpath.simulation.raft.fault_plan import FIRST_VOTERS, FaultPlan
from orchidpath.simulation.raft.invariants import History, LeaseView
from orchidpath.simulation.raft.replica_machine import Machine

MACHINE_COUNT = 5
LATE_MESSAGE_SECONDS = 2.5
SIMULATION_SETTINGS = RaftSettings(
    snapshot_threshold_entries=40,
    snapshot_chunk_bytes=100,
    max_in_flight_entries=16,
    max_batch_bytes=64,
)


class SimulatedGroup:
    """Five machines, their network and their common time.

    Parameters
    ----------
    plan
        Loss, duplication and delays of the network.
    random
        Source of all draws, shared with the callers and the faults of the seed.
    disabled_guards
        Safety rules to disable, to verify that the checks detect it.
    """

    def __init__(
        self, plan: FaultPlan, random: random_module.Random, disabled_guards: frozenset[Guard]
    ) -> None:
        self.time = 0.0
        self.history = History()
        self.faults_active = True
        self._random = random
        self._plan = plan
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._blocked_links: set[tuple[str, str]] = set()
        voters = tuple(f"m{number}-1" for number in range(FIRST_VOTERS))
        self._bootstrap = Membership(voters, (), {node: node for node in voters})
        self.machines = [
            Machine(
                f"m{number}",
                SIMULATION_SETTINGS,
                self,
                self.history,
                self._random,
                disabled_guards,
            )
            for number in range(MACHINE_COUNT)
        ]

    def start(self) -> None:
        """Start all machines for the first time."""
        for machine in self.machines:
            machine.start(self._bootstrap)

    def block_links(self, links: set[tuple[str, str]], duration_seconds: float) -> None:
        """Lose all messages on some directed links for a while."""
        self._blocked_links |= links
        self.schedule(duration_seconds, lambda: self._blocked_links.difference_update(links))

    def heal_network(self) -> None:
        """Unblock all links."""
        self._blocked_links.clear()

    def schedule(self, delay_seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(self._events, (self.time + delay_seconds, next(self._sequence), action))

    def transmit(self, sender: str, receiver: str, message: RaftMessage) -> None:
        """Carry a message, or lose it, late, or twice."""
        if self.faults_active and self._random.random() < self._plan.loss:
            return
        copies = 1
        if self.faults_active and self._random.random() < self._plan.duplication:
            copies = 2
        for _ in range(copies):
            action = self._delivery(sender, receiver, message)
            self.schedule(self._draw_delay(), action)

    def _delivery(self, sender: str, receiver: str, message: RaftMessage) -> Callable[[], None]:
        def deliver() -> None:
            if (_machine_name(sender), _machine_name(receiver)) in self._blocked_links:
                return
            for machine in self.machines:
                if machine.identity == receiver:
                    machine.deliver(message)

        return deliver

    def _draw_delay(self) -> float:
        if self.faults_active and self._random.random() < self._plan.late:
            return self._random.uniform(0, LATE_MESSAGE_SECONDS)
        return self._random.uniform(0.001, self._plan.slow_delay_seconds)

    def run_until(self, end: float) -> None:
        """Run what is scheduled up to a time, and check the leases after each event."""
        while self._events and self._events[0][0] <= end:
            self.time, _, action = heapq.heappop(self._events)
            action()
            self._check_leases()
        self.time = end

    def _check_leases(self) -> None:
        views = []
        for machine in self.machines:
            core = machine.core
            if core is not None and core.role is Role.LEADER:
                lease = core.has_lease(machine.now)
                views.append(LeaseView(machine.identity, core.term, True, lease, core.commit_index))
        if views:
            self.history.check_leases(views)

    def leaders(self) -> list[Machine]:
        """Return the machines whose replica believes that it leads."""
        return [m for m in self.machines if m.core is not None and m.core.role is Role.LEADER]

    def restart(self, machine: Machine) -> None:
        """Start a machine that is down."""
        if machine.core is None:
            machine.start(self._bootstrap)

    def repair_disk(self, machine: Machine) -> None:
        """Let a disk work again, and start the machine if it is down."""
        machine.files.sync_fails = False
        machine.files.capacity_bytes = None
        self.restart(machine)

    def identities(self) -> set[str]:
        """Return the identities of all replicas that have not lost their disk."""
        return {machine.identity for machine in self.machines if machine.identity}

    def end_faults(self) -> None:
        """Heal the network and the disks, and start what is down."""
        self.faults_active = False
        self.heal_network()
        for machine in self.machines:
            machine.reset_disk_latency()
            self.repair_disk(machine)


def _machine_name(identity: str) -> str:
    return identity.partition("-")[0]
