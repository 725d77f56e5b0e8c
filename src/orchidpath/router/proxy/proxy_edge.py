"""The router's HTTP edge for forward routes: serves callers, readiness probes and metrics.

While the router holds no lease, it rejects each request at once, before any part is executed. A
request that matches a route is served by a
:class:`~orchidpath.router.proxy.proxy_runner.ProxyRunner`.
"""

import asyncio
from random import Random

from orchidpath.common.clock import Clock
from orchidpath.common.descriptors import connections_within
from orchidpath.common.logs import Logger, get_logger
from orchidpath.common.request_memory import RequestMemory
from orchidpath.common.settings import RouterSettings
from orchidpath.forwarding.progress import RetryAfterRange
from orchidpath.forwarding.split import WeightedSplit
from orchidpath.router.background_tasks import BackgroundTasks
from orchidpath.router.decision_maker import DecisionMaker
from orchidpath.router.drain import DrainState
from orchidpath.router.fleet_link.fleet_access import FleetAccess
from orchidpath.router.proxy.caller_connection import CallerConnection
from orchidpath.router.proxy.protocol_mapping import MalformedRequestError, ProtocolMapping
from orchidpath.router.proxy.proxy_attempts import ProxyEnvironment
from orchidpath.router.proxy.proxy_messages import ForwardedRequest
from orchidpath.router.proxy.proxy_metrics import ProxyMetrics
from orchidpath.router.proxy.proxy_runner import ProxyRunner
from orchidpath.router.proxy.proxy_server import DEFAULT_MAX_CONNECTIONS, ProxyServer
from orchidpath.router.proxy.upstream import UpstreamPool
from orchidpath.router.routing_state import RoutingState
from orchidpath.wire.configuration import EdgeLimits
from orchidpath.wire.messages import AttemptReport, CircuitsView, CounterReport
from orchidpath.wire.records import FleetView

LINGER_SECONDS = 2.6
"""A stopping router accepts connections for this long, until readiness probes have removed it."""

POOL_SWEEP_SECONDS = 1.0
"""Interval at which connections to workers that were idle for too long are closed."""

TASKS_GRACE_SECONDS = 0.3
"""Time that background tasks get to finish after the last request."""

CALLERS_DESCRIPTOR_PART = 0.5
"""Part of the process's descriptors for connections of callers; workers need most of the rest."""

MAX_PROBE_CONNECTIONS = 256
"""Largest number of open connections for health and metrics."""

PROBES_DESCRIPTOR_PART = 0.125
"""Part of the process's descriptors for connections for health and metrics."""

PROBE_LIMITS = EdgeLimits(max_header_bytes=16_384, max_body_bytes=65_536)
"""Limits on requests for health and metrics, which need no body."""

NOT_FRESH_RETRY_AFTER = RetryAfterRange(shortest_seconds=1.0, longest_seconds=1.6)
"""Range of the Retry-After of a router that has lost its lease."""

FIRST_LEASE_SECONDS = 2.0
"""Time from a router's start to its first lease, also if the entire fleet starts with it.

Control processes take longer to start than routers: on slow cores, the bench showed 2.0 s from a
router's start to its first view. With a shorter Retry-After a caller returns too early, is rejected
a second time and abandons its request.
"""

STARTUP_RETRY_AFTER = RetryAfterRange(shortest_seconds=0.2, longest_seconds=0.6)
"""Range of the shortest Retry-After of a router that has not had a lease since its start."""


def startup_retry_after_seconds(share: float, since_start_seconds: float) -> float:
    """Return the Retry-After of a router that has not had a lease since its start, in seconds.

    Parameters
    ----------
    share
        Random number, uniform between 0 and 1, that spreads the callers.
    since_start_seconds
        Time since the router started, in seconds.
    """
    return STARTUP_RETRY_AFTER.seconds(share, FIRST_LEASE_SECONDS - since_start_seconds)


