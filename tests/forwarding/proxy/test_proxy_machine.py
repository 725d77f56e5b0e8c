"""Effects that the proxy machine returns for sequences of events."""

import pytest
from proxy_machine_driver import (
    MAX_DECODE_SIDE_TOKENS,
    REJECTED,
    REJECTED_FULL,
    MachineDriver,
    awaiting_head,
    head,
    pair,
    single_worker,
    transferring,
)

from orchidpath.circuit.classification import Observed
from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.forwarding.proxy.decision_rounds import MAX_POSTPONED_SECONDS, MAX_ROUNDS
from orchidpath.routing.request.events import SendRefusal
from orchidpath.wire.configuration import Repetition
from orchidpath.wire.records import Stage


def test_a_prompt_is_prefilled_before_the_decode_worker_pulls_its_cache() -> None:
    driver = MachineDriver().take(events.RequestStarted())
    decision = driver.single_effect(effects.ChooseWorkers)
    assert [candidates.stage for candidates in decision.per_stage] == [Stage.PREFILL, Stage.DECODE]
    prefill = driver.take(pair()).single_effect(effects.Dispatch)
    assert (prefill.is_prefill, prefill.priority, prefill.kv_source) == (True, 3, None)
    driver.take(events.Dispatched(), events.PrefillSucceeded("h1", 4))
    assert driver.single_effect(effects.RecordPrefillDone).chosen.worker.worker_id == "p1"
    decode = driver.single_effect(effects.Dispatch)
    assert decode.kv_source == effects.KvSource("p1:1", "h1")
    assert (decode.expected_version, decode.priority, decode.is_prefill) == (4, None, False)


def test_a_prefill_worker_succeeds_once_its_cache_is_transferred() -> None:
    driver = transferring().take(head())
    report = driver.single_effect(effects.Report)
    assert (report.chosen.worker.worker_id, report.observed) == ("p1", Observed.SUCCESS)
    assert isinstance(driver.effects[-1], effects.RelayResponse)


def test_a_failed_kv_transfer_charges_the_prefill_worker_and_the_decode_worker_prefills() -> None:
    driver = transferring().take(*REJECTED)
    reports = [effect for effect in driver.effects if isinstance(effect, effects.Report)]
    assert [(report.chosen.worker.worker_id, report.observed) for report in reports] == [
        ("p1", Observed.KV_TRANSFER_CHARGED),
        ("d1", Observed.KV_TRANSFER_UNDECIDED),
    ]
    assert driver.single_effect(effects.ReleaseHandle).source == effects.KvSource("p1:1", "h1")
    decision = driver.single_effect(effects.ChooseWorkers)
    # The decode worker itself can serve, so it does not count as tried.
    assert [(candidates.stage, candidates.tried) for candidates in decision.per_stage] == [
        (Stage.DECODE, ())
    ]


def test_a_full_decode_worker_charges_no_worker_and_the_cache_is_retained() -> None:
    driver = transferring().take(*REJECTED_FULL)
    assert driver.single_effect(effects.Report).chosen.worker.worker_id == "d1"
    assert not driver.has_effect(effects.ReleaseHandle)
    decision = driver.single_effect(effects.ChooseWorkers)
    assert decision.prefill_worker_id == "p1"
    assert [(candidates.stage, candidates.tried) for candidates in decision.per_stage] == [
        (Stage.DECODE, ("d1",))
    ]
    assert driver.take(single_worker("d2")).single_effect(effects.Dispatch).kv_source is not None


@pytest.mark.parametrize("failure", [events.ExchangeBroken(), events.ExchangeTimedOut()])
def test_a_non_idempotent_request_that_may_have_executed_ends_without_a_guarantee(
    failure: events.ProxyEvent,
) -> None:
    driver = awaiting_head().take(failure, single_worker("w2", Stage.PLAIN))
    response = driver.single_effect(effects.SendErrorResponse)
    assert response.status in {502, 504}
    assert response.retry_after_seconds is None


def test_a_not_executed_guarantee_permits_another_worker() -> None:
    driver = awaiting_head().take(*REJECTED)
    assert driver.single_effect(effects.Report).status == 429
    assert driver.take(single_worker("w2", Stage.PLAIN)).has_effect(effects.Dispatch)


def test_a_final_response_to_a_request_never_executed_has_a_retry_after() -> None:
    rejected = events.DecisionRejected("circuits_open", 2.0)
    driver = MachineDriver(is_model=False).take(events.RequestStarted(), rejected)
    response = driver.single_effect(effects.SendErrorResponse)
    assert response.status == 503
    assert response.retry_after_seconds is not None
    assert response.retry_after_seconds >= 2.0


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_implies_a_guarantee_is_never_relayed_without_one(status: int) -> None:
    driver = awaiting_head().take(head(status))
    assert not driver.has_effect(effects.RelayResponse)
    assert driver.has_effect(effects.AbortConnection)


def test_a_rejected_prefill_decision_leads_to_decode_side_prefill() -> None:
    driver = MachineDriver().take(events.RequestStarted(), events.DecisionRejected("exhausted"))
    assert [
        candidates.stage for candidates in driver.single_effect(effects.ChooseWorkers).per_stage
    ] == [Stage.DECODE]


def test_a_long_prompt_is_rejected_instead_of_decode_side_prefill() -> None:
    long = MAX_DECODE_SIDE_TOKENS + 1
    driver = MachineDriver(prompt_tokens=long)
    driver.take(events.RequestStarted(), events.DecisionRejected("exhausted"))
    assert driver.single_effect(effects.SendErrorResponse).status == 503
    without_prefill_workers = MachineDriver(prompt_tokens=long, has_prefill_workers=False)
    assert without_prefill_workers.take(events.RequestStarted()).has_effect(effects.ChooseWorkers)


