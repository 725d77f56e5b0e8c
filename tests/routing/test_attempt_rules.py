"""Rules of the request machine, each by a scripted request; every test names its source."""

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
    """Return a request whose decode was ordered on "d1" after a prompt read on "p1"."""
    driver = Driver(**options)  # type: ignore[arg-type]
    driver.admit()
    driver.decide("p1", "d1")
    driver.read("p1")
    return driver


def calling(**options: object) -> Driver:
    """Return a plain request that was ordered on "s1"."""
    driver = Driver(model=False, **options)  # type: ignore[arg-type]
    driver.admit()
    driver.decide("s1")
    return driver


class TestCommit:
    """Paper: buffered until the first semantic frame; roles, usage, keepalives don't commit."""

    @pytest.mark.parametrize("kind", [FrameKind.ROLE, FrameKind.USAGE, FrameKind.KEEPALIVE])
    def test_other_frames_do_not_commit(self, kind: FrameKind) -> None:
        driver = decoding(repeatable=True)
        assert not [one for one in driver.frame(kind) if not isinstance(one, events.Report)]
        driver.fail()
        assert driver.is_retrying()

    def test_first_content_commits_and_relays_the_buffer_in_order(self) -> None:
        driver = decoding()
        driver.frame(FrameKind.ROLE)
        driver.frame(FrameKind.CONTENT)
        commit, relay = (one for one in driver.last if not isinstance(one, events.Report))
        assert isinstance(commit, events.Commit)
        assert isinstance(relay, events.Relay)
        assert [frame.sequence for frame in relay.frames] == [0, 1]

    @pytest.mark.parametrize("failure", ["reset", "gap", "crossed", "end"])
    def test_no_retry_after_commit_but_a_visible_break(self, failure: str) -> None:
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

    def test_a_stream_that_ends_without_terminal_is_not_complete(self) -> None:
        # Brief: a cut stream must not look complete. Paper: a missing terminal is transient.
        driver = decoding(repeatable=True)
        driver.frame(FrameKind.ROLE)
        driver.feed(events.DecodeEnded(attempt_id=driver.attempt_id))
        assert not driver.all(events.Finish)
        assert driver.reports("d1") == [AttemptEffect.TRANSIENT]

    def test_one_json_body_is_committed_by_the_terminal_only(self) -> None:
        driver = decoding(streaming=False, repeatable=True)
        driver.frame(FrameKind.CONTENT)
        assert not driver.all(events.Commit)
        driver.fail()
        assert driver.is_retrying()


