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
"""Bucket bounds of all latency histograms, in seconds; equal bounds make them comparable."""

_NAMESPACE = "orchidpath"


class Metrics:
    """Creates the metrics of one process, in one registry and with one name prefix."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

    def counter(self, name: str, documentation: str, labels: tuple[str, ...] = ()) -> Counter:
        """Return a new counter; the prefix and ``_total`` are added to its name."""
        return Counter(name, documentation, labels, namespace=_NAMESPACE, registry=self.registry)

    def gauge(self, name: str, documentation: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Return a new gauge; the prefix is added to its name."""
        return Gauge(name, documentation, labels, namespace=_NAMESPACE, registry=self.registry)

    def latency(self, name: str, documentation: str, labels: tuple[str, ...] = ()) -> Histogram:
        """Return a new histogram of seconds; its name should end in ``_seconds``."""
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