class ProxyEdge:
    """Serves forward routes at one address, and health and metrics at another.

    Parameters
    ----------
    settings
        Addresses, zone and timeouts of the router.
    fleet
        Access to the views and the leader of the fleet.
    protocol_mapping
        Maps metadata to and from the headers of requests, responses and dispatches.
    random
        Source of randomness.
    clock
        Monotonic clock.
    """

    def __init__(
        self,
        settings: RouterSettings,
        fleet: FleetAccess,
        protocol_mapping: ProtocolMapping,
        random: Random,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._random = random
        self._split = WeightedSplit(random)
        self._protocol_mapping = protocol_mapping
        self._logger: Logger = get_logger("forward_edge")
        self._state = RoutingState(fleet, random, settings.zone)
        self._drain = DrainState()
        self._tasks = BackgroundTasks()
        self._metrics = ProxyMetrics()
        self._pool = UpstreamPool(clock)
        self._environment = ProxyEnvironment(
            state=self._state,
            decisions=DecisionMaker(
                fleet, self._state, settings.decision_timeout_seconds, clock, None
            ),
            pool=self._pool,
            protocol_mapping=protocol_mapping,
            tasks=self._tasks,
            metrics=self._metrics,
            random=random,
            clock=clock,
        )
        self._memory = RequestMemory()
        self._callers = ProxyServer(
            settings.forward_address,
            self._serve,
            self._limits,
            self._is_draining,
            clock,
            self._memory,
            connections_within(DEFAULT_MAX_CONNECTIONS, CALLERS_DESCRIPTOR_PART),
            self._metrics,
        )
        self._probes = ProxyServer(
            settings.http_address,
            self._probe,
            lambda: PROBE_LIMITS,
            self._is_draining,
            clock,
            self._memory,
            connections_within(MAX_PROBE_CONNECTIONS, PROBES_DESCRIPTOR_PART),
            self._metrics,
        )
        self._sweep_task: asyncio.Task[None] | None = None
        self._started_at = clock()
        self._has_served = False

    @property
    def address(self) -> str:
        """``IP:port`` for callers, available after :meth:`start`."""
        return self._callers.address

    @property
    def probe_address(self) -> str:
        """``IP:port`` for health and metrics, available after :meth:`start`."""
        return self._probes.address

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If an address can't be bound.
        """
        await self._probes.start()
        await self._callers.start()
        self._sweep_task = asyncio.create_task(self._sweep_forever())

    async def stop(self, drain_seconds: float) -> None:
        """Report as not ready, let running requests finish, then close every connection.

        Parameters
        ----------
        drain_seconds
            Upper bound on the time until requests that still run are cut off.
        """
        self._drain.begin()
        started_at = self._clock()
        await asyncio.sleep(min(LINGER_SECONDS, drain_seconds))
        self._callers.stop_listening()
        remaining_seconds = drain_seconds - (self._clock() - started_at)
        if not await self._callers.wait_until_closed(max(remaining_seconds, 0.0)):
            self._logger.warning("requests_cut_off", count=len(self._callers.connections))
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        self._callers.close()
        self._probes.close()
        await self._tasks.close(TASKS_GRACE_SECONDS)
        self._pool.close()

    def view_adopted(self, view: FleetView) -> None:
        """Apply a newly adopted fleet view."""
        self._state.adopt(view)

    def circuits_received(self, circuits: CircuitsView) -> None:
        """Store the agreed circuit states as the most recent known ones."""
        self._state.apply_circuits(circuits, self._clock())

    def counter_report(
        self, term: int, unacknowledged: tuple[AttemptReport, ...] = ()
    ) -> CounterReport:
        """Return the attempt counters of this router, which a new leader requests."""
        return self._state.fallback.counter_report(term, self._clock(), unacknowledged)

    def _limits(self) -> EdgeLimits:
        limits = self._state.configuration.edge_limits
        self._memory.permit(limits.max_body_bytes)
        return limits

    def _is_draining(self) -> bool:
        return self._drain.is_draining

    async def _serve(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        self._drain.enter()
        try:
            await self._route(request, caller)
        finally:
            self._drain.leave()

    async def _route(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        if not self._serves():
            self._refuse(caller)
            return
        route = self._state.forward_routes.match(request.host, request.path)
        if route is None:
            caller.send_response(404, (), b"no such route")
            return
        try:
            request_metadata = self._protocol_mapping.read_request(request.headers)
        except MalformedRequestError as error:
            caller.send_response(400, (), str(error).encode())
            return
        service = self._state.service(self._split.next_service(route))
        runner = ProxyRunner(self._environment, request, request_metadata, route, service, caller)
        await runner.run()

    def _serves(self) -> bool:
        """Return whether this router holds a lease and has a configuration to serve by."""
        if not self._fleet.is_fresh(self._clock()) or not self._state.refresh():
            return False
        self._has_served = self._has_served or self._state.configuration_version > 0
        return self._state.configuration_version > 0

    def _refuse(self, caller: CallerConnection) -> None:
        share = self._random.random()
        if self._has_served:
            seconds = NOT_FRESH_RETRY_AFTER.seconds(share)
        else:
            seconds = startup_retry_after_seconds(share, self._clock() - self._started_at)
        headers = [(b"retry-after", b"%.2f" % seconds)]
        caller.send_response(503, headers, b"this router holds no lease to serve")

    async def _probe(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        match request.path:
            case self._protocol_mapping.ready_path:
                ready = self._serves() and not self._drain.is_draining
                caller.send_response(200 if ready else 503, (), b"")
            case "/health/live":
                caller.send_response(200, (), b"")
            case "/metrics":
                caller.send_response(200, (), self._metrics.page())
            case _:
                caller.send_response(404, (), b"")

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(POOL_SWEEP_SECONDS)
            self._pool.close_idle()
