"""Random selection of the faults and membership changes of a seed."""

import enum
import random as random_module

import msgspec

from orchidpath.consensus.types import Membership

FIRST_VOTERS = 3


class GroupFault(enum.Enum):
    """Kind of fault, or of operation, that is injected into a Raft group."""

    PARTITION = "partition"
    ONE_WAY_PARTITION = "one_way_partition"
    HEAL_NETWORK = "heal_network"
    KILL = "kill"
    KILL_MOST = "kill_most"
    FREEZE = "freeze"
    SLOW_DISK = "slow_disk"
    DISK_ERROR = "disk_error"
    MEMBERSHIP_CHANGE = "membership_change"
    DISK_LOSS = "disk_loss"


# The order must not change: the random choices of a seed depend on it.
_COMMON_KINDS = (
    GroupFault.PARTITION,
    GroupFault.ONE_WAY_PARTITION,
    GroupFault.HEAL_NETWORK,
    GroupFault.KILL,
    GroupFault.KILL_MOST,
    GroupFault.FREEZE,
    GroupFault.SLOW_DISK,
    GroupFault.DISK_ERROR,
)


class FaultPlan(msgspec.Struct, frozen=True):
    """Network faults of one seed, and the weight of each injected fault.

    ``loss``, ``duplication`` and ``late`` are probabilities of each message; ``slow_delay_seconds``
    is the upper bound of the delay of a message that is not late.
    """

    loss: float
    duplication: float
    late: float
    slow_delay_seconds: float
    interval_seconds: float
    proposal_interval_seconds: float
    weights: dict[GroupFault, float]


def choose_fault_plan(random: random_module.Random) -> FaultPlan:
    """Return a random fault plan.

    Some seeds leave out some kinds of faults, so that runs get further under the other kinds.
    """
    weights = {kind: random.choice((0.0, 1.0, 4.0)) for kind in _COMMON_KINDS}
    weights[GroupFault.HEAL_NETWORK] = 1.0
    weights[GroupFault.MEMBERSHIP_CHANGE] = random.choice((0.0, 2.0, 4.0))
    weights[GroupFault.DISK_LOSS] = random.choice((0.0, 0.0, 1.0))
    return FaultPlan(
        loss=random.choice((0.0, 0.02, 0.15)),
        duplication=random.choice((0.0, 0.05, 0.2)),
        late=random.choice((0.0, 0.01, 0.05)),
        slow_delay_seconds=random.choice((0.005, 0.02, 0.1)),
        interval_seconds=random.choice((0.1, 0.3, 0.6)),
        # Under steady load, the rule on up-to-date logs alone prevents a replica that missed
        # entries from being elected; with pauses, the other rules have to prevent it.
        proposal_interval_seconds=random.choice((0.03, 0.3, 1.0)),
        weights=weights,
    )


def links_between(one: set[str], other: set[str]) -> set[tuple[str, str]]:
    """Return the directed links between two groups of machines, in both directions."""
    forward = {(a, b) for a in one for b in other}
    return forward | {(b, a) for a, b in forward}


def choose_membership(
    current: Membership, identities: set[str], random: random_module.Random
) -> Membership:
    """Return a random change of a membership, or the same membership if none is possible.

    A lost replica is removed before any other change, since the group could otherwise get stuck.
    Some changes affect several voters at once; the core must reject these.

    Parameters
    ----------
    current
        Membership to change.
    identities
        Identities of existing replicas; a member that is not among them has lost its disk.
    random
        Random number generator of the run.
    """
    voters = list(current.voters)
    learners = list(current.learners)
    lost = [node for node in current.members() if node not in identities]
    missing = [node for node in sorted(identities) if node not in current.members()]
    if lost:
        voters = [node for node in voters if node != lost[0]]
        learners = [node for node in learners if node != lost[0]]
    elif missing:
        learners.append(missing[0])
    elif learners and (len(voters) < FIRST_VOTERS or random.random() < 0.6):
        promoted = random.sample(learners, random.randint(1, len(learners)))
        voters += promoted
        learners = [node for node in learners if node not in promoted]
    elif len(voters) > FIRST_VOTERS:
        removed = random.sample(voters, random.randint(1, len(voters) - FIRST_VOTERS))
        voters = [node for node in voters if node not in removed]
        learners += removed
    members = (*voters, *learners)
    return Membership(tuple(voters), tuple(learners), {node: node for node in members})
