"""Names, types, labels and samples of the metrics of each process."""

from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from prometheus_client import CollectorRegistry

from orchidpath.common.metrics import METRICS_CONTENT_TYPE, Metrics
from orchidpath.common.settings import ControlSettings
from orchidpath.control.process import ControlProcess
from orchidpath.router.observability.metrics_page import RouterMetrics
from orchidpath.router.proxy.proxy_metrics import ProxyMetrics

MAX_LABELS = 5


def metrics() -> dict[str, Any]:
    """Return the metrics of each process of the current code."""
    return {
        "content type": METRICS_CONTENT_TYPE,
        "router": made_by(RouterMetrics),
        "router of forward routes": made_by(ProxyMetrics),
        "control": made_by(_control_process),
    }


def _control_process() -> ControlProcess:
    with TemporaryDirectory() as folder:
        settings = ControlSettings(
            node_id="c1",
            fleet="f",
            wire_address="127.0.0.1:7001",
            http_address="127.0.0.1:8001",
            seeds=["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"],
            data_folder=str(Path(folder) / "data"),
        )
        return ControlProcess(settings)


def made_by(make: Callable[[], object]) -> list[dict[str, Any]]:
    """Return the metrics that a part of a process creates, sorted by name."""
    registries: list[CollectorRegistry] = []
    original_init = Metrics.__init__

    def record_registry(created: Metrics) -> None:
        original_init(created)
        registries.append(created.registry)

    with patch.object(Metrics, "__init__", record_registry):
        owner = make()  # keeps the metrics alive until they are read
    found = [metric for registry in registries for metric in metrics_of(registry)]
    del owner
    return sorted(found, key=lambda metric: str(metric["name"]))


def metrics_of(registry: CollectorRegistry) -> list[dict[str, Any]]:
    """Return the metrics of a registry, with the names and labels of the samples of each."""
    for name in list(_collectors(registry)):
        _use(_collectors(registry)[name])
    return [
        {
            "name": metric.name,
            "type": metric.type,
            "samples": [
                {"name": sample.name, "labels": _shown(sample.labels)}
                for sample in metric.samples
                if not sample.name.endswith("_created")
            ],
        }
        for metric in registry.collect()
    ]


def _collectors(registry: CollectorRegistry) -> dict[str, Any]:
    collectors: dict[str, Any] = registry._names_to_collectors
    return collectors


def _use(metric: Any) -> None:
    """Create a sample of a metric with labels, which has none before its first use."""
    for number in range(1, MAX_LABELS + 1):
        try:
            metric.labels(*["any"] * number)
        except ValueError:
            continue
        return


def _shown(labels: dict[str, str]) -> dict[str, str]:
    return {name: labels[name] for name in sorted(labels)}