class TestAtMostOnce:
    """Brief: a call that may not be repeated never runs twice; "not run" is kept."""

    def test_unknown_fate_waits_for_the_promise_and_then_answers_unknown(self) -> None:
        driver = calling()
        driver.fail()
        assert driver.machine.phase is Phase.CANCELLING
        assert driver.newest(events.Cancel).worker_id == "s1"
        driver.elapse()
        assert driver.rejected().ran is Ran.UNKNOWN
        assert len(driver.sends()) == 1

    def test_cancel_that_promises_allows_a_retry(self) -> None:
        driver = calling()
        driver.fail()
        driver.cancel_answer("s1", Ran.NO)
        driver.elapse()
        driver.decide("s2")
        assert len(driver.sends()) == 2

    @pytest.mark.parametrize("ran", [Ran.YES, Ran.UNKNOWN])
    def test_cancel_without_promise_answers_at_once(self, ran: Ran) -> None:
        driver = calling()
        driver.fail()
        driver.cancel_answer("s1", ran)
        assert driver.rejected().ran is Ran.UNKNOWN

    def test_cancel_answer_of_a_restarted_worker_is_no_promise(self) -> None:
        driver = calling()
        driver.fail()
        driver.cancel_answer("s1", Ran.NO, same_incarnation=False)
        assert driver.rejected().ran is Ran.UNKNOWN

    def test_cancel_answer_of_the_prefill_worker_says_nothing_about_the_decode(self) -> None:
        driver = decoding(repeat_prompt_read=True)
        driver.fail()
        assert {one.worker_id for one in driver.all(events.Cancel)} == {"p1", "d1"}
        driver.cancel_answer("p1", Ran.NO)
        assert driver.machine.phase is Phase.CANCELLING
        driver.cancel_answer("d1", Ran.NO)
        assert driver.is_retrying()

    def test_promise_in_the_error_allows_a_retry_at_once(self) -> None:
        driver = calling()
        driver.refuse(driver.error(ErrorCode.DRAINING, Ran.NO))
        assert isinstance(driver.last[-1], events.RequestDecision)

    @pytest.mark.parametrize("echo", ["", "other"])
    def test_promise_without_the_right_echo_is_none(self, echo: str) -> None:
        driver = calling()
        driver.refuse(driver.error(ErrorCode.DRAINING, Ran.NO), echoed_attempt_id=echo)
        assert driver.machine.phase is Phase.CANCELLING

    def test_promise_about_another_attempt_is_none(self) -> None:
        driver = calling()
        driver.refuse(driver.error(ErrorCode.DRAINING, Ran.NO, attempt_id="other"))
        assert driver.machine.phase is Phase.CANCELLING

    def test_promise_after_content_is_not_believed(self) -> None:
        driver = decoding(repeat_prompt_read=True, streaming=False)
        driver.frame(FrameKind.CONTENT)
        driver.frame(FrameKind.ERROR, error=driver.error(ErrorCode.INTERNAL, Ran.NO))
        assert driver.machine.phase is Phase.CANCELLING

    def test_connect_failure_is_retried_since_no_byte_left(self) -> None:
        driver = calling()
        driver.fail(Observed.CONNECT_FAILED, left=False)
        assert driver.is_retrying()

    def test_no_byte_left_is_answered_not_run(self) -> None:
        driver = calling(retry=RetryPolicy(max_attempts=1))
        driver.fail(Observed.CONNECT_FAILED, left=False)
        assert driver.rejected().ran is Ran.NO

    def test_a_prompt_read_that_ran_is_never_answered_not_run(self) -> None:
        driver = decoding(retry=RetryPolicy(max_attempts=1))
        driver.fail(Observed.CONNECT_FAILED, left=False)
        assert driver.rejected().ran is Ran.UNKNOWN

    @pytest.mark.parametrize(("allowed", "phase"), [(True, Phase.BACKING_OFF), (False, None)])
    def test_failed_prompt_read_is_repeated_only_where_the_route_says(
        self, allowed: bool, phase: Phase | None
    ) -> None:
        driver = Driver(repeat_prompt_read=allowed)
        driver.admit()
        driver.decide("p1", "d1")
        driver.fail(Observed.TIMED_OUT)
        assert driver.machine.phase is (phase or Phase.CANCELLING)

    def test_a_decode_in_doubt_bars_the_prompt_read_too(self) -> None:
        driver = decoding(repeat_prompt_read=True)
        driver.fail(Observed.TIMED_OUT)
        assert driver.machine.phase is Phase.CANCELLING

    def test_a_completed_prompt_read_counts_as_running_unless_the_route_says_otherwise(
        self,
    ) -> None:
        driver = decoding()
        driver.refuse(driver.error(ErrorCode.DRAINING, Ran.NO))
        assert driver.rejected().ran is Ran.UNKNOWN
        allowed = decoding(repeat_prompt_read=True)
        allowed.refuse(allowed.error(ErrorCode.DRAINING, Ran.NO))
        assert isinstance(allowed.last[-1], events.RequestDecision)

    def test_a_promise_that_would_not_help_is_not_waited_for(self) -> None:
        driver = decoding()
        driver.fail(Observed.TIMED_OUT)
        assert {one.worker_id for one in driver.all(events.Cancel)} == {"p1", "d1"}
        assert driver.rejected().ran is Ran.UNKNOWN

    def test_late_answer_of_an_earlier_attempt_changes_nothing(self) -> None:
        driver = calling(repeatable=True)
        first = driver.attempt_id
        driver.fail()
        driver.elapse()
        driver.decide("s2")
        late = events.CallReplied(
            attempt_id=first, replied_request_id=REQUEST, replied_attempt_id=first, body=b"1"
        )
        assert driver.feed(late) == []

    def test_crossed_answer_is_not_passed_on(self) -> None:
        driver = calling()
        crossed = events.CallReplied(
            attempt_id=driver.attempt_id,
            replied_request_id="other",
            replied_attempt_id=driver.attempt_id,
            body=b"1",
        )
        driver.feed(crossed)
        assert not driver.all(events.Finish)
        assert isinstance(driver.last[0], events.AbortExchange)
        assert driver.reports("s1") == [AttemptEffect.TRANSIENT]


