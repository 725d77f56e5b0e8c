"""One request on a simulated router: the production request machine, driven in virtual time.

This module replaces :mod:`orchidpath.router.chat.request_runner` and
:mod:`orchidpath.router.chat.backend_client`, which use tasks and connections. Their pure helper
functions validate every backend response here as well.
"""

from typing import TYPE_CHECKING

from orchidpath.router.chat.attempt_trace import AttemptTrace
from orchidpath.router.chat.backend_exchange import (
    DispatchTarget,
)
from orchidpath.router.decision_maker import DecisionSubject
from orchidpath.routing.request import events
from orchidpath.routing.request.core import SharedRouting
from orchidpath.routing.request.request_machine import RequestMachine
from orchidpath.routing.ring import prefix_key
from orchidpath.routing.route_table import RouteMatch
from orchidpath.simulation.requests.exchange_messages import (
    MODEL_KINDS,
    Broken,
    CancelAttempt,
    Finished,
    HttpReply,
    Refused,
    Relayed,
)
from orchidpath.simulation.requests.exchanges import Exchange, open_server
from orchidpath.simulation.requests.path_checks import Submission
from orchidpath.simulation.requests.path_guards import PathGuard
from orchidpath.simulation.requests.response_reader import ResponseReader
from orchidpath.simulation.requests.simulated_backend import SimulatedBackend
from orchidpath.simulation.requests.simulated_fleet_access import NOT_FRESH_RETRY_SECONDS, drive
from orchidpath.wire.backend import (
    CallRequest,
    CancelReply,
    DecodeRequest,
    FrameKind,
    PrefillRequest,
)
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

if TYPE_CHECKING:
    from orchidpath.simulation.requests.serving_router import ServingRouter

_Send = events.SendPrefill | events.SendDecode | events.SendCall

_STAGES: dict[type, Stage] = {
    events.SendPrefill: Stage.PREFILL,
    events.SendDecode: Stage.DECODE,
    events.SendCall: Stage.PLAIN,
}

_FIRST_ANSWERS = (events.PrefillSucceeded, events.DecodeFrameReceived, events.CallReplied)


