"""Properties of the request machine under random events, and each safety rule turned off.

A rule whose guard is off must be caught by the same checker: otherwise the checker proves nothing.
"""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from request_machine_world import World

from orchidpath.routing.request.guards import Guard

CHOICES = st.lists(st.integers(min_value=0, max_value=9999), max_size=60)


@settings(max_examples=400, deadline=None, derandomize=True, database=None)
@given(
    choices=CHOICES,
    model=st.booleans(),
    streaming=st.booleans(),
    repeatable=st.booleans(),
    repeat_prompt_read=st.booleans(),
)
def test_no_rule_is_broken_by_any_order_of_events(
    choices: list[int], model: bool, streaming: bool, repeatable: bool, repeat_prompt_read: bool
) -> None:
    world = World(
        model=model,
        streaming=streaming,
        repeatable=repeatable,
        repeat_prompt_read=repeat_prompt_read,
    )
    world.run(choices)


TWO_ORDERS = "two orders for one call"

CAUGHT_BY = {
    Guard.GUARANTEE_BEFORE_RETRY: TWO_ORDERS,
    Guard.ECHO_CHECKED_GUARANTEE: TWO_ORDERS + "|ran=no was not so",
    Guard.GUARANTEE_OF_THE_DISPATCHED_WORKER: TWO_ORDERS + "|ran=no was not so",
    Guard.GUARANTEE_OF_THE_SAME_INCARNATION: TWO_ORDERS + "|ran=no was not so",
    Guard.NO_RETRY_AFTER_COMMIT: "(nothing is sent|an error status) after the commit",
    Guard.ONLY_CONTENT_COMMITS: "only content and the terminal commit",
    Guard.EXPLICIT_TERMINAL: "a cut stream must not look complete",
    Guard.HONEST_RAN: "ran=no was not so",
    Guard.HANDLE_BOUND_TO_ATTEMPT: "a handle of another attempt",
    Guard.EVENTS_OF_THIS_ATTEMPT: TWO_ORDERS + "|ran=no was not so",
    Guard.ONE_FAILURE_A_WORKER: "one failure a worker",
}
"""Which check must catch each rule once it is off."""


@pytest.mark.parametrize("guard", CAUGHT_BY)
def test_checker_catches_each_rule_turned_off(guard: Guard) -> None:
    @settings(
        max_examples=1500,
        deadline=None,
        derandomize=True,
        database=None,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    @given(choices=CHOICES, model=st.booleans(), repeatable=st.booleans())
    def broken(choices: list[int], model: bool, repeatable: bool) -> None:
        world = World(
            model=model,
            streaming=True,
            repeatable=repeatable,
            repeat_prompt_read=False,
            disabled=(guard,),
        )
        world.run(choices)

    with pytest.raises(AssertionError, match=CAUGHT_BY[guard]):
        broken()