class TestHandle:
    """Brief: a prompt read for one request is never handed to another."""

    @pytest.mark.parametrize("field", ["request_id", "attempt_id", "worker_id"])
    def test_foreign_handle_is_never_used(self, field: str) -> None:
        driver = Driver()
        driver.admit()
        driver.decide("p1", "d1")
        driver.read("p1", **{field: "other"})
        assert not driver.all(events.SendDecode)

    def test_lapsed_handle_is_neutral_and_read_again_by_a_new_attempt(self) -> None:
        # Design page: a lapsed handle is neutral; the re-read spends the budget and is spread.
        driver = decoding(repeat_prompt_read=True)
        first = driver.attempt_id
        driver.refuse(driver.error(ErrorCode.HANDLE_EXPIRED, Ran.NO))
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]
        assert driver.newest(events.StartTimer).kind is events.TimerKind.BACKOFF
        driver.elapse()
        assert driver.attempt_id != first

    def test_handle_denied_after_it_lapsed_charges_nobody(self) -> None:
        driver = decoding()
        driver.now += 3600.0
        driver.refuse(driver.error(ErrorCode.UPSTREAM_REFUSED, Ran.NO))
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]

    def test_denied_handle_charges_the_prompt_side(self) -> None:
        driver = decoding()
        driver.refuse(driver.error(ErrorCode.UPSTREAM_REFUSED, Ran.NO))
        assert driver.reports("p1") == [AttemptEffect.TRANSIENT]
        assert driver.reports("d1") == [AttemptEffect.GATEWAY]

    def test_single_failed_pair_charges_nobody(self) -> None:
        driver = decoding()
        driver.refuse(driver.error(ErrorCode.UPSTREAM_FAILED, Ran.NO))
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]
        assert driver.kv_transfer_evidence.avoidance.is_avoided("p1", "d1", driver.now)

    def test_decode_worker_that_fails_with_several_prompt_workers_is_charged(self) -> None:
        driver = decoding()
        driver.refuse(driver.error(ErrorCode.UPSTREAM_FAILED, Ran.NO))
        other = decoding(kv_transfer_evidence=driver.kv_transfer_evidence, repeat_prompt_read=True)
        other.refuse(other.error(ErrorCode.DRAINING, Ran.NO))
        other.decide("p2", "d1")
        other.read("p2")
        other.refuse(other.error(ErrorCode.UPSTREAM_FAILED, Ran.NO))
        assert AttemptEffect.TRANSIENT in other.reports("d1")
        assert other.reports("p2") == [AttemptEffect.GATEWAY]


class TestRetries:
    """Paper, "Circuit breakers and bounded retries"."""

    def test_every_attempt_has_its_own_id(self) -> None:
        driver = calling(repeatable=True)
        for number in range(3):
            driver.fail()
            driver.elapse()
            driver.decide(f"s{number + 2}")
        ids = [one.attempt_id for one in driver.all(events.RequestDecision)]
        assert len(set(ids)) == len(ids) == 4

    def test_tried_workers_are_named_in_each_leg(self) -> None:
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

    def test_budget_must_grant_each_retry(self) -> None:
        stingy = RetryPolicy(budget_ratio=0.0, budget_minimum_per_second=0.0)
        driver = calling(repeatable=True, retry=stingy)
        driver.fail()
        assert driver.rejected().code is ErrorCode.RETRY_BUDGET_SPENT
        assert driver.rejected().retry_after_seconds is not None

    def test_without_the_guard_the_budget_would_be_ignored(self) -> None:
        stingy = RetryPolicy(budget_ratio=0.0, budget_minimum_per_second=0.0)
        driver = calling(repeatable=True, retry=stingy, disabled=(Guard.RETRY_BUDGET,))
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

    def test_request_failure_moves_on_and_never_lowers_health(self) -> None:
        driver = calling(repeatable=True)
        driver.refuse(driver.error(ErrorCode.BAD_REQUEST, Ran.NO))
        assert driver.reports("s1") == [AttemptEffect.REQUEST]
        assert driver.newest(events.RequestDecision).per_stage[0].excluded == ("s1",)

    def test_configuration_failure_moves_on(self) -> None:
        driver = calling()
        driver.refuse(driver.error(ErrorCode.WRONG_MODEL, Ran.NO))
        assert driver.reports("s1") == [AttemptEffect.CONFIGURATION]
        assert driver.newest(events.RequestDecision).per_stage[0].excluded == ("s1",)

    def test_retry_time_is_honoured_when_it_fits(self) -> None:
        driver = calling()
        driver.refuse(driver.error(ErrorCode.OVERLOADED, Ran.NO, retry_after=3.0))
        driver.elapse()
        assert driver.newest(events.RequestDecision).per_stage[0].excluded == ("s1",)
        driver.feed(events.NoCandidates(attempt_id=driver.attempt_id, reason="none"))
        assert 2.0 < driver.newest(events.StartTimer).seconds <= 3.0
        driver.elapse()
        assert driver.newest(events.RequestDecision).per_stage[0].excluded == ()

    def test_retry_time_that_does_not_fit_is_answered_at_once(self) -> None:
        driver = calling(deadline=4.0)
        driver.refuse(driver.error(ErrorCode.OVERLOADED, Ran.NO, retry_after=3.9))
        driver.elapse()
        driver.feed(events.NoCandidates(attempt_id=driver.attempt_id, reason="none"))
        assert driver.rejected().code is ErrorCode.RATE_LIMITED
        assert driver.rejected().retry_after_seconds == 3.9

    def test_without_the_guard_the_wait_would_eat_the_deadline(self) -> None:
        driver = calling(deadline=4.0, disabled=(Guard.WAIT_FITS_DEADLINE,))
        driver.refuse(driver.error(ErrorCode.OVERLOADED, Ran.NO, retry_after=3.9))
        driver.elapse()
        driver.feed(events.NoCandidates(attempt_id=driver.attempt_id, reason="none"))
        assert driver.newest(events.StartTimer).seconds > 3.0


