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

    def count_outcome(self, route: str, outcome: str) -> None:
        """Count a request by its outcome: an HTTP status, or why it was abandoned."""
        self.requests.labels(route, outcome).inc()

    def page(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        return self._metrics.exposition()
