"""Measures lost requests and time to first token while workers of the local fleet change stage.

The same traffic is sent in four runs on loopback: without a change; with a confirmed plan that
turns two of four prefill workers into decode workers; and twice with a restart of the same two
workers, one after the other and without a plan, once with a graceful shutdown and once with a kill.

Run ``python bench/role_change.py`` for JSON on standard output.
"""

import argparse
import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.control.api.operator_client import OperatorClient
from orchidpath.state.plans import PlanStatus
from orchidpath.wire.messages import PlanAction

START_TIMEOUT_SECONDS = 40.0
PLAN_AFTER_SECONDS = 5.0
MOVED_WORKER_COUNT = 2
MOVING_WORKERS = ("read-0", "read-1")

MACHINES = "".join(
    f'[[machines]]\nname = "{name}"\nzone = "{zone}"\ndisk = true\n\n'
    for name, zone in (("a", "one"), ("b", "two"), ("c", "one"))
)
WORKERS = "".join(
    f'[[workers]]\nname = "{name}-{number}"\nservice = "chat"\nstage = "{stage}"\n'
    f'models = ["m"]\nzone = "{("one", "two")[number % 2]}"\n\n'
    for name, stage in (("read", "prefill"), ("write", "decode"))
    for number in range(4)
)
FLEET = f"""
fleet = "role-change"
seed = 5

{MACHINES}{WORKERS}
[[configuration.services]]
name = "chat"
kind = "model"
models = ["m"]
prefill_workers = 4
decode_workers = 4

[[configuration.routes]]
name = "chat"
service = "chat"
model = "m"

[[traffic.streams]]
name = "chat"
kind = "model"
model = "m"
rate_per_second = 20.0
tenants = ["one", "two", "three"]

[traffic.streams.max_tokens]
median = 24
maximum = 64
"""


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Results of the callers in one run; ``change_seconds`` is the duration of the plan."""

    name: str
    requests: int
    answered: int
    not_answered: list[dict[str, Any]]
    broken_streams: int
    executions_twice: int
    first_token_p50_seconds: float
    first_token_p95_seconds: float
    first_token_maximum_seconds: float
    change_seconds: float


def restarts(kind: str) -> str:
    """Return the fault script, in TOML, that restarts the workers one after the other."""
    return "".join(
        f'[[faults]]\nat_seconds = {8 + 6 * number}\nkind = "{kind}"\ntarget = "{worker}"\n'
        f"for_seconds = 2\n\n"
        for number, worker in enumerate(MOVING_WORKERS)
    )


async def change_by_plan(folder: Path) -> float:
    """Submit the new split, confirm its plan, and return the duration of the plan in seconds."""
    async with OperatorClient(await control_addresses(folder)) as client:
        configuration = await first_configuration(client)
        await asyncio.sleep(PLAN_AFTER_SECONDS)
        service = configuration["services"][0]
        service["prefill_workers"] -= MOVED_WORKER_COUNT
        service["decode_workers"] += MOVED_WORKER_COUNT
        await client.submit("role-change", 1, configuration)
        preview = (await client.plan()).preview
        assert len(preview.steps) == MOVED_WORKER_COUNT, preview
        started_at = time.monotonic()
        await client.request_plan_action(PlanAction.CONFIRM, preview.plan.plan_id, "role-change")
        while True:
            newest = (await client.plan()).newest
            if newest is not None and not newest.active:
                assert newest.progress.status is PlanStatus.DONE, newest.progress
                return time.monotonic() - started_at
            await asyncio.sleep(0.1)


async def control_addresses(folder: Path) -> list[str]:
    """Wait for the settings files of the fleet and return the control processes' addresses."""
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while True:
            files = sorted((folder / "settings").glob("control-*.json"))
            if len(files) == 3:
                await asyncio.sleep(0.2)
                return [json.loads(file.read_text())["http_address"] for file in files]
            await asyncio.sleep(0.1)


async def first_configuration(client: OperatorClient) -> dict[str, Any]:
    """Wait for the initial configuration of the fleet and return it as built-in types."""
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while True:
            try:
                body = await client.configuration()
            except OrchidpathError:
                await asyncio.sleep(0.2)
                continue
            if body.version == 1:
                plain = msgspec.to_builtins(body.configuration)
                assert isinstance(plain, dict)
                return plain
            await asyncio.sleep(0.2)


async def measure(name: str, seconds: int, faults: str = "", by_plan: bool = False) -> Run:
    """Run the fleet once and return its results."""
    with tempfile.TemporaryDirectory(prefix="role-change-") as temporary:
        folder = Path(temporary)
        file = folder / "fleet.toml"
        file.write_text(FLEET + faults)
        command = [sys.executable, "-m", "orchidpath", "fleet", "run", str(file), "--json"]
        command += ["--for", str(seconds), "--folder", str(folder / "run")]
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
        )
        change_seconds = await change_by_plan(folder / "run") if by_plan else 0.0
        output, errors = await process.communicate()
    lines = [line for line in output.decode().splitlines() if line.startswith("{")]
    assert lines, errors.decode()
    return make_run(name, json.loads(lines[-1]), change_seconds)


def make_run(name: str, summary: dict[str, Any], change_seconds: float) -> Run:
    """Return the results from the JSON summary of a fleet run."""
    return Run(
        name=name,
        requests=summary["requests"],
        answered=summary["answered"],
        not_answered=summary["errors"],
        broken_streams=summary["broken_streams"],
        executions_twice=summary["executions_twice"],
        first_token_p50_seconds=summary["first_token"]["p50_seconds"],
        first_token_p95_seconds=summary["first_token"]["p95_seconds"],
        first_token_maximum_seconds=summary["first_token"]["maximum_seconds"],
        change_seconds=change_seconds,
    )


async def measure_all(seconds: int) -> list[Run]:
    """Run the four cases one after the other."""
    return [
        await measure("undisturbed", seconds),
        await measure("plan", seconds, by_plan=True),
        await measure("restart_without_plan", seconds, faults=restarts("stop")),
        await measure("kill_without_plan", seconds, faults=restarts("kill")),
    ]


def main() -> None:
    """Run all cases and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=30, help="seconds of traffic in each run")
    runs = asyncio.run(measure_all(parser.parse_args().seconds))
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(runs), indent=2).decode() + "\n")


if __name__ == "__main__":
    main()
