"""``orchidpath plan`` against a fake control process with scripted replies."""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest
from aiohttp import web
from click.testing import CliRunner, Result

from orchidpath.cli.main import orchidpath
from orchidpath.control.api.plan_bodies import PlanBody
from orchidpath.placement.planner import make_preview
from orchidpath.state.plans import PlanProgress, PlanRecord, PlanStatus, StepProgress
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.records import FleetView, Stage, WorkerRecord

WORKERS = tuple(
    WorkerRecord(
        worker_id=f"w{number}",
        incarnation="1",
        service="chat",
        stage=Stage.PREFILL if number < 3 else Stage.DECODE,
        url="http://w",
        zone="north",
        failure_domain="rack",
    )
    for number in range(4)
)


def plan_body() -> PlanBody:
    service = Service(
        name="chat", kind=ServiceKind.MODEL, models=["m"], prefill_workers=2, decode_workers=2
    )
    view = FleetView(
        revision=4,
        configuration_version=2,
        configuration=Configuration(services=[service]),
        workers=WORKERS,
    )
    preview = make_preview(view)
    steps = tuple(StepProgress() for _ in preview.plan.steps)
    progress = PlanProgress(status=PlanStatus.HALTED, steps=steps, reason="by an operator")
    return PlanBody(preview=preview, newest=PlanRecord(plan=preview.plan, progress=progress))


class FakeControl:
    """Fake control process that gives a scripted reply and records the plan actions."""

    def __init__(self) -> None:
        self.status = 200
        self.body: object = None
        self.actions: list[tuple[str, dict[str, Any]]] = []
        self.url = ""

    async def handle(self, request: web.Request) -> web.Response:
        if request.method == "POST":
            self.actions.append((request.path, await request.json()))
        return web.Response(body=msgspec.json.encode(self.body), status=self.status)


@pytest.fixture
async def control() -> AsyncIterator[FakeControl]:
    fake = FakeControl()
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", fake.handle)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    fake.url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    yield fake
    await runner.cleanup()


async def run(control: FakeControl, *arguments: str) -> Result:
    command = ["plan", *arguments, "--control", control.url]
    return await asyncio.to_thread(CliRunner().invoke, orchidpath, command)


async def test_show_lists_each_worker_that_would_move(control: FakeControl) -> None:
    control.body = plan_body()
    result = await run(control, "show")
    assert result.exit_code == 0
    body = plan_body()
    step = body.preview.plan.steps[0]
    assert f"plan {body.preview.plan.plan_id}" in result.output
    assert f"1. {step.worker_id} of chat: prefill -> decode" in result.output
    assert "chat: prefill 3 -> 2, decode 1 -> 2" in result.output
    assert "1 cordoned at once" in result.output
    assert "halted (by an operator)" in result.output
    as_json = await run(control, "show", "--json")
    assert msgspec.json.decode(as_json.output.encode(), type=PlanBody) == body


@pytest.mark.parametrize("action", ["confirm", "halt", "resume", "cancel"])
async def test_actions_carry_the_plan_and_their_id(control: FakeControl, action: str) -> None:
    control.body = {"plan_id": "p", "order_id": "o", "action": action}
    result = await run(control, action, "p", "--order-id", "o", "--json")
    assert result.exit_code == 0
    assert control.actions == [(f"/v1/plan/{action}", {"plan_id": "p", "order_id": "o"})]
    assert json.loads(result.output)["action"] == action


async def test_a_stale_plan_is_rejected_and_the_current_one_printed(control: FakeControl) -> None:
    control.status = 409
    control.body = {
        "error": {"code": "plan_stale", "message": "not what would be done"},
        "preview": plan_body().preview,
    }
    result = await run(control, "confirm", "old")
    assert result.exit_code == 2
    assert "refused (plan_stale)" in result.output
    assert plan_body().preview.plan.plan_id in result.output


async def test_after_an_unknown_outcome_the_message_gives_the_command_to_repeat(
    control: FakeControl,
) -> None:
    control.status = 503
    control.body = {"error": {"code": "no_leader", "message": "lost", "taken": "unknown"}}
    result = await run(control, "confirm", "p", "--order-id", "o")
    assert result.exit_code == 1
    assert "orchidpath plan confirm p --order-id o" in result.output
    control.body = {"error": {"code": "no_leader", "message": "none", "taken": "no"}}
    assert "not accepted, nothing changed" in (await run(control, "halt", "p")).output
