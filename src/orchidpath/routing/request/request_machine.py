"""The state machine of one request: attempts, retries, the commit rule and at-most-once.

Pure: events and the time come in, instructions go out. ``_TRANSITIONS`` at the end lists what each
phase takes; an event that its phase does not take, or that belongs to an earlier attempt, is late
or crossed and changes nothing.

Rules and where they come from:

- each eligible worker once before reuse, full jitter between transient retries, commit at the
  first content frame, no retry after it, one transient failure a worker (paper, "Circuit breakers
  and bounded retries");
- a call that may not be repeated is sent again only when no earlier dispatch of it can run, and
  ``ran=no`` is only said when that is so (brief, "What must never happen");
- an attempt has its own id, and a handle is used by the attempt whose prefill gave it and no other.
"""

from collections.abc import Callable, Sequence
from typing import Any

from orchidpath.circuit.classification import AttemptObservation, Observed, classify
from orchidpath.routing.request import events
from orchidpath.routing.request.attempt_reports import AttemptRecord
from orchidpath.routing.request.core import Phase, RequestCore
from orchidpath.routing.request.decode import OBSERVED_BY_VERDICT
from orchidpath.routing.request.dispatch_log import DispatchState
from orchidpath.routing.request.errors import (
    DEADLINE_PASSED,
    denied,
    failed_attempt,
    no_candidates,
    not_fresh,
)
from orchidpath.routing.request.events import RequestInstruction
from orchidpath.routing.request.guards import Guard
from orchidpath.routing.stream import StreamVerdict
from orchidpath.wire.backend import CacheHandle, DecodeFrame, ErrorBody, ErrorCode, FrameKind, Ran
from orchidpath.wire.messages import AttemptEffect, Rejection
from orchidpath.wire.records import Stage

_WAIT_BEFORE_RETRY = frozenset({AttemptEffect.TRANSIENT, AttemptEffect.THROTTLE})
"""Effects after which an immediate retry would only add to the load."""


