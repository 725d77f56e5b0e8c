"""A leader proposes what announcements, and their absence, change in the replicated state."""

import pytest
from leadership_builders import apply_command, worker_record

from orchidpath.control.leadership.liveness import LivenessTracker
from orchidpath.control.leadership.worker_liveness import WorkerLiveness
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import CordonWorker, WorkerChanged, WorkerRemoved
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.announcements import FINAL_SEQUENCE
from orchidpath.wire.backend import WORKER_LEASE_SECONDS, Announcement

LEAVING = WorkerRemoved(worker_id="w1", incarnation="first", sequence=FINAL_SEQUENCE)


class Leadership:
    """A replicated state with one worker, and the worker liveness of one leadership."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.output = ControlOutput()
        self.liveness = WorkerLiveness(self.state, LivenessTracker(), self.output)
        apply_command(self.state, WorkerChanged(record=worker_record(), sequence=1))

    def announce(self, announcement: Announcement, now: float = 0.0) -> list[object]:
        self.liveness.receive_announcements([announcement], now)
        return list(self.output.take_proposals())


@pytest.fixture
def leadership() -> Leadership:
    return Leadership()


def test_an_announcement_that_changes_nothing_is_not_proposed(leadership: Leadership) -> None:
    assert leadership.announce(Announcement(record=worker_record(), sequence=2)) == []


def test_a_cordon_does_not_make_an_announcement_differ(leadership: Leadership) -> None:
    apply_command(leadership.state, CordonWorker(worker_id="w1", cordoned=True))
    assert leadership.announce(Announcement(record=worker_record(), sequence=2)) == []


def test_a_new_incarnation_is_proposed_and_a_late_announcement_of_it_is_not(
    leadership: Leadership,
) -> None:
    restarted = worker_record(incarnation="second")
    change = WorkerChanged(record=restarted, sequence=5)
    assert leadership.announce(Announcement(record=restarted, sequence=5)) == [change]
    assert leadership.announce(Announcement(record=restarted, sequence=4)) == []


def test_a_leaving_worker_is_removed_once_despite_announcements_in_transit(
    leadership: Leadership,
) -> None:
    leaving = Announcement(record=worker_record(), sequence=2, leaving=True)
    leadership.liveness.receive_announcements([leaving, leaving], 0.0)
    assert leadership.output.take_proposals() == [LEAVING]


@pytest.mark.parametrize("sequence", [2, 2**53, 2**53 + 1, FINAL_SEQUENCE - 1])
def test_a_late_announcement_with_any_sequence_does_not_return_a_worker_that_left(
    leadership: Leadership, sequence: int
) -> None:
    """Guards against a worker that counts in nanoseconds and is registered again after it left."""
    leaving = Announcement(record=worker_record(), sequence=0, leaving=True)
    for proposal in leadership.announce(leaving):
        assert isinstance(proposal, WorkerRemoved)
        apply_command(leadership.state, proposal)
    late = Announcement(record=worker_record(), sequence=sequence)
    for proposal in leadership.announce(late):
        assert isinstance(proposal, WorkerChanged)
        apply_command(leadership.state, proposal)
    assert leadership.state.find_worker("w1") is None


def test_another_incarnation_that_leaves_removes_nothing(leadership: Leadership) -> None:
    other = worker_record(incarnation="zero")
    assert leadership.announce(Announcement(record=other, sequence=9, leaving=True)) == []


def test_a_worker_whose_lease_expired_is_removed_at_its_last_announced_sequence(
    leadership: Leadership,
) -> None:
    leadership.announce(Announcement(record=worker_record(), sequence=2))
    leadership.liveness.propose_removals(WORKER_LEASE_SECONDS)
    assert leadership.output.take_proposals() == []
    leadership.liveness.propose_removals(WORKER_LEASE_SECONDS + 0.1)
    removal = WorkerRemoved(worker_id="w1", incarnation="first", sequence=2)
    assert leadership.output.take_proposals() == [removal]


def test_an_incarnation_that_only_looks_like_a_later_run_is_not_removed(
    leadership: Leadership,
) -> None:
    """Guards against the removal of a worker whose earlier incarnation says that it left."""
    later = worker_record(incarnation="first#2")
    apply_command(leadership.state, WorkerChanged(record=later, sequence=1))
    leaving = Announcement(record=worker_record(), sequence=9, leaving=True)
    assert leadership.announce(leaving) == []
