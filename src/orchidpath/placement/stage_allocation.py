"""How many workers of a service decode when the fleet keeps the split itself; pure.

Where operators leave the split of a service to the fleet, they give the share of its workers that
decode and the fewest that must. Everything else follows: which worker changes its part, and when
it is better to leave things as they are, so that a worker that comes and goes does not make others
move to and fro.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from orchidpath.wire.configuration import Service
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

SHORTAGE_TOLERATED = 1
"""Decode workers that may be missing from the share, as long as the fewest are there."""


class StageMove(msgspec.Struct, frozen=True, kw_only=True):
    """A worker that is to change its part."""

    worker: WorkerRecord
    stage: Stage


def wanted_decode_workers(service: Service, workers: int) -> int:
    """Return how many of a service's workers are to decode.

    Parameters
    ----------
    service
        A service with a ``balanced_decode_share``.
    workers
        How many workers it has now.
    """
    share = math.ceil(service.balanced_decode_share * workers - 1e-9)
    # Of three workers two that decode would leave one to read all prompts, and wait for it.
    least = min(service.least_decode_workers, max(workers // 2, 1))
    wanted = max(share, least)
    # A worker that decodes can read prompts too; one that reads prompts serves nobody alone.
    most = max(workers - 1, min(workers, 1))
    return min(wanted, most)


def next_moves(
    service: Service,
    workers: Sequence[WorkerRecord],
    moving: Mapping[str, Stage],
    in_flight: Mapping[str, int],
) -> list[StageMove]:
    """Return the workers that should begin to change their part now.

    Parameters
    ----------
    service
        The service.
    workers
        All of its workers.
    moving
        Workers whose change has begun, and the part they will play.
    in_flight
        Requests in flight on each worker; those with the fewest go first.
    """
    able = [worker for worker in workers if worker.status is WorkerStatus.READY]
    stages = {worker.worker_id: moving.get(worker.worker_id, worker.stage) for worker in able}
    decoding = sum(stage is Stage.DECODE for stage in stages.values())
    wanted = wanted_decode_workers(service, len(able))
    free = [worker for worker in able if worker.worker_id not in moving and not worker.cordoned]
    if decoding > wanted:
        return _pick(free, Stage.DECODE, Stage.PREFILL, decoding - wanted, in_flight)
    too_few = decoding < min(service.least_decode_workers, wanted)
    if too_few or decoding < wanted - SHORTAGE_TOLERATED:
        return _pick(free, Stage.PREFILL, Stage.DECODE, wanted - decoding, in_flight)
    return []


def _pick(
    free: Sequence[WorkerRecord],
    giving: Stage,
    taking: Stage,
    count: int,
    in_flight: Mapping[str, int],
) -> list[StageMove]:
    """Pick workers of the giving stage, one after the other from the zone that has most of it."""
    left = [worker for worker in free if worker.stage is giving]
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
        moves.append(StageMove(worker=chosen, stage=taking))
    return moves
