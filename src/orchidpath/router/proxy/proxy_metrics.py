"""Prometheus metrics of forwarded requests."""

from orchidpath.common.metrics import Metrics


class ProxyMetrics:
    """Counters of the requests that one router forwards and of their attempts."""

    def __init__(self) -> None:
        self._metrics = Metrics()
        self.requests = self._metrics.counter(
            "forwarded_requests", "Forwarded requests by route and outcome.", ("route", "outcome")
        )
        self.attempts = self._metrics.counter(
            "forward_attempts", "Orders to workers by stage and effect.", ("stage", "effect")
        )
        self.rejected = self._metrics.counter(
            "rejected_requests", "Requests rejected before they were read completely.", ("status",)
        )
        self.closed_for_room = self._metrics.counter(
            "connections_closed_for_room", "Connections closed because too many were open."
        )

    def count_rejected(self, status: int) -> None:
        """Count a request that was rejected before it was read completely, by its status."""
        self.rejected.labels(str(status)).inc()

    def count_outcome(self, route: str, outcome: str) -> None:
        """Count a request by its outcome: an HTTP status, or why it was abandoned."""
        self.requests.labels(route, outcome).inc()

    def page(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        return self._metrics.exposition()
