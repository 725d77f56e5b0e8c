"""Departures of workers that are not registered, and workers that start anew under their old id."""

from collections.abc import Iterable

import msgspec
import pytest
from leadership_builders import apply_command, worker_record

from orchidpath.control.api.departures import shows_departure
from orchidpath.control.leadership.liveness import LivenessTracker
from orchidpath.control.leadership.worker_liveness import WorkerLiveness
from orchidpath.control.leadership.worker_runs import LATE_ANNOUNCEMENT_SECONDS, WorkerRuns
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.workers import next_run
from orchidpath.wire.announcements import FINAL_SEQUENCE
from orchidpath.wire.backend import WORKER_LEASE_SECONDS, Announcement
from orchidpath.wire.records import WorkerStatus

HEARTBEAT_SECONDS = 1.2
RECORD = worker_record("w1", incarnation="w1")
LEAVING = Announcement(record=RECORD, sequence=0, leaving=True)


class Leadership:
    """A replicated state without workers, and the worker liveness of one leader after another."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.change_leader()

    def change_leader(self) -> None:
        self._output = ControlOutput()
        self._liveness = WorkerLiveness(self.state, LivenessTracker(), self._output)

    def receive(self, announcement: Announcement, now: float) -> None:
        self._liveness.receive_announcements([announcement], now)
        self._apply()

    def announce(self, sequences: Iterable[int], now: float) -> float:
        """Announce a worker as ready with each sequence in turn; return the time of the next."""
        for sequence in sequences:
            self.receive(Announcement(record=RECORD, sequence=sequence), now)
            now += HEARTBEAT_SECONDS
        return now

    def remove_silent(self, now: float) -> None:
        for check_at in (now, now + WORKER_LEASE_SECONDS + 0.1):
            self._liveness.propose_removals(check_at)
            self._apply()

    @property
    def is_registered(self) -> bool:
        return self.state.find_worker("w1") is not None

    def _apply(self) -> None:
        for command in self._output.take_proposals():
            apply_command(self.state, command)


@pytest.fixture
def leadership() -> Leadership:
    return Leadership()


@pytest.mark.parametrize("is_known", [False, True])
def test_late_announcements_do_not_register_a_worker_that_left_without_being_registered(
    leadership: Leadership, is_known: bool
) -> None:
    """Guards against requests to a worker that was removed for silence and then left."""
    if is_known:
        leadership.announce([1, 2], 0.0)
        leadership.remove_silent(2.4)
        assert not leadership.is_registered
    leadership.receive(LEAVING, 20.0)
    assert not leadership.is_registered
    leadership.announce([3, 4, 5, FINAL_SEQUENCE - 1], 20.1)
    assert not leadership.is_registered
    leadership.change_leader()
    leadership.announce([6, 7], 26.0)
    assert not leadership.is_registered


def test_a_departure_is_recorded_once(leadership: Leadership) -> None:
    leadership.receive(LEAVING, 0.0)
    revision = leadership.state.revision
    leadership.receive(LEAVING, 0.1)
    assert leadership.state.revision == revision


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("runs", [1, 3])
def test_a_worker_that_starts_anew_under_its_id_returns(
    leadership: Leadership, leaves: bool, runs: int
) -> None:
    """Guards against a worker that is ignored until its sequence exceeds that of its last run."""
    now = leadership.announce(range(1, 1_000), 0.0)
    for _ in range(runs):
        if leaves:
            leadership.receive(LEAVING, now)
        else:
            leadership.remove_silent(now)
        assert not leadership.is_registered
        began_at = now
        sequence = 1
        while not leadership.is_registered:
            now = leadership.announce([sequence], now)
            sequence += 1
            assert now - began_at < LATE_ANNOUNCEMENT_SECONDS + 2 * HEARTBEAT_SECONDS
        assert now - began_at > LATE_ANNOUNCEMENT_SECONDS
        now = leadership.announce(range(sequence, sequence + 30), now)
        assert leadership.is_registered


def test_announcements_above_the_last_one_return_a_silent_worker_at_once(
    leadership: Leadership,
) -> None:
    leadership.announce([1, 2], 0.0)
    leadership.remove_silent(2.4)
    leadership.announce([3], 20.0)
    entry = leadership.state.find_worker("w1")
    assert entry is not None
    assert entry.record.incarnation == "w1"


def test_late_announcements_that_come_in_two_groups_are_no_new_run(
    leadership: Leadership,
) -> None:
    leadership.announce([1, 2, 3], 0.0)
    leadership.receive(LEAVING, 4.0)
    leadership.announce([4], 4.1)
    leadership.remove_silent(6.0 + LATE_ANNOUNCEMENT_SECONDS)
    leadership.announce([5], 50.0)
    assert not leadership.is_registered


def test_a_leaver_of_a_later_run_stays_gone(leadership: Leadership) -> None:
    leadership.receive(LEAVING, 0.0)
    now = leadership.announce(range(1, 40), 0.1)
    assert leadership.is_registered
    leadership.receive(LEAVING, now)
    leadership.announce(range(40, 50), now)
    assert not leadership.is_registered
    assert shows_departure(leadership.state, LEAVING)


def test_runs_that_are_no_longer_announced_are_forgotten() -> None:
    leadership = Leadership()
    runs = WorkerRuns(leadership.state)
    leadership.receive(LEAVING, 0.0)
    assert runs.assign(Announcement(record=RECORD, sequence=4), 1.0) is None
    runs.forget_old(2.0 + LATE_ANNOUNCEMENT_SECONDS)
    assert not runs._stale


def test_the_runs_of_an_incarnation_have_names_of_their_own() -> None:
    assert next_run("w1") == "w1#2"
    assert next_run("w1#2") == "w1#3"
    assert next_run("w#x") == "w#x#2"


def test_a_departure_shows_only_once_it_is_recorded(leadership: Leadership) -> None:
    """Guards against an acknowledgement of a departure that no replica remembers."""
    record = msgspec.structs.replace(RECORD, status=WorkerStatus.DRAINING)
    draining = Announcement(record=record, sequence=3)
    assert not shows_departure(leadership.state, LEAVING)
    assert not shows_departure(leadership.state, draining)
    leadership.receive(draining, 0.0)
    assert shows_departure(leadership.state, draining)
    assert not shows_departure(leadership.state, LEAVING)
    leadership.receive(LEAVING, 1.0)
    assert shows_departure(leadership.state, draining)
    assert shows_departure(leadership.state, LEAVING)
