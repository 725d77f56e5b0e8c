"""A leader pushes the circuits to its routers after changes, and periodically."""

from random import Random

import pytest
from leadership_builders import sent_messages

from orchidpath.control.leadership.attempt_decisions import AttemptDecisions
from orchidpath.control.leadership.circuits_publisher import (
    CIRCUITS_PUSH_SECONDS,
    CIRCUITS_REPEAT_SECONDS,
    CircuitsPublisher,
)
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import CircuitsView


class Leadership:
    """The circuits publisher of one leadership with two routers."""

    def __init__(self) -> None:
        self.output = ControlOutput()
        decisions = AttemptDecisions(1, FleetState(), Random(1), self.output, 0.0)
        self.publisher = CircuitsPublisher(decisions, ["r1", "r2"], self.output, 0.0)

    def pushed_sequences(self, now: float) -> list[tuple[str, int]]:
        self.publisher.push(now)
        pushed = []
        for router_id, message in sent_messages(self.output):
            assert isinstance(message, CircuitsView)
            pushed.append((router_id, message.sequence))
        return pushed


@pytest.fixture
def leadership() -> Leadership:
    return Leadership()


def test_a_new_leader_pushes_to_every_router_at_once(leadership: Leadership) -> None:
    assert leadership.pushed_sequences(0.0) == [("r1", 1), ("r2", 1)]


def test_changes_are_pushed_at_most_once_a_period(leadership: Leadership) -> None:
    leadership.pushed_sequences(0.0)
    leadership.publisher.mark_changed()
    assert leadership.pushed_sequences(CIRCUITS_PUSH_SECONDS / 2) == []
    assert leadership.pushed_sequences(CIRCUITS_PUSH_SECONDS) == [("r1", 2), ("r2", 2)]


def test_unchanged_circuits_are_repeated_so_that_a_lost_push_does_not_last(
    leadership: Leadership,
) -> None:
    leadership.pushed_sequences(0.0)
    assert leadership.pushed_sequences(CIRCUITS_REPEAT_SECONDS - 0.1) == []
    assert leadership.pushed_sequences(CIRCUITS_REPEAT_SECONDS) == [("r1", 2), ("r2", 2)]
