"""Plans keep their bounds despite lost leaders, lost workers and late commands."""

from random import Random

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from plan_world import PlanWorld, record, service

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


def build_world(random: Random | None = None, max_cordoned: int = 1) -> PlanWorld:
    """Return a fleet of four prefill and two decode workers, and a plan that moves two."""
    return PlanWorld(workers(4, 2), service(2, 4, max_cordoned), random)


def run_to(world: PlanWorld, phase: StepPhase) -> str:
    """Run until a step is in a phase, and return the id of its worker."""
    for _ in range(100):
        for step, progress in zip(world.plan.plan.steps, world.plan.progress.steps, strict=True):
            if progress.phase is phase:
                return step.worker_id
        world.turn()
    raise AssertionError(f"no step reaches {phase}")


def check_ended_cleanly(world: PlanWorld) -> None:
    """Check that no worker is cordoned or draining and that recorded stages match actual ones."""
    for worker in world.state.workers():
        assert not worker.cordoned, worker
        assert worker.status is WorkerStatus.READY, worker
        assert world.cores[worker.worker_id].record.stage is worker.stage


def check_done(world: PlanWorld) -> None:
    """Check that the plan reached the desired counts and moved each of its workers once."""
    assert world.status() is PlanStatus.DONE, world.plan.progress
    check_ended_cleanly(world)
    assert world.serving(Stage.PREFILL) == world.wanted.prefill_workers
    assert world.serving(Stage.DECODE) == world.wanted.decode_workers
    assert sorted(world.switched) == sorted(step.worker_id for step in world.plan.plan.steps)


def test_a_plan_runs_to_completion() -> None:
    world = build_world()
    world.start_plan()
    world.run()
    check_done(world)


@pytest.mark.parametrize("max_cordoned", [1, 2])
def test_a_plan_survives_the_loss_of_a_leader_before_and_after_every_command_and_entry(
    max_cordoned: int,
) -> None:
    events = 0

    def count() -> None:
        nonlocal events
        events += 1

    undisturbed = build_world(max_cordoned=max_cordoned)
    undisturbed.on_event = count
    undisturbed.start_plan()
    undisturbed.run()
    assert events >= 16
    for lost_at in range(events):
        world = build_world(max_cordoned=max_cordoned)
        seen = 0

        def lose_leader(world: PlanWorld = world, lost_at: int = lost_at) -> None:
            nonlocal seen
            if seen == lost_at:
                world.fail_over()
            seen += 1

        world.on_event = lose_leader
        world.start_plan()
        world.run()
        assert world.term == 2
        check_done(world)


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
    wanted = service(desired_prefill, prefill + decode - desired_prefill, max_cordoned)
    random = Random(seed)
    world = PlanWorld(workers(prefill, decode), wanted, random)
    if desired_prefill == prefill:
        assert world.confirm_plan().answer is PlanAnswer.STALE
        return
    world.start_plan()
    for _ in range(2000):
        if not world.plan.active:
            break
        if random.random() < 0.05:
            world.fail_over()
        world.turn()
        world.check_serving()
    check_done(world)


