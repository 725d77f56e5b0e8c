"""Rules of the request machine, each tested with a scripted request."""

import pytest
from request_machine_driver import REQUEST, Driver

from orchidpath.circuit.classification import Observed
from orchidpath.routing.request import events
from orchidpath.routing.request.core import Phase
from orchidpath.routing.request.guards import Guard
from orchidpath.wire.backend import ErrorBody, ErrorCode, FrameKind, Ran
from orchidpath.wire.configuration import RetryPolicy
from orchidpath.wire.messages import AttemptEffect, Rejection
from orchidpath.wire.records import Stage


def decoding(**options: object) -> Driver:
    """Return a request with its decode dispatched to "d1" after a prefill on "p1"."""
    driver = Driver(**options)  # type: ignore[arg-type]
    driver.admit()
    driver.decide("p1", "d1")
    driver.complete_prefill("p1")
    return driver


def calling(**options: object) -> Driver:
    """Return a plain request that was dispatched to "s1"."""
    driver = Driver(model=False, **options)  # type: ignore[arg-type]
    driver.admit()
    driver.decide("s1")
    return driver


class TestCommit:
    """Paper: frames are buffered until the first content; role, usage, keepalive don't commit."""

    @pytest.mark.parametrize("kind", [FrameKind.ROLE, FrameKind.USAGE, FrameKind.KEEPALIVE])
    def test_other_frames_do_not_commit(self, kind: FrameKind) -> None:
        driver = decoding(repeatable=True)
        assert not [
            instruction
            for instruction in driver.frame(kind)
            if not isinstance(instruction, events.Report)
        ]
        driver.fail()
        assert driver.is_retrying()

    def test_first_content_commits_and_relays_the_buffer_in_order(self) -> None:
        driver = decoding()
        driver.frame(FrameKind.ROLE)
        driver.frame(FrameKind.CONTENT)
        commit, relay = (
            instruction for instruction in driver.last if not isinstance(instruction, events.Report)
        )
        assert isinstance(commit, events.Commit)
        assert isinstance(relay, events.Relay)
        assert [frame.sequence for frame in relay.frames] == [0, 1]

    @pytest.mark.parametrize("failure", ["reset", "gap", "crossed", "end"])
    def test_failure_after_commit_aborts_the_stream_without_a_retry(self, failure: str) -> None:
        driver = decoding(repeatable=True)
        driver.frame(FrameKind.CONTENT)
        if failure == "reset":
            driver.fail()
        elif failure == "gap":
            driver.frame(FrameKind.CONTENT, sequence=5)
        elif failure == "crossed":
            driver.frame(FrameKind.CONTENT, attempt_id="other")
        else:
            driver.feed(events.DecodeEnded(attempt_id=driver.attempt_id))
        assert isinstance(driver.last[-1], events.BreakStream)
        assert driver.last[-1].error.code is ErrorCode.STREAM_BROKEN
        assert driver.machine.is_ended
        assert len(driver.sends()) == 2
        assert driver.reports("d1") == [AttemptEffect.TRANSIENT]

    def test_terminal_finishes_and_reports_both_workers(self) -> None:
        driver = decoding()
        for kind in (FrameKind.ROLE, FrameKind.CONTENT, FrameKind.USAGE, FrameKind.DONE):
            driver.frame(kind)
        assert isinstance(driver.last[-1], events.Finish)
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.SUCCESS]

    def test_a_stream_without_a_terminal_is_not_complete(self) -> None:
        # An aborted stream must not look complete. According to the paper, a missing terminal is a
        # transient failure.
        driver = decoding(repeatable=True)
        driver.frame(FrameKind.ROLE)
        driver.feed(events.DecodeEnded(attempt_id=driver.attempt_id))
        assert not driver.all(events.Finish)
        assert driver.reports("d1") == [AttemptEffect.TRANSIENT]

    def test_a_non_streamed_response_is_committed_by_the_terminal_only(self) -> None:
        driver = decoding(streaming=False, repeatable=True)
        driver.frame(FrameKind.CONTENT)
        assert not driver.all(events.Commit)
        driver.fail()
        assert driver.is_retrying()


