"""Simulated back ends: the emulated model workers and plain services, in virtual time."""

from collections.abc import Callable

import msgspec

from orchidpath.emulators.backend.answers import expected_call_body
from orchidpath.emulators.backend.backend_core import AttemptDispatch
from orchidpath.emulators.backend.injected_faults import FaultKind
from orchidpath.emulators.worker.engine_model import (
    decode_interval_seconds,
    prefill_seconds,
)
from orchidpath.emulators.worker.frames import StreamPlan, decode_frames
from orchidpath.emulators.worker.kv_cache import HandleVerdict
from orchidpath.simulation.requests.backend_dispatches import (
    StreamProgress,
    call_dispatch,
    claim_of,
    complete_reply,
    decode_dispatch,
    prefill_dispatch,
)
from orchidpath.simulation.requests.backend_process import TIMING, BackendProcess
from orchidpath.simulation.requests.cache_pull import CachePull
from orchidpath.simulation.requests.exchange_messages import (
    CacheMoved,
    CancelAttempt,
    EndOfBody,
    HttpError,
    HttpReply,
    PullCache,
    StreamHead,
)
from orchidpath.simulation.requests.exchanges import Exchange
from orchidpath.wire.backend import (
    CacheHandle,
    CallReply,
    CallRequest,
    DecodeFrame,
    DecodeRequest,
    ErrorBody,
    ErrorCode,
    FrameKind,
    PrefillReply,
    PrefillRequest,
    Ran,
)

DARK_POLL_SECONDS = 0.1
CALL_SECONDS = 0.05

_DENIALS = {
    HandleVerdict.EXPIRED: ErrorCode.HANDLE_EXPIRED,
    HandleVerdict.MISMATCH: ErrorCode.HANDLE_MISMATCH,
}


