"""State of one forwarded request, and the steps that several transitions share.

A step returns effects and sets the phase of the request. Steps do not examine events;
:mod:`.proxy_machine` defines which event leads to which step.
"""

from enum import StrEnum

import msgspec

from orchidpath.circuit.classification import Observed
from orchidpath.forwarding.progress import (
    FailureKind,
    FailureOutcome,
    ForwardProgress,
    RetryAfterRange,
)
from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy.decision_rounds import DecisionRounds
from orchidpath.forwarding.proxy.prefill_path import PrefillPath
from orchidpath.forwarding.proxy.proxy_effects import ProxyEffect
from orchidpath.forwarding.proxy.proxy_events import (
    ChosenWorker,
    HeadReceived,
    ProxyPlan,
    ProxyShared,
)
from orchidpath.wire.records import Stage

RETRY_AFTER = RetryAfterRange()

BROKEN_OFF_OUTCOME = "broken_off"
"""Outcome in the metrics of a request whose response was aborted after it had begun."""

_STATUS_BY_OUTCOME = {
    FailureOutcome.NOT_EXECUTED: 503,
    FailureOutcome.BROKEN: 502,
    FailureOutcome.TIMED_OUT: 504,
}


class ProxyPhase(StrEnum):
    """Phase of a forwarded request."""

    NEW = "new"
    """The request has not been started."""
    CHOOSING = "choosing"
    """Workers are being selected; no part of a response has reached the caller."""
    PREFILLING = "prefilling"
    """The prefill is dispatched to a prefill worker; the KV cache is not available yet."""
    TRANSFERRING = "transferring"
    """A decode worker fetches the KV cache; its response shows whether the transfer succeeded."""
    AWAITING_HEAD = "awaiting_head"
    """A worker is to execute the complete request, and has not responded yet."""
    STREAMING = "streaming"
    """The head of a response has reached the caller; its body follows."""
    RESUMING = "resuming"
    """A stream was interrupted; another worker is being selected to resume it."""
    DONE = "done"
    """The caller has received a final response, or will not receive one."""


class ResponseState(msgspec.Struct):
    """State of the response to the caller, and whether another worker can resume it.

    ``weights_version`` is the weights version that began the response. ``last_event_id`` is the id
    of the last event that was relayed, and is empty before the first event.
    """

    has_started: bool = False
    weights_version: int | None = None
    is_resumable: bool = False
    last_event_id: str = ""