class TestAtMostOnce:
    """A call that must not be repeated never runs twice, and ``ran=no`` is always correct."""

    def test_a_dispatch_in_doubt_is_cancelled_and_then_answered_unknown(self) -> None:
        driver = calling()
        driver.fail()
        assert driver.machine.phase is Phase.CANCELLING
        assert driver.newest(events.Cancel).worker_id == "s1"
        driver.elapse()
        assert driver.rejected().ran is Ran.UNKNOWN
        assert len(driver.sends()) == 1

    def test_cancel_with_a_not_executed_guarantee_permits_a_retry(self) -> None:
        driver = calling()
        driver.fail()
        driver.cancel_answer("s1", Ran.NO)
        driver.elapse()
        driver.decide("s2")
        assert len(driver.sends()) == 2

    @pytest.mark.parametrize("ran", [Ran.YES, Ran.UNKNOWN])
    def test_cancel_without_a_guarantee_is_answered_at_once(self, ran: Ran) -> None:
        driver = calling()
        driver.fail()
        driver.cancel_answer("s1", ran)
        assert driver.rejected().ran is Ran.UNKNOWN

    def test_cancel_answer_of_a_restarted_worker_is_no_guarantee(self) -> None:
        driver = calling()
        driver.fail()
        driver.cancel_answer("s1", Ran.NO, same_incarnation=False)
        assert driver.rejected().ran is Ran.UNKNOWN

    def test_cancel_answer_of_the_prefill_worker_does_not_cover_the_decode(self) -> None:
        driver = decoding(repeat_prompt_read=True)
        driver.fail()
        assert {cancel.worker_id for cancel in driver.all(events.Cancel)} == {"p1", "d1"}
        driver.cancel_answer("p1", Ran.NO)
        assert driver.machine.phase is Phase.CANCELLING
        driver.cancel_answer("d1", Ran.NO)
        assert driver.is_retrying()

    def test_guarantee_in_the_error_permits_a_retry_at_once(self) -> None:
        driver = calling()
        driver.reject(driver.error(ErrorCode.DRAINING, Ran.NO))
        assert isinstance(driver.last[-1], events.RequestDecision)

    @pytest.mark.parametrize("echo", ["", "other"])
    def test_guarantee_without_the_right_echo_does_not_count(self, echo: str) -> None:
        driver = calling()
        driver.reject(driver.error(ErrorCode.DRAINING, Ran.NO), echoed_attempt_id=echo)
        assert driver.machine.phase is Phase.CANCELLING

    def test_guarantee_for_another_attempt_does_not_count(self) -> None:
        driver = calling()
        driver.reject(driver.error(ErrorCode.DRAINING, Ran.NO, attempt_id="other"))
        assert driver.machine.phase is Phase.CANCELLING

    def test_guarantee_after_content_does_not_count(self) -> None:
        driver = decoding(repeat_prompt_read=True, streaming=False)
        driver.frame(FrameKind.CONTENT)
        driver.frame(FrameKind.ERROR, error=driver.error(ErrorCode.INTERNAL, Ran.NO))
        assert driver.machine.phase is Phase.CANCELLING

    def test_connect_failure_is_retried_since_nothing_was_sent(self) -> None:
        driver = calling()
        driver.fail(Observed.CONNECT_FAILED, sent=False)
        assert driver.is_retrying()

    def test_dispatch_that_was_not_sent_is_answered_not_executed(self) -> None:
        driver = calling(retry=RetryPolicy(max_attempts=1))
        driver.fail(Observed.CONNECT_FAILED, sent=False)
        assert driver.rejected().ran is Ran.NO

    def test_a_request_with_a_completed_prefill_is_never_answered_not_executed(self) -> None:
        driver = decoding(retry=RetryPolicy(max_attempts=1))
        driver.fail(Observed.CONNECT_FAILED, sent=False)
        assert driver.rejected().ran is Ran.UNKNOWN

    @pytest.mark.parametrize(("allowed", "phase"), [(True, Phase.BACKING_OFF), (False, None)])
    def test_failed_prefill_is_repeated_only_if_the_route_permits_it(
        self, allowed: bool, phase: Phase | None
    ) -> None:
        driver = Driver(repeat_prompt_read=allowed)
        driver.admit()
        driver.decide("p1", "d1")
        driver.fail(Observed.TIMED_OUT)
        assert driver.machine.phase is (phase or Phase.CANCELLING)

    def test_a_decode_in_doubt_prevents_another_prefill(self) -> None:
        driver = decoding(repeat_prompt_read=True)
        driver.fail(Observed.TIMED_OUT)
        assert driver.machine.phase is Phase.CANCELLING

    def test_a_completed_prefill_counts_as_execution_unless_the_route_permits_repeats(
        self,
    ) -> None:
        driver = decoding()
        driver.reject(driver.error(ErrorCode.DRAINING, Ran.NO))
        assert driver.rejected().ran is Ran.UNKNOWN
        allowed = decoding(repeat_prompt_read=True)
        allowed.reject(allowed.error(ErrorCode.DRAINING, Ran.NO))
        assert isinstance(allowed.last[-1], events.RequestDecision)

    def test_a_guarantee_that_would_not_permit_a_retry_is_not_awaited(self) -> None:
        driver = decoding()
        driver.fail(Observed.TIMED_OUT)
        assert {cancel.worker_id for cancel in driver.all(events.Cancel)} == {"p1", "d1"}
        assert driver.rejected().ran is Ran.UNKNOWN

    def test_late_reply_to_an_earlier_attempt_is_ignored(self) -> None:
        driver = calling(repeatable=True)
        first = driver.attempt_id
        driver.fail()
        driver.elapse()
        driver.decide("s2")
        late = events.CallReplied(
            attempt_id=first, replied_request_id=REQUEST, replied_attempt_id=first, body=b"1"
        )
        assert driver.feed(late) == []

    def test_reply_to_another_request_is_not_relayed(self) -> None:
        driver = calling()
        reply = events.CallReplied(
            attempt_id=driver.attempt_id,
            replied_request_id="other",
            replied_attempt_id=driver.attempt_id,
            body=b"1",
        )
        driver.feed(reply)
        assert not driver.all(events.Finish)
        assert isinstance(driver.last[0], events.AbortExchange)
        assert driver.reports("s1") == [AttemptEffect.TRANSIENT]


