"""A replica group under faults, in virtual time, from one seed.

``python -m orchidpath.simulation.raft.group --seeds 0..1000`` runs many seeds. A seed that
breaks an invariant is printed with the command that replays it exactly.
"""

import heapq
import itertools
import random as random_module
import sys
from collections.abc import Callable

import click
import msgspec

from orchidpath.consensus.effects import Effect
from orchidpath.consensus.errors import (
    DamagedLogError,
    MembershipChangeError,
    NotLeaderError,
    ProtocolViolationError,
)
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.raft_messages import RaftMessage
from orchidpath.consensus.types import Guard, Membership, RaftSettings, Role
from orchidpath.simulation.raft.group_checks import History, InvariantViolationError, LeaseView
from orchidpath.simulation.raft.group_faults import (
    FIRST_VOTERS,
    GroupFault,
    draw_fault_plan,
    draw_membership,
    links_between,
)
from orchidpath.simulation.raft.group_machine import Machine

MACHINE_COUNT = 5
DEFAULT_FAULT_SECONDS = 10.0
CONVERGENCE_SECONDS = 8.0
COMMIT_SECONDS = 2.0
READ_INTERVAL_SECONDS = 0.15
LATE_MESSAGE_SECONDS = 2.5
SIMULATION_SETTINGS = RaftSettings(
    snapshot_threshold_entries=40,
    snapshot_chunk_bytes=100,
    max_in_flight_entries=16,
    max_batch_bytes=64,
)


class SeedResult(msgspec.Struct, frozen=True):
    """Outcome of one seed."""

    seed: int
    violation: str | None
    committed_index: int
    terms: int


class Cluster:
    """Five machines, their network, callers, and a source of faults.

    Parameters
    ----------
    seed
        Determines everything that happens.
    disabled_guards
        Safety rules to disable, to verify that the checks detect it.
    fault_seconds
        How long faults are injected, in seconds; the group must then recover by itself.
    """

    def __init__(
        self,
        seed: int,
        disabled_guards: frozenset[Guard] = frozenset(),
        fault_seconds: float = DEFAULT_FAULT_SECONDS,
    ) -> None:
        self.time = 0.0
        self.history = History()
        self._random = random_module.Random(seed)
        self._plan = draw_fault_plan(self._random)
        self._fault_seconds = fault_seconds
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._blocked_links: set[tuple[str, str]] = set()
        self._faults_active = True
        self._proposal_count = 0
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

    def schedule(self, delay_seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(self._events, (self.time + delay_seconds, next(self._sequence), action))

    def transmit(self, sender: str, receiver: str, message: RaftMessage) -> None:
        """Carry a message, or lose it, late, or twice."""
        if self._faults_active and self._random.random() < self._plan.loss:
            return
        copies = 1
        if self._faults_active and self._random.random() < self._plan.duplication:
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
        if self._faults_active and self._random.random() < self._plan.late:
            return self._random.uniform(0, LATE_MESSAGE_SECONDS)
        return self._random.uniform(0.001, self._plan.slow_delay_seconds)

    def run(self) -> None:
        """Run faults, then recovery.

        Raises
        ------
        InvariantViolationError, ProtocolViolationError
            A safety rule was broken.
        """
        self._start_all()
        self._repeat(self._plan.proposal_interval_seconds, self._propose)
        self._repeat(READ_INTERVAL_SECONDS, self._read)
        self._repeat(self._plan.interval_seconds, self._inject_fault)
        self._run_until(self._fault_seconds)
        self._end_faults()
        end = self._fault_seconds + CONVERGENCE_SECONDS
        self._run_until(end - COMMIT_SECONDS)
        proposed = [m.core.last_index for m in self._leaders() if m.core is not None]
        self._run_until(end)
        self._check_recovered(required_index=max(proposed, default=0))

    def _start_all(self) -> None:
        for machine in self.machines:
            machine.start(self._bootstrap)

    def _repeat(self, interval_seconds: float, action: Callable[[], None]) -> None:
        def run() -> None:
            action()
            self.schedule(self._random.uniform(0, 2 * interval_seconds), run)

        self.schedule(self._random.uniform(0, interval_seconds), run)

    def _run_until(self, end: float) -> None:
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

    def _propose(self) -> None:
        self._proposal_count += 1
        machine = self._random.choice(self._leaders() or self.machines)
        machine.propose(b"command %d" % self._proposal_count)

    def _read(self) -> None:
        self._random.choice(self._leaders() or self.machines).start_read()

    def _leaders(self) -> list[Machine]:
        return [m for m in self.machines if m.core is not None and m.core.role is Role.LEADER]

    def _inject_fault(self) -> None:
        if not self._faults_active:
            self._repair_membership()
            return
        faults = {
            GroupFault.PARTITION: self._partition,
            GroupFault.ONE_WAY_PARTITION: self._partition_one_way,
            GroupFault.HEAL_NETWORK: self._blocked_links.clear,
            GroupFault.KILL: self._kill_one,
            GroupFault.KILL_MOST: self._kill_most,
            GroupFault.FREEZE: self._freeze_one,
            GroupFault.SLOW_DISK: self._slow_disk,
            GroupFault.DISK_ERROR: self._fail_disk,
            GroupFault.MEMBERSHIP_CHANGE: self._change_membership,
            GroupFault.DISK_LOSS: self._lose_disk,
        }
        kinds = list(self._plan.weights)
        kind = self._random.choices(kinds, list(self._plan.weights.values()))[0]
        faults[kind]()

    def _partition(self) -> None:
        names = {machine.name for machine in self.machines}
        side = set(self._random.sample(sorted(names), self._random.randint(1, 2)))
        self._block_links(links_between(side, names - side))

    def _block_links(self, links: set[tuple[str, str]]) -> None:
        self._blocked_links |= links
        duration_seconds = self._random.uniform(0.2, 3.0)
        self.schedule(duration_seconds, lambda: self._blocked_links.difference_update(links))

    def _partition_one_way(self) -> None:
        """Block one direction: to one machine, to all, or from all."""
        machine = self._pick()
        others = [other for other in self.machines if other is not machine]
        kind = self._random.choice(("pair", "mute", "deaf"))
        if kind == "pair":
            others = [self._random.choice(others)]
        outgoing = {(machine.name, other.name) for other in others}
        incoming = {(other.name, machine.name) for other in others}
        self._block_links(incoming if kind == "deaf" else outgoing)

    def _pick(self) -> Machine:
        """Prefer the leader at times, where most faults have the largest effect."""
        leaders = self._leaders()
        if leaders and self._random.random() < 0.4:
            return self._random.choice(leaders)
        return self._random.choice(self.machines)

    def _kill_one(self) -> None:
        self._kill(self._pick())

    def _kill_most(self) -> None:
        """Kill all machines at once, or all but one, which may be the leader."""
        spared = self._random.choice((None, None, self._pick()))
        for machine in self.machines:
            if machine is not spared:
                self._kill(machine)

    def _kill(self, machine: Machine) -> None:
        machine.kill()
        down_seconds = self._random.choice((0.005, 0.05, self._random.uniform(0, 2)))
        self.schedule(down_seconds, lambda: self._restart(machine))

    def _restart(self, machine: Machine) -> None:
        if machine.core is None:
            machine.start(self._bootstrap)

    def _freeze_one(self) -> None:
        self._pick().freeze(self._random.uniform(0.1, 3.0))

    def _slow_disk(self) -> None:
        machine = self._pick()
        machine.sync_seconds = self._random.choice((0.02, 0.1, 0.4))
        self.schedule(self._random.uniform(0.2, 2.0), machine.reset_disk_latency)

    def _fail_disk(self) -> None:
        machine = self._pick()
        if self._random.random() < 0.5:
            machine.files.sync_fails = True
        else:
            machine.files.capacity_bytes = 0
        self.schedule(self._random.uniform(0.1, 1.0), lambda: self._repair_disk(machine))

    def _repair_disk(self, machine: Machine) -> None:
        machine.files.sync_fails = False
        machine.files.capacity_bytes = None
        self._restart(machine)

    def _lose_disk(self) -> None:
        """Empty one voter's disk, if the group has three and each holds all that is committed.

        More losses than that before a repair would lose data by design.
        """
        for leader in self._leaders():
            core = leader.core
            if core is None or not core.has_lease(leader.now) or not core.membership_committed:
                continue
            voters = core.membership.voters
            complete = all(core.match_index(v) >= core.commit_index for v in voters)
            if len(voters) < 3 or not complete or set(voters) - self._identities():
                continue
            machine = self._random.choice([m for m in self.machines if m.identity in voters])
            machine.lose_disk()
            machine.kill()
            machine.start(self._bootstrap)
            return

    def _identities(self) -> set[str]:
        return {machine.identity for machine in self.machines if machine.identity}

    def _change_membership(self) -> None:
        """Change the membership; at times the leader is partitioned from the other voters."""
        for leader in self._leaders():
            if leader.core is not None and self._random.random() < 0.3:
                self._partition_from_voters(leader, leader.core.membership)
            leader.submit(self._propose_membership)

    def _partition_from_voters(self, leader: Machine, membership: Membership) -> None:
        voters = {m.name for m in self.machines if m.identity in membership.voters}
        voters.discard(leader.name)
        rest = {m.name for m in self.machines} - voters
        self._block_links(links_between(rest, voters))

    def _propose_membership(self, core: RaftCore, now: float) -> list[Effect]:
        proposed = draw_membership(core.membership, self._identities(), self._random)
        try:
            _, effects = core.propose_membership(proposed, now)
        except (NotLeaderError, MembershipChangeError):
            return []
        return effects

    def _repair_membership(self) -> None:
        """After the faults, let lost replicas be removed and new ones join."""
        for leader in self._leaders():
            core = leader.core
            if core is None:
                continue
            if set(core.membership.members()) != self._identities():
                leader.submit(self._propose_membership)

    def _end_faults(self) -> None:
        self._faults_active = False
        self._blocked_links.clear()
        for machine in self.machines:
            machine.reset_disk_latency()
            self._repair_disk(machine)

    def _check_recovered(self, required_index: int) -> None:
        """Check that the group serves again, has committed, and that all replicas follow."""
        leaders = [m for m in self._leaders() if m.core and m.core.has_lease(m.now)]
        if len(leaders) != 1:
            raise InvariantViolationError("no leader with a lease after the faults ended")
        core = leaders[0].core
        if core is None or core.commit_index < required_index:
            raise InvariantViolationError("the leader does not commit after the faults ended")
        if core.commit_index < self.history.acknowledged_index:
            raise InvariantViolationError("acknowledged entries are gone")
        for machine in self.machines:
            if machine.core is None or machine.core.commit_index < required_index:
                raise InvariantViolationError(f"{machine.name} has not caught up")


def _machine_name(identity: str) -> str:
    return identity.partition("-")[0]


def run_seed(
    seed: int,
    disabled_guards: frozenset[Guard] = frozenset(),
    fault_seconds: float = DEFAULT_FAULT_SECONDS,
) -> SeedResult:
    """Run one seed and return its outcome."""
    cluster = Cluster(seed, disabled_guards, fault_seconds)
    violation = None
    try:
        cluster.run()
    except (InvariantViolationError, ProtocolViolationError, DamagedLogError) as error:
        violation = f"{type(error).__name__} at {cluster.time:.3f} s: {error}"
    history = cluster.history
    return SeedResult(seed, violation, history.committed_index, len(history.leader_of_term))


@click.command()
@click.option("--seeds", required=True, help="First and last seed, as A..B.")
@click.option("--seconds", default=DEFAULT_FAULT_SECONDS, help="How long faults are injected.")
@click.option("--disable", multiple=True, type=click.Choice([guard.value for guard in Guard]))
def main(seeds: str, seconds: float, disable: tuple[str, ...]) -> None:
    """Run seeds A..B, both included, and print the ones that break an invariant."""
    first, _, last = seeds.partition("..")
    guards = frozenset(Guard(value) for value in disable)
    failures = 0
    committed = 0
    terms = 0
    total = range(int(first), int(last or first) + 1)
    for seed in total:
        result = run_seed(seed, guards, seconds)
        committed += result.committed_index
        terms += result.terms
        if result.violation:
            failures += 1
            options = "".join(f" --disable {value}" for value in disable)
            click.echo(f"seed {seed}: {result.violation}")
            click.echo(
                "  replay: python -m orchidpath.simulation.raft.group "
                f"--seeds {seed}..{seed} --seconds {seconds}{options}"
            )
    click.echo(f"{len(total)} seeds, {failures} failed, {committed} entries, {terms} terms")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
