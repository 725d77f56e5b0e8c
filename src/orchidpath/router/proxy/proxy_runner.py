"""Drives one forwarded request's machine: carries out its effects and brings it the events.

The machine (:mod:`orchidpath.forwarding.proxy.proxy_machine`) decides everything; this shell has
workers chosen, exchanges requests and answers with them, and answers the caller.
"""

import asyncio

from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.forwarding.proxy.proxy_effects import ProxyOperation
from orchidpath.forwarding.proxy.proxy_events import ProxyEvent, ProxyPlan, ProxyShared
from orchidpath.forwarding.proxy.proxy_machine import ProxyMachine
from orchidpath.placement.prefill_placement import MAX_DECODE_SIDE_PREFILL_TOKENS
from orchidpath.router.decision_maker import DecisionSubject
from orchidpath.router.proxy.protocol_mapping import RequestMetadata
from orchidpath.router.proxy.proxy_attempts import ProxyAttempts, ProxyEnvironment
from orchidpath.router.proxy.proxy_messages import ForwardedRequest
from orchidpath.router.proxy.proxy_server import CallerConnection, CallerDisconnectedError
from orchidpath.router.proxy.response_relay import ResponseRelay
from orchidpath.router.proxy.worker_exchange import WorkerExchange, release_handle
from orchidpath.routing.ring import request_key
from orchidpath.wire.configuration import ForwardRoute, Repetition, ServiceKind
from orchidpath.wire.records import Stage


class ProxyRunner:
    """Serves one request.

    Parameters
    ----------
    environment
        What all runners share.
    request
        The request.
    request_metadata
        What its headers say.
    route
        Its route.
    service
        Name of the service that answers it.
    caller
        Where its answer goes.
    """

    def __init__(
        self,
        environment: ProxyEnvironment,
        request: ForwardedRequest,
        request_metadata: RequestMetadata,
        route: ForwardRoute,
        service: str,
        caller: CallerConnection,
    ) -> None:
        self._environment = environment
        self._route = route
        self._caller = caller
        subject = _subject(environment, request_metadata, route, service)
        self._plan = _plan(environment, request, request_metadata, route, subject)
        self._machine = ProxyMachine(self._plan, _shared(environment, subject))
        self._attempts = ProxyAttempts(environment, request_metadata, subject)
        self._exchange = WorkerExchange(environment, request, request_metadata, service)
        self._response = ResponseRelay(
            caller,
            may_be_resumed=route.streaming and route.repetition is Repetition.RESUMED,
        )

    async def run(self) -> None:
        """Serve the request to its end.

        Raises
        ------
        asyncio.CancelledError
            If the caller left.
        CallerDisconnectedError
            If the caller can't be answered, or its answer had to be broken off.
        """
        try:
            async with asyncio.timeout_at(self._plan.deadline):
                await self._serve()
        except TimeoutError:
            self._handle(events.DeadlinePassed())
        finally:
            self._handle(events.RequestClosed())

    async def _serve(self) -> None:
        operation = self._handle(events.RequestStarted())
        while operation is not None:
            event = await self._operate(operation)
            operation = self._handle(event)

    def _handle(self, event: ProxyEvent) -> ProxyOperation | None:
        """Carry out the actions that follow an event; returns the operation that comes next."""
        for effect in self._machine.handle(event, self._environment.clock()):
            if isinstance(effect, effects.OPERATIONS):
                return effect
            self._act(effect)
        return None

    async def _operate(self, operation: ProxyOperation) -> ProxyEvent:
        """Carry out what takes time; returns the event that it ends in."""
        match operation:
            case effects.ChooseWorkers():
                return await self._attempts.decide(operation)
            case effects.Wait():
                await asyncio.sleep(operation.seconds)
                return events.WaitElapsed()
            case effects.Dispatch():
                return await self._exchange.dispatch(operation)
            case effects.AwaitPrefill():
                return await self._exchange.await_prefill(operation.timeout_at)
            case effects.AwaitHead():
                return await self._exchange.await_head(operation.timeout_seconds)
            case effects.DrainRefusal():
                return await self._exchange.drain_refusal()
            case effects.RelayResponse():
                return await self._exchange.relay(self._response)

    def _act(self, action: effects.ProxyAction) -> None:
        """Carry out what is done at once."""
        match action:
            case effects.SendErrorResponse():
                self._send_error_response(action)
            case effects.AbortResponse():
                self._response.close()
            case effects.DropCaller():
                raise CallerDisconnectedError("the answer was broken off")
            case effects.AbortConnection():
                self._exchange.abort()
            case _:
                self._record(action)

    def _record(self, action: effects.ProxyAction) -> None:
        """Tell the leader, the metrics or a prefill worker what became of the request."""
        environment = self._environment
        match action:
            case effects.Report():
                self._attempts.ended(action.chosen, action.observed, action.status)
            case effects.ReportRest():
                self._attempts.end_all(action.observed)
            case effects.RecordPrefillDone():
                self._attempts.prefill_done(action.chosen)
            case effects.RecordDelay():
                environment.decisions.observe_delay(
                    action.worker_id, self._plan.request_id, action.seconds
                )
            case effects.CountOutcome():
                environment.metrics.answered(self._route.name, action.outcome)
            case effects.ReleaseHandle():
                environment.tasks.spawn(release_handle(environment, action.source))

    def _send_error_response(self, answer: effects.SendErrorResponse) -> None:
        headers = [(b"content-type", b"text/plain")]
        if answer.retry_after_seconds is not None:
            headers.append((b"retry-after", b"%.2f" % answer.retry_after_seconds))
        self._caller.send_answer(answer.status, headers, answer.reason.encode())


def _subject(
    environment: ProxyEnvironment, metadata: RequestMetadata, route: ForwardRoute, service: str
) -> DecisionSubject:
    """Return what the request's decisions are about."""
    is_model = environment.state.service_kind(service) is ServiceKind.MODEL
    key = metadata.prefix_key if route.prefix_affinity else request_key(metadata.request_id)
    return DecisionSubject(
        request_id=metadata.request_id,
        service=service,
        model=environment.state.model_of(service, metadata.model),
        is_model=is_model,
        prefix_key=key,
        prompt=metadata.prompt if is_model else None,
    )


def _plan(
    environment: ProxyEnvironment,
    request: ForwardedRequest,
    request_metadata: RequestMetadata,
    route: ForwardRoute,
    subject: DecisionSubject,
) -> ProxyPlan:
    """Return what the machine must know of the request."""
    seconds = route.timeout_seconds
    if request_metadata.deadline_seconds is not None:
        seconds = min(seconds, request_metadata.deadline_seconds)
    # A short prompt is prefilled by the decode worker itself, between the tokens of others.
    shortest = environment.state.configuration.admission.direct_prompt_tokens
    return ProxyPlan(
        request_id=request_metadata.request_id,
        route=route,
        is_model=subject.is_model,
        prompt_tokens=request_metadata.prompt_tokens,
        wants_prefill_stage=subject.is_model and request_metadata.prompt_tokens > shortest,
        max_decode_side_prefill_tokens=MAX_DECODE_SIDE_PREFILL_TOKENS,
        deadline=request.received_at + seconds,
    )


def _shared(environment: ProxyEnvironment, subject: DecisionSubject) -> ProxyShared:
    """Return what the machine shares with those of other requests."""
    state = environment.state

    def has_prefill_workers() -> bool:
        return bool(state.selector.eligible(subject.service, Stage.PREFILL, subject.model))

    return ProxyShared(
        retry_budget=state.budget(subject.service),
        random=environment.random,
        has_prefill_workers=has_prefill_workers,
    )
