"""The router's HTTP edge: callers' requests, workers' announcements, health and metrics.

While the router is draining or holds no lease to serve, a request is rejected immediately with
``ran=no``. Each admitted request is served by a
:class:`~orchidpath.router.chat.request_runner.RequestRunner`.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
from aiohttp import web

from orchidpath.common.clock import Clock
from orchidpath.common.logs import Logger, get_logger
from orchidpath.common.request_memory import RequestMemory
from orchidpath.common.settings import RouterSettings
from orchidpath.router.background_tasks import BackgroundTasks
from orchidpath.router.chat.backend_client import BackendClient
from orchidpath.router.chat.http_errors import error_response, refusal
from orchidpath.router.chat.http_intake import (
    MAXIMUM_BODY_BYTES,
    Intake,
    RefusedError,
    admission_error,
    read_chat,
    read_plain,
    request_id_of,
)
from orchidpath.router.chat.request_runner import RequestRunner, RunnerEnvironment
from orchidpath.router.chat.response_sinks import (
    ChatIdentity,
    CompletionSink,
    PlainSink,
    ResponseSink,
    StreamSink,
    close_uncleanly,
)
from orchidpath.router.decision_maker import DecisionMaker
from orchidpath.router.drain import DrainState
from orchidpath.router.fleet_link.fleet_access import FleetAccess
from orchidpath.router.observability.decision_recorder import DecisionRecorder
from orchidpath.router.observability.metrics_page import RouterMetrics
from orchidpath.router.observability.readiness import HealthPages
from orchidpath.router.routing_state import RoutingState
from orchidpath.routing.admission import Rejected
from orchidpath.wire.announcements import InvalidAnnouncementError, decode_announcement
from orchidpath.wire.backend import ErrorBody, ErrorCode, Ran
from orchidpath.wire.http_bodies import (
    NO_MEMORY_RETRY_SECONDS,
    read_body,
    share_request_memory,
)
from orchidpath.wire.http_server import BoundedHttpServer
from orchidpath.wire.messages import AttemptReport, CircuitsView, CounterReport
from orchidpath.wire.records import FleetView

MAXIMUM_ANNOUNCEMENT_BYTES = 256 * 1024
"""Maximum size of a worker's announcement."""

BODY_TIMEOUT_SECONDS = 10.0
"""A request whose body takes longer to arrive is rejected; nothing of it was dispatched."""

DRAINING_RETRY_SECONDS = 1.0
"""``Retry-After`` of a draining router; short, as the caller can retry on another router."""

SHUTDOWN_GRACE_SECONDS = 0.5
"""After the drain time, requests that still run are aborted within this time."""

CLIENT_DISCONNECTED_STATUS = 499
"""Status of a request whose caller disconnected; seen only by the HTTP library."""

_Read = Callable[[web.Request, str, RoutingState, float], Awaitable[Intake]]


