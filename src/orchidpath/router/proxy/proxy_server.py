"""HTTP server for callers of forward routes, and for probes: accepts and bounds the connections."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from orchidpath.common.addresses import parse_address
from orchidpath.common.clock import Clock
from orchidpath.common.request_memory import RequestMemory
from orchidpath.router.proxy.caller_connection import (
    CallerConnection,
    ConnectionOwner,
    RequestHandler,
)
from orchidpath.router.proxy.proxy_metrics import ProxyMetrics
from orchidpath.router.proxy.request_reader import ReadingLimits
from orchidpath.wire.configuration import EdgeLimits

LISTEN_BACKLOG = 512
"""Number of new connections that the kernel queues until they are accepted."""

DEFAULT_MAX_CONNECTIONS = 2048
"""Default of the largest number of connections that are open at once."""


class ProxyServer(ConnectionOwner):
    """Accepts connections of callers at one address.

    Parameters
    ----------
    address
        ``IP:port`` to listen on; port 0 selects a free port.
    handle
        Responds to a request.
    limits
        Returns the current limits on requests.
    is_draining
        Returns whether connections close after their current response.
    clock
        Monotonic clock.
    memory
        Memory for the requests; by default, a memory of this server alone.
    max_connections
        Largest number of open connections. For a further one, the connection is closed that has
        not carried a request for the longest time; without such a one, the further one is.
    metrics
        Counts rejected requests and closed connections; by default, metrics of this server alone.
    """

    def __init__(
        self,
        address: str,
        handle: RequestHandler,
        limits: Callable[[], EdgeLimits],
        is_draining: Callable[[], bool],
        clock: Clock,
        memory: RequestMemory | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        metrics: ProxyMetrics | None = None,
    ) -> None:
        super().__init__(
            handle, is_draining, ReadingLimits(limits, memory or RequestMemory(), clock)
        )
        self.address = address
        self.connections: OrderedDict[CallerConnection, None] = OrderedDict()
        self._metrics = metrics or ProxyMetrics()
        self._max_connections = max_connections
        self._server: asyncio.Server | None = None
        self._connection_closed = asyncio.Event()

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        host, port = parse_address(self.address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{bound_port}"

    def stop_listening(self) -> None:
        """Accept no further connections, and no further requests on open connections.

        Idle connections are closed now: their callers can't be notified otherwise before they send
        a request, and a request accepted this late may not have enough time to finish.
        """
        self.is_stopped = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            if connection.is_resting:
                connection.close()

    def connection_opened(self, connection: CallerConnection) -> bool:
        """Register a connection; return False if there is no room for it."""
        if len(self.connections) >= self._max_connections and not self._close_one():
            self._metrics.closed_for_room.inc()
            return False
        self.connections[connection] = None
        return True

    def request_finished(self, connection: CallerConnection) -> None:
        """Record that a request of a connection was answered."""
        if connection in self.connections:
            self.connections.move_to_end(connection)

    def request_rejected(self, status: int) -> None:
        """Count a request that was rejected before it was read completely."""
        self._metrics.count_rejected(status)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Forget a connection."""
        self.connections.pop(connection, None)
        self._connection_closed.set()

    async def wait_until_closed(self, seconds: float) -> bool:
        """Wait until the requests that have begun to arrive are answered, after `stop_listening`.

        Returns
        -------
        bool
            False if a connection is still open after this time, in seconds.
        """
        try:
            async with asyncio.timeout(seconds):
                while self.connections:
                    self._connection_closed.clear()
                    await self._connection_closed.wait()
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.close()

    def _close_one(self) -> bool:
        """Close the connection that has served no request for the longest time.

        Its request, if any, has not arrived completely, so nothing of it was executed. Return False
        if every connection has a request that is being served.
        """
        for connection in self.connections:
            if not connection.is_serving:
                del self.connections[connection]
                connection.abort()
                self._metrics.closed_for_room.inc()
                return True
        return False
