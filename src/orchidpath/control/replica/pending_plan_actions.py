"""Operators' actions on plans on their way through the log until they are answered; pure.

Every action goes through the log, rejections included, so that its id always gets its first outcome
(docs/design/plans.md, "Orders about plans").
"""

import msgspec

from orchidpath.consensus.types import LogEntry
from orchidpath.control.replica.control_effects import PlanActionAnswered
from orchidpath.placement.planner import make_preview
from orchidpath.state.commands import (
    CancelPlan,
    HaltPlan,
    PlanActionCommand,
    ResumePlan,
    StartPlan,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import PlanResult
from orchidpath.state.plans import Plan
from orchidpath.wire.messages import PlanAction, PlanActionRequest, PlanActionStatus


class _Proposed(msgspec.Struct, frozen=True):
    key: int
    term: int


class PendingPlanActions:
    """Actions on plans that this replica has proposed and not answered yet."""

    def __init__(self) -> None:
        self._proposed: dict[int, _Proposed] = {}

    def rejected(self, key: int) -> PlanActionAnswered:
        """Answer an action that was never proposed."""
        return PlanActionAnswered(key, PlanActionStatus.REJECTED, "this process does not lead")

    def proposed(self, key: int, index: int, term: int) -> None:
        """Follow an action that was proposed at a log index."""
        self._proposed[index] = _Proposed(key, term)

    def applied(self, entry: LogEntry, result: PlanResult) -> list[PlanActionAnswered]:
        """Take the outcome of the action at a log entry."""
        proposed = self._proposed.pop(entry.index, None)
        if proposed is None:
            return []
        if proposed.term != entry.term:
            # Another leader's entry took this index, so the action never will be in the log.
            return [
                PlanActionAnswered(proposed.key, PlanActionStatus.REJECTED, "leadership was lost")
            ]
        answer = PlanActionStatus(result.answer.value)
        return [PlanActionAnswered(proposed.key, answer, result.reason)]

    def leadership_lost(self) -> list[PlanActionAnswered]:
        """Answer everything at once: a follower cannot tell what becomes of it."""
        answers = [
            PlanActionAnswered(action.key, PlanActionStatus.UNKNOWN, "leadership was lost")
            for action in self._proposed.values()
        ]
        self._proposed.clear()
        return answers


def plan_command(request: PlanActionRequest, state: FleetState) -> PlanActionCommand:
    """Return the command that an action on a plan puts into the log."""
    match request.action:
        case PlanAction.CONFIRM:
            plan = _plan_of_id(request.plan_id, state)
            return StartPlan(order_id=request.order_id, plan_id=request.plan_id, plan=plan)
        case PlanAction.HALT:
            return HaltPlan(order_id=request.order_id, plan_id=request.plan_id)
        case PlanAction.RESUME:
            return ResumePlan(order_id=request.order_id, plan_id=request.plan_id)
        case PlanAction.CANCEL:
            return CancelPlan(order_id=request.order_id, plan_id=request.plan_id)


def _plan_of_id(plan_id: str, state: FleetState) -> Plan | None:
    """Return the plan that would be made now if it has this id."""
    if state.plan is not None and state.plan.active:
        return None  # rejected whatever it is, so it need not be computed
    plan = make_preview(state.view()).plan
    return plan if plan.steps and plan.plan_id == plan_id else None
