"""The newest plan of the replicated state and the operators' plan actions.

At most one plan is active at a time. Commands are deterministic: their outcome depends only on the
replicated state. The reason texts are stored in snapshots, so they must not be reworded: replicas
of different versions would otherwise have different states.
"""

from collections.abc import Iterable, Sequence

import msgspec

from orchidpath.state.bounded_table import insert_newest
from orchidpath.state.commands import (
    AdvanceStep,
    CancelPlan,
    HaltPlan,
    PlanActionCommand,
    ResumePlan,
    StartPlan,
    StopPlan,
)
from orchidpath.state.outcomes import Effect, PlanResult
from orchidpath.state.plans import (
    OPEN_PHASES,
    PHASE_TRANSITIONS,
    AbandonedWorker,
    PlanActionRecord,
    PlanAnswer,
    PlanProgress,
    PlanRecord,
    PlanStatus,
    StepPhase,
    StepProgress,
    basis_digest,
    cordoned_count,
    step_start_obstacle,
)
from orchidpath.wire.records import WorkerRecord

PLAN_ACTION_LIMIT = 1_000
"""Number of newest plan actions whose outcomes are stored."""

ABANDONED_WORKER_LIMIT = 1_000
"""Number of most recently abandoned workers that are stored."""

_ACTION_NAMES: dict[type[PlanActionCommand], str] = {
    StartPlan: "StartPlan",
    HaltPlan: "HaltPlan",
    ResumePlan: "ResumePlan",
    CancelPlan: "CancelPlan",
}
"""Names of actions in :attr:`PlanActionRecord.content`.

The content is part of snapshots, so these names must not change.
"""


class CordonChange(msgspec.Struct, frozen=True):
    """A change of a worker's cordon that is applied together with an advanced step."""

    worker_id: str
    cordoned: bool


class AdvanceResult(msgspec.Struct, frozen=True):
    """Effect of advancing a step, and the change of the cordon that it requires, if any."""

    effect: Effect
    cordon: CordonChange | None = None


