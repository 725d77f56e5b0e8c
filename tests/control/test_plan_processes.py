"""A plan that is executed over real connections on loopback while its leader is stopped."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest

from orchidpath.common.errors import OrchidpathError
from orchidpath.common.settings import ControlSettings
from orchidpath.consensus.types import Role
from orchidpath.control.api.operator_client import OperatorClient
from orchidpath.control.process import ControlProcess
from orchidpath.emulators.backend.backend_shell import BackendSettings
from orchidpath.emulators.worker.engine_model import WorkerTiming
from orchidpath.emulators.worker.model_worker import ModelWorker
from orchidpath.state.plans import PlanStatus, StepPhase
from orchidpath.wire.messages import PlanAction
from orchidpath.wire.records import Stage, WorkerRecord

WAIT_SECONDS = 30.0
"""Upper bound of every wait, in seconds; no assertion depends on it."""

CONFIGURATION = {
    "services": [
        {
            "name": "chat",
            "kind": "model",
            "models": ["m"],
            "prefill_workers": 1,
            "decode_workers": 3,
        }
    ],
    "routes": [{"name": "chat", "service": "chat", "model": "m"}],
}


def unused_addresses(count: int) -> list[str]:
    with contextlib.ExitStack() as probes:
        addresses = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind(("127.0.0.1", 0))
            addresses.append(f"127.0.0.1:{probe.getsockname()[1]}")
        return addresses


class Fleet:
    """Three control processes, and emulated workers that announce themselves to them."""

    def __init__(self, folder: Path) -> None:
        wire, http = unused_addresses(3), unused_addresses(3)
        self.urls = [f"http://{address}" for address in http]
        self.settings = [
            ControlSettings(
                node_id=f"c{number}",
                fleet="plans",
                wire_address=wire[number],
                http_address=http[number],
                seeds=wire,
                data_folder=str(folder / f"c{number}"),
                formation_members=wire,
            )
            for number in range(3)
        ]
        self.controls: dict[int, ControlProcess] = {}
        self.workers: list[ModelWorker] = []

    async def start_control(self, number: int) -> None:
        self.controls[number] = ControlProcess(self.settings[number])
        await self.controls[number].start()

    async def start_worker(self, worker_id: str, stage: Stage) -> None:
        record = WorkerRecord(
            worker_id=worker_id,
            incarnation="1",
            service="chat",
            stage=stage,
            url="",
            models=("m",),
        )
        settings = BackendSettings(announce=tuple(self.urls), drain_seconds=1.0)
        worker = ModelWorker(record, settings, WorkerTiming())
        await worker.start()
        self.workers.append(worker)

    async def leader(self, client: OperatorClient) -> int:
        statuses = await client.statuses()
        for number, url in enumerate(self.urls):
            status = statuses[url]
            if number in self.controls and status is not None and status.role is Role.LEADER:
                return number
        raise AssertionError("no running control process reports that it is the leader")

    async def stop(self) -> None:
        for worker in self.workers:
            await worker.stop()
        for control in self.controls.values():
            await control.stop(0.0)


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    started = Fleet(tmp_path)
    try:
        for number in range(3):
            await started.start_control(number)
        for number in range(4):
            stage = Stage.PREFILL if number < 3 else Stage.DECODE
            await started.start_worker(f"w{number}", stage)
        yield started
    finally:
        await started.stop()


async def eventually(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition is true; an error of the control tier counts as false."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            with contextlib.suppress(OrchidpathError):
                if await condition():
                    return
            await asyncio.sleep(0.05)


async def test_a_plan_survives_its_leader_on_real_connections(fleet: Fleet) -> None:
    async with OperatorClient(fleet.urls) as client:

        async def configured() -> bool:
            await client.submit("one", 0, CONFIGURATION)
            return True

        async def all_announced() -> bool:
            return len((await client.plan()).preview.steps) == 2

        async def second_step_began() -> bool:
            newest = (await client.plan()).newest
            return newest is not None and newest.progress.steps[1].phase is not StepPhase.WAITING

        async def done() -> bool:
            newest = (await client.plan()).newest
            return newest is not None and newest.progress.status is PlanStatus.DONE

        await eventually(configured)
        await eventually(all_announced)
        plan_id = (await client.plan()).preview.plan.plan_id
        await client.request_plan_action(PlanAction.CONFIRM, plan_id, "two")
        await eventually(second_step_began)
        leader = await fleet.leader(client)
        await fleet.controls.pop(leader).stop(0.0)
        await eventually(done)
        stages = sorted(worker.core.record.stage for worker in fleet.workers)
        assert stages == [Stage.DECODE, Stage.DECODE, Stage.DECODE, Stage.PREFILL]
        assert not any(worker.core.draining for worker in fleet.workers)
        # Another leader returns the first outcome of the action that the stopped one accepted.
        await client.request_plan_action(PlanAction.CONFIRM, plan_id, "two")
        newest = (await client.plan()).newest
        assert newest is not None
        assert newest.plan.plan_id == plan_id
