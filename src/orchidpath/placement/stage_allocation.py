"""How many workers of a service decode when the fleet balances the stages itself; pure.

Where operators leave the split of a service to the fleet, they give the share of its workers that
decode and the minimum. This module decides which worker changes its stage, and when to tolerate a
small shortage instead, so that one worker that restarts does not make others switch back and forth.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from orchidpath.wire.configuration import Service
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

MAX_DECODE_SHORTAGE = 1
"""Decode workers that may be missing from the share, as long as the minimum is there."""


class StageMove(msgspec.Struct, frozen=True, kw_only=True):
    """A worker that is to change its stage."""

    worker: WorkerRecord
    stage: Stage


def desired_decode_workers(service: Service, workers: int) -> int:
    """Return how many of a service's workers are to decode.

    Parameters
    ----------
    service
        A service with a ``balanced_decode_share``.
    workers
        How many workers it has now.
    """
    share = math.ceil(service.balanced_decode_share * workers - 1e-9)
    # With three workers, two that decode would leave one prefill worker as the bottleneck.
    least = min(service.least_decode_workers, max(workers // 2, 1))
    desired = max(share, least)
    # A decode worker can also prefill; a prefill worker can serve no request alone.
    most = max(workers - 1, min(workers, 1))
    return min(desired, most)


def next_moves(
    service: Service,
    workers: Sequence[WorkerRecord],
    moving: Mapping[str, Stage],
    in_flight: Mapping[str, int],
) -> list[StageMove]:
    """Return the workers that should start to change their stage now.

    Parameters
    ----------
    service
        The service.
    workers
        All of its workers.
    moving
        Workers whose change has started, and the stage they change to.
    in_flight
        Requests in flight on each worker; those with the fewest go first.
    """
    able = [worker for worker in workers if worker.status is WorkerStatus.READY]
    stages = {worker.worker_id: moving.get(worker.worker_id, worker.stage) for worker in able}
    decoding = sum(stage is Stage.DECODE for stage in stages.values())
    desired = desired_decode_workers(service, len(able))
    free = [worker for worker in able if worker.worker_id not in moving and not worker.cordoned]
    if decoding > desired:
        return _pick(free, Stage.DECODE, Stage.PREFILL, decoding - desired, in_flight)
    too_few = decoding < min(service.least_decode_workers, desired)
    if too_few or decoding < desired - MAX_DECODE_SHORTAGE:
        return _pick(free, Stage.PREFILL, Stage.DECODE, desired - decoding, in_flight)
    return []


def _pick(
    free: Sequence[WorkerRecord],
    source: Stage,
    target: Stage,
    count: int,
    in_flight: Mapping[str, int],
) -> list[StageMove]:
    """Pick workers of the source stage, each from the zone with most of them."""
    left = [worker for worker in free if worker.stage is source]
    moves: list[StageMove] = []
    while left and len(moves) < count:
        zones = Counter(worker.zone for worker in left)
        chosen = min(
            left,
            key=lambda worker: (
                -zones[worker.zone],
                in_flight.get(worker.worker_id, 0),
                worker.worker_id,
            ),
        )
        left.remove(chosen)
        moves.append(StageMove(worker=chosen, stage=target))
    return moves
