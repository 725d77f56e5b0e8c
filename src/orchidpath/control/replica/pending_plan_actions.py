"""Operators' actions on plans from their proposal until their answer; performs no I/O.

A leader appends every action to the log, even one that will be refused, so that a repeated action
with the same ``order_id`` always gets the outcome of the first (docs/design/plans.md).
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
    """Actions on plans that this replica has proposed but not answered yet."""

    def __init__(self) -> None:
        self._proposed: dict[int, _Proposed] = {}

    def rejection(self, key: int) -> PlanActionAnswered:
        """Return the answer to an action that this process cannot propose, as it does not lead."""
        return PlanActionAnswered(key, PlanActionStatus.REJECTED, "this process does not lead")

    def proposed(self, key: int, index: int, term: int) -> None:
        """Record that an action was proposed at a log index in a term."""
        self._proposed[index] = _Proposed(key, term)

    def applied(self, entry: LogEntry, result: PlanResult) -> list[PlanActionAnswered]:
        """Return the answer to the action that was proposed at the index of an applied entry."""
        proposed = self._proposed.pop(entry.index, None)
        if proposed is None:
            return []
        if proposed.term != entry.term:
            # The entry at this index is another leader's, so the action can never be committed.
            return [
                PlanActionAnswered(proposed.key, PlanActionStatus.REJECTED, "leadership was lost")
            ]
        answer = PlanActionStatus(result.answer.value)
        return [PlanActionAnswered(proposed.key, answer, result.reason)]

    def leadership_lost(self) -> list[PlanActionAnswered]:
        """Return an answer to every pending action: a follower cannot determine its outcome."""
        answers = [
            PlanActionAnswered(action.key, PlanActionStatus.UNKNOWN, "leadership was lost")
            for action in self._proposed.values()
        ]
        self._proposed.clear()
        return answers


def plan_command(request: PlanActionRequest, state: FleetState) -> PlanActionCommand:
    """Return the command to append to the log for an action on a plan."""
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
    """Return the plan that the planner makes for the present state if it has this id, or None."""
    if state.plan is not None and state.plan.active:
        return None  # The state refuses any plan while one is active: skip the computation.
    plan = make_preview(state.view()).plan
    return plan if plan.steps and plan.plan_id == plan_id else None
