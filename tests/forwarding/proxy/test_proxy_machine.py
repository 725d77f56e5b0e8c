"""What the machine of a forwarded request asks for after each event."""

import pytest
from proxy_machine_driver import (
    MAX_DECODE_SIDE_TOKENS,
    REFUSED,
    REFUSED_FULL,
    Driven,
    alone,
    awaiting_head,
    head,
    pair,
    transferring,
)

from orchidpath.circuit.classification import Observed
from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.forwarding.proxy.decision_rounds import MAX_POSTPONED_SECONDS, MAX_ROUNDS
from orchidpath.routing.request.events import SendRefusal
from orchidpath.wire.configuration import Repetition
from orchidpath.wire.records import Stage


def test_a_prompt_is_prefilled_before_the_decode_fetches_its_cache() -> None:
    driven = Driven().take(events.RequestStarted())
    ask = driven.one(effects.ChooseWorkers)
    assert [one.stage for one in ask.per_stage] == [Stage.PREFILL, Stage.DECODE]
    prefill = driven.take(pair()).one(effects.Dispatch)
    assert (prefill.is_prefill, prefill.priority, prefill.kv_source) == (True, 3, None)
    driven.take(events.Dispatched(), events.PrefillSucceeded("h1", 4))
    assert driven.one(effects.RecordPrefillDone).chosen.worker.worker_id == "p1"
    decode = driven.one(effects.Dispatch)
    assert decode.kv_source == effects.KvSource("p1:1", "h1")
    assert (decode.expected_version, decode.priority, decode.is_prefill) == (4, None, False)


def test_a_prefill_worker_has_succeeded_once_its_cache_was_transferred() -> None:
    driven = transferring().take(head())
    report = driven.one(effects.Report)
    assert (report.chosen.worker.worker_id, report.observed) == ("p1", Observed.SUCCESS)
    assert isinstance(driven.effects[-1], effects.RelayResponse)


def test_a_failed_transfer_charges_the_holder_and_the_decode_worker_prefills() -> None:
    driven = transferring().take(*REFUSED)
    reports = [one for one in driven.effects if isinstance(one, effects.Report)]
    assert [(one.chosen.worker.worker_id, one.observed) for one in reports] == [
        ("p1", Observed.KV_TRANSFER_CHARGED),
        ("d1", Observed.KV_TRANSFER_UNDECIDED),
    ]
    assert driven.one(effects.ReleaseHandle).source == effects.KvSource("p1:1", "h1")
    ask = driven.one(effects.ChooseWorkers)
    # The worker itself can serve: it is not among those that were tried.
    assert [(one.stage, one.tried) for one in ask.per_stage] == [(Stage.DECODE, ())]


def test_a_full_decode_worker_charges_nobody_and_the_cache_stays() -> None:
    driven = transferring().take(*REFUSED_FULL)
    assert driven.one(effects.Report).chosen.worker.worker_id == "d1"
    assert not driven.has(effects.ReleaseHandle)
    ask = driven.one(effects.ChooseWorkers)
    assert ask.prefill_worker_id == "p1"
    assert [(one.stage, one.tried) for one in ask.per_stage] == [(Stage.DECODE, ("d1",))]
    assert driven.take(alone("d2")).one(effects.Dispatch).kv_source is not None


@pytest.mark.parametrize("failure", [events.ExchangeBroken(), events.ExchangeTimedOut()])
def test_what_may_have_run_and_may_not_be_repeated_ends_without_a_guarantee(
    failure: events.ProxyEvent,
) -> None:
    driven = awaiting_head().take(failure, alone("w2", Stage.PLAIN))
    answer = driven.one(effects.SendErrorResponse)
    assert answer.status in {502, 504}
    assert answer.retry_after_seconds is None


def test_a_guarantee_lets_another_worker_be_tried() -> None:
    driven = awaiting_head().take(*REFUSED)
    assert driven.one(effects.Report).status == 429
    assert driven.take(alone("w2", Stage.PLAIN)).has(effects.Dispatch)


def test_a_final_answer_of_what_never_ran_says_when_to_come_back() -> None:
    rejected = events.DecisionRejected("circuits_open", 2.0)
    driven = Driven(is_model=False).take(events.RequestStarted(), rejected)
    answer = driven.one(effects.SendErrorResponse)
    assert answer.status == 503
    assert answer.retry_after_seconds is not None
    assert answer.retry_after_seconds >= 2.0


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_guarantees_is_never_passed_on_without_a_guarantee(status: int) -> None:
    driven = awaiting_head().take(head(status))
    assert not driven.has(effects.RelayResponse)
    assert driven.has(effects.AbortConnection)