class SimulatedBackend(BackendProcess):
    """Simulated back end that admits attempts, executes them and injects faults."""

    def accept(self, exchange: Exchange, message: object) -> None:
        """Handle a request that arrives on an exchange.

        While the fault GO_DARK is active, requests other than KV transfers wait for its end.
        """
        if self.is_dark() and not isinstance(message, PullCache):
            self.after(DARK_POLL_SECONDS, lambda: self.accept(exchange, message))
            return
        match message:
            case PrefillRequest():
                self._admit(exchange, prefill_dispatch(message), self._start_prefill)
            case DecodeRequest():
                dispatch = decode_dispatch(message)
                self.history.handle_presented(dispatch, message.handle)
                self._admit(
                    exchange,
                    dispatch,
                    lambda opened, admitted: self._pull(opened, admitted, message),
                )
            case CallRequest():
                self._admit(exchange, call_dispatch(message), self._call)
            case CancelAttempt():
                self._cancel(exchange, message)
            case PullCache():
                self._transfer_kv(exchange, message)
            case _:
                pass

    def _admit(
        self,
        exchange: Exchange,
        dispatch: AttemptDispatch,
        work: Callable[[Exchange, AttemptDispatch], None],
    ) -> None:
        refuse_all = self.faults.take(FaultKind.REFUSE_ALL, self.now) is not None
        refusal = self.core.admit(dispatch, self.now, refuse_all)
        if refusal is not None:
            if refusal.code is ErrorCode.OVERLOADED:
                refusal = msgspec.structs.replace(
                    refusal, retry_after_seconds=self.retry_after_seconds
                )
            self._reject(exchange, dispatch, refusal)
            return
        work(exchange, dispatch)

    def _begin(self, exchange: Exchange, dispatch: AttemptDispatch) -> bool:
        if self.core.start(dispatch, self.now):
            self.history.check_execution(self.record.incarnation, dispatch)
            return True
        ran = self.core.attempts.ran(dispatch.attempt_id, dispatch.phase)
        error = self.core.error(
            dispatch, ErrorCode.ATTEMPT_REFUSED, "cancelled before it started", ran
        )
        self._fail_attempt(exchange, dispatch, error)
        return False

    def _reject(self, exchange: Exchange, dispatch: AttemptDispatch, error: ErrorBody) -> None:
        exchange.answer(HttpError(echoed_attempt_id=dispatch.attempt_id, error=error))
        exchange.answer(EndOfBody())

    def _fail_attempt(
        self, exchange: Exchange, dispatch: AttemptDispatch, error: ErrorBody
    ) -> None:
        self.core.leave(dispatch, self.now)
        self._reject(exchange, dispatch, error)

    def _cancel(self, exchange: Exchange, message: CancelAttempt) -> None:
        reply = self.core.cancel(message.attempt_id, self.now)
        self.handles.release(message.attempt_id)
        exchange.answer(HttpReply(echoed_attempt_id=message.attempt_id, reply=reply))

    def _call(self, exchange: Exchange, dispatch: AttemptDispatch) -> None:
        if not self._begin(exchange, dispatch):
            return
        seconds = self.environment.random.uniform(0.5, 2.0) * CALL_SECONDS
        seconds *= self.faults.factor(FaultKind.SLOW, self.now)

        def reply(sender: AttemptDispatch) -> HttpReply:
            body = expected_call_body(sender.request_id, "POST", "/")
            return complete_reply(
                sender,
                CallReply(
                    request_id=sender.request_id,
                    attempt_id=sender.attempt_id,
                    body=msgspec.Raw(body),
                ),
            )

        self.after(seconds, lambda: self._answer(exchange, dispatch, reply))

    def _start_prefill(self, exchange: Exchange, dispatch: AttemptDispatch) -> None:
        if not self._begin(exchange, dispatch):
            return
        prompt_tokens = self.environment.random.choice((20, 100, 400))
        seconds = prefill_seconds(TIMING, prompt_tokens, 0)
        seconds *= self.faults.factor(FaultKind.SLOW, self.now)

        def reply(sender: AttemptDispatch) -> HttpReply:
            handle = self._issue(dispatch, prompt_tokens)
            return complete_reply(
                sender,
                PrefillReply(
                    request_id=sender.request_id,
                    attempt_id=sender.attempt_id,
                    handle=handle,
                    cached_tokens=0,
                ),
            )

        self.after(seconds, lambda: self._answer(exchange, dispatch, reply))

    def _answer(
        self,
        exchange: Exchange,
        dispatch: AttemptDispatch,
        reply: Callable[[AttemptDispatch], HttpReply],
        is_late: bool = False,
    ) -> None:
        late = self.faults.take(FaultKind.ANSWER_LATE, self.now)
        if late is not None and not is_late:
            self.after(
                late.delay_seconds, lambda: self._answer(exchange, dispatch, reply, is_late=True)
            )
            return
        if self.core.attempts.is_cancelled(dispatch.attempt_id):
            error = self.core.error(dispatch, ErrorCode.ATTEMPT_REFUSED, "cancelled", Ran.YES)
            self._fail_attempt(exchange, dispatch, error)
            return
        error_or_none = self._failure(dispatch)
        if error_or_none is not None:
            self._fail_attempt(exchange, dispatch, error_or_none)
            return
        self.core.leave(dispatch, self.now)
        if self.faults.take(FaultKind.TRUNCATE, self.now) is not None:
            exchange.close_server()
            return
        exchange.answer(reply(self._answer_identity(dispatch)))

    def _failure(self, dispatch: AttemptDispatch) -> ErrorBody | None:
        """Return the injected failure of work that has been executed, or None."""
        if self.foreign_guarantees > 0:
            # The error guarantees ran=no for another attempt, as if an intermediary had mixed up
            # two responses.
            self.foreign_guarantees -= 1
            error = self.core.error(dispatch, ErrorCode.INTERNAL, "not run", Ran.NO)
            return msgspec.structs.replace(error, attempt_id=f"{dispatch.attempt_id}-other")
        if self.faults.take(FaultKind.FAIL_NEXT, self.now) is not None:
            return self.core.error(dispatch, ErrorCode.INTERNAL, "injected failure", Ran.UNKNOWN)
        return None

    def _answer_identity(self, dispatch: AttemptDispatch) -> AttemptDispatch:
        if self.faults.take(FaultKind.WRONG_ATTEMPT_ECHO, self.now) is None:
            return dispatch
        return msgspec.structs.replace(
            dispatch,
            request_id=f"{dispatch.request_id}-other",
            attempt_id=f"{dispatch.attempt_id}-other",
        )

    def _issue(self, dispatch: AttemptDispatch, prompt_tokens: int) -> CacheHandle:
        handle_id = self.handles.issue(
            dispatch.request_id, dispatch.attempt_id, prompt_tokens, self.now
        )
        handle = CacheHandle(
            handle_id=handle_id,
            request_id=dispatch.request_id,
            attempt_id=dispatch.attempt_id,
            worker_id=self.address,
            incarnation=self.record.incarnation,
            url=self.record.url,
            prompt_tokens=prompt_tokens,
            expires_in_seconds=TIMING.handle_lifetime_seconds,
        )
        self.history.handle_issued(handle)
        former, self.last_handle = self.last_handle, handle
        if self.foreign_handles > 0 and former is not None:
            self.foreign_handles -= 1
            return former
        return handle

    def _transfer_kv(self, exchange: Exchange, message: PullCache) -> None:
        answer = self.handles.take(message.claim, self.now)
        if answer.verdict is HandleVerdict.GRANTED:
            self.history.handle_granted(message.claim)
            seconds = 0.01 * self.faults.factor(FaultKind.SLOW_LINK, self.now)
            self.after(seconds, lambda: exchange.answer(CacheMoved(claim=message.claim)))
            return
        error = ErrorBody(
            code=_DENIALS[answer.verdict], message=f"handle {answer.verdict}", ran=Ran.NO
        )
        exchange.answer(HttpError(echoed_attempt_id="", error=error))

    def _pull(self, exchange: Exchange, dispatch: AttemptDispatch, message: DecodeRequest) -> None:
        def done(failure: ErrorCode | None) -> None:
            if failure is None:
                self._decode(exchange, dispatch, message.max_tokens)
                return
            prefill = message.handle.worker_id
            if self._is_link_partitioned(prefill):
                self.history.kv_transfer_failed(dispatch.attempt_id, prefill, self.address)
            error = self.core.refuse(dispatch, failure, "KV transfer failed", self.now)
            self._fail_attempt(exchange, dispatch, error)

        CachePull(self, self.exchanges, done).start(
            claim_of(dispatch, message.handle),
            message.handle.worker_id,
            TIMING.transfer_timeout_seconds,
        )

    def _is_link_partitioned(self, other: str) -> bool:
        partitioned_links = self.environment.partitioned_links
        return (self.address, other) in partitioned_links or (
            other,
            self.address,
        ) in partitioned_links

    def _decode(self, exchange: Exchange, dispatch: AttemptDispatch, max_tokens: int) -> None:
        if not self._begin(exchange, dispatch):
            return
        late = self.faults.take(FaultKind.ANSWER_LATE, self.now)
        seconds = late.delay_seconds if late is not None else 0.0
        self.after(seconds, lambda: self._stream(exchange, dispatch, max_tokens))

    def _stream(self, exchange: Exchange, dispatch: AttemptDispatch, max_tokens: int) -> None:
        failure = self._failure(dispatch)
        if failure is not None:
            self._fail_attempt(exchange, dispatch, failure)
            return
        sender = self._answer_identity(dispatch)
        gap = self.faults.take(FaultKind.SEQUENCE_GAP, self.now)
        plan = StreamPlan(
            request_id=sender.request_id,
            attempt_id=sender.attempt_id,
            max_tokens=max_tokens,
            tokens_per_frame=TIMING.tokens_per_frame,
            lost_frame=1 if gap is not None else None,
            without_terminal=self.faults.take(FaultKind.MISSING_TERMINAL, self.now) is not None,
        )
        truncation = self.faults.take(FaultKind.TRUNCATE, self.now)
        stall = self.faults.take(FaultKind.STALL, self.now)
        stream = StreamProgress(decode_frames(plan), truncation, stall)
        self.streams += 1
        exchange.answer(StreamHead(echoed_attempt_id=sender.attempt_id))
        self._next_frame(exchange, dispatch, stream)

    def _next_frame(
        self, exchange: Exchange, dispatch: AttemptDispatch, stream: StreamProgress
    ) -> None:
        frame = next(stream.frames, None)
        if frame is None:
            exchange.answer(EndOfBody())
            self._end_stream(dispatch)
            return
        seconds = stream.stall_seconds()
        if frame.kind is FrameKind.CONTENT:
            interval = decode_interval_seconds(TIMING, self.streams) * TIMING.tokens_per_frame
            seconds += interval * self.faults.factor(FaultKind.SLOW, self.now)
        self.after(seconds, lambda: self._send_frame(exchange, dispatch, stream, frame))

    def _send_frame(
        self,
        exchange: Exchange,
        dispatch: AttemptDispatch,
        stream: StreamProgress,
        frame: DecodeFrame,
    ) -> None:
        if self.is_dark():
            self.after(
                DARK_POLL_SECONDS, lambda: self._send_frame(exchange, dispatch, stream, frame)
            )
            return
        is_disconnected = not exchange.server.is_open
        if (
            is_disconnected
            or stream.is_interrupted()
            or self.core.attempts.is_cancelled(dispatch.attempt_id)
        ):
            exchange.close_server()
            self._end_stream(dispatch)
            return
        stream.sent += 1
        exchange.answer(frame)
        self._next_frame(exchange, dispatch, stream)

    def _end_stream(self, dispatch: AttemptDispatch) -> None:
        self.streams -= 1
        self.core.leave(dispatch, self.now)
