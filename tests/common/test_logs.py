import io
import json
import sys

import pytest

from orchidpath.common.logs import configure_logs, get_logger


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
