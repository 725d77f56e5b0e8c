"""Plans keep their bounds despite lost leaders, lost workers and late commands."""

from random import Random

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from plan_environment import PlanEnvironment, record, service

from orchidpath.emulators.backend.command_fence import CommandFence
from orchidpath.placement import execution
from orchidpath.placement.execution import PlanSituation
from orchidpath.placement.planner import make_preview
from orchidpath.state import plan_state
from orchidpath.state.commands import (
    AdvanceStep,
    CancelPlan,
    HaltPlan,
    ResumePlan,
    StartPlan,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import Effect, PlanResult, RecordResult
from orchidpath.state.plans import OPEN_PHASES, PlanAnswer, PlanRecord, PlanStatus, StepPhase
from orchidpath.wire.backend import WorkerCommand, WorkerCommandKind, WorkerCommandReply
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus


def workers(prefill: int, decode: int) -> list[WorkerRecord]:
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    return [
        record(f"w{number}", stage, zone=f"z{number % 2}") for number, stage in enumerate(stages)
    ]


def build_environment(random: Random | None = None, max_cordoned: int = 1) -> PlanEnvironment:
    """Return a fleet of four prefill and two decode workers, and a plan that moves two."""
    return PlanEnvironment(workers(4, 2), service(2, 4, max_cordoned), random)


def run_to(environment: PlanEnvironment, phase: StepPhase) -> str:
    """Run until a step is in a phase, and return the id of its worker."""
    for _ in range(100):
        for step, progress in zip(
            environment.plan.plan.steps, environment.plan.progress.steps, strict=True
        ):
            if progress.phase is phase:
                return step.worker_id
        environment.turn()
    raise AssertionError(f"no step reaches {phase}")


def check_ended_cleanly(environment: PlanEnvironment) -> None:
    """Check that no worker is cordoned or draining and that recorded stages match actual ones."""
    for worker in environment.state.workers():
        assert not worker.cordoned, worker
        assert worker.status is WorkerStatus.READY, worker
        assert environment.cores[worker.worker_id].record.stage is worker.stage


def check_done(environment: PlanEnvironment) -> None:
    """Check that the plan reached the desired counts and moved each of its workers once."""
    assert environment.status() is PlanStatus.DONE, environment.plan.progress
    check_ended_cleanly(environment)
    assert environment.serving(Stage.PREFILL) == environment.desired.prefill_workers
    assert environment.serving(Stage.DECODE) == environment.desired.decode_workers
    assert sorted(environment.switched) == sorted(
        step.worker_id for step in environment.plan.plan.steps
    )


def test_a_plan_runs_to_completion() -> None:
    environment = build_environment()
    environment.start_plan()
    environment.run()
    check_done(environment)


@pytest.mark.parametrize("max_cordoned", [1, 2])
def test_a_plan_survives_the_loss_of_a_leader_before_and_after_every_command_and_entry(
    max_cordoned: int,
) -> None:
    events = 0

    def count() -> None:
        nonlocal events
        events += 1

    undisturbed = build_environment(max_cordoned=max_cordoned)
    undisturbed.on_event = count
    undisturbed.start_plan()
    undisturbed.run()
    assert events >= 16
    for lost_at in range(events):
        environment = build_environment(max_cordoned=max_cordoned)
        seen = 0

        def lose_leader(environment: PlanEnvironment = environment, lost_at: int = lost_at) -> None:
            nonlocal seen
            if seen == lost_at:
                environment.fail_over()
            seen += 1

        environment.on_event = lose_leader
        environment.start_plan()
        environment.run()
        assert environment.term == 2
        check_done(environment)


@settings(max_examples=60, deadline=None)
@example(prefill=1, decode=4, desired_prefill=4, max_cordoned=2, seed=1333)
@given(
    prefill=st.integers(1, 6),
    decode=st.integers(1, 6),
    desired_prefill=st.integers(1, 8),
    max_cordoned=st.integers(1, 3),
    seed=st.integers(0, 10_000),
)
def test_with_lost_and_late_commands_and_leaders_a_plan_reaches_the_desired_state(
    prefill: int, decode: int, desired_prefill: int, max_cordoned: int, seed: int
) -> None:
    desired_prefill = min(desired_prefill, prefill + decode - 1)
    desired = service(desired_prefill, prefill + decode - desired_prefill, max_cordoned)
    random = Random(seed)
    environment = PlanEnvironment(workers(prefill, decode), desired, random)
    if desired_prefill == prefill:
        assert environment.confirm_plan().answer is PlanAnswer.STALE
        return
    environment.start_plan()
    for _ in range(2000):
        if not environment.plan.active:
            break
        if random.random() < 0.05:
            environment.fail_over()
        environment.turn()
        environment.check_serving()
    check_done(environment)


def begin_without_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable the check of the bounds before a step begins."""
    monkeypatch.setattr(plan_state, "step_start_obstacle", lambda *_: "")
    monkeypatch.setattr(execution, "step_start_obstacle", lambda *_: "")


def lose_a_prefill_worker_outside_the_plan(environment: PlanEnvironment) -> None:
    moving = {step.worker_id for step in environment.plan.plan.steps}
    prefill = [worker for worker in environment.state.workers() if worker.stage is Stage.PREFILL]
    candidates = [worker.worker_id for worker in prefill if worker.worker_id not in moving]
    environment.lose_worker(candidates[0])


def test_a_step_that_would_violate_a_bound_never_begins() -> None:
    environment = build_environment()
    environment.start_plan()
    lose_a_prefill_worker_outside_the_plan(environment)
    environment.run()
    assert environment.status() is PlanStatus.STOPPED
    assert "would keep" in environment.plan.progress.reason
    assert environment.serving(Stage.PREFILL) == 2
    check_ended_cleanly(environment)


def test_without_the_check_a_step_violates_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    begin_without_check(monkeypatch)
    environment = build_environment()
    environment.start_plan()
    lose_a_prefill_worker_outside_the_plan(environment)
    environment.run()
    with pytest.raises(AssertionError):
        environment.check_serving()


def test_the_state_machine_rejects_invalid_proposals_of_a_leader() -> None:
    environment = build_environment()
    environment.start_plan()
    plan_id = environment.plan.plan.plan_id

    def advance(step: int, expected: StepPhase, phase: StepPhase) -> Effect:
        command = AdvanceStep(plan_id=plan_id, step=step, expected=expected, phase=phase)
        outcome = environment.apply(command)
        assert isinstance(outcome, RecordResult)
        return outcome.effect

    assert advance(0, StepPhase.WAITING, StepPhase.SWITCHING) is Effect.INVALID
    assert advance(7, StepPhase.WAITING, StepPhase.CORDONING) is Effect.UNKNOWN
    assert advance(0, StepPhase.WAITING, StepPhase.CORDONING) is Effect.CHANGED
    assert advance(0, StepPhase.WAITING, StepPhase.CORDONING) is Effect.STALE
    assert (
        advance(1, StepPhase.WAITING, StepPhase.CORDONING) is Effect.INVALID
    )  # At most one worker may be cordoned at a time.
    lose_a_prefill_worker_outside_the_plan(environment)
    assert advance(0, StepPhase.CORDONING, StepPhase.RETURNING) is Effect.CHANGED
    assert advance(0, StepPhase.RETURNING, StepPhase.RETURNED) is Effect.CHANGED
    lose_a_prefill_worker_outside_the_plan(environment)
    assert (
        advance(1, StepPhase.WAITING, StepPhase.CORDONING) is Effect.INVALID
    )  # the stage would fall below its minimum


def test_no_command_is_sent_before_the_cordon_is_confirmed_by_every_router() -> None:
    environment = build_environment()
    environment.confirms = False
    environment.start_plan()
    for _ in range(20):
        environment.turn()
    assert environment.phase(0) is StepPhase.CORDONING
    assert not environment.sent
    environment.confirms = True
    environment.run()
    check_done(environment)


def test_without_the_wait_for_confirmation_the_check_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    environment = build_environment()
    environment.confirms = False
    environment.start_plan()
    environment.confirmed_revision = 0
    tick = environment.driver.tick
    monkeypatch.setattr(environment.driver, "tick", lambda _confirmed, now: tick(1_000, now))
    with pytest.raises(AssertionError, match="may not know of the cordon"):
        environment.run()


@pytest.mark.parametrize("phase", sorted(OPEN_PHASES - {StepPhase.RETURNING}))
@pytest.mark.parametrize("restarted", [False, True])
def test_a_worker_lost_during_its_step_stops_the_plan_with_a_reason(
    phase: StepPhase, restarted: bool
) -> None:
    environment = build_environment()
    environment.start_plan()
    worker_id = run_to(environment, phase)
    if restarted:
        environment.restart_worker(worker_id)
    else:
        environment.lose_worker(worker_id)
    environment.run()
    assert environment.status() is PlanStatus.STOPPED
    assert worker_id in environment.plan.progress.reason
    assert environment.phase(0) is StepPhase.ABANDONED
    assert environment.phase(1) is StepPhase.WAITING
    check_ended_cleanly(environment)


def test_an_abandoned_worker_that_returns_draining_is_resumed() -> None:
    environment = build_environment()
    environment.start_plan()
    worker_id = run_to(environment, StepPhase.SWITCHING)
    environment.lose_worker(worker_id)
    environment.run()
    environment.announce(worker_id)
    found = environment.state.find_worker(worker_id)
    assert found is not None
    assert found.record.status is WorkerStatus.DRAINING
    environment.fail_over()
    for _ in range(10):
        environment.turn()
    check_ended_cleanly(environment)


def test_a_worker_that_never_becomes_idle_is_returned_and_the_plan_stops() -> None:
    environment = build_environment()
    environment.start_plan()
    worker_id = run_to(environment, StepPhase.DRAINING)
    environment.in_flight[worker_id] = 1
    environment.run()
    assert environment.status() is PlanStatus.STOPPED
    assert f"{worker_id} took too long: draining" in environment.plan.progress.reason
    assert environment.phase(0) is StepPhase.RETURNED
    assert not environment.switched
    check_ended_cleanly(environment)


def test_an_unreachable_worker_is_abandoned_within_the_time_bounds() -> None:
    environment = build_environment()
    environment.start_plan()
    worker_id = run_to(environment, StepPhase.DRAINING)
    environment.unreachable.add(worker_id)
    began_at = environment.now
    environment.run()
    assert environment.phase(0) is StepPhase.ABANDONED
    assert environment.now - began_at < 10.0 + execution.RETURN_SECONDS + 2.0
    assert not any(worker.cordoned for worker in environment.state.workers())


def test_release_waits_for_the_reply_to_resume() -> None:
    """A DRAIN may still be in transit while the replicated record shows the worker as ready."""
    environment = build_environment()
    environment.start_plan()
    worker_id = run_to(environment, StepPhase.DRAINING)
    environment.unreachable.add(worker_id)
    environment.turn()
    late = environment.sent[-1].command
    assert late.kind is WorkerCommandKind.DRAIN
    environment.apply(CancelPlan(order_id="cancel", plan_id=environment.plan.plan.plan_id))
    for _ in range(20):
        environment.turn()
    assert environment.phase(0) is StepPhase.RETURNING
    environment.unreachable.clear()
    environment.run()
    assert environment.status() is PlanStatus.CANCELLED
    assert not environment.execute(late).accepted
    check_ended_cleanly(environment)


def run_and_cancel_in(phase: StepPhase) -> PlanEnvironment:
    """Cancel a plan when its first step is in a phase, and run the plan to its end."""
    environment = build_environment()
    environment.start_plan()
    run_to(environment, phase)
    environment.apply(CancelPlan(order_id="cancel", plan_id=environment.plan.plan.plan_id))
    environment.run()
    assert environment.status() is PlanStatus.CANCELLED
    check_ended_cleanly(environment)
    return environment


@pytest.mark.parametrize("phase", [StepPhase.CORDONING, StepPhase.DRAINING])
def test_cancel_returns_a_worker_whose_stage_was_not_changed(phase: StepPhase) -> None:
    assert not run_and_cancel_in(phase).switched


@pytest.mark.parametrize("phase", [StepPhase.SWITCHING, StepPhase.RESUMING])
def test_cancel_completes_a_stage_change_in_progress(phase: StepPhase) -> None:
    assert len(run_and_cancel_in(phase).switched) == 1


def test_halt_leaves_no_worker_cordoned_and_resume_continues() -> None:
    environment = build_environment()
    environment.start_plan()
    plan_id = environment.plan.plan.plan_id
    run_to(environment, StepPhase.DRAINING)
    environment.apply(HaltPlan(order_id="halt", plan_id=plan_id))
    for _ in range(50):
        environment.turn()
    assert environment.status() is PlanStatus.HALTED
    assert [step.phase for step in environment.plan.progress.steps] == [
        StepPhase.RELEASED,
        StepPhase.WAITING,
    ]
    check_ended_cleanly(environment)
    environment.apply(ResumePlan(order_id="resume", plan_id=plan_id))
    environment.run()
    check_done(environment)


def test_a_newer_configuration_halts_the_plan_permanently() -> None:
    environment = build_environment()
    environment.start_plan()
    plan_id = environment.plan.plan.plan_id
    run_to(environment, StepPhase.SWITCHING)
    environment.configure(service(3, 3))
    assert environment.status() is PlanStatus.HALTED
    resumed = environment.apply(ResumePlan(order_id="resume", plan_id=plan_id))
    assert isinstance(resumed, PlanResult)
    assert resumed.answer is PlanAnswer.REFUSED
    for _ in range(50):
        environment.turn()
    check_ended_cleanly(environment)
    assert len(environment.switched) == 1
    environment.apply(CancelPlan(order_id="cancel", plan_id=plan_id))
    assert environment.status() is PlanStatus.CANCELLED
    assert (
        environment.confirm_plan("next").answer is PlanAnswer.STALE
    )  # the stages already have three workers each


def stale_start(environment: PlanEnvironment) -> PlanAnswer:
    """Propose a plan that was computed before the restart of a worker."""
    plan = make_preview(environment.state.view()).plan
    environment.restart_worker("w5")
    outcome = environment.apply(StartPlan(order_id="order", plan_id=plan.plan_id, plan=plan))
    assert isinstance(outcome, PlanResult)
    return outcome.answer


def test_a_plan_whose_basis_changed_before_it_was_applied_does_not_start() -> None:
    environment = build_environment()
    assert stale_start(environment) is PlanAnswer.STALE
    assert environment.state.plan is None


def test_without_the_comparison_a_stale_plan_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    environment = build_environment()
    digest = make_preview(environment.state.view()).plan.basis
    monkeypatch.setattr(plan_state, "basis_digest", lambda *_: digest)
    assert stale_start(environment) is PlanAnswer.ACCEPTED


def test_a_repeated_action_gets_its_first_outcome() -> None:
    environment = build_environment()
    stale = StartPlan(order_id="early", plan_id="unknown")
    assert environment.apply(stale) == PlanResult(answer=PlanAnswer.STALE)
    environment.start_plan()
    plan = environment.plan.plan
    again = StartPlan(order_id="order", plan_id=plan.plan_id, plan=None)
    assert environment.apply(again) == PlanResult(answer=PlanAnswer.ACCEPTED, repeated=True)
    assert environment.apply(stale) == PlanResult(answer=PlanAnswer.STALE, repeated=True)
    other = HaltPlan(order_id="order", plan_id=plan.plan_id)
    assert environment.apply(other) == PlanResult(answer=PlanAnswer.ORDER_ID_REUSED)
    second = environment.apply(StartPlan(order_id="second", plan_id=plan.plan_id, plan=plan))
    assert isinstance(second, PlanResult)
    assert second.answer is PlanAnswer.REFUSED
    environment.run()
    assert environment.apply(again) == PlanResult(answer=PlanAnswer.ACCEPTED, repeated=True)
    assert environment.status() is PlanStatus.DONE


def commands_of_two_leaders(environment: PlanEnvironment) -> tuple[WorkerCommand, WorkerCommand]:
    """Return a command of a replaced leader and a later one of its successor."""
    environment.start_plan()
    worker_id = run_to(environment, StepPhase.DRAINING)
    environment.unreachable.add(worker_id)
    environment.turn()
    old = environment.sent[-1].command
    environment.fail_over()
    environment.turn()
    new = environment.sent[-1].command
    assert new.term > old.term
    assert new.worker_id == old.worker_id
    return old, new


def test_a_worker_rejects_commands_of_a_replaced_leader() -> None:
    environment = build_environment()
    old, new = commands_of_two_leaders(environment)
    assert environment.execute(new).accepted
    rejected = environment.execute(old)
    assert not rejected.accepted
    assert (rejected.highest_term, rejected.highest_sequence) == (new.term, new.sequence)


def test_without_fencing_a_worker_accepts_commands_of_both_leaders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(CommandFence, "advance", lambda *_: True)
    environment = build_environment()
    old, new = commands_of_two_leaders(environment)
    assert environment.execute(new).accepted
    assert environment.execute(old).accepted


def test_fencing_tokens_of_a_leader_increase_with_every_command() -> None:
    environment = build_environment(Random(3))
    environment.start_plan()
    environment.run()
    fencing_tokens = [(effect.command.term, effect.command.sequence) for effect in environment.sent]
    assert fencing_tokens == sorted(set(fencing_tokens))


def test_a_reply_to_a_command_of_an_earlier_phase_does_not_count() -> None:
    environment = build_environment()
    environment.start_plan()
    worker_id = run_to(environment, StepPhase.DRAINING)
    environment.turn()
    earlier = msgspec.structs.replace(environment.sent[-1].command, kind=WorkerCommandKind.RESUME)
    run_to(environment, StepPhase.RESUMING)
    environment.unreachable.add(worker_id)
    environment.turn()
    environment.cores[worker_id].resume()
    environment.announce(worker_id)
    accepted = WorkerCommandReply(accepted=True, highest_term=1, highest_sequence=earlier.sequence)
    environment.driver.command_answered(earlier, accepted)
    environment.turn()
    assert environment.phase(0) is StepPhase.RESUMING
    environment.driver.command_answered(environment.sent[-1].command, accepted)
    environment.turn()
    assert environment.phase(0) is StepPhase.RELEASED


def test_a_snapshot_without_plan_fields_is_restored() -> None:
    environment = build_environment()
    body = msgspec.msgpack.decode(environment.state.snapshot())
    del body["plan"], body["plan_orders"]
    restored = FleetState.restore(msgspec.msgpack.encode(body))
    assert restored.plan is None
    assert restored.workers() == environment.state.workers()


def test_without_the_wait_for_the_reply_a_released_worker_drains_permanently(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    guarded = execution._following_phase

    def unguarded(
        plan: PlanRecord, position: int, worker: WorkerRecord, situation: PlanSituation
    ) -> StepPhase | None:
        watch = msgspec.structs.replace(
            situation.watches[position], accepted=WorkerCommandKind.RESUME
        )
        watches = [watch for _ in situation.watches]
        return guarded(plan, position, worker, msgspec.structs.replace(situation, watches=watches))

    monkeypatch.setattr(execution, "_following_phase", unguarded)
    environment = build_environment()
    environment.start_plan()
    worker_id = run_to(environment, StepPhase.DRAINING)
    environment.unreachable.add(worker_id)
    environment.turn()
    late = environment.sent[-1].command
    environment.apply(CancelPlan(order_id="cancel", plan_id=environment.plan.plan.plan_id))
    environment.run()
    assert environment.status() is PlanStatus.CANCELLED
    assert environment.execute(late).accepted
    with pytest.raises(AssertionError):
        check_ended_cleanly(environment)
