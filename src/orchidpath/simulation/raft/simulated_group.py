"""The machines of a simulated Raft group and their network, in virtual time."""

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
    """Five machines, their network and the event queue.

    Parameters
    ----------
    plan
        Probabilities of loss and duplication, and delays, of the network.
    random
        Random number generator, shared with the callers and the fault injection of the run.
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
        """Drop all messages on some directed links for a limited time."""
        self._blocked_links |= links
        self.schedule(duration_seconds, lambda: self._blocked_links.difference_update(links))

    def heal_network(self) -> None:
        """Unblock all links."""
        self._blocked_links.clear()

    def schedule(self, delay_seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action to run once, after a delay."""
        heapq.heappush(self._events, (self.time + delay_seconds, next(self._sequence), action))

    def transmit(self, sender: str, receiver: str, message: RaftMessage) -> None:
        """Transmit a message; while faults are active it may be lost, late or duplicated."""
        if self.faults_active and self._random.random() < self._plan.loss:
            return
        copies = 1
        if self.faults_active and self._random.random() < self._plan.duplication:
            copies = 2
        for _ in range(copies):
            action = self._delivery(sender, receiver, message)
            self.schedule(self._random_delay(), action)

    def _delivery(self, sender: str, receiver: str, message: RaftMessage) -> Callable[[], None]:
        def deliver() -> None:
            if (_machine_name(sender), _machine_name(receiver)) in self._blocked_links:
                return
            for machine in self.machines:
                if machine.identity == receiver:
                    machine.deliver(message)

        return deliver

    def _random_delay(self) -> float:
        if self.faults_active and self._random.random() < self._plan.late:
            return self._random.uniform(0, LATE_MESSAGE_SECONDS)
        return self._random.uniform(0.001, self._plan.slow_delay_seconds)

    def run_until(self, end: float) -> None:
        """Run all events up to a virtual time in seconds, and check the leases after each event."""
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
        """Return the machines whose replica has the leader role; there may be several."""
        return [m for m in self.machines if m.core is not None and m.core.role is Role.LEADER]

    def restart(self, machine: Machine) -> None:
        """Start a machine if its replica is not running."""
        if machine.core is None:
            machine.start(self._bootstrap)

    def repair_disk(self, machine: Machine) -> None:
        """End the faults of a disk, and start the machine if its replica is not running."""
        machine.files.sync_fails = False
        machine.files.capacity_bytes = None
        self.restart(machine)

    def identities(self) -> set[str]:
        """Return the identities of all replicas that have not lost their disk."""
        return {machine.identity for machine in self.machines if machine.identity}

    def end_faults(self) -> None:
        """Heal the network and the disks, and start all replicas that are not running."""
        self.faults_active = False
        self.heal_network()
        for machine in self.machines:
            machine.reset_disk_latency()
            self.repair_disk(machine)


def _machine_name(identity: str) -> str:
    return identity.partition("-")[0]
