"""The leader bounds the number of workers that it registers."""

from leadership_builders import apply_command, worker_record

from orchidpath.control.leadership.liveness import LivenessTracker
from orchidpath.control.leadership.worker_admission import PENDING_SECONDS
from orchidpath.control.leadership.worker_liveness import WorkerLiveness
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import WorkerChanged, WorkerRemoved
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.backend import Announcement


class Leadership:
    """A leader of a fleet that registers two workers at most."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.output = ControlOutput()
        self.liveness = WorkerLiveness(self.state, LivenessTracker(), self.output, max_workers=2)

    def announce(self, worker_id: str, now: float = 0.0, sequence: int = 1) -> list[str]:
        """Announce a worker; return the ids of the workers whose registration is proposed."""
        record = worker_record(worker_id)
        announcement = Announcement(record=record, sequence=sequence)
        self.liveness.receive_announcements([announcement], now)
        proposals = self.output.take_proposals()
        return [
            change.record.worker_id for change in proposals if isinstance(change, WorkerChanged)
        ]

    def register(self, worker_id: str) -> None:
        apply_command(self.state, WorkerChanged(record=worker_record(worker_id), sequence=1))


def test_a_worker_beyond_the_bound_is_not_registered() -> None:
    """Guards against processes that run out of memory over workers that nobody has started."""
    leadership = Leadership()
    leadership.register("a")
    assert leadership.announce("b") == ["b"]
    assert leadership.announce("c") == []
    assert leadership.liveness.admission.refused_count == 1


def test_a_worker_is_registered_once_another_has_left() -> None:
    leadership = Leadership()
    leadership.register("a")
    leadership.register("b")
    assert leadership.announce("c") == []
    removal = WorkerRemoved(worker_id="a", incarnation="first", sequence=2)
    apply_command(leadership.state, removal)
    assert leadership.announce("c") == ["c"]


def test_a_registered_worker_goes_on_announcing_itself() -> None:
    leadership = Leadership()
    leadership.register("a")
    leadership.register("b")
    leadership.announce("c")
    assert leadership.announce("a", sequence=2) == []
    assert leadership.liveness.admission.refused_count == 1


def test_a_registration_that_is_never_applied_makes_room_again() -> None:
    leadership = Leadership()
    leadership.register("a")
    leadership.announce("b")
    leadership.liveness.admission.forget_applied(PENDING_SECONDS)
    assert leadership.announce("c") == []
    leadership.liveness.admission.forget_applied(PENDING_SECONDS + 0.1)
    assert leadership.announce("c") == ["c"]
