"""Properties of the request machine under random events, with each guard on and disabled.

The same checker must detect each disabled guard; otherwise it proves nothing.
"""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from request_machine_checker import RequestMachineChecker

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
def test_no_sequence_of_events_violates_a_rule(
    choices: list[int], model: bool, streaming: bool, repeatable: bool, repeat_prompt_read: bool
) -> None:
    checker = RequestMachineChecker(
        model=model,
        streaming=streaming,
        repeatable=repeatable,
        repeat_prompt_read=repeat_prompt_read,
    )
    checker.run(choices)


TWO_DISPATCHES = "two dispatches of one call"

DETECTED_BY = {
    Guard.GUARANTEE_BEFORE_RETRY: TWO_DISPATCHES,
    Guard.ECHO_CHECKED_GUARANTEE: TWO_DISPATCHES + "|ran=no was wrong",
    Guard.GUARANTEE_OF_THE_DISPATCHED_WORKER: TWO_DISPATCHES + "|ran=no was wrong",
    Guard.GUARANTEE_OF_THE_SAME_INCARNATION: TWO_DISPATCHES + "|ran=no was wrong",
    Guard.NO_RETRY_AFTER_COMMIT: "(nothing is sent|an error status) after the commit",
    Guard.ONLY_CONTENT_COMMITS: "only content and the terminal commit",
    Guard.EXPLICIT_TERMINAL: "an aborted stream must not look complete",
    Guard.HONEST_RAN: "ran=no was wrong",
    Guard.HANDLE_BOUND_TO_ATTEMPT: "a handle of another attempt",
    Guard.EVENTS_OF_THIS_ATTEMPT: TWO_DISPATCHES + "|ran=no was wrong",
    Guard.ONE_FAILURE_A_WORKER: "one failure a worker",
}
"""Message of the check that must detect each disabled guard."""


@pytest.mark.parametrize("guard", DETECTED_BY)
def test_checker_detects_each_disabled_guard(guard: Guard) -> None:
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
        checker = RequestMachineChecker(
            model=model,
            streaming=True,
            repeatable=repeatable,
            repeat_prompt_read=False,
            disabled=(guard,),
        )
        checker.run(choices)

    with pytest.raises(AssertionError, match=DETECTED_BY[guard]):
        broken()
