from pathlib import Path
from random import Random
from typing import Any

import pytest

from orchidpath.fleet.file import FleetFile, convert_fleet
from orchidpath.fleet.processes import ChildProcess
from orchidpath.fleet.runner import CallersFailedError, FleetRunner
from orchidpath.fleet.startup import FleetStartError

FLEET: dict[str, Any] = {
    "fleet": "small",
    "machines": [{"name": "a", "disk": True}, {"name": "b"}, {"name": "c"}],
    "workers": [
        {"name": "stock-1", "service": "stock", "stage": "plain", "options": ["--no-such-option"]}
    ],
    "configuration": {
        "services": [{"name": "stock", "kind": "plain"}],
        "routes": [{"name": "stock", "service": "stock", "method": "GET", "path": "/stock/{sku}"}],
    },
    "traffic": {"streams": []},
}


@pytest.fixture
def fleet() -> FleetFile:
    return convert_fleet(FLEET, "fleet")


async def test_a_process_that_ends_while_starting_fails_the_start_and_all_are_ended(
    fleet: FleetFile, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    children: list[ChildProcess] = []

    def record(*arguments: Any, **options: Any) -> ChildProcess:
        children.append(ChildProcess(*arguments, **options))
        return children[-1]

    monkeypatch.setattr("orchidpath.fleet.runner.ChildProcess", record)
    runner = FleetRunner(fleet, tmp_path, 1.0, lambda _line: None, Random(5))
    with pytest.raises(FleetStartError, match="stock-1"):
        await runner.run()
    assert len(children) == 6
    assert not any(child.is_running for child in children)
    assert "no-such-option" in (tmp_path / "logs" / "stock-1.log").read_text()


async def test_stopped_while_starting_ends_everything(fleet: FleetFile, tmp_path: Path) -> None:
    runner = FleetRunner(fleet, tmp_path, 1.0, lambda _line: None, Random(6))
    runner.stop()
    with pytest.raises(CallersFailedError):
        await runner.run()
