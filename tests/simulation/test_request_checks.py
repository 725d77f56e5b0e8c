"""Checks of the request path that no scenario's left-out rule reaches, on made-up histories."""

import msgspec
import pytest

from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.backend_core import AttemptDispatch
from orchidpath.emulators.worker.kv_cache import HandleClaim
from orchidpath.simulation.fleet_checks import InvariantError
from orchidpath.simulation.requests.exchange_messages import CallerRequest, RequestKind
from orchidpath.simulation.requests.path_checks import RequestHistory
from orchidpath.simulation.world import World
from orchidpath.wire.backend import CacheHandle, ErrorBody, ErrorCode, Ran
from orchidpath.wire.configuration import RetryPolicy
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

WORKER = WorkerRecord(
    worker_id="w0", incarnation="w0-1", service="chat", stage=Stage.PLAIN, url="http://w0"
)
ORDER = AttemptDispatch(
    request_id="request-1", attempt_id="a", phase=Phase.EXECUTION, stage=Stage.PLAIN
)
REFUSAL = ErrorBody(code=ErrorCode.OVERLOADED, message="", ran=Ran.NO)


class Observed:
    """A history with one submission."""

    def __init__(self) -> None:
        self.world = World(1)
        self.history = RequestHistory(self.world, RetryPolicy())
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
        self.submission = self.history.submitted(request)

    def order(self, attempt_id: str = "a") -> None:
        self.history.ordered(self.submission, "r0", 1, WORKER, attempt_id)


def test_a_rejection_may_not_wait() -> None:
    observed = Observed()
    observed.world.run_until(1.0)
    with pytest.raises(InvariantError, match="waited"):
        observed.history.refused_at_once(observed.submission)


def test_a_wait_past_the_deadline_is_seen() -> None:
    observed = Observed()
    observed.history.backed_off(observed.submission, 1.0)
    with pytest.raises(InvariantError, match=r"with 6\.000 s left"):
        observed.history.backed_off(observed.submission, 30.0)


def test_an_execution_after_ran_no_is_seen() -> None:
    observed = Observed()
    observed.order()
    observed.history.record_error_reply(observed.submission, REFUSAL)
    with pytest.raises(InvariantError, match="was told ran=no"):
        observed.history.executed("w0-1", ORDER)


def test_a_run_that_nobody_ordered_is_seen() -> None:
    with pytest.raises(InvariantError, match="no router ordered"):
        Observed().history.executed("w0-1", ORDER)


def test_a_handle_granted_to_another_attempt_or_twice_is_seen() -> None:
    history = Observed().history
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
def test_an_order_too_long_after_the_draining_or_end_was_applied_is_seen(
    status: WorkerStatus,
) -> None:
    observed = Observed()
    observed.history.agreed(1, (WORKER,))
    changed = msgspec.structs.replace(WORKER, status=status)
    observed.history.agreed(2, () if status is WorkerStatus.GONE else (changed,))
    observed.world.run_until(1.9)
    observed.order()
    observed.world.run_until(2.1)
    with pytest.raises(InvariantError, match=r"2\.100 s after"):
        observed.order()


def test_a_worker_that_is_ready_again_may_get_orders() -> None:
    observed = Observed()
    observed.history.agreed(1, (WORKER,))
    observed.history.agreed(2, ())
    observed.world.run_until(5.0)
    observed.history.agreed(3, (WORKER,))
    observed.order()


def test_a_cut_off_leaders_word_counts_once_the_witnesses_have_it() -> None:
    observed = Observed()
    observed.history.witnesses_reachable = False
    observed.history.agreed(1, (WORKER,))
    observed.history.agreed(2, ())
    observed.world.run_until(5.0)
    observed.order()
    observed.history.in_force(2)
    observed.world.run_until(7.5)
    with pytest.raises(InvariantError, match=r"2\.500 s after"):
        observed.order()
