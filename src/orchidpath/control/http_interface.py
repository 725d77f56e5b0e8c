"""Serves a control process's calls over HTTP: operators, plans, workers and further adapters.

Loading the HTTP library takes about as long as loading all the rest of a control process. A process
that starts takes part in the fleet first and loads this module in a thread meanwhile.
"""

from collections.abc import Callable

import prometheus_client
from aiohttp import web

from orchidpath.control.access import LocalControlAccess
from orchidpath.control.operator_api import create_operator_app
from orchidpath.control.plan_api import add_plan_routes

SHUTDOWN_SECONDS = 0.5
"""Bound on the wait for calls under way when the interface closes."""

RouteAdder = Callable[[web.Application, LocalControlAccess], None]
"""Adds calls to the application that a control process serves."""


class HttpInterface:
    """The application of one control process, at one address.

    Parameters
    ----------
    access
        The control process.
    registry
        Metrics to show.
    add_routes
        Adds further calls; None for none.
    """

    def __init__(
        self,
        access: LocalControlAccess,
        registry: prometheus_client.CollectorRegistry,
        add_routes: RouteAdder | None,
    ) -> None:
        app = create_operator_app(access, registry)
        add_plan_routes(app, access)
        if add_routes is not None:
            add_routes(app, access)
        self._runner = web.AppRunner(app, access_log=None)

    async def start(self, address: str) -> None:
        """Listen at ``IP:port``; OSError when the address can't be had."""
        await self._runner.setup()
        host, port = address.rsplit(":", 1)
        site = web.TCPSite(self._runner, host, int(port), shutdown_timeout=SHUTDOWN_SECONDS)
        await site.start()

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self._runner.cleanup()
