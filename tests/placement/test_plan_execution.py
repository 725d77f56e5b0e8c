"""A plan's execution: leaders lost anywhere, workers lost, orders late; never a bound crossed."""

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
from orchidpath.state import plan_state as plan_book
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


def world(random: Random | None = None, max_cordoned: int = 1) -> PlanWorld:
    """Four workers read prompts and two decode; the plan moves two."""
    return PlanWorld(workers(4, 2), service(2, 4, max_cordoned), random)


def run_to(one: PlanWorld, phase: StepPhase) -> str:
    """Run until a step is in a phase; returns its worker."""
    for _ in range(100):
        for step, progress in zip(one.plan.plan.steps, one.plan.progress.steps, strict=True):
            if progress.phase is phase:
                return step.worker_id
        one.turn()
    raise AssertionError(f"no step comes to {phase}")


def check_ended_well(one: PlanWorld) -> None:
    """Nobody is held back or left draining, and agreed and real parts are the same."""
    for worker in one.state.workers():
        assert not worker.cordoned, worker
        assert worker.status is WorkerStatus.READY, worker
        assert one.cores[worker.worker_id].record.stage is worker.stage


def check_done(one: PlanWorld) -> None:
    assert one.status() is PlanStatus.DONE, one.plan.progress
    check_ended_well(one)
    assert one.serving(Stage.PREFILL) == one.wanted.prefill_workers
    assert one.serving(Stage.DECODE) == one.wanted.decode_workers
    assert sorted(one.switched) == sorted(step.worker_id for step in one.plan.plan.steps)


def test_a_plan_runs_to_its_end() -> None:
    one = world()
    one.start_plan()
    one.run()
    check_done(one)


@pytest.mark.parametrize("max_cordoned", [1, 2])
def test_a_leader_may_be_lost_before_and_after_every_order_and_entry(max_cordoned: int) -> None:
    events = 0

    def count() -> None:
        nonlocal events
        events += 1

    undisturbed = world(max_cordoned=max_cordoned)
    undisturbed.on_event = count
    undisturbed.start_plan()
    undisturbed.run()
    assert events >= 16
    for lost_at in range(events):
        one = world(max_cordoned=max_cordoned)
        seen = 0

        def lose_leader(one: PlanWorld = one, lost_at: int = lost_at) -> None:
            nonlocal seen
            if seen == lost_at:
                one.fail_over()
            seen += 1

        one.on_event = lose_leader
        one.start_plan()
        one.run()
        assert one.term == 2
        check_done(one)


@settings(max_examples=60, deadline=None)
@example(prefill=1, decode=4, desired_prefill=4, max_cordoned=2, seed=1333)
@given(
    prefill=st.integers(1, 6),
    decode=st.integers(1, 6),
    desired_prefill=st.integers(1, 8),
    max_cordoned=st.integers(1, 3),
    seed=st.integers(0, 10_000),
)
def test_with_lost_and_late_orders_and_leaders_a_plan_reaches_the_desired_state(
    prefill: int, decode: int, desired_prefill: int, max_cordoned: int, seed: int
) -> None:
    desired_prefill = min(desired_prefill, prefill + decode - 1)
    wanted = service(desired_prefill, prefill + decode - desired_prefill, max_cordoned)
    random = Random(seed)
    one = PlanWorld(workers(prefill, decode), wanted, random)
    if desired_prefill == prefill:
        assert one.confirm_plan().answer is PlanAnswer.STALE
        return
    one.start_plan()
    for _ in range(2000):
        if not one.plan.active:
            break
        if random.random() < 0.05:
            one.fail_over()
        one.turn()
        one.check_serving()
    check_done(one)


