"""Runs fleets that mix processes of two versions, under traffic.

The versions are an earlier revision of this repository and the working tree. The same traffic is
sent in three runs on loopback: old control processes with new routers; new control processes with
old routers; and a roll-out, which replaces every old control process (standbys first, the leader
last) and then every old router, one at a time. Emulated workers and callers always run the working
tree. The roll-out follows the steps of "Roll out a new version" in docs/operations.md.

Run ``python bench/mixed_versions.py REVISION`` at the root of the repository for JSON on standard
output; the exit status is 1 if a request failed or ran twice, or a process did not come into
service.
"""

import argparse
import asyncio
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from enum import StrEnum
from functools import partial
from pathlib import Path
from random import SystemRandom

import aiohttp
import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.consensus.types import Role
from orchidpath.control.api.operator_bodies import StatusBody
from orchidpath.control.api.operator_client import OperatorClient
from orchidpath.fleet.file import FleetFile, load_fleet
from orchidpath.fleet.layout import ProcessKind, ProcessPlan
from orchidpath.fleet.runner import FleetRunner
from orchidpath.fleet.summary import FleetSummary
from orchidpath.fleet.watch import ControlWatch

EXAMPLE = Path("examples/agency.toml")
SECONDS_BEFORE_ROLL_OUT = 3.0
STEP_TIMEOUT_SECONDS = 40.0
POLL_SECONDS = 0.2
STOP_SECONDS = 15.0
READ_TIMEOUT_SECONDS = 1.0
MAX_APPLIED_BEHIND = 5
"""Maximum lag of a replaced process behind the leader, in log entries.

The next process is replaced only after the lag has fallen to this number.
"""


class Mix(StrEnum):
    """Processes that run the earlier revision at the start."""

    OLD_CONTROL = "old_control_new_routers"
    OLD_ROUTERS = "new_control_old_routers"
    ROLL_OUT = "roll_out"


class StepTimeoutError(OrchidpathError):
    """A replaced process did not come into service in time."""


class MixedRun(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run; ``replaced`` lists the processes in the order of their replacement."""

    mix: Mix
    replaced: tuple[str, ...]
    summary: FleetSummary


class MixedFleet(FleetRunner):
    """A fleet in which some processes run an earlier revision.

    Parameters
    ----------
    fleet, folder, for_seconds, report, random
        As for :class:`~orchidpath.fleet.runner.FleetRunner`.
    mix
        Processes that run the earlier revision.
    old_source
        Folder with the package of the earlier revision.
    """

    def __init__(
        self,
        fleet: FleetFile,
        folder: Path,
        for_seconds: float,
        report: Callable[[str], None],
        mix: Mix,
        old_source: Path,
    ) -> None:
        super().__init__(fleet, folder, for_seconds, report, SystemRandom())
        self._mix = mix
        self.replaced: list[str] = []
        self.is_rolled_out = mix is not Mix.ROLL_OUT
        for plan in self._layout.processes:
            if self._is_old(plan):
                self._children[plan.name].source_folder = old_source

    def _is_old(self, plan: ProcessPlan) -> bool:
        if plan.kind is ProcessKind.CONTROL:
            return self._mix is not Mix.OLD_ROUTERS
        return plan.kind is ProcessKind.ROUTER and self._mix is not Mix.OLD_CONTROL

    async def _run_faults(self, watch: ControlWatch) -> None:
        if self._mix is not Mix.ROLL_OUT:
            return
        await asyncio.sleep(SECONDS_BEFORE_ROLL_OUT)
        controls = {plan.name: plan for plan in self._layout.of_kind(ProcessKind.CONTROL)}
        standbys = [plan for name, plan in controls.items() if name != watch.leader_name]
        leaders = [plan for name, plan in controls.items() if name == watch.leader_name]
        for plan in (*standbys, *leaders):
            await self._replace(plan)
            await _poll(plan.name, partial(self._is_caught_up, plan))
        for plan in self._layout.of_kind(ProcessKind.ROUTER):
            await self._replace(plan)
            await _poll(plan.name, partial(_is_ready, plan))
        self.is_rolled_out = True

    async def _replace(self, plan: ProcessPlan) -> None:
        child = self._children[plan.name]
        await child.stop(STOP_SECONDS)
        child.source_folder = None
        await child.start()
        self.replaced.append(plan.name)
        self._report(f"replaced {plan.name}")

    async def _is_caught_up(self, plan: ProcessPlan) -> bool:
        addresses = [control.http_address for control in self._layout.of_kind(ProcessKind.CONTROL)]
        async with OperatorClient(addresses, READ_TIMEOUT_SECONDS) as client:
            statuses = [
                status for status in (await client.statuses()).values() if status is not None
            ]
        own = next((status for status in statuses if _process_name(status) == plan.name), None)
        leader = next((status for status in statuses if status.role is Role.LEADER), None)
        if own is None or leader is None:
            return False
        return own.ready and leader.applied_index - own.applied_index <= MAX_APPLIED_BEHIND


def _process_name(status: StatusBody) -> str:
    # The node id of a replica is "name.identity".
    return status.node_id.rpartition(".")[0]


async def _poll(name: str, condition: Callable[[], Awaitable[bool]]) -> None:
    try:
        async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
            while True:
                if await condition():
                    return
                await asyncio.sleep(POLL_SECONDS)
    except TimeoutError as error:
        raise StepTimeoutError(
            f"{name} is not in service after {STEP_TIMEOUT_SECONDS:.0f} s"
        ) from error


async def _is_ready(plan: ProcessPlan) -> bool:
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
    url = f"http://{plan.http_address}/health/ready"
    try:
        async with aiohttp.ClientSession() as session, session.get(url, timeout=timeout) as reply:
            return reply.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def run_mix(mix: Mix, old_source: Path, seconds: float) -> MixedRun:
    """Run one fleet with processes of two versions.

    Raises
    ------
    StepTimeoutError
        A replaced process did not come into service.
    """
    with tempfile.TemporaryDirectory(prefix="mixed-versions-") as folder:
        runner = MixedFleet(load_fleet(EXAMPLE), Path(folder), seconds, _report, mix, old_source)
        summary = await runner.run()
    if not runner.is_rolled_out:
        raise StepTimeoutError("the traffic ended before the roll-out was complete")
    return MixedRun(mix=mix, replaced=tuple(runner.replaced), summary=summary)


def _report(line: str) -> None:
    sys.stderr.write(line + "\n")


def main() -> None:
    """Run all three mixes and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("revision", help="earlier revision of this repository")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of the traffic in the first two runs"
    )
    parser.add_argument("--roll-out-seconds", type=float, default=90.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="earlier-revision-") as folder:
        archive = subprocess.run(
            ["git", "archive", arguments.revision, "src"], check=True, capture_output=True
        )
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        old_source = Path(folder) / "src"
        runs = [
            asyncio.run(run_mix(Mix.OLD_CONTROL, old_source, arguments.seconds)),
            asyncio.run(run_mix(Mix.OLD_ROUTERS, old_source, arguments.seconds)),
            asyncio.run(run_mix(Mix.ROLL_OUT, old_source, arguments.roll_out_seconds)),
        ]
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(runs), indent=2).decode() + "\n")
    sys.exit(1 if any(run.summary.failures for run in runs) else 0)


if __name__ == "__main__":
    main()
