"""Metrics and log events of the limits that an HTTP server sets to all its callers together."""

from orchidpath.common.clock import Clock, monotonic_seconds
from orchidpath.common.logs import Logger, get_logger
from orchidpath.common.metrics import Metrics
from orchidpath.common.request_memory import RequestMemory
from orchidpath.common.response_memory import ResponseMemory

WARNING_PERIOD_SECONDS = 60.0
"""An event of one kind is logged at most once in this time, however many callers meet a limit."""


class HttpServerMetrics:
    """Counts the callers that met a limit of one server.

    Parameters
    ----------
    metrics
        Gets the metrics; by default, metrics of this server alone.
    clock
        Monotonic clock.
    """

    def __init__(self, metrics: Metrics | None = None, clock: Clock = monotonic_seconds) -> None:
        metrics = metrics or Metrics()
        self._clock = clock
        self._logger: Logger = get_logger("http_server")
        self._warned_at: dict[str, float] = {}
        self._rejected = metrics.counter(
            "rejected_requests", "Requests rejected before they were read completely.", ("status",)
        )
        self._closed_for_room = metrics.counter(
            "connections_closed_for_room", "Connections closed because too many were open."
        )
        self._broken_off = metrics.counter(
            "responses_broken_off", "Large responses that callers did not read.", ("reason",)
        )
        self._request_bytes = metrics.gauge(
            "request_memory_bytes", "Bytes held for requests that arrive or are served."
        )
        self._response_bytes = metrics.gauge(
            "response_memory_bytes", "Bytes of large responses that are being sent."
        )

    def watch_memory(self, requests: RequestMemory, responses: ResponseMemory) -> None:
        """Show what two memories hold at each reading of the metrics."""
        self._request_bytes.set_function(lambda: requests.held_bytes)
        self._response_bytes.set_function(lambda: responses.held_bytes)

    def request_rejected(self, status: int) -> None:
        """Record that a request was rejected before it was read completely."""
        self._rejected.labels(str(status)).inc()
        if self._may_warn("requests_rejected"):
            self._logger.warning("requests_rejected", status=status)

    def connection_closed_for_room(self) -> None:
        """Record that a connection was closed because too many were open."""
        self._closed_for_room.inc()
        if self._may_warn("connections_closed_for_room"):
            self._logger.warning("connections_closed_for_room")

    def response_broken_off(self, reason: str) -> None:
        """Record that the connection of a caller that does not read a response was closed."""
        self._broken_off.labels(reason).inc()
        if self._may_warn("responses_broken_off"):
            self._logger.warning("responses_broken_off", reason=reason)

    def _may_warn(self, event: str) -> bool:
        now = self._clock()
        warned_at = self._warned_at.get(event)
        if warned_at is not None and now - warned_at < WARNING_PERIOD_SECONDS:
            return False
        self._warned_at[event] = now
        return True
