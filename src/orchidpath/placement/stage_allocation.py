"""Automatic allocation of a service's workers to the prefill and decode stages.

Operators who leave the split of a service to the fleet configure the share of its workers that
decode and the minimum number of decode workers. This module decides which workers change their
stage. It tolerates a small shortage of decode workers, so that the restart of one worker does not
make other workers switch back and forth. It does no input or output.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from orchidpath.wire.configuration import Service
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

MAX_DECODE_SHORTAGE = 1
"""Tolerated shortage of decode workers, provided that the minimum number is available."""


class StageMove(msgspec.Struct, frozen=True, kw_only=True):
    """A worker that is to change its stage."""

    worker: WorkerRecord
    stage: Stage


def desired_decode_workers(service: Service, workers: int) -> int:
    """Return the number of a service's workers that are to decode.

    Parameters
    ----------
    service
        A service with a ``balanced_decode_share``.
    workers
        Number of workers that the service has now.
    """
    share = math.ceil(service.balanced_decode_share * workers - 1e-9)
    # With three workers, two that decode would leave one prefill worker as the bottleneck.
    minimum = min(service.least_decode_workers, max(workers // 2, 1))
    desired = max(share, minimum)
    # Keep one prefill worker if there are two workers or more. A single worker decodes: a decode
    # worker can also prefill, but a prefill worker cannot serve a request alone.
    maximum = max(workers - 1, min(workers, 1))
    return min(desired, maximum)


def next_moves(
    service: Service,
    workers: Sequence[WorkerRecord],
    moving: Mapping[str, Stage],
    in_flight: Mapping[str, int],
) -> list[StageMove]:
    """Return the workers that should start to change their stage now, and their new stages.

    Parameters
    ----------
    service
        A service with a ``balanced_decode_share``.
    workers
        All workers of the service.
    moving
        New stage of each worker whose change has started, by worker id.
    in_flight
        Requests in flight on each worker, by worker id. Workers with the fewest change first.
    """
    ready = [worker for worker in workers if worker.status is WorkerStatus.READY]
    stages = {worker.worker_id: moving.get(worker.worker_id, worker.stage) for worker in ready}
    decoding = sum(stage is Stage.DECODE for stage in stages.values())
    desired = desired_decode_workers(service, len(ready))
    movable = [worker for worker in ready if worker.worker_id not in moving and not worker.cordoned]
    if decoding > desired:
        return _pick(movable, Stage.DECODE, Stage.PREFILL, decoding - desired, in_flight)
    is_below_minimum = decoding < min(service.least_decode_workers, desired)
    if is_below_minimum or decoding < desired - MAX_DECODE_SHORTAGE:
        return _pick(movable, Stage.PREFILL, Stage.DECODE, desired - decoding, in_flight)
    return []


def _pick(
    movable: Sequence[WorkerRecord],
    source: Stage,
    target: Stage,
    count: int,
    in_flight: Mapping[str, int],
) -> list[StageMove]:
    """Pick workers of the source stage, each from the zone with most workers of that stage.

    Ties are broken by the fewest requests in flight, then by worker id.
    """
    remaining = [worker for worker in movable if worker.stage is source]
    moves: list[StageMove] = []
    while remaining and len(moves) < count:
        zones = Counter(worker.zone for worker in remaining)
        chosen = min(
            remaining,
            key=lambda worker: (
                -zones[worker.zone],
                in_flight.get(worker.worker_id, 0),
                worker.worker_id,
            ),
        )
        remaining.remove(chosen)
        moves.append(StageMove(worker=chosen, stage=target))
    return moves