class PlanState:
    """The newest plan, the stored outcomes of plan actions, and the abandoned workers.

    Parameters
    ----------
    record
        The newest plan and its progress; None if no plan was ever started.
    actions
        Plan actions whose outcomes are stored, oldest first.
    abandoned
        Workers whose steps were abandoned, oldest first.
    """

    def __init__(
        self,
        record: PlanRecord | None = None,
        actions: Iterable[PlanActionRecord] = (),
        abandoned: Iterable[AbandonedWorker] = (),
    ) -> None:
        self.record = record
        self._abandoned = {worker.worker_id: worker for worker in abandoned}
        self._actions = {action.order_id: action for action in actions}

    def actions(self) -> list[PlanActionRecord]:
        """Return the plan actions whose outcomes are stored, oldest first."""
        return list(self._actions.values())

    def abandoned(self) -> list[AbandonedWorker]:
        """Return the workers whose steps were abandoned, oldest first."""
        return list(self._abandoned.values())

    def find_action(self, order_id: str) -> PlanActionRecord | None:
        """Return the stored plan action with an id; None if there is none."""
        return self._actions.get(order_id)

    def apply_action(
        self,
        command: PlanActionCommand,
        configuration_version: int,
        workers: Sequence[WorkerRecord],
    ) -> PlanResult:
        """Apply an operator's plan action; a repeated action gets its first outcome again.

        Parameters
        ----------
        command
            The action.
        configuration_version
            Version of the current configuration.
        workers
            The registered workers.
        """
        content = f"{_ACTION_NAMES[type(command)]}:{command.plan_id}"
        stored = self._actions.get(command.order_id)
        if stored is not None and stored.content != content:
            return PlanResult(answer=PlanAnswer.ORDER_ID_REUSED)
        if stored is not None:
            return PlanResult(answer=stored.answer, reason=stored.reason, repeated=True)
        match command:
            case StartPlan():
                result = self._start(command, configuration_version, workers)
            case HaltPlan():
                result = self._halt(command)
            case ResumePlan():
                result = self._resume(command, configuration_version)
            case CancelPlan():
                result = self._cancel(command)
        self._store_action(command.order_id, content, result)
        return result

    def advance(
        self, command: AdvanceStep, workers: Sequence[WorkerRecord], next_revision: int
    ) -> AdvanceResult:
        """Advance a step, if it is still in the phase that the leader expects.

        Parameters
        ----------
        command
            The step, the phase that it must be in, and the phase that it enters.
        workers
            The registered workers.
        next_revision
            Revision at which a cordon that is applied with this step becomes visible to routers.
        """
        record = self._active_plan(command.plan_id)
        if record is None or not 0 <= command.step < len(record.plan.steps):
            return AdvanceResult(Effect.UNKNOWN)
        progress = record.progress.steps[command.step]
        if progress.phase is not command.expected:
            return AdvanceResult(Effect.STALE)
        if command.phase not in PHASE_TRANSITIONS[progress.phase]:
            return AdvanceResult(Effect.INVALID)
        starts = command.phase is StepPhase.CORDONING
        if starts and not self._may_start_step(record, command.step, workers):
            return AdvanceResult(Effect.INVALID)
        changed = StepProgress(
            phase=command.phase,
            cordoned_revision=next_revision if starts else progress.cordoned_revision,
            reason=command.reason or progress.reason,
        )
        self._enter_phase(record, command, changed)
        if starts or command.phase not in OPEN_PHASES:
            worker_id = record.plan.steps[command.step].worker_id
            return AdvanceResult(Effect.CHANGED, CordonChange(worker_id, cordoned=starts))
        return AdvanceResult(Effect.CHANGED)

    def stop(self, command: StopPlan) -> Effect:
        """Stop the plan because it can no longer be carried out: no further step begins."""
        if self._active_plan(command.plan_id) is None:
            return Effect.UNKNOWN
        if not self._begin_stopping(command.reason):
            return Effect.UNCHANGED
        self._finish_if_complete()
        return Effect.CHANGED

    def configuration_changed(self) -> None:
        """Halt a running plan, because it was computed for an older configuration."""
        if self.record is not None and self.record.progress.status is PlanStatus.RUNNING:
            self._set_status(PlanStatus.HALTED, "a newer configuration was taken")

    def _start(
        self, command: StartPlan, configuration_version: int, workers: Sequence[WorkerRecord]
    ) -> PlanResult:
        if self.record is not None and self.record.active:
            return _refused(f"plan {self.record.plan.plan_id} is not over")
        plan = command.plan
        if plan is None or not plan.steps:
            return PlanResult(answer=PlanAnswer.STALE)
        services = [bounds.service for bounds in plan.bounds]
        # The digest covers every worker of these services, so any change to them is detected.
        if plan.configuration_version != configuration_version or plan.basis != basis_digest(
            configuration_version, workers, services
        ):
            return PlanResult(answer=PlanAnswer.STALE)
        steps = tuple(StepProgress() for _ in plan.steps)
        progress = PlanProgress(status=PlanStatus.RUNNING, steps=steps)
        self.record = PlanRecord(plan=plan, progress=progress)
        return PlanResult(answer=PlanAnswer.ACCEPTED)

    def _halt(self, command: HaltPlan) -> PlanResult:
        record = self._active_plan(command.plan_id)
        if record is None or record.progress.status is not PlanStatus.RUNNING:
            return _refused("the plan is not running")
        self._set_status(PlanStatus.HALTED, "halted by an operator")
        return PlanResult(answer=PlanAnswer.ACCEPTED)

    def _resume(self, command: ResumePlan, configuration_version: int) -> PlanResult:
        record = self._active_plan(command.plan_id)
        if record is None or record.progress.status is not PlanStatus.HALTED:
            return _refused("the plan is not halted")
        if record.plan.configuration_version != configuration_version:
            return _refused("the configuration is newer than the plan: cancel it and plan anew")
        self._set_status(PlanStatus.RUNNING, "")
        return PlanResult(answer=PlanAnswer.ACCEPTED)

    def _cancel(self, command: CancelPlan) -> PlanResult:
        record = self._active_plan(command.plan_id)
        if record is None or record.progress.status is PlanStatus.STOPPING:
            return _refused("the plan is over or stopping")
        self._set_status(PlanStatus.CANCELLING, "cancelled by an operator")
        self._finish_if_complete()
        return PlanResult(answer=PlanAnswer.ACCEPTED)

    def _may_start_step(
        self, record: PlanRecord, position: int, workers: Sequence[WorkerRecord]
    ) -> bool:
        if record.progress.status is not PlanStatus.RUNNING:
            return False
        service = record.plan.steps[position].service
        if cordoned_count(record, service) >= record.plan.bounds_of(service).max_cordoned:
            return False
        return not step_start_obstacle(record, position, workers)

    def _enter_phase(self, record: PlanRecord, command: AdvanceStep, changed: StepProgress) -> None:
        """Store a step's progress and update the plan's status accordingly."""
        self._set_step(record, command.step, changed)
        if command.phase in {StepPhase.RETURNING, StepPhase.ABANDONED} and command.reason:
            self._begin_stopping(command.reason)
        self._finish_if_complete()
        if command.phase is StepPhase.ABANDONED:
            step = record.plan.steps[command.step]
            self._store_abandoned_worker(step.worker_id, step.incarnation)

    def _active_plan(self, plan_id: str) -> PlanRecord | None:
        """Return the newest plan if it has this id and is active; None otherwise."""
        if self.record is None or self.record.plan.plan_id != plan_id or not self.record.active:
            return None
        return self.record

    def _begin_stopping(self, reason: str) -> bool:
        """Set a running or halted plan to stopping; return False if it was neither."""
        record = self.record
        assert record is not None
        if record.progress.status not in {PlanStatus.RUNNING, PlanStatus.HALTED}:
            return False
        self._set_status(PlanStatus.STOPPING, reason)
        return True

    def _finish_if_complete(self) -> None:
        """Set the plan's final status once no step is open.

        A plan that is neither being cancelled nor stopping is done when every step is released.
        """
        record = self.record
        assert record is not None
        phases = {step.phase for step in record.progress.steps}
        if phases & OPEN_PHASES:
            return
        if record.progress.status is PlanStatus.CANCELLING:
            self._set_status(PlanStatus.CANCELLED, record.progress.reason)
        elif record.progress.status is PlanStatus.STOPPING:
            self._set_status(PlanStatus.STOPPED, record.progress.reason)
        elif phases == {StepPhase.RELEASED}:
            self._set_status(PlanStatus.DONE, "")

    def _set_status(self, status: PlanStatus, reason: str) -> None:
        assert self.record is not None
        progress = msgspec.structs.replace(self.record.progress, status=status, reason=reason)
        self.record = msgspec.structs.replace(self.record, progress=progress)

    def _set_step(self, record: PlanRecord, position: int, changed: StepProgress) -> None:
        steps = list(record.progress.steps)
        steps[position] = changed
        progress = msgspec.structs.replace(record.progress, steps=tuple(steps))
        self.record = msgspec.structs.replace(record, progress=progress)

    def _store_abandoned_worker(self, worker_id: str, incarnation: str) -> None:
        worker = AbandonedWorker(worker_id=worker_id, incarnation=incarnation)
        insert_newest(self._abandoned, worker_id, worker, ABANDONED_WORKER_LIMIT)

    def _store_action(self, order_id: str, content: str, result: PlanResult) -> None:
        record = PlanActionRecord(
            order_id=order_id, content=content, answer=result.answer, reason=result.reason
        )
        insert_newest(self._actions, order_id, record, PLAN_ACTION_LIMIT)


def _refused(reason: str) -> PlanResult:
    return PlanResult(answer=PlanAnswer.REFUSED, reason=reason)
