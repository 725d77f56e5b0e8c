import asyncio
import json
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from aiohttp import web
from click.testing import CliRunner, Result

from orchidpath.cli.main import orchidpath

CONFIGURATION: dict[str, Any] = {"services": [{"name": "stock", "kind": "plain"}], "routes": []}


class FakeControl:
    """Fake control process that gives a scripted reply or aborts, and records the updates."""

    def __init__(self) -> None:
        self.status = 200
        self.body: dict[str, Any] = {}
        self.aborts = False
        self.updates: list[dict[str, Any]] = []
        self.url = ""

    async def handle(self, request: web.Request) -> web.Response:
        if request.method == "PUT":
            self.updates.append(await request.json())
        if self.aborts:
            assert request.transport is not None
            request.transport.abort()
        return web.json_response(self.body, status=self.status)


@pytest.fixture
async def controls() -> AsyncIterator[list[FakeControl]]:
    fakes, runners = [FakeControl(), FakeControl()], []
    for fake in fakes:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", fake.handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        fake.url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        runners.append(runner)
    yield fakes
    for runner in runners:
        await runner.cleanup()


def unused_url() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{probe.getsockname()[1]}"


async def run(*arguments: str, **environment: str) -> Result:
    return await asyncio.to_thread(CliRunner(env=environment).invoke, orchidpath, list(arguments))


def configuration_file(tmp_path: Path) -> str:
    path = tmp_path / "configuration.json"
    path.write_text(json.dumps(CONFIGURATION))
    return str(path)


async def put(tmp_path: Path, *urls: str) -> Result:
    options = [option for url in urls for option in ("--control", url)]
    file = configuration_file(tmp_path)
    return await run("config", "put", file, "--base", "4", "--order-id", "order-1", *options)


async def test_confirmed_update(tmp_path: Path, controls: list[FakeControl]) -> None:
    controls[0].body = {"order_id": "order-1", "version": 5, "confirmed": True}
    result = await put(tmp_path, controls[0].url)
    assert result.exit_code == 0, result.output
    assert "confirmed as version 5" in result.output
    (update,) = controls[0].updates
    assert update["order_id"] == "order-1"
    assert update["base_version"] == 4
    assert update["configuration"]["services"][0]["name"] == "stock"


async def test_new_update_id_is_printed(tmp_path: Path, controls: list[FakeControl]) -> None:
    controls[0].body = {"order_id": "any", "version": 1, "confirmed": True}
    file = configuration_file(tmp_path)
    result = await run("config", "put", file, "--base", "0", ORCHIDPATH_CONTROL=controls[0].url)
    assert result.exit_code == 0, result.output
    assert f"order id: {controls[0].updates[0]['order_id']}" in result.output


async def test_accepted_update_that_is_not_confirmed_explains_how_to_query_it(
    tmp_path: Path, controls: list[FakeControl]
) -> None:
    controls[0].status = 202
    controls[0].body = {"order_id": "order-1", "version": 5, "confirmed": False}
    result = await put(tmp_path, controls[0].url)
    assert result.exit_code == 0
    assert "not confirmed yet" in result.output
    assert "--order-id order-1" in result.output


async def test_lost_reply_is_retried_elsewhere_with_the_same_update(
    tmp_path: Path, controls: list[FakeControl]
) -> None:
    controls[0].aborts = True
    controls[1].body = {"order_id": "order-1", "version": 5, "confirmed": True}
    result = await put(tmp_path, unused_url(), controls[0].url, controls[1].url)
    assert result.exit_code == 0, result.output
    # The HTTP client may retry an idempotent request, so the first process may receive it twice.
    (update,) = controls[1].updates
    assert update["order_id"] == "order-1"
    assert controls[0].updates
    assert all(repeated == update for repeated in controls[0].updates)


async def test_lost_reply_everywhere_explains_how_to_repeat_the_update(
    tmp_path: Path, controls: list[FakeControl]
) -> None:
    controls[0].aborts = True
    result = await put(tmp_path, controls[0].url)
    assert result.exit_code == 1
    assert "may have been accepted" in result.stderr
    assert "--base 4 --order-id order-1" in result.stderr


@pytest.mark.parametrize(
    ("accepted", "word"), [("no", "not accepted"), ("unknown", "may have been")]
)
async def test_without_a_leader_the_message_says_whether_the_update_was_accepted(
    tmp_path: Path, controls: list[FakeControl], accepted: str, word: str
) -> None:
    controls[0].status = 503
    controls[0].body = {"error": {"code": "no_leader", "message": "none", "taken": accepted}}
    result = await put(tmp_path, controls[0].url, unused_url())
    assert result.exit_code == 1
    assert word in result.stderr


async def test_conflict_reports_the_current_version_and_is_not_retried_elsewhere(
    tmp_path: Path, controls: list[FakeControl]
) -> None:
    controls[0].status = 409
    error = {"code": "version_conflict", "message": "not current"}
    controls[0].body = {"error": error, "current_version": 9}
    result = await put(tmp_path, controls[0].url, controls[1].url)
    assert result.exit_code == 2
    assert "version_conflict" in result.stderr
    assert "current version: 9" in result.stderr
    assert controls[1].updates == []


async def test_problems_found_by_control_are_printed(
    tmp_path: Path, controls: list[FakeControl]
) -> None:
    controls[0].status = 422
    error = {"code": "invalid_configuration", "message": "not valid"}
    problems = [{"path": "routes[0].path", "message": "x"}, {"path": "", "message": "y"}]
    controls[0].body = {"error": error, "problems": problems}
    result = await put(tmp_path, controls[0].url)
    assert result.exit_code == 2
    assert "routes[0].path: x" in result.stderr
    assert "configuration: y" in result.stderr


async def test_get_and_history(controls: list[FakeControl]) -> None:
    controls[0].status = 503
    controls[1].body = {"version": 3, "configuration": CONFIGURATION}
    options = ["--control", controls[0].url, "--control", controls[1].url]
    result = await run("config", "get", *options)
    assert msgspec.json.decode(result.stdout)["version"] == 3
    controls[1].body = {"history": []}
    result = await run("config", "history", *options)
    assert msgspec.json.decode(result.stdout) == {"history": []}


async def test_status_of_reachable_and_unreachable_processes(controls: list[FakeControl]) -> None:
    controls[0].body = {
        "node_id": "control-1.ab",
        "role": "leader",
        "term": 4,
        "leader_id": "control-1.ab",
        "ready": True,
        "configuration_version": 7,
    }
    lost = unused_url()
    result = await run("status", "--control", controls[0].url, "--control", lost)
    assert result.exit_code == 0, result.output
    assert "configuration version 7" in result.stdout
    assert f"{lost}: no answer" in result.stdout
    result = await run("status", "--json", "--control", lost)
    assert result.exit_code == 1
    assert msgspec.json.decode(result.stdout) == {lost: None}


async def test_undecodable_replies_cause_no_traceback(
    tmp_path: Path, controls: list[FakeControl]
) -> None:
    controls[0].body = {"unexpected": []}
    result = await put(tmp_path, controls[0].url)
    assert result.exit_code == 1
    assert "Traceback" not in result.output
    result = await run("config", "get", "--control", controls[0].url)
    assert result.exit_code == 1
    assert result.stderr.startswith("error: ")