class EdgeServer:
    """HTTP server for callers, workers and probes, on one address.

    Parameters
    ----------
    settings
        Address and timeouts.
    fleet
        The rest of the fleet.
    random
        Source of randomness.
    clock
        Monotonic clock.
    recorder
        Writes the decision log; None when no decision log is written.
    """

    def __init__(
        self,
        settings: RouterSettings,
        fleet: FleetAccess,
        random: Random,
        clock: Clock,
        recorder: DecisionRecorder | None = None,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._clock = clock
        self._logger: Logger = get_logger("http_edge")
        self._state = RoutingState(fleet, random)
        self._decisions = DecisionMaker(
            fleet, self._state, settings.decision_timeout_seconds, clock, recorder
        )
        self._drain = DrainState()
        self._metrics = RouterMetrics()
        self._tasks = BackgroundTasks()
        self._health = HealthPages(fleet, self._drain, clock)
        self._client: BackendClient | None = None
        self._server: BoundedHttpServer | None = None

    @property
    def address(self) -> str:
        """``IP:port`` on which the server listens; available after :meth:`start`."""
        assert self._server is not None
        return self._server.address

    async def start(self) -> None:
        """Listen for requests; raise OSError if the address cannot be bound."""
        self._client = BackendClient()
        # When a caller disconnects, its handler is cancelled, and that cancels the attempt.
        self._server = BoundedHttpServer(
            self._application(),
            shutdown_seconds=SHUTDOWN_GRACE_SECONDS,
            handler_cancellation=True,
        )
        await self._server.start(self._settings.http_address)

    async def stop(self, drain_seconds: float) -> None:
        """Reject new requests, let running ones finish for a bounded time, then close.

        Parameters
        ----------
        drain_seconds
            Time for running requests to finish.
        """
        self._drain.begin()
        if not await self._drain.wait_until_idle(drain_seconds):
            self._logger.warning("requests_cut_off", count=self._drain.in_flight)
        if self._server is not None:
            await self._server.close()
        await self._tasks.close(SHUTDOWN_GRACE_SECONDS)
        if self._client is not None:
            await self._client.close()

    def view_adopted(self, view: FleetView) -> None:
        """Apply a newly adopted view."""
        self._state.adopt(view)

    def circuits_received(self, circuits: CircuitsView) -> None:
        """Store the circuits agreed by the control tier as the last known ones."""
        self._state.apply_circuits(circuits, self._clock())

    def counter_report(
        self, term: int, unacknowledged: tuple[AttemptReport, ...] = ()
    ) -> CounterReport:
        """Return this router's own counters for a new leader, without unacknowledged reports."""
        return self._state.fallback.counter_report(term, self._clock(), unacknowledged)

    def _application(self) -> web.Application:
        memory = RequestMemory()
        memory.permit(MAXIMUM_BODY_BYTES)
        application = web.Application(middlewares=[self._answer_errors])
        share_request_memory(application, memory)
        router = application.router
        router.add_get("/health/live", self._health.live)
        router.add_get("/health/ready", self._health.ready)
        router.add_get("/metrics", self._show_metrics)
        router.add_post("/v1/workers/announce", self._announce)
        router.add_post("/v1/chat/completions", self._chat)
        router.add_route("*", "/{path:.*}", self._plain)
        return application

    async def _show_metrics(self, _request: web.Request) -> web.StreamResponse:
        return self._metrics.page()

    async def _announce(self, request: web.Request) -> web.StreamResponse:
        try:
            body = await read_body(request, MAXIMUM_ANNOUNCEMENT_BYTES, BODY_TIMEOUT_SECONDS)
            announcement = decode_announcement(body)
        except InvalidAnnouncementError as problem:
            return error_response(refusal(ErrorCode.BAD_REQUEST, str(problem), ""))
        reply = await self._fleet.announce(announcement)
        return web.Response(body=msgspec.json.encode(reply), content_type="application/json")

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, read_chat)

    async def _plain(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, read_plain)

    async def _serve(self, request: web.Request, read: _Read) -> web.StreamResponse:
        request_id = request_id_of(request, self._state.random)
        refused = self._refusal(request_id)
        if refused is not None:
            return self._refuse(refused)
        self._drain.enter()
        self._metrics.in_flight.set(self._drain.in_flight)
        try:
            intake = await self._read(request, request_id, read)
            return await self._admit(request, intake)
        except RefusedError as problem:
            return self._refuse(problem.error)
        finally:
            self._drain.leave()
            self._metrics.in_flight.set(self._drain.in_flight)

    async def _read(self, request: web.Request, request_id: str, read: _Read) -> Intake:
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                return await read(request, request_id, self._state, self._clock())
        except TimeoutError as problem:
            message = f"the body did not arrive within {BODY_TIMEOUT_SECONDS:g} s"
            error = refusal(ErrorCode.BAD_REQUEST, message, request_id)
            raise RefusedError(error) from problem

    def _refusal(self, request_id: str) -> ErrorBody | None:
        """Return the error if this router accepts no requests now, otherwise None."""
        if self._drain.is_draining:
            return refusal(
                ErrorCode.DRAINING,
                "this router is stopping",
                request_id,
                retry_after_seconds=DRAINING_RETRY_SECONDS,
            )
        now = self._clock()
        if self._fleet.is_fresh(now) and self._state.refresh():
            return None
        return refusal(
            ErrorCode.NOT_FRESH,
            self._fleet.freshness_reason(now),
            request_id,
            retry_after_seconds=self._fleet.seconds_until_fresh_hint(),
        )

    def _refuse(self, error: ErrorBody) -> web.Response:
        self._metrics.requests.labels("", error.code.value).inc()
        response = error_response(error)
        if error.code is ErrorCode.DRAINING:
            response.force_close()
        return response

    async def _admit(self, request: web.Request, intake: Intake) -> web.StreamResponse:
        request_id = intake.routed.plan.request_id
        admission = self._state.admission
        admitted = admission.admit(request_id, intake.tenant, intake.cost_tokens, self._clock())
        if isinstance(admitted, Rejected):
            return self._refuse(admission_error(admitted, request_id))
        try:
            return await self._run(request, intake)
        finally:
            admission.release(request_id, self._clock())

    async def _run(self, request: web.Request, intake: Intake) -> web.StreamResponse:
        sink = self._sink(request, intake)
        runner = RequestRunner(self._environment(), intake.routed, sink)
        try:
            await runner.run()
        except ConnectionError:
            # The caller disconnected or stopped reading, so that no response can be sent.
            self._logger.debug("caller_gone", request_id=intake.routed.plan.request_id)
            return sink.response or web.Response(status=CLIENT_DISCONNECTED_STATUS)
        except Exception:
            if sink.response is None:
                raise
            # A second response must not be written into a stream that has already started.
            self._logger.exception("stream_failed", request_id=intake.routed.plan.request_id)
            close_uncleanly(request)
        assert sink.response is not None
        return sink.response

    def _sink(self, request: web.Request, intake: Intake) -> ResponseSink:
        plan = intake.routed.plan
        if not plan.is_model:
            return PlainSink(plan.request_id)
        identity = ChatIdentity(
            request_id=plan.request_id,
            model=intake.routed.subject.model,
            created=int(time.time()),
        )
        if intake.streaming:
            return StreamSink(request, identity)
        return CompletionSink(identity)

    def _environment(self) -> RunnerEnvironment:
        assert self._client is not None
        return RunnerEnvironment(
            state=self._state,
            decisions=self._decisions,
            client=self._client,
            tasks=self._tasks,
            metrics=self._metrics,
            clock=self._clock,
            not_fresh_retry_seconds=self._fleet.seconds_until_fresh_hint(),
        )

    @web.middleware
    async def _answer_errors(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Answer errors of handlers and of the HTTP library in the common error format."""
        try:
            return await handler(request)
        except web.HTTPServiceUnavailable:
            message = "too many requests are arriving"
            retry_seconds = float(NO_MEMORY_RETRY_SECONDS)
            return self._refuse(
                refusal(ErrorCode.OVERLOADED, message, "", retry_after_seconds=retry_seconds)
            )
        except web.HTTPException as refused:
            error = refusal(ErrorCode.BAD_REQUEST, refused.reason, "")
            response = error_response(error)
            response.set_status(refused.status)
            return response
        except Exception:
            self._logger.exception("request_failed", path=request.path)
            message = "the router failed"
            return error_response(refusal(ErrorCode.INTERNAL, message, "", ran=Ran.UNKNOWN))


def create_edge(
    settings: RouterSettings,
    fleet_access: FleetAccess,
    random: Random,
    clock: Clock,
    recorder: DecisionRecorder | None = None,
) -> EdgeServer:
    """Return the HTTP edge of a router.

    Parameters
    ----------
    settings
        The router's settings.
    fleet_access
        The rest of the fleet.
    random
        Source of randomness.
    clock
        Monotonic clock.
    recorder
        Writes the decision log; None when no decision log is written.

    Returns
    -------
    EdgeServer
        The edge, which does not listen before :meth:`EdgeServer.start`.
    """
    return EdgeServer(settings, fleet_access, random, clock, recorder)
