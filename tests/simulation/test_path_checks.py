"""Request path checks on constructed histories, for violations that no scenario provokes."""

import msgspec
import pytest

from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.backend_core import AttemptDispatch
from orchidpath.emulators.worker.kv_cache import HandleClaim
from orchidpath.simulation.environment import SimulatedEnvironment
from orchidpath.simulation.fleet_checks import InvariantError
from orchidpath.simulation.requests.exchange_messages import CallerRequest, RequestKind
from orchidpath.simulation.requests.path_checks import RequestHistory
from orchidpath.wire.backend import CacheHandle, ErrorBody, ErrorCode, Ran
from orchidpath.wire.configuration import RetryPolicy
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

WORKER = WorkerRecord(
    worker_id="w0", incarnation="w0-1", service="chat", stage=Stage.PLAIN, url="http://w0"
)
DISPATCH = AttemptDispatch(
    request_id="request-1", attempt_id="a", phase=Phase.EXECUTION, stage=Stage.PLAIN
)
REJECTION = ErrorBody(code=ErrorCode.OVERLOADED, message="", ran=Ran.NO)


class ObservedSubmission:
    """A history with one submission."""

    def __init__(self) -> None:
        self.environment = SimulatedEnvironment(1)
        self.history = RequestHistory(self.environment, RetryPolicy())
        request = CallerRequest(
            request_id="request-1",
            submission=1,
            kind=RequestKind.ORDER,
            streaming=False,
            max_tokens=4,
            deadline_seconds=6.0,
            prompt="",
            tenant="",
        )
        self.submission = self.history.record_submission(request)

    def dispatch(self, attempt_id: str = "a") -> None:
        self.history.check_dispatch(self.submission, "r0", 1, WORKER, attempt_id)


@pytest.fixture
def observed() -> ObservedSubmission:
    return ObservedSubmission()


def test_a_late_rejection_is_detected(observed: ObservedSubmission) -> None:
    observed.environment.run_until(1.0)
    with pytest.raises(InvariantError, match="waited"):
        observed.history.check_immediate_rejection(observed.submission)


def test_a_backoff_past_the_deadline_is_detected(observed: ObservedSubmission) -> None:
    observed.history.check_backoff(observed.submission, 1.0)
    with pytest.raises(InvariantError, match=r"with 6\.000 s left"):
        observed.history.check_backoff(observed.submission, 30.0)


def test_an_execution_after_a_not_executed_guarantee_is_detected(
    observed: ObservedSubmission,
) -> None:
    observed.dispatch()
    observed.history.record_error_reply(observed.submission, REJECTION)
    with pytest.raises(InvariantError, match="caller received ran=no"):
        observed.history.check_execution("w0-1", DISPATCH)


def test_an_execution_without_a_dispatch_is_detected() -> None:
    with pytest.raises(InvariantError, match="no router dispatched"):
        ObservedSubmission().history.check_execution("w0-1", DISPATCH)


def test_a_handle_granted_to_another_attempt_or_twice_is_detected() -> None:
    history = ObservedSubmission().history
    handle = CacheHandle(
        handle_id="h",
        request_id="request-1",
        attempt_id="a",
        worker_id="w0",
        incarnation="w0-1",
        url="",
        prompt_tokens=1,
        expires_in_seconds=5.0,
    )
    claim = HandleClaim(handle_id="h", request_id="request-1", attempt_id="a", incarnation="w0-1")
    history.handle_issued(handle)
    history.handle_granted(claim)
    with pytest.raises(InvariantError, match="twice"):
        history.handle_granted(claim)
    other = HandleClaim(handle_id="h", request_id="request-2", attempt_id="b", incarnation="w0-1")
    with pytest.raises(InvariantError, match="was granted to"):
        history.handle_granted(other)


@pytest.mark.parametrize("status", [WorkerStatus.DRAINING, WorkerStatus.GONE])
def test_a_dispatch_too_long_after_the_draining_or_removal_was_applied_is_detected(
    observed: ObservedSubmission, status: WorkerStatus
) -> None:
    observed.history.record_applied_view(1, (WORKER,))
    changed = msgspec.structs.replace(WORKER, status=status)
    observed.history.record_applied_view(2, () if status is WorkerStatus.GONE else (changed,))
    observed.environment.run_until(1.9)
    observed.dispatch()
    observed.environment.run_until(2.1)
    with pytest.raises(InvariantError, match=r"2\.100 s after"):
        observed.dispatch()


def test_a_worker_that_is_ready_again_may_get_dispatches(observed: ObservedSubmission) -> None:
    observed.history.record_applied_view(1, (WORKER,))
    observed.history.record_applied_view(2, ())
    observed.environment.run_until(5.0)
    observed.history.record_applied_view(3, (WORKER,))
    observed.dispatch()


def test_a_revision_of_a_partitioned_leader_counts_once_the_witnesses_have_it(
    observed: ObservedSubmission,
) -> None:
    observed.history.witnesses_reachable = False
    observed.history.record_applied_view(1, (WORKER,))
    observed.history.record_applied_view(2, ())
    observed.environment.run_until(5.0)
    observed.dispatch()
    observed.history.record_majority_adoption(2)
    observed.environment.run_until(7.5)
    with pytest.raises(InvariantError, match=r"2\.500 s after"):
        observed.dispatch()