def test_a_rejected_prefill_decision_leaves_the_prompt_to_the_decode_worker() -> None:
    driven = Driven().take(events.RequestStarted(), events.DecisionRejected("exhausted"))
    assert [one.stage for one in driven.one(effects.ChooseWorkers).per_stage] == [Stage.DECODE]


def test_a_long_prompt_is_refused_rather_than_prefilled_at_a_decode_worker() -> None:
    long = MAX_DECODE_SIDE_TOKENS + 1
    driven = Driven(prompt_tokens=long)
    driven.take(events.RequestStarted(), events.DecisionRejected("exhausted"))
    assert driven.one(effects.SendErrorResponse).status == 503
    without_prefill_workers = Driven(prompt_tokens=long, has_prefill_workers=False)
    assert without_prefill_workers.take(events.RequestStarted()).has(effects.ChooseWorkers)


def test_a_decision_is_postponed_for_a_bounded_time() -> None:
    driven = Driven().take(events.RequestStarted())
    driven.take(events.DecisionPostponed(0.3))
    assert driven.one(effects.Wait).seconds == 0.3
    driven.now += 0.3
    again = driven.take(events.WaitElapsed()).one(effects.ChooseWorkers)
    assert (again.attempt_id, again.may_wait) == ("r.2", True)
    driven.now += MAX_POSTPONED_SECONDS
    assert not driven.take(events.WaitElapsed()).one(effects.ChooseWorkers).may_wait


def test_a_router_without_a_lease_sends_nothing_more() -> None:
    driven = Driven().take(events.RequestStarted(), pair())
    driven.take(events.SendRefused(SendRefusal.NOT_FRESH))
    assert driven.one(effects.SendErrorResponse).status == 503
    driven = Driven().take(events.RequestStarted(), pair())
    driven.take(events.SendRefused(SendRefusal.WORKER_UNAVAILABLE))
    assert driven.has(effects.ChooseWorkers)


def test_rounds_are_bounded() -> None:
    driven = Driven(is_model=False).take(events.RequestStarted())
    for _ in range(MAX_ROUNDS - 1):
        driven.take(alone("w1", Stage.PLAIN), events.ConnectFailed())
        assert driven.has(effects.ChooseWorkers)
    driven.take(alone("w1", Stage.PLAIN), events.ConnectFailed())
    assert driven.one(effects.SendErrorResponse).reason == "no worker could be reached"


def test_a_broken_stream_is_resumed_with_the_weights_that_began_it() -> None:
    driven = awaiting_head(repetition=Repetition.RESUMED).take(head())
    driven.take(events.StreamBroken(is_resumable=True, last_event_id="5"))
    dispatch = driven.take(alone("w2", Stage.PLAIN)).one(effects.Dispatch)
    assert (dispatch.last_event_id, dispatch.expected_version) == ("5", 7)


def test_a_broken_answer_that_cannot_be_resumed_is_broken_off() -> None:
    driven = awaiting_head(repetition=Repetition.WHOLE).take(head())
    driven.take(events.StreamBroken(is_resumable=False, last_event_id=""))
    assert driven.has(effects.AbortResponse)
    assert isinstance(driven.effects[-1], effects.DropCaller)


def test_the_deadline_breaks_off_an_answer_and_answers_what_has_none() -> None:
    driven = awaiting_head().take(events.DeadlinePassed())
    assert driven.one(effects.SendErrorResponse).status == 504
    assert driven.take(events.RequestClosed()).one(effects.ReportRest).observed is (
        Observed.TIMED_OUT
    )
    streaming = awaiting_head().take(head(), events.DeadlinePassed())
    assert streaming.has(effects.AbortResponse)
    assert not streaming.has(effects.SendErrorResponse)


def test_a_caller_that_leaves_has_its_cache_released() -> None:
    driven = transferring().take(events.RequestClosed())
    assert driven.one(effects.ReportRest).observed is Observed.CLIENT_CANCELLED
    assert driven.has(effects.ReleaseHandle)


def test_an_event_that_its_phase_does_not_take_changes_nothing() -> None:
    driven = awaiting_head()
    assert not driven.take(events.WaitElapsed()).effects
    assert not driven.take(events.PrefillSucceeded("h", 1)).effects
    assert driven.take(head()).has(effects.RelayResponse)
