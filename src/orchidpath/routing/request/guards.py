"""Names of the request machine's safety rules, so that tests can disable them."""

from enum import StrEnum


class Guard(StrEnum):
    """Safety rules that a test can disable, to verify that its checks detect each violation."""

    GUARANTEE_BEFORE_RETRY = "promise_before_resend"
    ECHO_CHECKED_GUARANTEE = "echo_checked_promise"
    GUARANTEE_OF_THE_DISPATCHED_WORKER = "promise_of_the_ordered_worker"
    GUARANTEE_OF_THE_SAME_INCARNATION = "promise_of_the_same_incarnation"
    NO_RETRY_AFTER_COMMIT = "no_retry_after_commit"
    ONLY_CONTENT_COMMITS = "only_content_commits"
    EXPLICIT_TERMINAL = "explicit_terminal"
    ACCURATE_RAN = "honest_ran"
    HANDLE_BOUND_TO_ATTEMPT = "handle_bound_to_attempt"
    EVENTS_OF_THIS_ATTEMPT = "events_of_this_attempt"
    ONE_FAILURE_A_WORKER = "one_failure_a_worker"
    RETRY_BUDGET = "retry_budget"
    WAIT_FITS_DEADLINE = "wait_fits_deadline"


NO_GUARD_DISABLED: frozenset[Guard] = frozenset()
"""Default for all callers other than tests: every safety rule is enforced."""