class TestHandle:
    """The KV cache of one request is never used for another request."""

    @pytest.mark.parametrize("field", ["request_id", "attempt_id", "worker_id"])
    def test_foreign_handle_is_never_used(self, field: str) -> None:
        driver = Driver()
        driver.admit()
        driver.decide("p1", "d1")
        driver.complete_prefill("p1", **{field: "other"})
        assert not driver.all(events.SendDecode)

    def test_expired_handle_is_neutral_and_a_new_attempt_prefills_again(self) -> None:
        # An expired handle charges no worker. The second prefill is a retry: it uses the retry
        # budget and waits for a backoff.
        driver = decoding(repeat_prompt_read=True)
        first = driver.attempt_id
        driver.reject(driver.error(ErrorCode.HANDLE_EXPIRED, Ran.NO))
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]
        assert driver.newest(events.StartTimer).kind is events.TimerKind.BACKOFF
        driver.elapse()
        assert driver.attempt_id != first

    def test_rejection_of_an_expired_handle_charges_no_worker(self) -> None:
        driver = decoding()
        driver.now += 3600.0
        driver.reject(driver.error(ErrorCode.UPSTREAM_REFUSED, Ran.NO))
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]

    def test_rejected_handle_charges_the_prefill_worker(self) -> None:
        driver = decoding()
        driver.reject(driver.error(ErrorCode.UPSTREAM_REFUSED, Ran.NO))
        assert driver.reports("p1") == [AttemptEffect.TRANSIENT]
        assert driver.reports("d1") == [AttemptEffect.GATEWAY]

    def test_single_failed_pair_charges_no_worker(self) -> None:
        driver = decoding()
        driver.reject(driver.error(ErrorCode.UPSTREAM_FAILED, Ran.NO))
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]
        assert driver.kv_transfer_evidence.avoidance.is_avoided("p1", "d1", driver.now)

    def test_decode_worker_that_fails_with_several_prefill_workers_is_charged(self) -> None:
        driver = decoding()
        driver.reject(driver.error(ErrorCode.UPSTREAM_FAILED, Ran.NO))
        other = decoding(kv_transfer_evidence=driver.kv_transfer_evidence, repeat_prompt_read=True)
        other.reject(other.error(ErrorCode.DRAINING, Ran.NO))
        other.decide("p2", "d1")
        other.complete_prefill("p2")
        other.reject(other.error(ErrorCode.UPSTREAM_FAILED, Ran.NO))
        assert AttemptEffect.TRANSIENT in other.reports("d1")
        assert other.reports("p2") == [AttemptEffect.GATEWAY]


