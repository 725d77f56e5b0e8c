"""The plan of the replicated state and the operators' orders about plans, as commands change them.

One plan runs at a time. Everything here is deterministic: the outcome of a command depends on the
replicated state alone.
"""

from collections.abc import Iterable, Sequence

import msgspec

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
    begin_objection,
    cordoned_count,
)
from orchidpath.wire.records import WorkerRecord

PLAN_ACTION_MEMORY = 1_000
"""How many of the newest orders about plans are remembered."""


ABANDONED_MEMORY = 1_000
"""How many of the workers that were abandoned last are remembered."""


class CordonChange(msgspec.Struct, frozen=True):
    """A worker is to be held back or released with the step that was advanced."""

    worker_id: str
    cordoned: bool


class Advanced(msgspec.Struct, frozen=True):
    """Effect of advancing a step."""

    effect: Effect
    cordon: CordonChange | None = None


class PlanState:
    """The newest plan and the orders about plans.

    Parameters
    ----------
    record
        The plan to begin with.
    orders
        Remembered orders, oldest first.
    abandoned
        Workers that plans have abandoned, oldest first.
    """

    def __init__(
        self,
        record: PlanRecord | None = None,
        orders: Iterable[PlanActionRecord] = (),
        abandoned: Iterable[AbandonedWorker] = (),
    ) -> None:
        self.record = record
        self._abandoned = {worker.worker_id: worker for worker in abandoned}
        self._orders = {order.order_id: order for order in orders}

    def orders(self) -> list[PlanActionRecord]:
        """Return the remembered orders, oldest first."""
        return list(self._orders.values())

    def abandoned(self) -> list[AbandonedWorker]:
        """Return the workers that plans have abandoned, oldest first."""
        return list(self._abandoned.values())

    def find_update(self, order_id: str) -> PlanActionRecord | None:
        """Return the order about a plan that was taken under an id."""
        return self._orders.get(order_id)

    def order(
        self,
        command: PlanActionCommand,
        configuration_version: int,
        workers: Sequence[WorkerRecord],
    ) -> PlanResult:
        """Take an operator's order; one that was taken before gets its first outcome."""
        content = f"{type(command).__name__}:{command.plan_id}"
        taken = self._orders.get(command.order_id)
        if taken is not None and taken.content != content:
            return PlanResult(answer=PlanAnswer.ORDER_ID_REUSED)
        if taken is not None:
            return PlanResult(answer=taken.answer, reason=taken.reason, repeated=True)
        match command:
            case StartPlan():
                result = self._start(command, configuration_version, workers)
            case HaltPlan():
                result = self._halt(command)
            case ResumePlan():
                result = self._resume(command, configuration_version)
            case CancelPlan():
                result = self._cancel(command)
        self._remember(command.order_id, content, result)
        return result

    def advance(
        self, command: AdvanceStep, workers: Sequence[WorkerRecord], next_revision: int
    ) -> Advanced:
        """Advance a step from the phase that the leader saw it in.

        Parameters
        ----------
        command
            The step, the phase it must be in and the one it goes to.
        workers
            The agreed workers.
        next_revision
            The revision that a hold applied with this step makes.
        """
        record = self._running(command.plan_id)
        if record is None or not 0 <= command.step < len(record.plan.steps):
            return Advanced(Effect.UNKNOWN)
        progress = record.progress.steps[command.step]
        if progress.phase is not command.expected:
            return Advanced(Effect.STALE)
        if command.phase not in PHASE_TRANSITIONS[progress.phase]:
            return Advanced(Effect.INVALID)
        begins = command.phase is StepPhase.CORDONING
        if begins and self._begin_refused(record, command.step, workers):
            return Advanced(Effect.INVALID)
        cordoned_revision = next_revision if begins else progress.cordoned_revision
        changed = StepProgress(
            phase=command.phase,
            cordoned_revision=cordoned_revision,
            reason=command.reason or progress.reason,
        )
        self._set_step(record, command.step, changed)
        if command.phase in {StepPhase.RETURNING, StepPhase.ABANDONED} and command.reason:
            self._stop(command.reason)
        self._settle()
        worker_id = record.plan.steps[command.step].worker_id
        if command.phase is StepPhase.ABANDONED:
            self._abandon(worker_id, record.plan.steps[command.step].incarnation)
        if begins or command.phase not in OPEN_PHASES:
            return Advanced(Effect.CHANGED, CordonChange(worker_id, cordoned=begins))
        return Advanced(Effect.CHANGED)

    def stop(self, command: StopPlan) -> Effect:
        """Begin no further step, because the plan can't be followed any more."""
        if self._running(command.plan_id) is None:
            return Effect.UNKNOWN
        if not self._stop(command.reason):
            return Effect.UNCHANGED
        self._settle()
        return Effect.CHANGED

    def configuration_changed(self) -> None:
        """Halt a running plan: it was made for another configuration."""
        if self.record is not None and self.record.progress.status is PlanStatus.RUNNING:
            self._set_status(PlanStatus.HALTED, "a newer configuration was taken")

    def _start(
        self, command: StartPlan, configuration_version: int, workers: Sequence[WorkerRecord]
    ) -> PlanResult:
        if self.record is not None and self.record.active:
            reason = f"plan {self.record.plan.plan_id} is not over"
            return PlanResult(answer=PlanAnswer.REFUSED, reason=reason)
        plan = command.plan
        if plan is None or not plan.steps:
            return PlanResult(answer=PlanAnswer.STALE)
        services = [bounds.service for bounds in plan.bounds]
        # The basis covers every worker of these services, so nothing can have changed unseen.
        if plan.configuration_version != configuration_version or plan.basis != basis_digest(
            configuration_version, workers, services
        ):
            return PlanResult(answer=PlanAnswer.STALE)
        steps = tuple(StepProgress() for _ in plan.steps)
        progress = PlanProgress(status=PlanStatus.RUNNING, steps=steps)
        self.record = PlanRecord(plan=plan, progress=progress)
        return PlanResult(answer=PlanAnswer.ACCEPTED)

    def _halt(self, command: HaltPlan) -> PlanResult:
        record = self._running(command.plan_id)
        if record is None or record.progress.status is not PlanStatus.RUNNING:
            return _refused("the plan is not running")
        self._set_status(PlanStatus.HALTED, "halted by an operator")
        return PlanResult(answer=PlanAnswer.ACCEPTED)

    def _resume(self, command: ResumePlan, configuration_version: int) -> PlanResult:
        record = self._running(command.plan_id)
        if record is None or record.progress.status is not PlanStatus.HALTED:
            return _refused("the plan is not halted")
        if record.plan.configuration_version != configuration_version:
            return _refused("the configuration is newer than the plan: cancel it and plan anew")
        self._set_status(PlanStatus.RUNNING, "")
        return PlanResult(answer=PlanAnswer.ACCEPTED)

    def _cancel(self, command: CancelPlan) -> PlanResult:
        record = self._running(command.plan_id)
        if record is None or record.progress.status is PlanStatus.STOPPING:
            return _refused("the plan is over or stopping")
        self._set_status(PlanStatus.CANCELLING, "cancelled by an operator")
        self._settle()
        return PlanResult(answer=PlanAnswer.ACCEPTED)

    def _begin_refused(
        self, record: PlanRecord, position: int, workers: Sequence[WorkerRecord]
    ) -> bool:
        service = record.plan.steps[position].service
        return (
            record.progress.status is not PlanStatus.RUNNING
            or cordoned_count(record, service) >= record.plan.bounds_of(service).max_cordoned
            or bool(begin_objection(record, position, workers))
        )

    def _running(self, plan_id: str) -> PlanRecord | None:
        """Return the plan of an id unless it is over."""
        if self.record is None or self.record.plan.plan_id != plan_id or not self.record.active:
            return None
        return self.record

    def _stop(self, reason: str) -> bool:
        record = self.record
        assert record is not None
        if record.progress.status not in {PlanStatus.RUNNING, PlanStatus.HALTED}:
            return False
        self._set_status(PlanStatus.STOPPING, reason)
        return True

    def _settle(self) -> None:
        """End the plan once nothing of it is open any more."""
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

    def _abandon(self, worker_id: str, incarnation: str) -> None:
        self._abandoned.pop(worker_id, None)
        self._abandoned[worker_id] = AbandonedWorker(worker_id=worker_id, incarnation=incarnation)
        while len(self._abandoned) > ABANDONED_MEMORY:
            del self._abandoned[next(iter(self._abandoned))]

    def _remember(self, order_id: str, content: str, result: PlanResult) -> None:
        self._orders[order_id] = PlanActionRecord(
            order_id=order_id, content=content, answer=result.answer, reason=result.reason
        )
        while len(self._orders) > PLAN_ACTION_MEMORY:
            del self._orders[next(iter(self._orders))]


def _refused(reason: str) -> PlanResult:
    return PlanResult(answer=PlanAnswer.REFUSED, reason=reason)
