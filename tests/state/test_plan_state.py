"""Plan actions: the stored content matches earlier snapshots, and repetitions are idempotent."""

import pytest

from orchidpath.state.commands import CancelPlan, HaltPlan, PlanActionCommand, ResumePlan, StartPlan
from orchidpath.state.plan_state import PlanState
from orchidpath.state.plans import PlanAnswer


@pytest.mark.parametrize(
    ("action", "content"),
    [
        (StartPlan(order_id="o", plan_id="p"), "StartPlan:p"),
        (HaltPlan(order_id="o", plan_id="p"), "HaltPlan:p"),
        (ResumePlan(order_id="o", plan_id="p"), "ResumePlan:p"),
        (CancelPlan(order_id="o", plan_id="p"), "CancelPlan:p"),
    ],
)
def test_an_action_is_stored_under_its_name_and_repeated_with_its_first_outcome(
    action: PlanActionCommand, content: str
) -> None:
    plans = PlanState()
    first = plans.apply_action(action, 0, ())
    [stored] = plans.actions()
    assert (stored.order_id, stored.content) == ("o", content)
    repeated = plans.apply_action(action, 0, ())
    assert (repeated.answer, repeated.reason, repeated.repeated) == (
        first.answer,
        first.reason,
        True,
    )


def test_an_id_that_is_reused_for_another_action_is_rejected() -> None:
    plans = PlanState()
    plans.apply_action(HaltPlan(order_id="o", plan_id="p"), 0, ())
    reused = plans.apply_action(CancelPlan(order_id="o", plan_id="p"), 0, ())
    assert reused.answer is PlanAnswer.ORDER_ID_REUSED