def test_a_decision_is_postponed_for_a_bounded_time() -> None:
    driver = MachineDriver().take(events.RequestStarted())
    driver.take(events.DecisionPostponed(0.3))
    assert driver.single_effect(effects.Wait).seconds == 0.3
    driver.now += 0.3
    again = driver.take(events.WaitElapsed()).single_effect(effects.ChooseWorkers)
    assert (again.attempt_id, again.may_wait) == ("r.2", True)
    driver.now += MAX_POSTPONED_SECONDS
    assert not driver.take(events.WaitElapsed()).single_effect(effects.ChooseWorkers).may_wait


def test_a_router_without_a_lease_dispatches_nothing() -> None:
    driver = MachineDriver().take(events.RequestStarted(), pair())
    driver.take(events.SendRefused(SendRefusal.NOT_FRESH))
    assert driver.single_effect(effects.SendErrorResponse).status == 503
    driver = MachineDriver().take(events.RequestStarted(), pair())
    driver.take(events.SendRefused(SendRefusal.WORKER_UNAVAILABLE))
    assert driver.has_effect(effects.ChooseWorkers)


def test_rounds_are_bounded() -> None:
    driver = MachineDriver(is_model=False).take(events.RequestStarted())
    for _ in range(MAX_ROUNDS - 1):
        driver.take(single_worker("w1", Stage.PLAIN), events.ConnectFailed())
        assert driver.has_effect(effects.ChooseWorkers)
    driver.take(single_worker("w1", Stage.PLAIN), events.ConnectFailed())
    assert driver.single_effect(effects.SendErrorResponse).reason == "no worker could be reached"


def test_a_broken_stream_is_resumed_with_the_same_weights_version() -> None:
    driver = awaiting_head(repetition=Repetition.RESUMED).take(head())
    driver.take(events.StreamBroken(is_resumable=True, last_event_id="5"))
    dispatch = driver.take(single_worker("w2", Stage.PLAIN)).single_effect(effects.Dispatch)
    assert (dispatch.last_event_id, dispatch.expected_version) == ("5", 7)


def test_a_broken_response_that_cannot_be_resumed_is_aborted() -> None:
    driver = awaiting_head(repetition=Repetition.WHOLE).take(head())
    driver.take(events.StreamBroken(is_resumable=False, last_event_id=""))
    assert driver.has_effect(effects.AbortResponse)
    assert isinstance(driver.effects[-1], effects.DisconnectCaller)


def test_the_deadline_aborts_a_begun_response_and_answers_504_otherwise() -> None:
    driver = awaiting_head().take(events.DeadlinePassed())
    assert driver.single_effect(effects.SendErrorResponse).status == 504
    assert driver.take(events.RequestClosed()).single_effect(effects.ReportRemaining).observed is (
        Observed.TIMED_OUT
    )
    streaming = awaiting_head().take(head(), events.DeadlinePassed())
    assert streaming.has_effect(effects.AbortResponse)
    assert not streaming.has_effect(effects.SendErrorResponse)


@pytest.mark.parametrize(
    ("sequence", "status"),
    [
        ((), 503),
        ((single_worker("w1", Stage.PLAIN),), 502),
        ((single_worker("w1", Stage.PLAIN), events.Dispatched()), 502),
        ((single_worker("w1", Stage.PLAIN), events.Dispatched(), *REJECTED), 503),
    ],
)
def test_an_internal_error_ends_a_request_with_a_final_response(
    sequence: tuple[events.ProxyEvent, ...], status: int
) -> None:
    """Guards against callers that get no answer, or a guarantee for a request that was sent."""
    driver = MachineDriver(is_model=False, max_attempts=3)
    driver.take(events.RequestStarted(), *sequence, events.InternalErrorOccurred())
    answer = driver.single_effect(effects.SendErrorResponse)
    assert answer.status == status
    assert (answer.retry_after_seconds is not None) == (status == 503)
    assert driver.single_effect(effects.ReportRemaining).observed is Observed.GATEWAY_FAULT
    assert driver.has_effect(effects.AbortConnection)
    assert not driver.take(events.InternalErrorOccurred()).effects


def test_an_internal_error_during_a_prefill_guarantees_not_executed_and_releases_the_cache() -> (
    None
):
    prefilling = MachineDriver().take(events.RequestStarted(), pair(), events.Dispatched())
    answer = prefilling.take(events.InternalErrorOccurred()).single_effect(
        effects.SendErrorResponse
    )
    assert answer.status == 503
    decoding = transferring().take(events.InternalErrorOccurred())
    assert decoding.single_effect(effects.SendErrorResponse).status == 502
    assert decoding.take(events.RequestClosed()).has_effect(effects.ReleaseHandle)


def test_an_internal_error_aborts_a_response_that_has_begun() -> None:
    streaming = awaiting_head().take(head(), events.InternalErrorOccurred())
    assert streaming.has_effect(effects.AbortResponse)
    assert not streaming.has_effect(effects.SendErrorResponse)


def test_the_cache_of_a_disconnected_caller_is_released() -> None:
    driver = transferring().take(events.RequestClosed())
    assert driver.single_effect(effects.ReportRemaining).observed is Observed.CLIENT_CANCELLED
    assert driver.has_effect(effects.ReleaseHandle)


def test_an_event_of_another_phase_is_ignored() -> None:
    driver = awaiting_head()
    assert not driver.take(events.WaitElapsed()).effects
    assert not driver.take(events.PrefillSucceeded("h", 1)).effects
    assert driver.take(head()).has_effect(effects.RelayResponse)