class ProxyCore:
    """State of one forwarded request, and the steps that several transitions share.

    Parameters
    ----------
    plan
        Properties of the request.
    shared
        Retry budget, random generator, and availability of prefill workers.
    """

    def __init__(self, plan: ProxyPlan, shared: ProxyShared) -> None:
        self._plan = plan
        self._shared = shared
        self._phase = ProxyPhase.NEW
        self._progress = ForwardProgress(plan.route, shared.retry_budget, plan.deadline)
        self._rounds = DecisionRounds(plan.request_id)
        self._prefill = PrefillPath(plan, shared.has_prefill_workers)
        self._response = ResponseState()
        self._chosen_for_request: ChosenWorker | None = None
        self._target: ChosenWorker | None = None
        self._dispatched_at = 0.0
        self._prefill_timeout_at = 0.0
        self._head: HeadReceived | None = None

    def _next_round(self, now: float) -> list[ProxyEffect]:
        if not self._rounds.begin():
            return self._end_with_error("no worker could be reached")
        has_started = self._response.has_started
        prefills = self._prefill.charge_prefill_round(self._progress, now)
        if not prefills and not self._prefill.may_prefill_on_decode(has_started=has_started):
            return self._end_with_error("the prompt can't be read now")
        self._phase = ProxyPhase.RESUMING if has_started else ProxyPhase.CHOOSING
        pending = self._prefill.pending
        prefill_worker_id = pending.chosen.worker.worker_id if pending is not None else ""
        return [self._rounds.choose(self._stages(prefills), prefill_worker_id, now)]

    def _stages(self, prefills: bool) -> tuple[Stage, ...]:
        if not self._plan.is_model:
            return (Stage.PLAIN,)
        return (Stage.PREFILL, Stage.DECODE) if prefills else (Stage.DECODE,)

    def _dispatch_prefill(self, target: ChosenWorker, now: float) -> list[ProxyEffect]:
        self._phase = ProxyPhase.PREFILLING
        self._target = target
        seconds = self._progress.prefill_timeout_seconds(now, target.expected_prefill_seconds)
        self._prefill_timeout_at = now + seconds
        dispatch = effects.Dispatch(
            target=target,
            deadline_seconds=self._progress.time_left(now),
            # Only prefills have a priority: at a decode worker, requests of a higher priority
            # would preempt running streams.
            priority=self._plan.route.priority,
            is_prefill=True,
            timeout_at=self._prefill_timeout_at,
        )
        return [dispatch]

    def _dispatch_request(self, now: float) -> list[ProxyEffect]:
        target = self._chosen_for_request
        assert target is not None
        self._target = target
        if not self._progress.may_dispatch(target.worker.worker_id, now):
            unused = effects.Report(target, Observed.GATEWAY_FAULT)
            return [unused, *self._end_with_error("no further attempt is allowed")]
        pending = self._prefill.pending
        self._phase = ProxyPhase.AWAITING_HEAD if pending is None else ProxyPhase.TRANSFERRING
        version = pending.weights_version if pending is not None else None
        dispatch = effects.Dispatch(
            target=target,
            deadline_seconds=self._progress.time_left(now),
            kv_source=pending.source if pending is not None else None,
            expected_version=self._response.weights_version if version is None else version,
            last_event_id=self._response.last_event_id,
        )
        return [dispatch]

    def _prefill_failed(
        self, observed: Observed, status: int | None, now: float
    ) -> list[ProxyEffect]:
        reports = [
            self._report_failed(observed, status),
            effects.ReportRemaining(Observed.GATEWAY_FAULT),
        ]
        if not self._progress.has_workers_left():
            # The decode worker can prefill the prompt itself, which uses no further worker.
            self._prefill.disable_prefill_stage()
        return [*reports, *self._next_round(now)]

    def _execution_in_doubt(
        self, kind: FailureKind, observed: Observed, status: int | None, now: float
    ) -> list[ProxyEffect]:
        """Process a failure after which the request may have executed or may still execute."""
        self._progress.record_dispatch_failure(kind)
        reports = [self._report_failed(observed, status), *self._report_transferred()]
        self._prefill.discard_cache(has_workers_left=self._progress.has_workers_left())
        return [*reports, *self._retry_or_abort(now)]

    def _retry_or_abort(self, now: float) -> list[ProxyEffect]:
        """Begin the next round after a failure, or abort a response that can't be resumed."""
        if not self._response.has_started:
            return self._next_round(now)
        if self._response.is_resumable and self._progress.has_workers_left():
            return self._next_round(now)
        self._phase = ProxyPhase.DONE
        return [effects.AbortResponse(), effects.AbortConnection(), effects.DisconnectCaller()]

    def _end_with_error(self, reason: str, retry_after_seconds: float = 0.0) -> list[ProxyEffect]:
        """End the request with an error response, or abort a response that has begun."""
        self._phase = ProxyPhase.DONE
        if self._response.has_started:
            return [effects.AbortResponse(), effects.CountOutcome(BROKEN_OFF_OUTCOME)]
        outcome = self._progress.failure_outcome()
        seconds = None
        if outcome is FailureOutcome.NOT_EXECUTED:
            seconds = RETRY_AFTER.seconds(self._shared.random.random(), retry_after_seconds)
        answer = effects.SendErrorResponse(_STATUS_BY_OUTCOME[outcome], reason, seconds)
        return [effects.CountOutcome(outcome.value), answer]

    def _current_target(self) -> ChosenWorker:
        assert self._target is not None
        return self._target

    def _report_failed(self, observed: Observed, status: int | None = None) -> ProxyEffect:
        """Report a failure of the current worker, and prefer other workers from now on."""
        chosen = self._current_target()
        self._rounds.record_tried(chosen)
        return effects.Report(chosen, observed, status)

    def _report_transferred(self) -> list[ProxyEffect]:
        """Report success for a prefill whose KV cache was, or may have been, transferred."""
        pending = self._prefill.pending
        return [] if pending is None else [effects.Report(pending.chosen, Observed.SUCCESS)]

    def _release_handle(self) -> list[ProxyEffect]:
        pending = self._prefill.take_pending()
        if pending is None or self._response.has_started:
            return []
        return [effects.ReleaseHandle(pending.source)]
