"""Metrics of one process in Prometheus text format; each process has its own registry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

METRICS_CONTENT_TYPE = CONTENT_TYPE_LATEST
"""Content type of :meth:`Metrics.exposition`."""

LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
"""Bucket bounds of every latency histogram, so that all of them compare."""

_NAMESPACE = "orchidpath"


class Metrics:
    """Makes the metrics of one process, all in one registry and under one name prefix."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

    def counter(self, name: str, documentation: str, labels: tuple[str, ...] = ()) -> Counter:
        """Make a counter; its name gets the prefix and ``_total``."""
        return Counter(name, documentation, labels, namespace=_NAMESPACE, registry=self.registry)

    def gauge(self, name: str, documentation: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Make a gauge."""
        return Gauge(name, documentation, labels, namespace=_NAMESPACE, registry=self.registry)

    def latency(self, name: str, documentation: str, labels: tuple[str, ...] = ()) -> Histogram:
        """Make a histogram of seconds; give it a name that ends in ``_seconds``."""
        return Histogram(
            name,
            documentation,
            labels,
            namespace=_NAMESPACE,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )

    def exposition(self) -> bytes:
        """Return every metric in Prometheus text format."""
        return generate_latest(self.registry)
