from orchidpath.common.metrics import Metrics


def test_metrics_have_one_prefix_and_one_registry() -> None:
    metrics = Metrics()
    metrics.counter("requests", "Requests taken.", ("route",)).labels("wine").inc()
    metrics.latency("first_token_seconds", "Time to first token.").observe(0.2)
    text = metrics.exposition().decode()
    assert 'orchidpath_requests_total{route="wine"} 1.0' in text
    assert 'orchidpath_first_token_seconds_bucket{le="0.25"} 1.0' in text
