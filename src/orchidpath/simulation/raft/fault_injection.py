"""Injects the faults of a fault plan into a simulated Raft group."""

import random as random_module

from orchidpath.consensus.effects import Effect
from orchidpath.consensus.errors import MembershipChangeError, NotLeaderError
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.types import Membership
from orchidpath.simulation.raft.fault_plan import (
    FaultPlan,
    GroupFault,
    choose_membership,
    links_between,
)
from orchidpath.simulation.raft.replica_machine import Machine
from orchidpath.simulation.raft.simulated_group import SimulatedGroup


class FaultInjector:
    """Selects faults at random by the weights of a fault plan, and the machines they affect.

    Parameters
    ----------
    group
        The simulated group.
    plan
        Weight of each fault.
    random
        Random number generator of the run.
    """

    def __init__(
        self, group: SimulatedGroup, plan: FaultPlan, random: random_module.Random
    ) -> None:
        self._group = group
        self._weights = plan.weights
        self._random = random

    def inject(self) -> None:
        """Inject one random fault; once faults have ended, repair the membership instead."""
        if not self._group.faults_active:
            self._repair_membership()
            return
        faults = {
            GroupFault.PARTITION: self._partition,
            GroupFault.ONE_WAY_PARTITION: self._partition_one_way,
            GroupFault.HEAL_NETWORK: self._group.heal_network,
            GroupFault.KILL: self._kill_one,
            GroupFault.KILL_MOST: self._kill_most,
            GroupFault.FREEZE: self._freeze_one,
            GroupFault.SLOW_DISK: self._slow_disk,
            GroupFault.DISK_ERROR: self._fail_disk,
            GroupFault.MEMBERSHIP_CHANGE: self._change_membership,
            GroupFault.DISK_LOSS: self._lose_disk,
        }
        kinds = list(self._weights)
        kind = self._random.choices(kinds, list(self._weights.values()))[0]
        faults[kind]()

    def _partition(self) -> None:
        names = {machine.name for machine in self._group.machines}
        side = set(self._random.sample(sorted(names), self._random.randint(1, 2)))
        self._block(links_between(side, names - side))

    def _partition_one_way(self) -> None:
        """Block one direction of links: from a machine to one or all others, or from all to it."""
        machine = self._pick()
        others = [other for other in self._group.machines if other is not machine]
        kind = self._random.choice(("one_link", "outgoing", "incoming"))
        if kind == "one_link":
            others = [self._random.choice(others)]
        outgoing = {(machine.name, other.name) for other in others}
        incoming = {(other.name, machine.name) for other in others}
        self._block(incoming if kind == "incoming" else outgoing)

    def _pick(self) -> Machine:
        """Select a machine; with a probability of 0.4 a leader, where faults have most effect."""
        leaders = self._group.leaders()
        if leaders and self._random.random() < 0.4:
            return self._random.choice(leaders)
        return self._random.choice(self._group.machines)

    def _kill_one(self) -> None:
        self._kill(self._pick())

    def _kill_most(self) -> None:
        """Kill all machines at the same time, or all but one, which may be the leader."""
        spared = self._random.choice((None, None, self._pick()))
        for machine in self._group.machines:
            if machine is not spared:
                self._kill(machine)

    def _kill(self, machine: Machine) -> None:
        machine.kill()
        down_seconds = self._random.choice((0.005, 0.05, self._random.uniform(0, 2)))
        self._group.schedule(down_seconds, lambda: self._group.restart(machine))

    def _freeze_one(self) -> None:
        self._pick().freeze(self._random.uniform(0.1, 3.0))

    def _slow_disk(self) -> None:
        machine = self._pick()
        machine.sync_seconds = self._random.choice((0.02, 0.1, 0.4))
        self._group.schedule(self._random.uniform(0.2, 2.0), machine.reset_disk_latency)

    def _fail_disk(self) -> None:
        machine = self._pick()
        if self._random.random() < 0.5:
            machine.files.sync_fails = True
        else:
            machine.files.capacity_bytes = 0
        self._group.schedule(
            self._random.uniform(0.1, 1.0), lambda: self._group.repair_disk(machine)
        )

    def _lose_disk(self) -> None:
        """Erase one voter's disk, if three or more voters all store every committed entry.

        A further loss before the membership is repaired could lose committed entries by design.
        """
        for leader in self._group.leaders():
            core = leader.core
            if core is None or not core.has_lease(leader.now) or not core.membership_committed:
                continue
            voters = core.membership.voters
            complete = all(core.match_index(v) >= core.commit_index for v in voters)
            if len(voters) < 3 or not complete or set(voters) - self._group.identities():
                continue
            machine = self._random.choice([m for m in self._group.machines if m.identity in voters])
            machine.lose_disk()
            machine.kill()
            self._group.restart(machine)
            return

    def _change_membership(self) -> None:
        """Propose a membership change; at times, first partition the leader from other voters."""
        for leader in self._group.leaders():
            if leader.core is not None and self._random.random() < 0.3:
                self._partition_from_voters(leader, leader.core.membership)
            leader.submit(self._propose_membership)

    def _partition_from_voters(self, leader: Machine, membership: Membership) -> None:
        voters = {m.name for m in self._group.machines if m.identity in membership.voters}
        voters.discard(leader.name)
        rest = {m.name for m in self._group.machines} - voters
        self._block(links_between(rest, voters))

    def _propose_membership(self, core: RaftCore, now: float) -> list[Effect]:
        proposed = choose_membership(core.membership, self._group.identities(), self._random)
        try:
            _, effects = core.propose_membership(proposed, now)
        except (NotLeaderError, MembershipChangeError):
            return []
        return effects

    def _repair_membership(self) -> None:
        """Propose to remove lost replicas and to add new ones, until the membership is complete."""
        for leader in self._group.leaders():
            core = leader.core
            if core is None:
                continue
            if set(core.membership.members()) != self._group.identities():
                leader.submit(self._propose_membership)

    def _block(self, links: set[tuple[str, str]]) -> None:
        self._group.block_links(links, self._random.uniform(0.2, 3.0))
