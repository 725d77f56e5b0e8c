"""State of one request, and the steps shared by the transitions of :mod:`.request_machine`.

Each step returns instructions and sets the next phase of the request. The steps do not depend on
events: :mod:`.request_machine` selects the steps for each event.
"""

import math
from collections.abc import Sequence
from enum import StrEnum
from random import Random

import msgspec

from orchidpath.circuit.classification import AttemptObservation, Observed, classify
from orchidpath.routing.kv_transfer_evidence import (
    TransferEvidenceTable,
    TransferFailure,
    attempt_effects_of,
)
from orchidpath.routing.request import events
from orchidpath.routing.request.attempt_reports import (
    AttemptRecord,
    ReportBuffer,
    transfer_evidence,
)
from orchidpath.routing.request.decode import DecodeProgress
from orchidpath.routing.request.dispatch_log import DispatchLog
from orchidpath.routing.request.errors import (
    RequestFailure,
    no_candidates,
    out_of_budget,
    stream_broken,
)
from orchidpath.routing.request.events import RequestInstruction, RequestPlan
from orchidpath.routing.request.guards import NO_GUARD_DISABLED, Guard
from orchidpath.routing.request.retries import RetryState
from orchidpath.routing.retry_backoff import full_jitter
from orchidpath.routing.retry_budget import RetryBudget
from orchidpath.wire.backend import ErrorBody, Ran
from orchidpath.wire.messages import AttemptEffect
from orchidpath.wire.records import Stage

CANCEL_TIMEOUT_SECONDS = 1.0
"""Maximum wait for a worker's guarantee that a dispatch in doubt was not executed."""

DEADLINE_CHARGE_SHARE = 0.5
"""Share of the route's deadline after which an unfinished dispatch counts as a timeout.

At the deadline, a worker is charged only if its dispatch was running for at least this share.
"""

ATTEMPT_ID_BITS = 96
"""Length of a random attempt id, large enough to be unique in a fleet."""


class Phase(StrEnum):
    """Phase of a request in the state machine."""

    NEW = "new"
    DECIDING = "deciding"
    PREFILLING = "reading_prompt"
    DECODING = "decoding"
    STREAMING = "streaming"
    CALLING = "calling"
    CANCELLING = "cancelling"
    BACKING_OFF = "backing_off"
    ENDED = "ended"


class SharedRouting(msgspec.Struct, frozen=True, kw_only=True):
    """State that the requests of one router share.

    ``retry_budget`` is shared by the requests of one service only.
    """

    retry_budget: RetryBudget
    kv_transfer_evidence: TransferEvidenceTable
    random: Random