class TestRetries:
    """Limits on retries (paper, "Circuit breakers and bounded retries")."""

    def test_every_attempt_has_its_own_id(self) -> None:
        driver = calling(repeatable=True)
        for number in range(3):
            driver.fail()
            driver.elapse()
            driver.decide(f"s{number + 2}")
        ids = [decision.attempt_id for decision in driver.all(events.RequestDecision)]
        assert len(set(ids)) == len(ids) == 4

    def test_tried_workers_are_listed_for_each_stage(self) -> None:
        driver = decoding(repeatable=True)
        driver.fail()
        driver.elapse()
        prefill, decode = driver.newest(events.RequestDecision).per_stage
        assert (prefill.stage, prefill.tried) == (Stage.PREFILL, ("p1",))
        assert (decode.stage, decode.tried) == (Stage.DECODE, ("d1",))

    def test_at_most_max_attempts(self) -> None:
        driver = calling(repeatable=True, retry=RetryPolicy(max_attempts=2))
        driver.fail()
        driver.elapse()
        driver.decide("s2")
        driver.fail()
        assert driver.rejected().code is ErrorCode.UPSTREAM_FAILED

    def test_each_retry_needs_the_budget(self) -> None:
        empty_budget = RetryPolicy(budget_ratio=0.0, budget_minimum_per_second=0.0)
        driver = calling(repeatable=True, retry=empty_budget)
        driver.fail()
        assert driver.rejected().code is ErrorCode.RETRY_BUDGET_SPENT
        assert driver.rejected().retry_after_seconds is not None

    def test_without_its_guard_the_budget_is_ignored(self) -> None:
        empty_budget = RetryPolicy(budget_ratio=0.0, budget_minimum_per_second=0.0)
        driver = calling(repeatable=True, retry=empty_budget, disabled=(Guard.RETRY_BUDGET,))
        driver.fail()
        assert driver.is_retrying()

    def test_transient_failures_wait_with_full_jitter(self) -> None:
        waits = []
        for seed in range(30):
            driver = calling(repeatable=True, seed=seed)
            driver.fail()
            waits.append(driver.newest(events.StartTimer).seconds)
        policy = RetryPolicy()
        assert all(0.0 <= wait <= policy.backoff_base_seconds for wait in waits)
        assert max(waits) - min(waits) > policy.backoff_base_seconds / 2

    def test_each_worker_counts_one_transient_failure(self) -> None:
        driver = calling(repeatable=True)
        driver.fail()
        driver.elapse()
        driver.decide("s1")
        driver.fail()
        assert driver.reports("s1") == [AttemptEffect.TRANSIENT, AttemptEffect.GATEWAY]

    def test_request_failure_excludes_the_worker_and_never_lowers_health(self) -> None:
        driver = calling(repeatable=True)
        driver.reject(driver.error(ErrorCode.BAD_REQUEST, Ran.NO))
        assert driver.reports("s1") == [AttemptEffect.REQUEST]
        assert driver.newest(events.RequestDecision).per_stage[0].excluded == ("s1",)

    def test_configuration_failure_excludes_the_worker(self) -> None:
        driver = calling()
        driver.reject(driver.error(ErrorCode.WRONG_MODEL, Ran.NO))
        assert driver.reports("s1") == [AttemptEffect.CONFIGURATION]
        assert driver.newest(events.RequestDecision).per_stage[0].excluded == ("s1",)

    def test_retry_after_of_a_worker_is_respected_within_the_deadline(self) -> None:
        driver = calling()
        driver.reject(driver.error(ErrorCode.OVERLOADED, Ran.NO, retry_after=3.0))
        driver.elapse()
        assert driver.newest(events.RequestDecision).per_stage[0].excluded == ("s1",)
        driver.feed(events.NoCandidates(attempt_id=driver.attempt_id, reason="none"))
        assert 2.0 < driver.newest(events.StartTimer).seconds <= 3.0
        driver.elapse()
        assert driver.newest(events.RequestDecision).per_stage[0].excluded == ()

    def test_retry_after_beyond_the_deadline_is_answered_at_once(self) -> None:
        driver = calling(deadline=4.0)
        driver.reject(driver.error(ErrorCode.OVERLOADED, Ran.NO, retry_after=3.9))
        driver.elapse()
        driver.feed(events.NoCandidates(attempt_id=driver.attempt_id, reason="none"))
        assert driver.rejected().code is ErrorCode.RATE_LIMITED
        assert driver.rejected().retry_after_seconds == 3.9

    def test_without_its_guard_the_wait_exceeds_the_deadline(self) -> None:
        driver = calling(deadline=4.0, disabled=(Guard.WAIT_FITS_DEADLINE,))
        driver.reject(driver.error(ErrorCode.OVERLOADED, Ran.NO, retry_after=3.9))
        driver.elapse()
        driver.feed(events.NoCandidates(attempt_id=driver.attempt_id, reason="none"))
        assert driver.newest(events.StartTimer).seconds > 3.0


