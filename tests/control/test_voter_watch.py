"""Operators see that voters stay missing, and that learners are removed."""

from collections.abc import Iterator

import pytest
import structlog

from orchidpath.common.metrics import Metrics
from orchidpath.control.voter_watch import VOTERS_MISSING_WARNING_SECONDS, VoterWatch


class Replica:
    """A replica that lacks a number of voters."""

    def __init__(self) -> None:
        self.missing = 0

    def missing_voters(self, now: float) -> int:
        return self.missing


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture(autouse=True)
def _logs_of_every_level() -> Iterator[None]:
    """Undo a log level that another test of this process has configured."""
    former = structlog.get_config()
    structlog.reset_defaults()
    yield
    structlog.configure(**former)


@pytest.fixture
def clock() -> Clock:
    return Clock()


def value(metrics: Metrics, name: str) -> float | None:
    return metrics.registry.get_sample_value(f"orchidpath_{name}")


def test_missing_voters_are_counted_and_logged_once_they_stay_missing(clock: Clock) -> None:
    """Guards against a fleet that runs with two voters and tells nobody."""
    metrics, replica = Metrics(), Replica()
    with structlog.testing.capture_logs() as logs:
        watch = VoterWatch(metrics, clock)
        watch.check(replica)
        assert value(metrics, "voters_missing") == 0
        replica.missing = 1
        watch.check(replica)
        assert value(metrics, "voters_missing") == 1
        clock.now += VOTERS_MISSING_WARNING_SECONDS
        watch.check(replica)
        assert logs == []
        for _ in range(3):
            clock.now += 1.0
            watch.check(replica)
        assert [entry["event"] for entry in logs] == ["voters_missing"]
        assert logs[0]["missing"] == 1
        replica.missing = 0
        watch.check(replica)
    assert [entry["event"] for entry in logs] == ["voters_missing", "voters_complete"]
    assert value(metrics, "voters_missing") == 0


def test_an_ordinary_replacement_is_not_logged(clock: Clock) -> None:
    replica = Replica()
    with structlog.testing.capture_logs() as logs:
        watch = VoterWatch(Metrics(), clock)
        for missing in (1, 0, 1, 0):
            replica.missing = missing
            watch.check(replica)
            clock.now += VOTERS_MISSING_WARNING_SECONDS - 1.0
    assert logs == []


def test_a_removed_learner_is_counted_and_logged_with_its_id(clock: Clock) -> None:
    metrics = Metrics()
    with structlog.testing.capture_logs() as logs:
        watch = VoterWatch(metrics, clock)
        watch.record_learner_removed("c.1")
        watch.record_learner_removed("c.1")
    assert [(entry["event"], entry["member"]) for entry in logs] == [("learner_removed", "c.1")] * 2
    assert value(metrics, "learners_removed_total") == 2