class RequestCore:
    """State of one request, and the steps that several transitions share.

    Parameters
    ----------
    plan
        The request.
    shared
        Retry budget of the request's service, KV transfer evidence and random number generator.
    disabled_guards
        Safety rules that are not enforced; for tests only.
    """

    def __init__(
        self,
        plan: RequestPlan,
        shared: SharedRouting,
        disabled_guards: frozenset[Guard] = NO_GUARD_DISABLED,
    ) -> None:
        self._plan = plan
        self._shared = shared
        self._disabled = disabled_guards
        self._phase = Phase.NEW
        self._dispatches = DispatchLog(plan.route)
        self._reports = ReportBuffer(plan.request_id, disabled_guards)
        self._retries = RetryState(plan, disabled_guards)
        self._attempt_id = ""
        self._attempt: AttemptRecord | None = None
        self._decode = self._new_decode()
        self._timer_number = 0
        self._sent_at = 0.0
        self._handle_expires_at = math.inf
        self._last_failure = no_candidates("no worker could serve this request")

    @property
    def phase(self) -> Phase:
        """Current phase of the request."""
        return self._phase

    @property
    def is_ended(self) -> bool:
        """Whether the request has ended, so that nothing more is sent to the caller."""
        return self._phase is Phase.ENDED

    def _next_attempt(self, now: float) -> list[RequestInstruction]:
        self._retries.attempts_made += 1
        self._attempt_id = f"{self._shared.random.getrandbits(ATTEMPT_ID_BITS):024x}"
        self._attempt = None
        self._decode = self._new_decode()
        self._handle_expires_at = math.inf
        self._phase = Phase.DECIDING
        return [
            events.RequestDecision(
                attempt_id=self._attempt_id, per_stage=self._retries.tried_per_stage(now)
            )
        ]

    def _new_decode(self) -> DecodeProgress:
        return DecodeProgress(
            self._plan.request_id, self._attempt_id, self._plan.streaming, self._disabled
        )

    def _record_dispatch(self, stage: Stage, now: float) -> str:
        # The dispatch is in doubt from here on: if the shell fails, it may have sent bytes before.
        worker_id = self._current().worker(stage)
        self._retries.record_dispatch(stage, worker_id)
        self._dispatches.add(self._attempt_id, worker_id, stage)
        self._sent_at = now
        return worker_id

    def _charge(
        self, stage: Stage, effect: AttemptEffect, error: ErrorBody | None, reason: str, now: float
    ) -> Sequence[RequestInstruction]:
        """Report a failed attempt; a failed KV transfer is charged as the evidence indicates."""
        attempt = self._current()
        evidence = transfer_evidence(error) if stage is Stage.DECODE else None
        if evidence is not None and not self._decode.is_kv_transferred:
            failure = TransferFailure(
                prefill_worker_id=attempt.worker(Stage.PREFILL),
                decode_worker_id=attempt.worker(Stage.DECODE),
                evidence=evidence,
                handle_expires_at=self._handle_expires_at,
            )
            verdict = self._shared.kv_transfer_evidence.record_failure(failure, now)
            return self._reports.report_kv_transfer(attempt, attempt_effects_of(verdict), reason)
        failed = self._reports.report(attempt, stage, effect, reason)
        if stage is Stage.DECODE:
            return [*failed, *self._reports.report_rest(attempt, AttemptEffect.SUCCESS, "read")]
        return [*failed, *self._report_neutral(attempt, "not used")]

    def _report_neutral(self, attempt: AttemptRecord, reason: str) -> Sequence[RequestInstruction]:
        """Report the unreported workers of an attempt without charging them."""
        return self._reports.report_rest(attempt, AttemptEffect.GATEWAY, reason)

    def _await_not_executed_guarantee(self, now: float) -> RequestInstruction:
        seconds = min(CANCEL_TIMEOUT_SECONDS, max(self._plan.deadline - now, 0.0))
        return self._timer(events.TimerKind.CANCEL, seconds, Phase.CANCELLING)

    def _cancel_instructions(self) -> Sequence[RequestInstruction]:
        """Cancel the dispatch that may still run, and free the KV cache of an unused prefill."""
        workers = []
        dispatch = self._dispatches.current
        if dispatch is not None and self._dispatches.is_in_doubt():
            workers.append(dispatch.worker_id)
        has_unused_prefill = dispatch is not None and dispatch.stage is Stage.DECODE
        if has_unused_prefill and not self._decode.is_kv_transferred:
            workers.append(self._current().worker(Stage.PREFILL))
        return [
            events.Cancel(
                worker_id=worker_id,
                attempt_id=self._attempt_id,
                timeout_seconds=CANCEL_TIMEOUT_SECONDS,
            )
            for worker_id in workers
        ]

    def _may_retry(self) -> bool:
        if Guard.GUARANTEE_BEFORE_RETRY in self._disabled:
            return True
        return self._dispatches.may_retry()

    def _start_retry(self, wait_seconds: float, now: float) -> list[RequestInstruction]:
        """Start a retry if all limits allow it, otherwise reject (paper, bounded retries)."""
        if not self._may_retry() or not self._retries.has_attempts_left():
            return self._reject(self._last_failure)
        if not self._retries.fits_deadline(wait_seconds, now):
            return self._reject(self._last_failure)
        budget = self._shared.retry_budget
        if not budget.try_spend(now) and Guard.RETRY_BUDGET not in self._disabled:
            failure = out_of_budget(self._last_failure.message, budget.retry_after(now))
            return self._reject(failure)
        if wait_seconds == 0.0:
            return self._next_attempt(now)
        return [self._timer(events.TimerKind.BACKOFF, wait_seconds, Phase.BACKING_OFF)]

    def _jitter(self) -> float:
        attempts_made = self._retries.attempts_made
        return full_jitter(attempts_made, self._plan.retry, self._shared.random)

    def _timer(self, kind: events.TimerKind, seconds: float, phase: Phase) -> RequestInstruction:
        self._phase = phase
        self._timer_number += 1
        return events.StartTimer(kind=kind, number=self._timer_number, seconds=seconds)

    def _charge_deadline(self, now: float) -> Sequence[RequestInstruction]:
        """Charge the worker of a dispatch that ran for a large part of the route's deadline.

        If the dispatch ran for less time, no worker is charged: the caller may have chosen a
        shorter deadline than the route allows.
        """
        dispatch = self._dispatches.current
        elapsed_seconds = now - self._sent_at
        allowed_seconds = DEADLINE_CHARGE_SHARE * self._plan.route.deadline_seconds
        if self._attempt is None or dispatch is None or elapsed_seconds < allowed_seconds:
            return ()
        effect = classify(AttemptObservation(observed=Observed.TIMED_OUT))
        return self._reports.report(self._attempt, dispatch.stage, effect, "held past the deadline")

    def _abort_attempt(self, reason: str) -> list[RequestInstruction]:
        """Abort the current attempt, and report its unreported workers as neutral."""
        if self._attempt is None:
            return []
        return [
            events.AbortExchange(attempt_id=self._attempt_id),
            *self._cancel_instructions(),
            *self._report_neutral(self._attempt, reason),
        ]

    def _reject(self, failure: RequestFailure) -> list[RequestInstruction]:
        self._phase = Phase.ENDED
        return [events.Reject(error=failure.body(self._plan.request_id, self._ran()))]

    def _break_stream(self, reason: str) -> RequestInstruction:
        self._phase = Phase.ENDED
        error = stream_broken(reason).body(self._plan.request_id, Ran.YES)
        return events.BreakStream(error=error)

    def _ran(self) -> Ran:
        return Ran.NO if Guard.ACCURATE_RAN in self._disabled else self._dispatches.ran()

    def _current(self) -> AttemptRecord:
        assert self._attempt is not None
        return self._attempt