class RequestMachine(RequestCore):
    """Decides everything about one request; see the module's documentation.

    Parameters
    ----------
    plan
        The request.
    shared
        Retry budget of the request's service, KV transfer evidence and randomness.
    disabled_guards
        For tests only: safety rules to leave out.
    """

    def handle(self, event: events.RequestEvent, now: float) -> list[RequestInstruction]:
        """Take one event.

        Parameters
        ----------
        event
            What happened.
        now
            Monotonic seconds.

        Returns
        -------
        list of RequestInstruction
            To be carried out in this order.
        """
        transition = _TRANSITIONS.get((self._phase, type(event)))
        if transition is None or self._is_late(event):
            return []
        return transition(self, event, now)

    def _is_late(self, event: events.RequestEvent) -> bool:
        if Guard.EVENTS_OF_THIS_ATTEMPT in self._disabled:
            return False
        if isinstance(event, events.TimerElapsed):
            return event.number != self._timer_number
        return getattr(event, "attempt_id", self._attempt_id) != self._attempt_id

    # Decisions

    def _start(self, _event: events.Admitted, now: float) -> list[RequestInstruction]:
        self._shared.retry_budget.record_first_attempt(now)
        return self._next_attempt(now)

    def _shed(self, event: events.AdmissionRejected, _now: float) -> list[RequestInstruction]:
        self._phase = Phase.ENDED
        return [events.Reject(error=event.error)]

    def _decided(self, event: events.DecisionMade, now: float) -> list[RequestInstruction]:
        attempt = AttemptRecord.of(event.attempt_id, event.reply.choices)
        if (
            event.reply.rejection is not Rejection.NONE
            or set(attempt.choices) != self._retries.stages
        ):
            return [*self._neutral(attempt, "not used"), *self._reject(denied(event.reply))]
        self._attempt = attempt
        if self._plan.is_model:
            self._phase = Phase.PREFILLING
            worker_id = self._record_dispatch(Stage.PREFILL, now)
            return [events.SendPrefill(worker_id=worker_id, attempt_id=self._attempt_id)]
        self._phase = Phase.CALLING
        worker_id = self._record_dispatch(Stage.PLAIN, now)
        return [events.SendCall(worker_id=worker_id, attempt_id=self._attempt_id)]

    def _no_candidates(self, event: events.NoCandidates, now: float) -> list[RequestInstruction]:
        wait_seconds = self._retries.seconds_until_a_worker_returns(now)
        if wait_seconds is not None and self._retries.fits_deadline(wait_seconds, now):
            # Nothing was sent: the retry that was granted for this attempt is still to be made.
            self._retries.attempts_made -= 1
            return [self._timer(events.TimerKind.BACKOFF, wait_seconds, Phase.BACKING_OFF)]
        if self._retries.attempts_made > 1:
            return self._reject(self._give_up)
        return self._reject(no_candidates(event.reason))

    def _decided_too_late(
        self, event: events.DecisionMade, _now: float
    ) -> list[RequestInstruction]:
        # The leader has registered an attempt that will never be sent: free its marks.
        attempt = AttemptRecord.of(event.attempt_id, event.reply.choices)
        return [*self._neutral(attempt, "request ended")]

    # Orders

    def _send_refused(self, event: events.SendRefused, now: float) -> list[RequestInstruction]:
        self._dispatches.resolve(DispatchState.NEVER_LEFT)
        instructions = [*self._cancels(), *self._neutral(self._current(), event.refusal.value)]
        if event.refusal is events.SendRefusal.NOT_FRESH:
            return [*instructions, *self._reject(not_fresh(event.retry_after_seconds))]
        self._give_up = failed_attempt(AttemptEffect.GATEWAY, "the worker is unavailable", None)
        return [*instructions, *self._start_retry(0.0, now)]

    def _prompt_read(self, event: events.PrefillSucceeded, now: float) -> list[RequestInstruction]:
        if not self._is_own_handle(event.request_id, event.handle):
            return self._crossed(Stage.PREFILL, now)
        self._dispatches.resolve(DispatchState.COMPLETED)
        self._handle_expires_at = now + event.handle.expires_in_seconds
        self._shared.kv_transfer_evidence.record_reached(self._current().worker(Stage.PREFILL))
        self._phase = Phase.DECODING
        worker_id = self._record_dispatch(Stage.DECODE, now)
        dispatch = events.SendDecode(
            worker_id=worker_id, attempt_id=self._attempt_id, handle=event.handle
        )
        return [dispatch]

    def _is_own_handle(self, request_id: str, handle: CacheHandle) -> bool:
        if Guard.HANDLE_BOUND_TO_ATTEMPT in self._disabled:
            return True
        bound_to = (handle.request_id, handle.attempt_id, handle.worker_id)
        worker_id = self._current().worker(Stage.PREFILL)
        expected = (self._plan.request_id, self._attempt_id, worker_id)
        return request_id == self._plan.request_id and bound_to == expected

    # Results

    def _frame(self, event: events.DecodeFrameReceived, now: float) -> list[RequestInstruction]:
        verdict = self._decode.check(event.frame)
        if verdict.is_broken:
            return self._broken_stream(verdict, now)
        if event.frame.kind is FrameKind.ERROR:
            return self._error_frame(event.frame, now)
        reports: Sequence[RequestInstruction] = ()
        if self._decode.observe(event.frame):
            reports = self._kv_transferred(now)
        relayed = self._relay(event.frame)
        if verdict is not StreamVerdict.COMPLETE:
            return [*reports, *relayed]
        return [*reports, *relayed, *self._complete(None)]

    def _relay(self, frame: DecodeFrame) -> Sequence[RequestInstruction]:
        was_committed = self._decode.is_committed
        frames = self._decode.frames_to_relay(frame)
        if was_committed:
            return (events.Relay(frames=frames),)
        if not self._decode.is_committed:
            return ()
        self._phase = Phase.STREAMING
        return (events.Commit(), events.Relay(frames=frames))

    def _kv_transferred(self, now: float) -> Sequence[RequestInstruction]:
        attempt = self._current()
        prefill, decode = attempt.worker(Stage.PREFILL), attempt.worker(Stage.DECODE)
        self._shared.kv_transfer_evidence.record_success(prefill, decode, now)
        return self._reports.report(attempt, Stage.PREFILL, AttemptEffect.SUCCESS, "handed over")

    def _called(self, event: events.CallReplied, now: float) -> list[RequestInstruction]:
        echo = (event.replied_request_id, event.replied_attempt_id)
        if echo != (self._plan.request_id, self._attempt_id):
            return self._crossed(Stage.PLAIN, now)
        return [events.Commit(), *self._complete(event.body)]

    def _complete(self, body: bytes | None) -> Sequence[RequestInstruction]:
        self._dispatches.resolve(DispatchState.COMPLETED)
        self._phase = Phase.ENDED
        reports = self._reports.report_rest(self._current(), AttemptEffect.SUCCESS, "completed")
        return [*reports, events.Finish(body=body)]

    # Failures

    def _decode_ended(self, _event: events.DecodeEnded, now: float) -> list[RequestInstruction]:
        if Guard.EXPLICIT_TERMINAL in self._disabled:
            return [*self._complete(None)]
        return self._broken_stream(self._decode.end(), now)

    def _broken_stream(self, verdict: StreamVerdict, now: float) -> list[RequestInstruction]:
        observation = AttemptObservation(observed=OBSERVED_BY_VERDICT[verdict])
        return self._fail(Stage.DECODE, observation, f"stream: {verdict.value}", None, now)

    def _crossed(self, stage: Stage, now: float) -> list[RequestInstruction]:
        observation = AttemptObservation(observed=Observed.WRONG_ATTEMPT_ECHO)
        return self._fail(stage, observation, "the answer belongs to another attempt", None, now)

    def _error_frame(self, frame: DecodeFrame, now: float) -> list[RequestInstruction]:
        error = frame.error
        code = error.code if error is not None else None
        reason = error.message if error is not None else "an error frame without an error"
        self._accept_not_executed_guarantee(error, frame.attempt_id)
        observation = AttemptObservation(observed=Observed.REFUSED, error_code=code)
        return self._fail(Stage.DECODE, observation, reason, error, now)

    def _attempt_failed(self, event: events.AttemptFailed, now: float) -> list[RequestInstruction]:
        dispatch = self._dispatches.current
        assert dispatch is not None
        if event.dispatch_left:
            self._accept_not_executed_guarantee(event.error, event.echoed_attempt_id)
        else:
            self._dispatches.resolve(DispatchState.NEVER_LEFT)
        if dispatch.stage is Stage.PREFILL and not event.dispatch_left:
            self._shared.kv_transfer_evidence.record_unreachable(dispatch.worker_id, now)
        return self._fail(dispatch.stage, event.observation, event.reason, event.error, now)

    def _accept_not_executed_guarantee(
        self, error: ErrorBody | None, echoed_attempt_id: str
    ) -> None:
        """Resolve the dispatch if the error guarantees that this very attempt was not executed."""
        if error is None or error.ran is not Ran.NO or self._decode.has_content:
            return
        named = {echoed_attempt_id, error.attempt_id or echoed_attempt_id}
        if named == {self._attempt_id} or Guard.ECHO_CHECKED_GUARANTEE in self._disabled:
            self._dispatches.resolve(DispatchState.NOT_EXECUTED_GUARANTEED)

    def _fail(
        self,
        stage: Stage,
        observation: AttemptObservation,
        reason: str,
        error: ErrorBody | None,
        now: float,
    ) -> list[RequestInstruction]:
        effect = classify(observation)
        retry_after_seconds = error.retry_after_seconds if error is not None else None
        self._give_up = failed_attempt(effect, reason, retry_after_seconds)
        worker_id = self._current().worker(stage)
        self._retries.record_attempt_failure(worker_id, effect, retry_after_seconds, now)
        instructions: list[RequestInstruction] = [
            events.AbortExchange(attempt_id=self._attempt_id),
            *self._charge(stage, effect, error, reason, now),
            *self._cancels(),
        ]
        # Nothing may be sent again once content has reached the caller (paper, commit rule).
        if self._phase is Phase.STREAMING and Guard.NO_RETRY_AFTER_COMMIT not in self._disabled:
            return [*instructions, self._break_stream(reason)]
        in_doubt = self._dispatches.is_in_doubt() and not self._may_retry()
        if in_doubt and self._dispatches.would_guarantee_allow_retry():
            return [*instructions, self._await_not_executed_guarantee(now)]
        is_handle_expiry = error is not None and error.code is ErrorCode.HANDLE_EXPIRED
        wait_seconds = 0.0
        if effect in _WAIT_BEFORE_RETRY or is_handle_expiry:
            # Handles expire all at once: without the jitter the prefills would come at once, too.
            wait_seconds = self._jitter()
        return [*instructions, *self._start_retry(wait_seconds, now)]

    # Cancellation

    def _cancel_answered(
        self, event: events.CancelAnswered, now: float
    ) -> list[RequestInstruction]:
        dispatch = self._dispatches.current
        assert dispatch is not None
        # The prefill worker's answer about the same attempt says nothing about the decode.
        is_dispatched_worker = event.worker_id == dispatch.worker_id
        if (
            not is_dispatched_worker
            and Guard.GUARANTEE_OF_THE_DISPATCHED_WORKER not in self._disabled
        ):
            return []
        if event.ran is not Ran.NO or not self._may_know(event):
            return self._reject(self._give_up)
        self._dispatches.resolve(DispatchState.NOT_EXECUTED_GUARANTEED)
        return self._start_retry(self._jitter(), now)

    def _may_know(self, event: events.CancelAnswered) -> bool:
        if Guard.GUARANTEE_OF_THE_SAME_INCARNATION in self._disabled:
            return True
        return event.is_same_incarnation

    def _cancel_unanswered(
        self, _event: events.TimerElapsed, _now: float
    ) -> list[RequestInstruction]:
        return self._reject(self._give_up)

    # Retries

    def _backed_off(self, _event: events.TimerElapsed, now: float) -> list[RequestInstruction]:
        return self._next_attempt(now)

    # Ends

    def _deadline_passed(
        self, _event: events.DeadlinePassed, now: float
    ) -> list[RequestInstruction]:
        # The deadline bounds the time to the commit; after it only a stall ends a stream.
        if self._phase is Phase.STREAMING:
            return []
        charged = self._charge_deadline(now)
        return [*charged, *self._drop("deadline passed"), *self._reject(DEADLINE_PASSED)]

    def _client_disconnected(
        self, _event: events.ClientDisconnected, _now: float
    ) -> list[RequestInstruction]:
        instructions = self._drop("client gone")
        self._phase = Phase.ENDED
        return instructions


