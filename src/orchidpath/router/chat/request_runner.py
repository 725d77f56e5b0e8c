"""Runs one request: executes the instructions of its state machine and delivers events to it.

The state machine (:mod:`orchidpath.routing.request.request_machine`) makes all decisions. The
runner does the input and output: it dispatches to workers, reads their responses, runs timers and
writes the response to the caller. A dispatch is one request to a back end: a prefill, a decode or a
plain call of an attempt.
"""

import asyncio

import msgspec

from orchidpath.common.clock import Clock
from orchidpath.router.background_tasks import BackgroundTasks
from orchidpath.router.chat.attempt_trace import AttemptTrace
from orchidpath.router.chat.backend_client import BackendClient
from orchidpath.router.chat.backend_exchange import DispatchTarget, SendCheck
from orchidpath.router.chat.chat_api import DecisionTrace
from orchidpath.router.chat.event_queue import EventQueue
from orchidpath.router.chat.response_sinks import ResponseSink
from orchidpath.router.decision_maker import DecisionMaker, DecisionSubject
from orchidpath.router.observability.metrics_page import (
    OUTCOME_CLIENT_DISCONNECTED,
    OUTCOME_OK,
    RouterMetrics,
)
from orchidpath.router.routing_state import RoutingState
from orchidpath.routing.request import events
from orchidpath.routing.request.core import SharedRouting
from orchidpath.routing.request.request_machine import RequestMachine
from orchidpath.wire.backend import CallRequest, DecodeRequest, ErrorCode, PrefillRequest
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus


class RoutedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request as passed on by the HTTP edge: its plan, and the content of its dispatches."""

    plan: events.RequestPlan
    subject: DecisionSubject
    prompt: str = ""
    max_tokens: int = 0
    method: str = ""
    path: str = ""
    body: bytes = b"null"
    wants_trace: bool = False


class RunnerEnvironment(msgspec.Struct, frozen=True, kw_only=True):
    """Objects shared by all request runners of one router."""

    state: RoutingState
    decisions: DecisionMaker
    client: BackendClient
    tasks: BackgroundTasks
    metrics: RouterMetrics
    clock: Clock
    not_fresh_retry_seconds: float


class RequestRunner:
    """Serves one admitted request.

    Parameters
    ----------
    environment
        Objects shared by all runners.
    request
        The request.
    sink
        Receives its response.
    """

    def __init__(
        self, environment: RunnerEnvironment, request: RoutedRequest, sink: ResponseSink
    ) -> None:
        state = environment.state
        self._environment = environment
        self._request = request
        self._sink = sink
        self._plan = request.plan
        shared = SharedRouting(
            retry_budget=state.budget(request.subject.service),
            kv_transfer_evidence=state.kv_transfer_evidence,
            random=state.random,
        )
        self._machine = RequestMachine(request.plan, shared)
        self._events = EventQueue()
        self._trace = AttemptTrace(request.plan.request_id, environment.clock)
        self._exchange: asyncio.Task[None] | None = None
        self._dispatched_workers: dict[str, WorkerRecord] = {}
        self._timers: list[asyncio.TimerHandle] = []
        self._started_at = environment.clock()
        self._attempts = 0
        self._outcome = OUTCOME_OK

    async def run(self) -> None:
        """Serve the request until it ends; the sink then holds the response.

        Raises
        ------
        asyncio.CancelledError
            If the caller disconnected.
        ConnectionError
            If the response could not be written.
        """
        self._start_timer(self._plan.deadline - self._started_at, events.DeadlinePassed())
        try:
            await self._handle(events.Admitted())
            while not self._machine.is_ended:
                queued = await self._events.get()
                await self._handle(queued.event)
                self._events.done(queued)
        except (asyncio.CancelledError, ConnectionError):
            self._end_without_response(OUTCOME_CLIENT_DISCONNECTED)
            raise
        except Exception:
            self._end_without_response(ErrorCode.INTERNAL.value)
            raise
        finally:
            self._finalize()

    def _end_without_response(self, outcome: str) -> None:
        """End the request without waiting for the caller or writing to it.

        The instructions of the state machine abort exchanges, cancel attempts and send reports.
        """
        self._outcome = outcome
        for instruction in self._machine.handle(
            events.ClientDisconnected(), self._environment.clock()
        ):
            self._execute(instruction)

    def _finalize(self) -> None:
        self._events.close()
        for timer in self._timers:
            timer.cancel()
        metrics = self._environment.metrics
        route = self._plan.route.name
        metrics.requests.labels(route, self._outcome).inc()
        metrics.relayed_tokens.labels(route).inc(self._sink.completion_tokens)

    async def _handle(self, event: events.RequestEvent) -> None:
        now = self._environment.clock()
        self._record_event(event, now)
        instructions = self._machine.handle(event, now)
        # The caller comes last: if it has disconnected, writing fails, but workers and the leader
        # have already received their messages.
        for instruction in instructions:
            self._execute(instruction)
        for instruction in instructions:
            await self._respond(instruction)

    # Responses to the caller

    async def _respond(self, instruction: events.RequestInstruction) -> None:
        """Execute an instruction that writes to the caller; ignore any other."""
        match instruction:
            case events.Commit():
                await self._commit()
            case events.Relay():
                await self._sink.relay(instruction.frames)
            case events.Finish():
                await self._sink.finish(instruction.body, self._requested_trace())
            case events.Reject():
                self._outcome = instruction.error.code.value
                await self._sink.reject(instruction.error, self._requested_trace())
            case events.BreakStream():
                self._outcome = instruction.error.code.value
                await self._sink.break_stream(instruction.error, self._requested_trace())
            case _:
                pass

    async def _commit(self) -> None:
        seconds = self._environment.clock() - self._started_at
        if self._plan.is_model:
            route = self._plan.route.name
            self._environment.metrics.time_to_first_token.labels(route).observe(seconds)
        await self._sink.commit()

    def _requested_trace(self) -> DecisionTrace | None:
        return self._trace.result() if self._request.wants_trace else None

    # Instructions that do not write to the caller

    def _execute(self, instruction: events.RequestInstruction) -> None:
        match instruction:
            case events.RequestDecision():
                self._apply_decision_request(instruction)
            case events.SendPrefill() | events.SendDecode() | events.SendCall():
                self._send(instruction)
            case events.AbortExchange():
                self._abort()
            case events.Cancel():
                self._environment.tasks.spawn(self._cancel(instruction))
            case events.StartTimer():
                elapsed = events.TimerElapsed(kind=instruction.kind, number=instruction.number)
                self._start_timer(instruction.seconds, elapsed)
            case events.Report():
                entry = self._trace.ended(instruction)
                self._environment.decisions.report(instruction.report, entry)
            case _:
                # Instructions that write to the caller are executed by :meth:`_respond`.
                pass

    def _start_timer(self, seconds: float, event: events.RequestEvent) -> None:
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(max(seconds, 0.0), self._events.post, event))

    def _apply_decision_request(self, instruction: events.RequestDecision) -> None:
        self._attempts += 1
        if self._attempts > 1:
            self._environment.metrics.retries.labels(self._plan.route.name).inc()
        self._environment.tasks.spawn(self._decide(instruction))

    async def _decide(self, instruction: events.RequestDecision) -> None:
        decided = await self._environment.decisions.decide(self._request.subject, instruction)
        if not self._machine.is_ended:
            self._events.post(decided)
            return
        # The request ended during the decision, so the machine releases the attempt that was
        # registered by the decision.
        for late in self._machine.handle(decided, self._environment.clock()):
            self._execute(late)

    def _abort(self) -> None:
        if self._exchange is not None:
            # Cancelling closes the connection of an exchange that has not been read to its end.
            self._exchange.cancel()
            self._exchange = None

    async def _cancel(self, instruction: events.Cancel) -> None:
        worker = self._dispatched_workers.get(instruction.worker_id)
        if worker is None:
            return
        reply = await self._environment.client.cancel(
            worker.url, instruction.attempt_id, instruction.timeout_seconds
        )
        if reply is None:
            return
        answered = events.CancelAnswered(
            worker_id=instruction.worker_id,
            attempt_id=reply.attempt_id,
            is_same_incarnation=reply.incarnation == worker.incarnation,
            ran=reply.ran,
        )
        self._events.post(answered)

    # Dispatches to workers

    def _send(self, instruction: events.SendPrefill | events.SendDecode | events.SendCall) -> None:
        stage = _STAGE_BY_DISPATCH[type(instruction)]
        worker = self._environment.state.worker(instruction.worker_id)
        if worker is None or worker.status is WorkerStatus.GONE:
            self._events.post(self._unavailable(instruction.attempt_id))
            return
        self._dispatched_workers[worker.worker_id] = worker
        self._trace.sent(worker.worker_id, stage)
        work = self._run_exchange(instruction, worker, self._send_check(worker, stage))
        self._exchange = self._environment.tasks.spawn(work)

    def _unavailable(self, attempt_id: str) -> events.SendRefused:
        return events.SendRefused(
            attempt_id=attempt_id,
            refusal=events.SendRefusal.WORKER_UNAVAILABLE,
            retry_after_seconds=self._environment.not_fresh_retry_seconds,
        )

    def _send_check(self, worker: WorkerRecord, stage: Stage) -> SendCheck:
        environment = self._environment

        def check() -> events.SendRefusal | None:
            now = environment.clock()
            return environment.state.send_refusal(worker.worker_id, worker.incarnation, stage, now)

        return check

    async def _run_exchange(
        self,
        instruction: events.SendPrefill | events.SendDecode | events.SendCall,
        worker: WorkerRecord,
        check: SendCheck,
    ) -> None:
        target = self._target(worker, instruction.attempt_id)
        client = self._environment.client
        match instruction:
            case events.SendPrefill():
                await client.prefill(target, self._prefill_request(instruction), check, self._offer)
            case events.SendDecode():
                await client.decode(target, self._decode_request(instruction), check, self._offer)
            case events.SendCall():
                await client.call(target, self._call_request(instruction), check, self._offer)

    async def _offer(self, event: events.RequestEvent) -> None:
        # After the end of the request its queue has no reader: the exchange must not wait for it.
        if not self._machine.is_ended:
            await self._events.offer(event)

    def _target(self, worker: WorkerRecord, attempt_id: str) -> DispatchTarget:
        route = self._plan.route
        return DispatchTarget(
            url=worker.url,
            request_id=self._plan.request_id,
            attempt_id=attempt_id,
            first_answer_seconds=route.first_token_timeout_seconds,
            stall_seconds=route.stall_timeout_seconds,
            refused_retry_after_seconds=self._environment.not_fresh_retry_seconds,
        )

    def _prefill_request(self, instruction: events.SendPrefill) -> PrefillRequest:
        return PrefillRequest(
            request_id=self._plan.request_id,
            attempt_id=instruction.attempt_id,
            model=self._request.subject.model,
            prompt=self._request.prompt,
        )

    def _decode_request(self, instruction: events.SendDecode) -> DecodeRequest:
        self._sink.prompt_tokens = instruction.handle.prompt_tokens
        return DecodeRequest(
            request_id=self._plan.request_id,
            attempt_id=instruction.attempt_id,
            model=self._request.subject.model,
            handle=instruction.handle,
            max_tokens=self._request.max_tokens,
        )

    def _call_request(self, instruction: events.SendCall) -> CallRequest:
        return CallRequest(
            request_id=self._plan.request_id,
            attempt_id=instruction.attempt_id,
            method=self._request.method,
            path=self._request.path,
            body=msgspec.Raw(self._request.body),
        )

    def _record_event(self, event: events.RequestEvent, now: float) -> None:
        """Record the delay of the worker if the event is its reply or its first frame."""
        if not isinstance(event, _FIRST_ANSWERS):
            return
        delay = self._trace.first_answer(now)
        if delay is not None:
            self._environment.decisions.observe_delay(
                delay.worker_id, self._plan.request_id, delay.seconds
            )


_STAGE_BY_DISPATCH: dict[type, Stage] = {
    events.SendPrefill: Stage.PREFILL,
    events.SendDecode: Stage.DECODE,
    events.SendCall: Stage.PLAIN,
}

_FIRST_ANSWERS = (events.PrefillSucceeded, events.DecodeFrameReceived, events.CallReplied)
