import io
import json
import sys
from random import Random

import pytest

from orchidpath.common.addresses import AddressError, format_address, parse_address
from orchidpath.common.backoff import Backoff
from orchidpath.common.logs import configure_logs, get_logger
from orchidpath.common.metrics import Metrics


def test_backoff_grows_to_its_cap_and_resets() -> None:
    backoff = Backoff(0.1, 1.0, Random(3))
    for bound in (0.1, 0.2, 0.4, 0.8, 1.0, 1.0):
        assert 0.05 <= backoff.next_delay_seconds() <= bound
    backoff.reset()
    assert backoff.next_delay_seconds() <= 0.1


@pytest.mark.parametrize("address", ["127.0.0.1:80", "[::1]:65535"])
def test_addresses_survive_a_round_trip(address: str) -> None:
    assert format_address(*parse_address(address)) == address


@pytest.mark.parametrize(
    "address", ["", "127.0.0.1", "localhost:80", "127.0.0.1:", "1.2.3.4:65536", "1.2.3.4:8²"]
)
def test_other_addresses_are_refused(address: str) -> None:
    with pytest.raises(AddressError):
        parse_address(address)


def test_logs_are_json_lines_with_bound_fields(monkeypatch: pytest.MonkeyPatch) -> None:
    stream = io.StringIO()
    monkeypatch.setattr(sys, "stderr", stream)
    configure_logs("warning", node_id="router-1", role="router")
    logger = get_logger("links", peer="b")
    logger.info("dropped")
    logger.warning("link_down", error="reset")
    (line,) = stream.getvalue().splitlines()
    entry = json.loads(line)
    assert entry["event"] == "link_down"
    assert entry["node_id"] == "router-1"
    assert entry["component"] == "links"
    assert entry["peer"] == "b"
    assert entry["level"] == "warning"


def test_metrics_have_one_prefix_and_one_registry() -> None:
    metrics = Metrics()
    metrics.counter("requests", "Requests taken.", ("route",)).labels("wine").inc()
    metrics.latency("first_token_seconds", "Time to first token.").observe(0.2)
    text = metrics.exposition().decode()
    assert 'orchidpath_requests_total{route="wine"} 1.0' in text
    assert 'orchidpath_first_token_seconds_bucket{le="0.25"} 1.0' in text