class TestRejections:
    """Errors of requests that are rejected without a further attempt."""

    @pytest.mark.parametrize(
        ("rejection", "code"),
        [
            (Rejection.CIRCUITS_OPEN, ErrorCode.ALL_CIRCUITS_OPEN),
            (Rejection.SHARED_CAPACITY, ErrorCode.RATE_LIMITED),
            (Rejection.EXHAUSTED, ErrorCode.NO_WORKER),
        ],
    )
    def test_rejected_decisions_have_their_error_codes(
        self, rejection: Rejection, code: ErrorCode
    ) -> None:
        driver = Driver()
        driver.admit()
        driver.reject_decision(rejection)
        rejected = driver.rejected()
        assert (rejected.code, rejected.ran) == (code, Ran.NO)
        assert rejected.retry_after_seconds == 7.0

    def test_request_rejected_by_admission_gets_its_error(self) -> None:
        driver = Driver()
        error = ErrorBody(code=ErrorCode.OVERLOADED, message="full", ran=Ran.NO)
        driver.feed(events.AdmissionRejected(error=error))
        assert driver.rejected() == error

    def test_router_with_an_expired_lease_dispatches_nothing(self) -> None:
        # A router without a valid lease rejects the request immediately.
        driver = calling()
        rejected = events.SendRefused(
            attempt_id=driver.attempt_id,
            refusal=events.SendRefusal.NOT_FRESH,
            retry_after_seconds=1.5,
        )
        driver.feed(rejected)
        assert (driver.rejected().code, driver.rejected().ran) == (ErrorCode.NOT_FRESH, Ran.NO)
        assert driver.reports("s1") == [AttemptEffect.GATEWAY]

    def test_unavailable_worker_is_neutral_and_another_decision_is_requested(self) -> None:
        driver = calling()
        rejected = events.SendRefused(
            attempt_id=driver.attempt_id,
            refusal=events.SendRefusal.WORKER_UNAVAILABLE,
            retry_after_seconds=1.0,
        )
        driver.feed(rejected)
        assert isinstance(driver.last[-1], events.RequestDecision)
        assert driver.reports("s1") == [AttemptEffect.GATEWAY]


class TestEnds:
    """Requests that end by their deadline or by disconnection, and decisions after the end."""

    def test_disconnected_caller_cancels_and_is_neutral(self) -> None:
        driver = decoding()
        driver.feed(events.ClientDisconnected())
        assert {cancel.worker_id for cancel in driver.all(events.Cancel)} == {"p1", "d1"}
        assert isinstance(driver.last[0], events.AbortExchange)
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]

    def test_deadline_answers_at_once(self) -> None:
        driver = calling(deadline=5.0)
        driver.now = 5.0
        driver.feed(events.DeadlinePassed())
        assert driver.rejected().code is ErrorCode.DEADLINE_EXCEEDED
        assert driver.rejected().ran is Ran.UNKNOWN
        assert driver.reports("s1") == [AttemptEffect.GATEWAY]

    def test_worker_that_used_most_of_the_deadline_is_charged(self) -> None:
        driver = calling(deadline=30.0)
        driver.now = 30.0
        driver.feed(events.DeadlinePassed())
        assert driver.reports("s1") == [AttemptEffect.TRANSIENT]

    def test_deadline_does_not_abort_a_committed_stream(self) -> None:
        driver = decoding()
        driver.frame(FrameKind.CONTENT)
        assert driver.feed(events.DeadlinePassed()) == []

    def test_decision_after_the_end_is_released(self) -> None:
        driver = Driver()
        driver.admit()
        driver.feed(events.DeadlinePassed())
        driver.decide("p1", "d1")
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]
        assert not driver.sends()
