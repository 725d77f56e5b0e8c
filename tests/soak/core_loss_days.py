"""Days on which machines of the core are lost: what happens, as a seed determines it."""

from enum import Enum
from random import Random
from typing import NamedTuple


class LossKind(Enum):
    """How a machine of the core is lost for good."""

    KILLED = "killed"
    PLANNED = "planned"
    """Its successor starts first; then both programs get SIGTERM."""
    SILENT = "silent"
    """Its connections stay open and nothing answers, as on a machine without power."""


class SeedChange(Enum):
    """Whose settings name other seeds from the loss on."""

    NOBODY = "nobody"
    SUCCESSOR = "successor"
    EVERYBODY = "everybody"


class WipedVoter(Enum):
    """Which of the older voters loses its disk."""

    LEADER = "leader"
    FOLLOWER = "follower"


class MachineLoss(NamedTuple):
    """A machine that does not lead is lost, and an empty one comes at a new address.

    ``position`` is the place of the lost machine among the voters that don't lead, ordered by age.
    """

    position: int
    kind: LossKind
    seed_change: SeedChange


class Round(NamedTuple):
    """Losses, an acknowledged change, and the loss of a disk while the others lose power.

    ``leader_age_seconds`` is the least age of the leadership at the first loss. ``wait_seconds`` is
    the time until the next loss or the change, from when a successor has started and the lost
    machine is gone.
    """

    leader_age_seconds: float
    losses: tuple[MachineLoss, ...]
    wait_seconds: float
    wiped: WipedVoter


class LossDay(NamedTuple):
    """A whole day: the machines of the fleet and its rounds.

    ``is_busy`` says whether changes of the configuration and many clients go on meanwhile.
    """

    disk_count: int
    standby_count: int
    rounds: tuple[Round, ...]
    is_busy: bool


OLD_LEADER_SECONDS = 62.0
"""Age of a leader from which on its time-outs have passed that begin with its leadership."""

WAIT_SECONDS = (4.0, 6.0, 10.0, 26.0)
"""A new machine counts as lost until 4 s after its start."""


def day_of(seed: int) -> LossDay:
    """Return the day of a seed.

    Each range of 36 seeds has every combination of who is lost, how, whose disk is lost afterwards,
    and whose seeds change.
    """
    random = Random(f"core losses of {seed}")
    kinds, changes = list(LossKind), list(SeedChange)
    first = MachineLoss(seed % 2, kinds[seed // 4 % 3], changes[seed // 12 % 3])
    wiped = list(WipedVoter)[seed // 2 % 2]
    losses = [first]
    if random.random() < 0.3:
        losses.append(_random_loss(random))
    rounds = [_round(random, tuple(losses), wiped)]
    if random.random() < 0.2:
        rounds.append(_round(random, (_random_loss(random),), random.choice(list(WipedVoter))))
    return LossDay(
        disk_count=random.choice((3, 3, 4)),
        standby_count=random.choice((0, 1, 3)),
        rounds=tuple(rounds),
        is_busy=random.random() < 0.5,
    )


def _round(random: Random, losses: tuple[MachineLoss, ...], wiped: WipedVoter) -> Round:
    return Round(
        leader_age_seconds=OLD_LEADER_SECONDS + random.choice((0.0, 3.0, 20.0)),
        losses=losses,
        wait_seconds=random.choice(WAIT_SECONDS),
        wiped=wiped,
    )


def _random_loss(random: Random) -> MachineLoss:
    return MachineLoss(
        random.randrange(2), random.choice(list(LossKind)), random.choice(list(SeedChange))
    )
