"""Automatic allocation of workers to the prefill and decode stages."""

import msgspec
import pytest

from orchidpath.placement.stage_allocation import desired_decode_workers, next_moves
from orchidpath.wire.configuration import Service, ServiceKind
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus


def service(share: float = 0.2, least: int = 2) -> Service:
    return Service(
        name="s",
        kind=ServiceKind.MODEL,
        models=["m"],
        balanced_decode_share=share,
        least_decode_workers=least,
    )


def workers(prefill: int, decode: int) -> list[WorkerRecord]:
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    return [
        WorkerRecord(
            worker_id=f"w{number}",
            incarnation="1",
            service="s",
            stage=stage,
            url=f"http://10.0.0.{number}:1",
            zone=f"z{number % 2}",
        )
        for number, stage in enumerate(stages)
    ]


@pytest.mark.parametrize(
    ("count", "expected"),
    [(0, 0), (1, 1), (2, 1), (3, 1), (4, 2), (5, 2), (9, 2), (10, 2), (11, 3), (70, 14)],
)
def test_the_decode_share_is_bounded_by_the_number_of_workers(count: int, expected: int) -> None:
    assert desired_decode_workers(service(), count) == expected


def test_of_three_workers_two_prefill() -> None:
    """With one prefill worker of three, prompts queued for seconds in a benchmark."""
    moves = next_moves(service(), workers(1, 2), {}, {})
    assert [move.stage for move in moves] == [Stage.PREFILL]
    assert next_moves(service(), workers(2, 1), {}, {}) == []


def test_a_surplus_moves_at_once_from_the_largest_zone() -> None:
    moves = next_moves(service(), workers(4, 5), {}, {})
    assert len(moves) == 3
    assert all(move.stage is Stage.PREFILL for move in moves)
    # w4, w6 and w8 decode in z0, and w5 and w7 in z1. One decode worker of each zone remains.
    assert sorted(move.worker.zone for move in moves) == ["z0", "z0", "z1"]


def test_the_worker_with_the_fewest_requests_moves_first() -> None:
    loads = {"w4": 5, "w6": 0, "w8": 3}
    moves = next_moves(service(least=4), workers(4, 5), {}, loads)
    assert [move.worker.worker_id for move in moves] == ["w6"]


def test_stage_changes_in_progress_are_counted() -> None:
    moving = {"w4": Stage.PREFILL, "w5": Stage.PREFILL, "w6": Stage.PREFILL}
    assert next_moves(service(), workers(4, 5), moving, {}) == []


def test_a_worker_lost_temporarily_moves_no_other() -> None:
    assert next_moves(service(share=0.3, least=2), workers(7, 2), {}, {}) == []


def test_the_last_worker_decodes() -> None:
    # Guards against moving the last worker to prefill, which leaves no decode worker. This was seen
    # in a benchmark.
    assert next_moves(service(), workers(0, 1), {}, {}) == []
    assert [move.stage for move in next_moves(service(), workers(1, 0), {}, {})] == [Stage.DECODE]


def test_a_shortage_of_decode_workers_is_corrected() -> None:
    moves = next_moves(service(), workers(8, 1), {}, {})
    assert [move.stage for move in moves] == [Stage.DECODE]


def test_a_draining_worker_is_not_moved() -> None:
    drained = [
        WorkerRecord(
            worker_id=worker.worker_id,
            incarnation="1",
            service="s",
            stage=worker.stage,
            url=worker.url,
            status=WorkerStatus.DRAINING if worker.stage is Stage.DECODE else worker.status,
        )
        for worker in workers(4, 5)
    ]
    assert all(move.stage is Stage.DECODE for move in next_moves(service(), drained, {}, {}))


def test_a_cordoned_worker_is_not_moved() -> None:
    cordoned = [
        msgspec.structs.replace(worker, cordoned=worker.stage is Stage.DECODE)
        for worker in workers(4, 5)
    ]
    assert next_moves(service(), cordoned, {}, {}) == []
    assert next_moves(service(), workers(4, 5), {}, {}) != []
