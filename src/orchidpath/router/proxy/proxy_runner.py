"""Runs the state machine of one forwarded request: executes effects, passes events to it.

The machine (:mod:`orchidpath.forwarding.proxy.proxy_machine`) makes every decision. This module
does the I/O: it requests worker choices, exchanges requests and responses with the workers, and
responds to the caller.
"""

import asyncio

import h11

from orchidpath.common.logs import Logger, get_logger
from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.forwarding.proxy.proxy_effects import ProxyOperation
from orchidpath.forwarding.proxy.proxy_events import ProxyEvent, ProxyPlan, ProxyShared
from orchidpath.forwarding.proxy.proxy_machine import ProxyMachine
from orchidpath.placement.prefill_placement import MAX_DECODE_SIDE_PREFILL_TOKENS
from orchidpath.router.decision_maker import DecisionSubject
from orchidpath.router.proxy.caller_connection import CallerConnection, CallerDisconnectedError
from orchidpath.router.proxy.protocol_mapping import RequestMetadata
from orchidpath.router.proxy.proxy_attempts import ProxyAttempts, ProxyEnvironment
from orchidpath.router.proxy.proxy_messages import ForwardedRequest
from orchidpath.router.proxy.response_relay import ResponseRelay
from orchidpath.router.proxy.worker_exchange import WorkerExchange, release_handle
from orchidpath.routing.ring import request_key
from orchidpath.wire.configuration import ForwardRoute, Service, ServiceKind
from orchidpath.wire.records import Stage


class ProxyRunner:
    """Serves one forwarded request.

    Parameters
    ----------
    environment
        Dependencies that all runners share.
    request
        The request, with its complete body.
    request_metadata
        Metadata from the headers of the request.
    route
        Route that the request matched.
    service
        Service that the request was routed to; a later configuration may no longer list it.
    caller
        Connection that the response is written to.
    """

    def __init__(
        self,
        environment: ProxyEnvironment,
        request: ForwardedRequest,
        request_metadata: RequestMetadata,
        route: ForwardRoute,
        service: Service,
        caller: CallerConnection,
    ) -> None:
        self._environment = environment
        self._route = route
        self._caller = caller
        subject = _decision_subject(request_metadata, route, service)
        self._plan = _request_plan(environment, request, request_metadata, route, subject)
        self._machine = ProxyMachine(self._plan, _shared_resources(environment, subject))
        self._attempts = ProxyAttempts(environment, request_metadata, subject)
        self._exchange = WorkerExchange(environment, request, request_metadata, service)
        self._response = ResponseRelay(
            caller, is_event_stream=route.streaming, may_be_resumed=route.may_resume
        )
        self._logger: Logger = get_logger("forward_request")

    async def run(self) -> None:
        """Serve the request until its response is complete or has failed.

        Raises
        ------
        asyncio.CancelledError
            If the caller disconnected.
        CallerDisconnectedError
            If the response can't be written to the caller, or had to be aborted.
        h11.LocalProtocolError
            If the worker's response does not match the length in its head.
        """
        try:
            async with asyncio.timeout_at(self._plan.deadline):
                await self._serve()
        except TimeoutError:
            self._handle(events.DeadlinePassed())
        except (CallerDisconnectedError, h11.LocalProtocolError):
            raise  # No response can be written to the caller any more.
        except Exception as error:
            # Outermost loop of a request: its caller gets an answer for every fault of the program.
            self._logger.exception(
                "request_failed", request_id=self._plan.request_id, error=str(error)
            )
            self._handle(events.InternalErrorOccurred())
        finally:
            self._handle(events.RequestClosed())

    async def _serve(self) -> None:
        operation = self._handle(events.RequestStarted())
        while operation is not None:
            event = await self._execute_operation(operation)
            operation = self._handle(event)

    def _handle(self, event: ProxyEvent) -> ProxyOperation | None:
        """Pass an event to the machine and execute its actions; return its next operation."""
        for effect in self._machine.handle(event, self._environment.clock()):
            if isinstance(effect, effects.OPERATIONS):
                return effect
            self._execute_action(effect)
        return None

    async def _execute_operation(self, operation: ProxyOperation) -> ProxyEvent:
        """Execute an operation and return the event that it ends in."""
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

    def _execute_action(self, action: effects.ProxyAction) -> None:
        """Execute an action, which never waits."""
        match action:
            case effects.SendErrorResponse():
                self._send_error_response(action)
            case effects.AbortResponse():
                self._response.close()
            case effects.DisconnectCaller():
                raise CallerDisconnectedError("the response was aborted before its end")
            case effects.AbortConnection():
                self._exchange.abort()
            case _:
                self._record(action)

    def _record(self, action: effects.ProxyAction) -> None:
        """Send an outcome to the leader, to the metrics or to a prefill worker."""
        environment = self._environment
        match action:
            case effects.Report():
                self._attempts.report_end(action.chosen, action.observed, action.status)
            case effects.ReportRemaining():
                self._attempts.report_all_ended(action.observed)
            case effects.RecordPrefillDone():
                self._attempts.report_prefill_done(action.chosen)
            case effects.RecordDelay():
                environment.decisions.observe_delay(
                    action.worker_id, self._plan.request_id, action.seconds
                )
            case effects.CountOutcome():
                environment.metrics.count_outcome(self._route.name, action.outcome)
            case effects.ReleaseHandle():
                environment.tasks.spawn(release_handle(environment, action.source))

    def _send_error_response(self, response: effects.SendErrorResponse) -> None:
        headers = [(b"content-type", b"text/plain")]
        if response.retry_after_seconds is not None:
            headers.append((b"retry-after", b"%.2f" % response.retry_after_seconds))
        self._caller.send_response(response.status, headers, response.reason.encode())


def _decision_subject(
    metadata: RequestMetadata, route: ForwardRoute, service: Service
) -> DecisionSubject:
    """Return the subject of every routing decision for the request.

    A request that names no model is for the first model of the service.
    """
    is_model = service.kind is ServiceKind.MODEL
    first_model = service.models[0] if service.models else ""
    key = metadata.prefix_key if route.prefix_affinity else request_key(metadata.request_id)
    return DecisionSubject(
        request_id=metadata.request_id,
        service=service.name,
        model=metadata.model or first_model,
        is_model=is_model,
        prefix_key=key,
        prompt=metadata.prompt if is_model else None,
    )


def _request_plan(
    environment: ProxyEnvironment,
    request: ForwardedRequest,
    request_metadata: RequestMetadata,
    route: ForwardRoute,
    subject: DecisionSubject,
) -> ProxyPlan:
    """Return the properties of the request that its machine works with."""
    seconds = route.timeout_seconds
    if request_metadata.deadline_seconds is not None:
        seconds = min(seconds, request_metadata.deadline_seconds)
    # A decode worker prefills a short prompt itself, between decode steps of its other requests.
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


def _shared_resources(environment: ProxyEnvironment, subject: DecisionSubject) -> ProxyShared:
    """Return what the machines of all requests share."""
    state = environment.state

    def has_prefill_workers() -> bool:
        return bool(state.selector.eligible(subject.service, Stage.PREFILL, subject.model))

    return ProxyShared(
        retry_budget=state.budget(subject.service),
        random=environment.random,
        has_prefill_workers=has_prefill_workers,
    )