def begin_without_check(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(plan_book, "begin_objection", lambda *_: "")
    monkeypatch.setattr(execution, "begin_objection", lambda *_: "")


def lose_a_prefill_worker_that_stays(one: PlanWorld) -> None:
    moving = {step.worker_id for step in one.plan.plan.steps}
    prefill = [worker for worker in one.state.workers() if worker.stage is Stage.PREFILL]
    stays = [worker.worker_id for worker in prefill if worker.worker_id not in moving]
    one.lose_worker(stays[0])


def test_a_step_that_would_cross_a_bound_never_begins() -> None:
    one = world()
    one.start_plan()
    lose_a_prefill_worker_that_stays(one)
    one.run()
    assert one.status() is PlanStatus.STOPPED
    assert "would keep" in one.plan.progress.reason
    assert one.serving(Stage.PREFILL) == 2
    check_ended_well(one)


def test_without_the_check_a_step_crosses_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    begin_without_check(monkeypatch)
    one = world()
    one.start_plan()
    lose_a_prefill_worker_that_stays(one)
    one.run()
    with pytest.raises(AssertionError):
        one.check_serving()


def test_the_state_machine_refuses_what_a_leader_should_not_propose() -> None:
    one = world()
    one.start_plan()
    plan_id = one.plan.plan.plan_id

    def advance(step: int, expected: StepPhase, phase: StepPhase) -> Effect:
        command = AdvanceStep(plan_id=plan_id, step=step, expected=expected, phase=phase)
        outcome = one.apply(command)
        assert isinstance(outcome, RecordResult)
        return outcome.effect

    assert advance(0, StepPhase.WAITING, StepPhase.SWITCHING) is Effect.INVALID
    assert advance(7, StepPhase.WAITING, StepPhase.CORDONING) is Effect.UNKNOWN
    assert advance(0, StepPhase.WAITING, StepPhase.CORDONING) is Effect.CHANGED
    assert advance(0, StepPhase.WAITING, StepPhase.CORDONING) is Effect.STALE
    assert advance(1, StepPhase.WAITING, StepPhase.CORDONING) is Effect.INVALID  # one held at once
    lose_a_prefill_worker_that_stays(one)
    assert advance(0, StepPhase.CORDONING, StepPhase.RETURNING) is Effect.CHANGED
    assert advance(0, StepPhase.RETURNING, StepPhase.RETURNED) is Effect.CHANGED
    lose_a_prefill_worker_that_stays(one)
    assert advance(1, StepPhase.WAITING, StepPhase.CORDONING) is Effect.INVALID  # bound


def test_no_worker_is_ordered_before_every_router_knows_of_the_hold() -> None:
    one = world()
    one.confirms = False
    one.start_plan()
    for _ in range(20):
        one.turn()
    assert one.phase(0) is StepPhase.CORDONING
    assert not one.sent
    one.confirms = True
    one.run()
    check_done(one)


def test_without_the_wait_for_the_routers_the_check_notices(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    one = world()
    one.confirms = False
    one.start_plan()
    one.confirmed_revision = 0
    tick = one.driver.tick
    monkeypatch.setattr(one.driver, "tick", lambda _confirmed, now: tick(1_000, now))
    with pytest.raises(AssertionError, match="may not know of the hold"):
        one.run()


@pytest.mark.parametrize("phase", sorted(OPEN_PHASES - {StepPhase.RETURNING}))
@pytest.mark.parametrize("restarted", [False, True])
def test_a_worker_lost_on_the_way_stops_the_plan_with_a_reason(
    phase: StepPhase, restarted: bool
) -> None:
    one = world()
    one.start_plan()
    worker_id = run_to(one, phase)
    if restarted:
        one.restart_worker(worker_id)
    else:
        one.lose_worker(worker_id)
    one.run()
    assert one.status() is PlanStatus.STOPPED
    assert worker_id in one.plan.progress.reason
    assert one.phase(0) is StepPhase.ABANDONED
    assert one.phase(1) is StepPhase.WAITING
    check_ended_well(one)


def test_an_abandoned_worker_that_comes_back_draining_serves_again() -> None:
    one = world()
    one.start_plan()
    worker_id = run_to(one, StepPhase.SWITCHING)
    one.lose_worker(worker_id)
    one.run()
    one.announce(worker_id)
    found = one.state.find_worker(worker_id)
    assert found is not None
    assert found.record.status is WorkerStatus.DRAINING
    one.fail_over()
    for _ in range(10):
        one.turn()
    check_ended_well(one)


def test_a_worker_that_never_gets_idle_is_returned_and_the_plan_stops() -> None:
    one = world()
    one.start_plan()
    worker_id = run_to(one, StepPhase.DRAINING)
    one.in_flight[worker_id] = 1
    one.run()
    assert one.status() is PlanStatus.STOPPED
    assert f"{worker_id} took too long: draining" in one.plan.progress.reason
    assert one.phase(0) is StepPhase.RETURNED
    assert not one.switched
    check_ended_well(one)


def test_a_worker_that_does_not_answer_is_abandoned_within_the_bounds() -> None:
    one = world()
    one.start_plan()
    worker_id = run_to(one, StepPhase.DRAINING)
    one.unreachable.add(worker_id)
    began_at = one.now
    one.run()
    assert one.phase(0) is StepPhase.ABANDONED
    assert one.now - began_at < 10.0 + execution.RETURN_SECONDS + 2.0
    assert not any(worker.cordoned for worker in one.state.workers())


def test_release_waits_for_the_answer_to_resume() -> None:
    """A DRAIN may still be on its way while the agreed record says that the worker is ready."""
    one = world()
    one.start_plan()
    worker_id = run_to(one, StepPhase.DRAINING)
    one.unreachable.add(worker_id)
    one.turn()
    late = one.sent[-1].command
    assert late.kind is WorkerCommandKind.DRAIN
    one.apply(CancelPlan(order_id="cancel", plan_id=one.plan.plan.plan_id))
    for _ in range(20):
        one.turn()
    assert one.phase(0) is StepPhase.RETURNING
    one.unreachable.clear()
    one.run()
    assert one.status() is PlanStatus.CANCELLED
    assert not one.execute(late).accepted
    check_ended_well(one)


@pytest.mark.parametrize("phase", [StepPhase.CORDONING, StepPhase.DRAINING])
def test_cancel_returns_a_worker_that_was_not_switched(phase: StepPhase) -> None:
    one = world()
    one.start_plan()
    run_to(one, phase)
    one.apply(CancelPlan(order_id="cancel", plan_id=one.plan.plan.plan_id))
    one.run()
    assert one.status() is PlanStatus.CANCELLED
    assert not one.switched
    check_ended_well(one)


@pytest.mark.parametrize("phase", [StepPhase.SWITCHING, StepPhase.RESUMING])
def test_cancel_lets_a_switch_go_through(phase: StepPhase) -> None:
    one = world()
    one.start_plan()
    run_to(one, phase)
    one.apply(CancelPlan(order_id="cancel", plan_id=one.plan.plan.plan_id))
    one.run()
    assert one.status() is PlanStatus.CANCELLED
    assert len(one.switched) == 1
    check_ended_well(one)


def test_halt_leaves_nobody_held_back_and_resume_goes_on() -> None:
    one = world()
    one.start_plan()
    plan_id = one.plan.plan.plan_id
    run_to(one, StepPhase.DRAINING)
    one.apply(HaltPlan(order_id="halt", plan_id=plan_id))
    for _ in range(50):
        one.turn()
    assert one.status() is PlanStatus.HALTED
    assert [step.phase for step in one.plan.progress.steps] == [
        StepPhase.RELEASED,
        StepPhase.WAITING,
    ]
    check_ended_well(one)
    one.apply(ResumePlan(order_id="resume", plan_id=plan_id))
    one.run()
    check_done(one)


def test_a_newer_configuration_halts_the_plan_for_good() -> None:
    one = world()
    one.start_plan()
    plan_id = one.plan.plan.plan_id
    run_to(one, StepPhase.SWITCHING)
    one.configure(service(3, 3))
    assert one.status() is PlanStatus.HALTED
    resumed = one.apply(ResumePlan(order_id="resume", plan_id=plan_id))
    assert isinstance(resumed, PlanResult)
    assert resumed.answer is PlanAnswer.REFUSED
    for _ in range(50):
        one.turn()
    check_ended_well(one)
    assert len(one.switched) == 1
    one.apply(CancelPlan(order_id="cancel", plan_id=plan_id))
    assert one.status() is PlanStatus.CANCELLED
    assert one.confirm_plan("next").answer is PlanAnswer.STALE  # three and three already


def stale_start(one: PlanWorld) -> PlanAnswer:
    """Propose a plan that was computed before a worker was restarted."""
    plan = make_preview(one.state.view()).plan
    one.restart_worker("w5")
    outcome = one.apply(StartPlan(order_id="order", plan_id=plan.plan_id, plan=plan))
    assert isinstance(outcome, PlanResult)
    return outcome.answer


def test_a_plan_whose_basis_changed_on_the_way_through_the_log_does_not_start() -> None:
    one = world()
    assert stale_start(one) is PlanAnswer.STALE
    assert one.state.plan is None


def test_without_the_comparison_a_stale_plan_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    one = world()
    digest = make_preview(one.state.view()).plan.basis
    monkeypatch.setattr(plan_book, "basis_digest", lambda *_: digest)
    assert stale_start(one) is PlanAnswer.ACCEPTED


def test_an_order_taken_before_gets_its_first_outcome() -> None:
    one = world()
    stale = StartPlan(order_id="early", plan_id="unknown")
    assert one.apply(stale) == PlanResult(answer=PlanAnswer.STALE)
    one.start_plan()
    plan = one.plan.plan
    again = StartPlan(order_id="order", plan_id=plan.plan_id, plan=None)
    assert one.apply(again) == PlanResult(answer=PlanAnswer.ACCEPTED, repeated=True)
    assert one.apply(stale) == PlanResult(answer=PlanAnswer.STALE, repeated=True)
    other = HaltPlan(order_id="order", plan_id=plan.plan_id)
    assert one.apply(other) == PlanResult(answer=PlanAnswer.ORDER_ID_REUSED)
    second = one.apply(StartPlan(order_id="second", plan_id=plan.plan_id, plan=plan))
    assert isinstance(second, PlanResult)
    assert second.answer is PlanAnswer.REFUSED
    one.run()
    assert one.apply(again) == PlanResult(answer=PlanAnswer.ACCEPTED, repeated=True)
    assert one.status() is PlanStatus.DONE


def orders_of_two_leaders(one: PlanWorld) -> tuple[WorkerCommand, WorkerCommand]:
    """Return the order of a leader that was replaced and a later one of its successor."""
    one.start_plan()
    worker_id = run_to(one, StepPhase.DRAINING)
    one.unreachable.add(worker_id)
    one.turn()
    old = one.sent[-1].command
    one.fail_over()
    one.turn()
    new = one.sent[-1].command
    assert new.term > old.term
    assert new.worker_id == old.worker_id
    return old, new


def test_a_worker_obeys_no_leader_that_was_replaced() -> None:
    one = world()
    old, new = orders_of_two_leaders(one)
    assert one.execute(new).accepted
    refused = one.execute(old)
    assert not refused.accepted
    assert (refused.highest_term, refused.highest_sequence) == (new.term, new.sequence)


def test_without_the_fence_a_worker_obeys_both_leaders(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CommandFence, "pass_order", lambda *_: True)
    one = world()
    old, new = orders_of_two_leaders(one)
    assert one.execute(new).accepted
    assert one.execute(old).accepted


def test_every_order_of_a_leader_is_above_the_one_before() -> None:
    one = world(Random(3))
    one.start_plan()
    one.run()
    fences = [(effect.command.term, effect.command.sequence) for effect in one.sent]
    assert fences == sorted(set(fences))


def test_an_answer_to_an_order_of_an_earlier_phase_does_not_count() -> None:
    one = world()
    one.start_plan()
    worker_id = run_to(one, StepPhase.DRAINING)
    one.turn()
    earlier = msgspec.structs.replace(one.sent[-1].command, kind=WorkerCommandKind.RESUME)
    run_to(one, StepPhase.RESUMING)
    one.unreachable.add(worker_id)
    one.turn()
    one.cores[worker_id].resume()
    one.announce(worker_id)
    accepted = WorkerCommandReply(accepted=True, highest_term=1, highest_sequence=earlier.sequence)
    one.driver.command_answered(earlier, accepted)
    one.turn()
    assert one.phase(0) is StepPhase.RESUMING
    one.driver.command_answered(one.sent[-1].command, accepted)
    one.turn()
    assert one.phase(0) is StepPhase.RELEASED


def test_a_snapshot_without_a_plan_still_loads() -> None:
    one = world()
    body = msgspec.msgpack.decode(one.state.snapshot())
    del body["plan"], body["plan_orders"]
    restored = FleetState.restore(msgspec.msgpack.encode(body))
    assert restored.plan is None
    assert restored.workers() == one.state.workers()


def test_without_the_wait_for_the_answer_a_released_worker_drains_for_ever(
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
    one = world()
    one.start_plan()
    worker_id = run_to(one, StepPhase.DRAINING)
    one.unreachable.add(worker_id)
    one.turn()
    late = one.sent[-1].command
    one.apply(CancelPlan(order_id="cancel", plan_id=one.plan.plan.plan_id))
    one.run()
    assert one.status() is PlanStatus.CANCELLED
    assert one.execute(late).accepted
    with pytest.raises(AssertionError):
        check_ended_well(one)