class TestRefusals:
    """What is answered at once, and with what."""

    @pytest.mark.parametrize(
        ("rejection", "code"),
        [
            (Rejection.CIRCUITS_OPEN, ErrorCode.ALL_CIRCUITS_OPEN),
            (Rejection.SHARED_CAPACITY, ErrorCode.RATE_LIMITED),
            (Rejection.EXHAUSTED, ErrorCode.NO_WORKER),
        ],
    )
    def test_denials(self, rejection: Rejection, code: ErrorCode) -> None:
        driver = Driver()
        driver.admit()
        driver.deny(rejection)
        rejected = driver.rejected()
        assert (rejected.code, rejected.ran) == (code, Ran.NO)
        assert rejected.retry_after_seconds == 7.0

    def test_shed_request_gets_its_error(self) -> None:
        driver = Driver()
        error = ErrorBody(code=ErrorCode.OVERLOADED, message="full", ran=Ran.NO)
        driver.feed(events.AdmissionRejected(error=error))
        assert driver.rejected() == error

    def test_lapsed_lease_sends_nothing_more(self) -> None:
        # Architecture note, section 5: a router that is not fresh answers at once.
        driver = calling()
        refused = events.SendRefused(
            attempt_id=driver.attempt_id,
            refusal=events.SendRefusal.NOT_FRESH,
            retry_after_seconds=1.5,
        )
        driver.feed(refused)
        assert (driver.rejected().code, driver.rejected().ran) == (ErrorCode.NOT_FRESH, Ran.NO)
        assert driver.reports("s1") == [AttemptEffect.GATEWAY]

    def test_unavailable_worker_is_neutral_and_another_is_asked_for(self) -> None:
        driver = calling()
        refused = events.SendRefused(
            attempt_id=driver.attempt_id,
            refusal=events.SendRefusal.WORKER_UNAVAILABLE,
            retry_after_seconds=1.0,
        )
        driver.feed(refused)
        assert isinstance(driver.last[-1], events.RequestDecision)
        assert driver.reports("s1") == [AttemptEffect.GATEWAY]


class TestEnds:
    """Deadline, departure of the caller, and decisions that come too late."""

    def test_client_gone_cancels_and_is_neutral(self) -> None:
        driver = decoding()
        driver.feed(events.ClientDisconnected())
        assert {one.worker_id for one in driver.all(events.Cancel)} == {"p1", "d1"}
        assert isinstance(driver.last[0], events.AbortExchange)
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]

    def test_deadline_answers_at_once(self) -> None:
        driver = calling(deadline=5.0)
        driver.now = 5.0
        driver.feed(events.DeadlinePassed())
        assert driver.rejected().code is ErrorCode.DEADLINE_EXCEEDED
        assert driver.rejected().ran is Ran.UNKNOWN
        assert driver.reports("s1") == [AttemptEffect.GATEWAY]

    def test_worker_that_held_an_order_for_most_of_the_deadline_is_charged(self) -> None:
        driver = calling(deadline=30.0)
        driver.now = 30.0
        driver.feed(events.DeadlinePassed())
        assert driver.reports("s1") == [AttemptEffect.TRANSIENT]

    def test_deadline_does_not_cut_a_committed_stream(self) -> None:
        driver = decoding()
        driver.frame(FrameKind.CONTENT)
        assert driver.feed(events.DeadlinePassed()) == []

    def test_decision_after_the_end_is_given_back(self) -> None:
        driver = Driver()
        driver.admit()
        driver.feed(events.DeadlinePassed())
        driver.decide("p1", "d1")
        assert driver.reports("p1") == driver.reports("d1") == [AttemptEffect.GATEWAY]
        assert not driver.sends()
