"""A router process and its setting ``decision_log``, with a fake fleet in place of its link."""

from pathlib import Path
from typing import Any

import aiohttp
import pytest
from edge_fakes import FakeBackend, FakeFleet, view_of

from orchidpath.common.settings import RouterSettings
from orchidpath.router import process as process_module
from orchidpath.router.process import RouterProcess
from orchidpath.routing.decision_log import DecisionLine, PolicyLine, ReportLine, decode_line
from orchidpath.wire.records import Stage


class LinkedFleet(FakeFleet):
    """A fake fleet with the life-cycle methods of a control link."""

    def set_listener(self, _listener: object) -> None:
        pass

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass


@pytest.mark.parametrize("is_on", [True, False])
async def test_the_decision_log_is_written_only_when_configured(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_on: bool
) -> None:
    backend = FakeBackend("s1", Stage.PLAIN)
    await backend.start()
    fleet = LinkedFleet(view_of([backend], repeatable=True))
    monkeypatch.setattr(process_module, "ControlLink", lambda *_arguments: fleet)
    path = tmp_path / "decisions.log"
    options: dict[str, Any] = {"decision_log": str(path)} if is_on else {}
    settings = RouterSettings(
        node_id="router-1",
        fleet="fleet",
        wire_address="127.0.0.1:0",
        http_address="127.0.0.1:0",
        seeds=[],
        **options,
    )
    router = RouterProcess(settings)
    await router.start()
    url = f"http://{router._edge.address}/stock/1"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        assert response.status == 200
    await router.stop(1.0)
    await backend.stop()
    assert path.exists() == is_on
    if is_on:
        kinds = [type(decode_line(line)) for line in path.read_bytes().splitlines()]
        assert kinds == [PolicyLine, DecisionLine, ReportLine]
