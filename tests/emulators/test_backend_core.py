"""Admission control and command fencing of an emulated back end."""

import pytest
from emulator_harness import make_record

from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.backend_core import AttemptDispatch, BackendCore
from orchidpath.wire.backend import ErrorCode, Ran, WorkerCommand, WorkerCommandKind
from orchidpath.wire.records import Stage, WorkerStatus


def make_core(max_in_flight: int = 2) -> BackendCore:
    return BackendCore(make_record("w1", Stage.DECODE), max_in_flight)


def attempt(attempt_id: str, stage: Stage = Stage.DECODE, model: str = "wine") -> AttemptDispatch:
    return AttemptDispatch(
        request_id="r", attempt_id=attempt_id, phase=Phase.EXECUTION, stage=stage, model=model
    )


def command(
    term: int,
    sequence: int,
    kind: WorkerCommandKind = WorkerCommandKind.DRAIN,
    stage: Stage | None = None,
    incarnation: str = "i1",
    worker_id: str = "w1",
) -> WorkerCommand:
    return WorkerCommand(
        term=term,
        sequence=sequence,
        worker_id=worker_id,
        incarnation=incarnation,
        kind=kind,
        stage=stage,
    )


@pytest.mark.parametrize(
    ("dispatch", "code"),
    [
        (attempt("a", stage=Stage.PREFILL), ErrorCode.WRONG_STAGE),
        (attempt("a", model="riddle"), ErrorCode.WRONG_MODEL),
    ],
)
def test_a_rejected_attempt_is_rejected_permanently(
    dispatch: AttemptDispatch, code: ErrorCode
) -> None:
    core = make_core()
    rejection = core.admit(dispatch, 0.0)
    assert rejection is not None
    assert (rejection.code, rejection.ran) == (code, Ran.NO)
    again = core.admit(attempt("a"), 0.0)
    assert again is not None
    assert (again.code, again.ran) == (ErrorCode.ATTEMPT_REFUSED, Ran.NO)
    assert core.limit.current == 0


def test_overload_is_rejected_without_retry_after() -> None:
    core = make_core(max_in_flight=1)
    assert core.admit(attempt("a"), 0.0) is None
    rejection = core.admit(attempt("b"), 0.0)
    assert rejection is not None
    assert (rejection.code, rejection.ran) == (ErrorCode.OVERLOADED, Ran.NO)
    assert rejection.retry_after_seconds is None
    core.leave(attempt("a"), 0.0)
    assert core.admit(attempt("c"), 0.0) is None


def test_a_cancelled_attempt_does_not_start() -> None:
    core = make_core()
    assert core.admit(attempt("a"), 0.0) is None
    assert core.cancel("a", 0.0).ran is Ran.NO
    assert not core.start(attempt("a"), 0.0)


def test_commands_at_or_below_the_highest_fencing_token_are_rejected() -> None:
    core = make_core()
    assert core.execute(command(2, 5), 0).accepted
    assert core.draining
    for term, sequence in [(2, 5), (2, 4), (1, 9)]:
        reply = core.execute(command(term, sequence, WorkerCommandKind.RESUME), 0)
        assert (reply.accepted, reply.reason) == (False, "stale_order")
        assert (reply.highest_term, reply.highest_sequence) == (2, 5)
    assert core.record.status is WorkerStatus.DRAINING
    assert core.execute(command(3, 1, WorkerCommandKind.RESUME), 0).accepted
    assert not core.draining


def test_commands_to_another_worker_are_rejected_and_do_not_raise_the_fencing_token() -> None:
    core = make_core()
    assert not core.execute(command(9, 9, incarnation="i0"), 0).accepted
    assert not core.execute(command(9, 9, worker_id="w2"), 0).accepted
    assert core.execute(command(1, 1), 0).accepted


def test_the_stage_changes_only_when_idle() -> None:
    core = make_core()
    assert core.admit(attempt("a"), 0.0) is None
    busy = core.execute(command(1, 1, WorkerCommandKind.SET_STAGE, Stage.PREFILL), 0)
    assert (busy.accepted, busy.reason) == (False, "not idle")
    core.leave(attempt("a"), 0.0)
    assert not core.execute(command(1, 2, WorkerCommandKind.SET_STAGE, Stage.PREFILL), 1).accepted
    assert not core.execute(command(1, 3, WorkerCommandKind.SET_STAGE, Stage.PLAIN), 0).accepted
    assert core.execute(command(1, 4, WorkerCommandKind.SET_STAGE, Stage.PREFILL), 0).accepted
    assert core.record.stage is Stage.PREFILL


def test_no_command_resumes_a_process_that_is_stopping() -> None:
    core = make_core()
    core.terminate()
    core.execute(command(1, 1, WorkerCommandKind.RESUME), 0)
    rejection = core.admit(attempt("a"), 0.0)
    assert rejection is not None
    assert (rejection.code, rejection.ran) == (ErrorCode.DRAINING, Ran.NO)
