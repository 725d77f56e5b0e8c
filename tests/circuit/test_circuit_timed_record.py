"""Timer of an agreed record."""

import pytest

from orchidpath.circuit.timed_record import TimedRecord
from orchidpath.wire.records import CapacityRecord


def record(generation: int, duration_seconds: float = 10.0) -> CapacityRecord:
    return CapacityRecord(
        failure_domain="d", generation=generation, duration_seconds=duration_seconds
    )


def test_a_new_generation_starts_the_timer() -> None:
    timed = TimedRecord(record(1), 10.0)
    assert timed.accept(record(2, 5.0), 20.0)
    assert timed.record.generation == 2
    assert timed.remaining_seconds(22.0) == pytest.approx(3.0)


def test_a_repeated_generation_restarts_no_timer() -> None:
    timed = TimedRecord(record(1), 10.0)
    assert not timed.accept(record(1, 99.0), 9.0)
    assert timed.expires_at == 10.0


def test_nothing_remains_after_the_expiry() -> None:
    assert TimedRecord(record(1), 10.0).remaining_seconds(11.0) == 0.0