class ServedRequest:
    """Serves one admitted request until its response ends.

    Parameters
    ----------
    router
        Router that serves the request.
    exchange
        Exchange with the caller.
    submission
        The request, with all that the checks have observed of it.
    match
        Route and service of the request.
    """

    def __init__(
        self,
        router: "ServingRouter",
        exchange: Exchange,
        submission: Submission,
        match: RouteMatch,
    ) -> None:
        self._router = router
        self._caller = exchange
        self._submission = submission
        self._history = router.history
        request = submission.request
        self._request = request
        self._match = match
        is_model = request.kind in MODEL_KINDS
        model = request.kind.value if is_model else ""
        self._plan = events.RequestPlan(
            request_id=request.request_id,
            route=match.route,
            retry=router.state.configuration.retry,
            is_model=is_model,
            streaming=request.streaming and is_model,
            deadline=router.now + min(request.deadline_seconds, match.route.deadline_seconds),
        )
        self._subject = DecisionSubject(
            request_id=request.request_id,
            service=match.service.name,
            model=model,
            is_model=is_model,
            prefix_key=prefix_key(model, request.prompt),
        )
        shared = SharedRouting(
            retry_budget=router.state.budget(match.service.name),
            kv_transfer_evidence=router.state.kv_transfer_evidence,
            random=router.state.random,
        )
        self._machine = RequestMachine(self._plan, shared, router.request_guards)
        self._trace = AttemptTrace(request.request_id, lambda: router.now)
        self._dispatched_workers: dict[str, WorkerRecord] = {}
        self._reader: ResponseReader | None = None
        self._attempts = 0
        self._texts: list[str] = []

    def run(self) -> None:
        """Start to serve the request; the rest runs in callbacks of the simulation."""
        self._caller.server.on_broken = lambda: self._post(events.ClientDisconnected())
        if PathGuard.DEADLINE_TIMER not in self._router.path_guards:
            seconds = max(self._plan.deadline - self._router.now, 0.0)
            self._router.after(seconds, lambda: self._post(events.DeadlinePassed()))
        self._post(events.Admitted())

    def _post(self, event: events.RequestEvent) -> None:
        was_ended = self._machine.is_ended
        now = self._router.now
        if isinstance(event, _FIRST_ANSWERS) and not was_ended:
            self._record_delay(now)
        for instruction in self._machine.handle(event, now):
            self._execute(instruction)
        if self._machine.is_ended and not was_ended:
            self._router.state.admission.release(self._plan.request_id, now)

    def _record_delay(self, now: float) -> None:
        delay = self._trace.first_answer(now)
        if delay is not None:
            self._router.decisions.observe_delay(
                delay.worker_id, self._plan.request_id, delay.seconds
            )

    def _execute(self, instruction: events.RequestInstruction) -> None:
        match instruction:
            case events.RequestDecision():
                self._request_decision(instruction)
            case events.SendPrefill() | events.SendDecode() | events.SendCall():
                self._send(instruction)
            case events.AbortExchange():
                self._abort()
            case events.Cancel():
                self._cancel(instruction)
            case events.StartTimer():
                self._start_timer(instruction)
            case events.Report():
                self._history.check_report(self._submission, instruction.report)
                entry = self._trace.ended(instruction)
                self._router.decisions.report(instruction.report, entry)
            case _:
                self._respond(instruction)

    def _respond(self, instruction: events.RequestInstruction) -> None:
        match instruction:
            case events.Relay():
                self._relay(instruction)
            case events.Finish():
                self._finish(instruction)
            case events.Reject():
                self._check_response_time()
                self._history.record_error_reply(self._submission, instruction.error)
                self._history.check_end(self._submission)
                self._caller.answer(Refused(error=instruction.error))
            case events.BreakStream():
                self._history.check_end(self._submission)
                self._caller.answer(Broken(error=instruction.error))
            case _:
                pass

    def _relay(self, instruction: events.Relay) -> None:
        if not self._plan.streaming:
            frames = instruction.frames
            self._texts += [frame.text for frame in frames if frame.kind is FrameKind.CONTENT]
            return
        self._check_response_time()
        self._history.check_relayed_frames(self._submission, instruction.frames)
        self._caller.answer(Relayed(frames=instruction.frames))

    def _finish(self, instruction: events.Finish) -> None:
        self._check_response_time()
        self._history.check_end(self._submission)
        self._caller.answer(Finished(text="".join(self._texts), body=instruction.body))

    def _check_response_time(self) -> None:
        was_frozen = self._router.last_frozen_at >= self._submission.arrived_at
        self._history.check_response_time(self._submission, was_frozen)

    def _request_decision(self, instruction: events.RequestDecision) -> None:
        router = self._router
        router_run = (router.address, router.epoch, self._match.service.name, router.router_count())
        self._attempts += 1
        if self._attempts == 1:
            self._history.record_first_attempt(*router_run)
        else:
            self._history.check_retry(self._submission, *router_run)
        drive(router.decisions.decide(self._subject, instruction), self._apply_decision)

    def _apply_decision(self, decided: events.DecisionMade | events.NoCandidates) -> None:
        if isinstance(decided, events.DecisionMade):
            self._history.record_decision(decided.attempt_id, decided.reply.choices)
        self._router.after(0.0, lambda: self._post(decided))

    def _start_timer(self, instruction: events.StartTimer) -> None:
        if instruction.kind is events.TimerKind.BACKOFF:
            self._history.check_backoff(self._submission, instruction.seconds)
        elapsed = events.TimerElapsed(kind=instruction.kind, number=instruction.number)
        self._router.after(max(instruction.seconds, 0.0), lambda: self._post(elapsed))

    def _send(self, instruction: _Send) -> None:
        stage = _STAGES[type(instruction)]
        worker = self._router.state.worker(instruction.worker_id)
        if worker is None or worker.status is WorkerStatus.GONE:
            refused = self._refused(instruction.attempt_id, events.SendRefusal.WORKER_UNAVAILABLE)
            self._router.after(0.0, lambda: self._post(refused))
            return
        self._dispatched_workers[worker.worker_id] = worker
        self._trace.sent(worker.worker_id, stage)
        reader = ResponseReader(self._router, self._target(worker, instruction), self._post)
        self._reader = reader
        self._router.exchanges.connect(
            self._router,
            worker.worker_id,
            lambda exchange: self._connected(reader, exchange, instruction, worker),
            reader.connect_failed,
        )

    def _connected(
        self, reader: ResponseReader, exchange: Exchange, instruction: _Send, worker: WorkerRecord
    ) -> None:
        if reader.is_over:
            return
        refusal = self._router.send_refusal(worker, _STAGES[type(instruction)])
        if refusal is not None:
            reader.is_over = True
            self._post(self._refused(instruction.attempt_id, refusal))
            return
        backend = open_server(exchange)
        assert isinstance(backend, SimulatedBackend)
        self._history.check_dispatch(
            self._submission,
            self._router.address,
            self._router.epoch,
            backend.record,
            instruction.attempt_id,
        )
        reader.read(exchange)
        exchange.send(self._backend_request(instruction))

    def _refused(self, attempt_id: str, refusal: events.SendRefusal) -> events.SendRefused:
        return events.SendRefused(
            attempt_id=attempt_id,
            refusal=refusal,
            retry_after_seconds=NOT_FRESH_RETRY_SECONDS,
        )

    def _target(self, worker: WorkerRecord, instruction: _Send) -> DispatchTarget:
        route = self._plan.route
        return DispatchTarget(
            url=worker.url,
            request_id=self._plan.request_id,
            attempt_id=instruction.attempt_id,
            first_answer_seconds=route.first_token_timeout_seconds,
            stall_seconds=route.stall_timeout_seconds,
            refused_retry_after_seconds=NOT_FRESH_RETRY_SECONDS,
        )

    def _backend_request(self, instruction: _Send) -> PrefillRequest | DecodeRequest | CallRequest:
        request_id, attempt_id = self._plan.request_id, instruction.attempt_id
        if isinstance(instruction, events.SendPrefill):
            return PrefillRequest(
                request_id=request_id,
                attempt_id=attempt_id,
                model=self._subject.model,
                prompt=self._request.prompt,
            )
        if isinstance(instruction, events.SendDecode):
            return DecodeRequest(
                request_id=request_id,
                attempt_id=attempt_id,
                model=self._subject.model,
                handle=instruction.handle,
                max_tokens=self._request.max_tokens,
            )
        return CallRequest(request_id=request_id, attempt_id=attempt_id, method="POST", path="/")

    def _abort(self) -> None:
        if self._reader is not None:
            self._reader.abort()
            self._reader = None

    def _cancel(self, instruction: events.Cancel) -> None:
        worker = self._dispatched_workers.get(instruction.worker_id)
        if worker is None:
            return
        until = self._router.now + instruction.timeout_seconds

        def receive_reply(answer: object) -> None:
            reply = answer.reply if isinstance(answer, HttpReply) else None
            if not isinstance(reply, CancelReply) or self._router.now > until:
                return
            answered = events.CancelAnswered(
                worker_id=instruction.worker_id,
                attempt_id=reply.attempt_id,
                is_same_incarnation=reply.incarnation == worker.incarnation,
                ran=reply.ran,
            )
            self._post(answered)

        def connected(exchange: Exchange) -> None:
            open_server(exchange)
            exchange.client.on_message = receive_reply
            exchange.send(CancelAttempt(attempt_id=instruction.attempt_id))

        self._router.exchanges.connect(self._router, instruction.worker_id, connected, lambda: None)
