"""Drives one request's machine: carries out its instructions and brings it the events.

The machine (:mod:`orchidpath.routing.request.request_machine`) decides everything; this shell sends
requests to workers, reads their responses, keeps timers and writes the response.
"""

import asyncio

import msgspec

from orchidpath.common.clock import Clock
from orchidpath.router.background_tasks import BackgroundTasks
from orchidpath.router.chat.attempt_trace import AttemptTrace
from orchidpath.router.chat.backend_client import BackendClient
from orchidpath.router.chat.backend_exchange import OrderTarget, SendCheck
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
    """One request as the edge hands it over: its plan, and the bodies of its orders."""

    plan: events.RequestPlan
    subject: DecisionSubject
    prompt: str = ""
    max_tokens: int = 0
    method: str = ""
    path: str = ""
    body: bytes = b"null"
    wants_trace: bool = False


class RunnerEnvironment(msgspec.Struct, frozen=True, kw_only=True):
    """What the runners of one router share."""

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
        What all runners share.
    request
        The request.
    sink
        Where its response goes.
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
        self._ordered: dict[str, WorkerRecord] = {}
        self._timers: list[asyncio.TimerHandle] = []
        self._started_at = environment.clock()
        self._attempts = 0
        self._outcome = OUTCOME_OK

    async def run(self) -> None:
        """Serve the request to its end; the sink then holds the response.

        Raises
        ------
        asyncio.CancelledError
            If the caller left.
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
            self._leave(OUTCOME_CLIENT_DISCONNECTED)
            raise
        except Exception:
            self._leave(ErrorCode.INTERNAL.value)
            raise
        finally:
            self._close()

    def _leave(self, outcome: str) -> None:
        """Let go of everything, without waiting, since nobody is there to be answered."""
        self._outcome = outcome
        for instruction in self._machine.handle(
            events.ClientDisconnected(), self._environment.clock()
        ):
            self._execute(instruction)

    def _close(self) -> None:
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
        # The caller last: if it disconnected, the workers and the leader still hear what they must.
        for instruction in instructions:
            self._execute(instruction)
        for instruction in instructions:
            await self._respond(instruction)

    # Responses

    async def _respond(self, instruction: events.RequestInstruction) -> None:
        """Write to the caller if that is what the instruction asks for."""
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

    # Everything else

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
                # What goes to the caller is written by :meth:`_respond`.
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
        # The request ended meanwhile: the machine frees what the decision has registered.
        for late in self._machine.handle(decided, self._environment.clock()):
            self._execute(late)

    def _abort(self) -> None:
        if self._exchange is not None:
            # Closes the connection of an exchange that has not been read to its end.
            self._exchange.cancel()
            self._exchange = None

    async def _cancel(self, instruction: events.Cancel) -> None:
        worker = self._ordered.get(instruction.worker_id)
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

    # Orders

    def _send(self, instruction: events.SendPrefill | events.SendDecode | events.SendCall) -> None:
        stage = _STAGES[type(instruction)]
        worker = self._environment.state.worker(instruction.worker_id)
        if worker is None or worker.status is WorkerStatus.GONE:
            self._events.post(self._unavailable(instruction.attempt_id))
            return
        self._ordered[worker.worker_id] = worker
        self._trace.sent(worker.worker_id, stage)
        work = self._exchange_of(instruction, worker, self._check_of(worker, stage))
        self._exchange = self._environment.tasks.spawn(work)

    def _unavailable(self, attempt_id: str) -> events.SendRefused:
        return events.SendRefused(
            attempt_id=attempt_id,
            refusal=events.SendRefusal.WORKER_UNAVAILABLE,
            retry_after_seconds=self._environment.not_fresh_retry_seconds,
        )

    def _check_of(self, worker: WorkerRecord, stage: Stage) -> SendCheck:
        environment = self._environment

        def check() -> events.SendRefusal | None:
            now = environment.clock()
            return environment.state.send_refusal(worker.worker_id, worker.incarnation, stage, now)

        return check

    async def _exchange_of(
        self,
        instruction: events.SendPrefill | events.SendDecode | events.SendCall,
        worker: WorkerRecord,
        check: SendCheck,
    ) -> None:
        target = self._target(worker, instruction.attempt_id)
        client = self._environment.client
        match instruction:
            case events.SendPrefill():
                await client.prefill(target, self._prefill(instruction), check, self._offer)
            case events.SendDecode():
                await client.decode(target, self._decode(instruction), check, self._offer)
            case events.SendCall():
                await client.call(target, self._call(instruction), check, self._offer)

    async def _offer(self, event: events.RequestEvent) -> None:
        # What comes after the end has no reader, and must not wait for one.
        if not self._machine.is_ended:
            await self._events.offer(event)

    def _target(self, worker: WorkerRecord, attempt_id: str) -> OrderTarget:
        route = self._plan.route
        return OrderTarget(
            url=worker.url,
            request_id=self._plan.request_id,
            attempt_id=attempt_id,
            first_answer_seconds=route.first_token_timeout_seconds,
            stall_seconds=route.stall_timeout_seconds,
            refused_retry_after_seconds=self._environment.not_fresh_retry_seconds,
        )

    def _prefill(self, instruction: events.SendPrefill) -> PrefillRequest:
        return PrefillRequest(
            request_id=self._plan.request_id,
            attempt_id=instruction.attempt_id,
            model=self._request.subject.model,
            prompt=self._request.prompt,
        )

    def _decode(self, instruction: events.SendDecode) -> DecodeRequest:
        self._sink.prompt_tokens = instruction.handle.prompt_tokens
        return DecodeRequest(
            request_id=self._plan.request_id,
            attempt_id=instruction.attempt_id,
            model=self._request.subject.model,
            handle=instruction.handle,
            max_tokens=self._request.max_tokens,
        )

    def _call(self, instruction: events.SendCall) -> CallRequest:
        return CallRequest(
            request_id=self._plan.request_id,
            attempt_id=instruction.attempt_id,
            method=self._request.method,
            path=self._request.path,
            body=msgspec.Raw(self._request.body),
        )

    def _record_event(self, event: events.RequestEvent, now: float) -> None:
        """Measure how long the ordered worker took to its answer or first frame."""
        if not isinstance(event, _FIRST_ANSWERS):
            return
        delay = self._trace.first_answer(now)
        if delay is not None:
            self._environment.decisions.observe_delay(
                delay.worker_id, self._plan.request_id, delay.seconds
            )


_STAGES: dict[type, Stage] = {
    events.SendPrefill: Stage.PREFILL,
    events.SendDecode: Stage.DECODE,
    events.SendCall: Stage.PLAIN,
}

_FIRST_ANSWERS = (events.PrefillSucceeded, events.DecodeFrameReceived, events.CallReplied)
