"""Liveness and readiness probes of a router.

A router is ready only while it holds a lease to serve and is not draining. If it is not ready, the
response states the reason for the operator.
"""

import msgspec
from aiohttp import web

from orchidpath.common.clock import Clock
from orchidpath.router.drain import DrainState
from orchidpath.router.fleet_link.fleet_access import FleetAccess

DRAINING_REASON = "draining"


class Readiness(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /health/ready``."""

    ready: bool
    reason: str = ""
    revision: int = 0
    configuration_version: int = 0


class Liveness(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /health/live``."""

    live: bool


class HealthPages:
    """Responds to the health probes, for example of a load balancer in front of the routers.

    Parameters
    ----------
    fleet
        Provides the fleet view and whether it is fresh enough to serve by.
    drain
        Provides whether the router is draining.
    clock
        Monotonic clock.
    """

    def __init__(self, fleet: FleetAccess, drain: DrainState, clock: Clock) -> None:
        self._fleet = fleet
        self._drain = drain
        self._clock = clock

    async def live(self, _request: web.Request) -> web.Response:
        """Respond with 200, which shows that the event loop of the process is running."""
        return _page(Liveness(live=True), 200)

    async def ready(self, _request: web.Request) -> web.Response:
        """Respond with 200 while the router serves new requests, else with 503 and the reason."""
        readiness = self.readiness()
        return _page(readiness, 200 if readiness.ready else 503)

    def readiness(self) -> Readiness:
        """Return whether the router serves new requests now, and the reason if it does not."""
        view = self._fleet.view()
        now = self._clock()
        ready = self._fleet.is_fresh(now)
        reason = "" if ready else self._fleet.freshness_reason(now)
        if self._drain.is_draining:
            ready = False
            reason = DRAINING_REASON
        return Readiness(
            ready=ready,
            reason=reason,
            revision=view.revision if view is not None else 0,
            configuration_version=view.configuration_version if view is not None else 0,
        )


def _page(body: msgspec.Struct, status: int) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )
