"""HTTP server of aiohttp applications that bounds its connections.

No crowd of callers takes all descriptors of the process: the oldest connection gives way.
"""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from orchidpath.common.addresses import parse_address
from orchidpath.common.descriptors import connections_within
from orchidpath.common.response_memory import ResponseMemory
from orchidpath.wire.http_bodies import SHARED_BODIES
from orchidpath.wire.http_metrics import HttpServerMetrics
from orchidpath.wire.http_responses import LargeResponses

DEFAULT_MAX_CONNECTIONS = 1024
"""Default of the largest number of open connections."""

DESCRIPTOR_PART = 0.25
"""Part of the process's descriptors for these connections; twice as many are never open."""

LISTEN_BACKLOG = 128
"""Number of new connections that the kernel queues until they are accepted."""

READ_BUFFER_BYTES = 16_384
"""A connection receives no more while twice this much of a body waits to be read."""

UNREAD_BODY_SECONDS = 1.0
"""After an answer, the rest of a body is discarded for this long before the connection closes."""


class BoundedHttpServer:
    """Serves an application at one address.

    Parameters
    ----------
    app
        The application; its handlers read bodies as
        :func:`~orchidpath.wire.http_bodies.share_request_memory` says.
    shutdown_seconds
        Time that requests get to finish when the server closes.
    handler_cancellation
        Whether the handler of a request is cancelled when its caller disconnects.
    max_connections
        Largest number of open connections. For a further one, the oldest is closed: at once, also
        while a response is sent, or after its handler has returned if its request has arrived
        completely. Beyond twice as many, the further one is closed.
    responses
        Bounds the large responses; by default, with a memory of this server alone.
    metrics
        Counts the callers that meet a limit; by default, metrics of this server alone.
    """

    def __init__(
        self,
        app: web.Application,
        *,
        shutdown_seconds: float,
        handler_cancellation: bool = False,
        max_connections: int | None = None,
        responses: LargeResponses | None = None,
        metrics: HttpServerMetrics | None = None,
    ) -> None:
        self._metrics = metrics or HttpServerMetrics()
        self._bodies = app[SHARED_BODIES]
        self._bodies.request_rejected = self._metrics.request_rejected
        self.responses = responses or LargeResponses(ResponseMemory(), metrics=self._metrics)
        self._metrics.watch_memory(self._bodies.memory, self.responses.memory)
        app.middlewares.insert(0, self._record_serving)
        app.middlewares.insert(0, self.responses.send_by_pieces)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=handler_cancellation,
            shutdown_timeout=shutdown_seconds,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=UNREAD_BODY_SECONDS,
        )
        self._max_connections = max_connections or connections_within(
            DEFAULT_MAX_CONNECTIONS, DESCRIPTOR_PART
        )
        self._closing: set[web.RequestHandler] = set()
        self._serving: set[web.RequestHandler] = set()
        self._listener: asyncio.Server | None = None
        self.address = ""

    async def start(self, address: str) -> None:
        """Listen at ``IP:port``; port 0 selects a free port.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        await self._runner.setup()
        host, port = parse_address(address)
        self._listener = await asyncio.get_running_loop().create_server(
            self._accept, host, port, backlog=LISTEN_BACKLOG
        )
        bound_port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{host}:{bound_port}"

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._listener is not None:
            self._listener.close()
        await self._runner.cleanup()

    def _accept(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        server = self._runner.server
        assert server is not None
        connections = server.connections
        if len(connections) >= 2 * self._max_connections:
            self._metrics.connection_closed_for_room()
            return _RefusedConnection()
        if len(connections) >= self._max_connections:
            self._close_oldest(connections)
        return server()

    def _close_oldest(self, connections: list[web.RequestHandler]) -> None:
        self._closing.intersection_update(connections)
        for connection in connections:
            if connection not in self._closing:
                self._closing.add(connection)
                self._metrics.connection_closed_for_room()
                is_arriving = self._bodies.is_arriving(connection)
                if connection in self._serving and not is_arriving:
                    connection.close()
                else:
                    connection.force_close()
                return

    @web.middleware
    async def _record_serving(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Record that a connection has a request until its handler has returned."""
        self._serving.add(request.protocol)
        try:
            return await handler(request)
        finally:
            self._serving.discard(request.protocol)


class _RefusedConnection(asyncio.Protocol):
    """A connection that is closed at once, since too many others are open."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.abort()