_Transition = Callable[[RequestMachine, Any, float], list[RequestInstruction]]

_TRANSITIONS: dict[tuple[Phase, type], _Transition] = {
    (Phase.NEW, events.Admitted): RequestMachine._start,
    (Phase.NEW, events.AdmissionRejected): RequestMachine._shed,
    (Phase.DECIDING, events.DecisionMade): RequestMachine._decided,
    (Phase.DECIDING, events.NoCandidates): RequestMachine._no_candidates,
    (Phase.PREFILLING, events.SendRefused): RequestMachine._send_refused,
    (Phase.PREFILLING, events.PrefillSucceeded): RequestMachine._prompt_read,
    (Phase.PREFILLING, events.AttemptFailed): RequestMachine._attempt_failed,
    (Phase.DECODING, events.SendRefused): RequestMachine._send_refused,
    (Phase.DECODING, events.DecodeFrameReceived): RequestMachine._frame,
    (Phase.DECODING, events.DecodeEnded): RequestMachine._decode_ended,
    (Phase.DECODING, events.AttemptFailed): RequestMachine._attempt_failed,
    (Phase.STREAMING, events.DecodeFrameReceived): RequestMachine._frame,
    (Phase.STREAMING, events.DecodeEnded): RequestMachine._decode_ended,
    (Phase.STREAMING, events.AttemptFailed): RequestMachine._attempt_failed,
    (Phase.CALLING, events.SendRefused): RequestMachine._send_refused,
    (Phase.CALLING, events.CallReplied): RequestMachine._called,
    (Phase.CALLING, events.AttemptFailed): RequestMachine._attempt_failed,
    (Phase.CANCELLING, events.CancelAnswered): RequestMachine._cancel_answered,
    (Phase.CANCELLING, events.TimerElapsed): RequestMachine._cancel_unanswered,
    (Phase.BACKING_OFF, events.TimerElapsed): RequestMachine._backed_off,
    (Phase.ENDED, events.DecisionMade): RequestMachine._decided_too_late,
    **{
        (phase, events.DeadlinePassed): RequestMachine._deadline_passed
        for phase in Phase
        if phase is not Phase.ENDED
    },
    **{
        (phase, events.ClientDisconnected): RequestMachine._client_disconnected
        for phase in Phase
        if phase is not Phase.ENDED
    },
}
