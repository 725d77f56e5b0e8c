"""Tests of the registry of workers and their circuits."""

from orchidpath.circuit.registry import RETIRED_LIMIT, CircuitRegistry
from orchidpath.wire.records import CircuitRecord, CircuitStatus, Stage, WorkerRecord

WINDOW_SECONDS = 10.0


def record(worker_id: str, incarnation: str = "first") -> WorkerRecord:
    return WorkerRecord(
        worker_id=worker_id, incarnation=incarnation, service="s", stage=Stage.PLAIN, url="http://w"
    )


def opened(worker_id: str) -> CircuitRecord:
    return CircuitRecord(
        worker_id=worker_id, status=CircuitStatus.COOLDOWN, generation=3, incarnation="first"
    )


def test_the_circuits_of_workers_that_have_left_are_bounded() -> None:
    """Guards against processes whose memory grows with every worker that ever registered."""
    registry = CircuitRegistry(WINDOW_SECONDS)
    for number in range(3 * RETIRED_LIMIT):
        registry.set_workers([record(str(number))])
    assert registry.retired_count == RETIRED_LIMIT


def test_an_agreed_circuit_is_retained_however_many_workers_have_left() -> None:
    registry = CircuitRegistry(WINDOW_SECONDS)
    registry.set_workers([record("w")])
    registry.apply_circuit(opened("w"), 0.0)
    for number in range(2 * RETIRED_LIMIT):
        registry.set_workers([record(str(number))])
    registry.set_workers([record("w")])
    assert registry.circuit("w").record.generation == 3


def test_a_worker_that_returns_soon_is_known_by_its_process() -> None:
    registry = CircuitRegistry(WINDOW_SECONDS)
    registry.set_workers([record("w")])
    assert registry.set_workers([]) == ["w"]
    assert registry.set_workers([record("w", "second")]) == ["w"]
    assert registry.retired_count == 0


def test_a_removed_circuit_is_forgotten() -> None:
    registry = CircuitRegistry(WINDOW_SECONDS)
    registry.set_workers([record("w")])
    registry.set_workers([])
    registry.remove_circuit("w")
    assert registry.retired_count == 0