def begin_without_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable the check of the bounds before a step begins."""
    monkeypatch.setattr(plan_state, "begin_objection", lambda *_: "")
    monkeypatch.setattr(execution, "begin_objection", lambda *_: "")


def lose_a_prefill_worker_outside_the_plan(world: PlanWorld) -> None:
    moving = {step.worker_id for step in world.plan.plan.steps}
    prefill = [worker for worker in world.state.workers() if worker.stage is Stage.PREFILL]
    candidates = [worker.worker_id for worker in prefill if worker.worker_id not in moving]
    world.lose_worker(candidates[0])


def test_a_step_that_would_violate_a_bound_never_begins() -> None:
    world = build_world()
    world.start_plan()
    lose_a_prefill_worker_outside_the_plan(world)
    world.run()
    assert world.status() is PlanStatus.STOPPED
    assert "would keep" in world.plan.progress.reason
    assert world.serving(Stage.PREFILL) == 2
    check_ended_cleanly(world)


def test_without_the_check_a_step_violates_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    begin_without_check(monkeypatch)
    world = build_world()
    world.start_plan()
    lose_a_prefill_worker_outside_the_plan(world)
    world.run()
    with pytest.raises(AssertionError):
        world.check_serving()


def test_the_state_machine_rejects_invalid_proposals_of_a_leader() -> None:
    world = build_world()
    world.start_plan()
    plan_id = world.plan.plan.plan_id

    def advance(step: int, expected: StepPhase, phase: StepPhase) -> Effect:
        command = AdvanceStep(plan_id=plan_id, step=step, expected=expected, phase=phase)
        outcome = world.apply(command)
        assert isinstance(outcome, RecordResult)
        return outcome.effect

    assert advance(0, StepPhase.WAITING, StepPhase.SWITCHING) is Effect.INVALID
    assert advance(7, StepPhase.WAITING, StepPhase.CORDONING) is Effect.UNKNOWN
    assert advance(0, StepPhase.WAITING, StepPhase.CORDONING) is Effect.CHANGED
    assert advance(0, StepPhase.WAITING, StepPhase.CORDONING) is Effect.STALE
    assert (
        advance(1, StepPhase.WAITING, StepPhase.CORDONING) is Effect.INVALID
    )  # only one worker may be cordoned at once
    lose_a_prefill_worker_outside_the_plan(world)
    assert advance(0, StepPhase.CORDONING, StepPhase.RETURNING) is Effect.CHANGED
    assert advance(0, StepPhase.RETURNING, StepPhase.RETURNED) is Effect.CHANGED
    lose_a_prefill_worker_outside_the_plan(world)
    assert (
        advance(1, StepPhase.WAITING, StepPhase.CORDONING) is Effect.INVALID
    )  # the stage would fall below its minimum


def test_no_command_is_sent_before_the_cordon_is_confirmed_by_every_router() -> None:
    world = build_world()
    world.confirms = False
    world.start_plan()
    for _ in range(20):
        world.turn()
    assert world.phase(0) is StepPhase.CORDONING
    assert not world.sent
    world.confirms = True
    world.run()
    check_done(world)


def test_without_the_wait_for_confirmation_the_check_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = build_world()
    world.confirms = False
    world.start_plan()
    world.confirmed_revision = 0
    tick = world.driver.tick
    monkeypatch.setattr(world.driver, "tick", lambda _confirmed, now: tick(1_000, now))
    with pytest.raises(AssertionError, match="may not know of the cordon"):
        world.run()


@pytest.mark.parametrize("phase", sorted(OPEN_PHASES - {StepPhase.RETURNING}))
@pytest.mark.parametrize("restarted", [False, True])
def test_a_worker_lost_during_its_step_stops_the_plan_with_a_reason(
    phase: StepPhase, restarted: bool
) -> None:
    world = build_world()
    world.start_plan()
    worker_id = run_to(world, phase)
    if restarted:
        world.restart_worker(worker_id)
    else:
        world.lose_worker(worker_id)
    world.run()
    assert world.status() is PlanStatus.STOPPED
    assert worker_id in world.plan.progress.reason
    assert world.phase(0) is StepPhase.ABANDONED
    assert world.phase(1) is StepPhase.WAITING
    check_ended_cleanly(world)


def test_an_abandoned_worker_that_returns_draining_is_resumed() -> None:
    world = build_world()
    world.start_plan()
    worker_id = run_to(world, StepPhase.SWITCHING)
    world.lose_worker(worker_id)
    world.run()
    world.announce(worker_id)
    found = world.state.find_worker(worker_id)
    assert found is not None
    assert found.record.status is WorkerStatus.DRAINING
    world.fail_over()
    for _ in range(10):
        world.turn()
    check_ended_cleanly(world)


def test_a_worker_that_never_becomes_idle_is_returned_and_the_plan_stops() -> None:
    world = build_world()
    world.start_plan()
    worker_id = run_to(world, StepPhase.DRAINING)
    world.in_flight[worker_id] = 1
    world.run()
    assert world.status() is PlanStatus.STOPPED
    assert f"{worker_id} took too long: draining" in world.plan.progress.reason
    assert world.phase(0) is StepPhase.RETURNED
    assert not world.switched
    check_ended_cleanly(world)


def test_an_unreachable_worker_is_abandoned_within_the_time_bounds() -> None:
    world = build_world()
    world.start_plan()
    worker_id = run_to(world, StepPhase.DRAINING)
    world.unreachable.add(worker_id)
    began_at = world.now
    world.run()
    assert world.phase(0) is StepPhase.ABANDONED
    assert world.now - began_at < 10.0 + execution.RETURN_SECONDS + 2.0
    assert not any(worker.cordoned for worker in world.state.workers())


def test_release_waits_for_the_reply_to_resume() -> None:
    """A DRAIN may still be in transit while the replicated record shows the worker as ready."""
    world = build_world()
    world.start_plan()
    worker_id = run_to(world, StepPhase.DRAINING)
    world.unreachable.add(worker_id)
    world.turn()
    late = world.sent[-1].command
    assert late.kind is WorkerCommandKind.DRAIN
    world.apply(CancelPlan(order_id="cancel", plan_id=world.plan.plan.plan_id))
    for _ in range(20):
        world.turn()
    assert world.phase(0) is StepPhase.RETURNING
    world.unreachable.clear()
    world.run()
    assert world.status() is PlanStatus.CANCELLED
    assert not world.execute(late).accepted
    check_ended_cleanly(world)


def run_and_cancel_in(phase: StepPhase) -> PlanWorld:
    """Cancel a plan when its first step is in a phase, and run the plan to its end."""
    world = build_world()
    world.start_plan()
    run_to(world, phase)
    world.apply(CancelPlan(order_id="cancel", plan_id=world.plan.plan.plan_id))
    world.run()
    assert world.status() is PlanStatus.CANCELLED
    check_ended_cleanly(world)
    return world


@pytest.mark.parametrize("phase", [StepPhase.CORDONING, StepPhase.DRAINING])
def test_cancel_returns_a_worker_whose_stage_was_not_changed(phase: StepPhase) -> None:
    assert not run_and_cancel_in(phase).switched


@pytest.mark.parametrize("phase", [StepPhase.SWITCHING, StepPhase.RESUMING])
def test_cancel_completes_a_stage_change_in_progress(phase: StepPhase) -> None:
    assert len(run_and_cancel_in(phase).switched) == 1


def test_halt_leaves_no_worker_cordoned_and_resume_continues() -> None:
    world = build_world()
    world.start_plan()
    plan_id = world.plan.plan.plan_id
    run_to(world, StepPhase.DRAINING)
    world.apply(HaltPlan(order_id="halt", plan_id=plan_id))
    for _ in range(50):
        world.turn()
    assert world.status() is PlanStatus.HALTED
    assert [step.phase for step in world.plan.progress.steps] == [
        StepPhase.RELEASED,
        StepPhase.WAITING,
    ]
    check_ended_cleanly(world)
    world.apply(ResumePlan(order_id="resume", plan_id=plan_id))
    world.run()
    check_done(world)


def test_a_newer_configuration_halts_the_plan_permanently() -> None:
    world = build_world()
    world.start_plan()
    plan_id = world.plan.plan.plan_id
    run_to(world, StepPhase.SWITCHING)
    world.configure(service(3, 3))
    assert world.status() is PlanStatus.HALTED
    resumed = world.apply(ResumePlan(order_id="resume", plan_id=plan_id))
    assert isinstance(resumed, PlanResult)
    assert resumed.answer is PlanAnswer.REFUSED
    for _ in range(50):
        world.turn()
    check_ended_cleanly(world)
    assert len(world.switched) == 1
    world.apply(CancelPlan(order_id="cancel", plan_id=plan_id))
    assert world.status() is PlanStatus.CANCELLED
    assert (
        world.confirm_plan("next").answer is PlanAnswer.STALE
    )  # the stages already have three workers each


def stale_start(world: PlanWorld) -> PlanAnswer:
    """Propose a plan that was computed before the restart of a worker."""
    plan = make_preview(world.state.view()).plan
    world.restart_worker("w5")
    outcome = world.apply(StartPlan(order_id="order", plan_id=plan.plan_id, plan=plan))
    assert isinstance(outcome, PlanResult)
    return outcome.answer


def test_a_plan_whose_basis_changed_before_it_was_applied_does_not_start() -> None:
    world = build_world()
    assert stale_start(world) is PlanAnswer.STALE
    assert world.state.plan is None


def test_without_the_comparison_a_stale_plan_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    world = build_world()
    digest = make_preview(world.state.view()).plan.basis
    monkeypatch.setattr(plan_state, "basis_digest", lambda *_: digest)
    assert stale_start(world) is PlanAnswer.ACCEPTED


def test_a_repeated_action_gets_its_first_outcome() -> None:
    world = build_world()
    stale = StartPlan(order_id="early", plan_id="unknown")
    assert world.apply(stale) == PlanResult(answer=PlanAnswer.STALE)
    world.start_plan()
    plan = world.plan.plan
    again = StartPlan(order_id="order", plan_id=plan.plan_id, plan=None)
    assert world.apply(again) == PlanResult(answer=PlanAnswer.ACCEPTED, repeated=True)
    assert world.apply(stale) == PlanResult(answer=PlanAnswer.STALE, repeated=True)
    other = HaltPlan(order_id="order", plan_id=plan.plan_id)
    assert world.apply(other) == PlanResult(answer=PlanAnswer.ORDER_ID_REUSED)
    second = world.apply(StartPlan(order_id="second", plan_id=plan.plan_id, plan=plan))
    assert isinstance(second, PlanResult)
    assert second.answer is PlanAnswer.REFUSED
    world.run()
    assert world.apply(again) == PlanResult(answer=PlanAnswer.ACCEPTED, repeated=True)
    assert world.status() is PlanStatus.DONE


def commands_of_two_leaders(world: PlanWorld) -> tuple[WorkerCommand, WorkerCommand]:
    """Return a command of a replaced leader and a later one of its successor."""
    world.start_plan()
    worker_id = run_to(world, StepPhase.DRAINING)
    world.unreachable.add(worker_id)
    world.turn()
    old = world.sent[-1].command
    world.fail_over()
    world.turn()
    new = world.sent[-1].command
    assert new.term > old.term
    assert new.worker_id == old.worker_id
    return old, new


def test_a_worker_rejects_commands_of_a_replaced_leader() -> None:
    world = build_world()
    old, new = commands_of_two_leaders(world)
    assert world.execute(new).accepted
    rejected = world.execute(old)
    assert not rejected.accepted
    assert (rejected.highest_term, rejected.highest_sequence) == (new.term, new.sequence)


def test_without_fencing_a_worker_accepts_commands_of_both_leaders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(CommandFence, "pass_order", lambda *_: True)
    world = build_world()
    old, new = commands_of_two_leaders(world)
    assert world.execute(new).accepted
    assert world.execute(old).accepted


def test_fencing_tokens_of_a_leader_increase_with_every_command() -> None:
    world = build_world(Random(3))
    world.start_plan()
    world.run()
    fencing_tokens = [(effect.command.term, effect.command.sequence) for effect in world.sent]
    assert fencing_tokens == sorted(set(fencing_tokens))


def test_a_reply_to_a_command_of_an_earlier_phase_does_not_count() -> None:
    world = build_world()
    world.start_plan()
    worker_id = run_to(world, StepPhase.DRAINING)
    world.turn()
    earlier = msgspec.structs.replace(world.sent[-1].command, kind=WorkerCommandKind.RESUME)
    run_to(world, StepPhase.RESUMING)
    world.unreachable.add(worker_id)
    world.turn()
    world.cores[worker_id].resume()
    world.announce(worker_id)
    accepted = WorkerCommandReply(accepted=True, highest_term=1, highest_sequence=earlier.sequence)
    world.driver.command_answered(earlier, accepted)
    world.turn()
    assert world.phase(0) is StepPhase.RESUMING
    world.driver.command_answered(world.sent[-1].command, accepted)
    world.turn()
    assert world.phase(0) is StepPhase.RELEASED


def test_a_snapshot_without_plan_fields_is_restored() -> None:
    world = build_world()
    body = msgspec.msgpack.decode(world.state.snapshot())
    del body["plan"], body["plan_orders"]
    restored = FleetState.restore(msgspec.msgpack.encode(body))
    assert restored.plan is None
    assert restored.workers() == world.state.workers()


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
    world = build_world()
    world.start_plan()
    worker_id = run_to(world, StepPhase.DRAINING)
    world.unreachable.add(worker_id)
    world.turn()
    late = world.sent[-1].command
    world.apply(CancelPlan(order_id="cancel", plan_id=world.plan.plan.plan_id))
    world.run()
    assert world.status() is PlanStatus.CANCELLED
    assert world.execute(late).accepted
    with pytest.raises(AssertionError):
        check_ended_cleanly(world)
