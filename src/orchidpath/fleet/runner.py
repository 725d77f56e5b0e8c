"""Runs a complete fleet on loopback.

A run starts the processes, sends traffic, injects the scripted faults, stops the processes and
summarises the result.
"""

import asyncio
import signal
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.control.api.operator_client import OperatorClient
from orchidpath.emulators.backend.reports import ExecutionRecord
from orchidpath.emulators.client.caller_report import CallerProgress, CallerSummary, RequestResult
from orchidpath.fleet.executions import (
    ExecutionPolicy,
    decode_lines,
    refused_but_ran,
    repeated_executions,
)
from orchidpath.fleet.fault_runner import FaultRunner
from orchidpath.fleet.fault_timeline import timeline
from orchidpath.fleet.file import FleetFile
from orchidpath.fleet.layout import FleetLayout, ProcessKind, make_layout, ports_needed
from orchidpath.fleet.ports import choose_ports
from orchidpath.fleet.processes import ChildProcess, stop_all
from orchidpath.fleet.startup import POLL_SECONDS, FleetStartError, bring_into_service
from orchidpath.fleet.summary import FleetSummary, RunEvidence, summarise
from orchidpath.fleet.watch import ControlWatch

UNBOUNDED_SECONDS = 10_000_000.0
"""Duration of the traffic of a run that continues until Ctrl-C."""

CALLER_DRAIN_SECONDS = 30.0
"""Longest time that the callers wait for outstanding requests at the end of the traffic."""

STOP_SECONDS = 15.0
"""Time between SIGTERM and SIGKILL; longer than the drain time of any process."""

CONTROL_READ_TIMEOUT_SECONDS = 5.0
"""Timeout of a request to a control process while the fleet is brought into service."""

WATCH_READ_TIMEOUT_SECONDS = 0.5
"""Timeout of a status request during the run.

It is short so that a frozen control process does not delay the detection of a new leader.
"""


class CallersFailedError(OrchidpathError):
    """The callers exited without a summary, or the run was stopped before any traffic."""


class FleetRunner:
    """One run of a fleet.

    Parameters
    ----------
    fleet
        A checked fleet file.
    folder
        All files of this run are written here.
    for_seconds
        Duration of the traffic; None to continue until :meth:`stop` is called.
    report
        Called with each line of progress output.
    random
        Source of randomness for the choice of ports.
    """

    def __init__(
        self,
        fleet: FleetFile,
        folder: Path,
        for_seconds: float | None,
        report: Callable[[str], None],
        random: Random,
    ) -> None:
        self._fleet = fleet
        self._for_seconds = for_seconds or UNBOUNDED_SECONDS
        self._report = report
        self._layout = make_layout(fleet, folder, choose_ports(ports_needed(fleet), random))
        self._children = {
            plan.name: ChildProcess(plan.name, plan.arguments, self._log_path(plan.name))
            for plan in self._layout.processes
        }
        self._callers = ChildProcess(
            "callers", self._caller_arguments(), self._log_path("callers"), pipe_output=True
        )
        self._stop_requested = asyncio.Event()

    def stop(self) -> None:
        """End the traffic and then the run; a second call drops outstanding requests."""
        if self._stop_requested.is_set():
            self._callers.signal(signal.SIGKILL)
        self._stop_requested.set()

    async def run(self) -> FleetSummary:
        """Run the fleet to its end and return the summary; every process is stopped in any case.

        Raises
        ------
        FleetStartError
            The fleet did not come into service, or one of its processes exited before that.
        CallersFailedError
            The callers exited without a summary, or :meth:`stop` was called before any traffic.
        """
        _write_files(self._fleet, self._layout)
        addresses = [plan.http_address for plan in self._layout.of_kind(ProcessKind.CONTROL)]
        try:
            async with (
                OperatorClient(addresses, CONTROL_READ_TIMEOUT_SECONDS) as client,
                OperatorClient(addresses, WATCH_READ_TIMEOUT_SECONDS) as watch_client,
            ):
                return await self._run_with(client, ControlWatch(watch_client))
        finally:
            await self._stop_everything()

    async def _run_with(self, client: OperatorClient, watch: ControlWatch) -> FleetSummary:
        for child in self._children.values():
            await child.start()
        await self._start_unless_stopped(bring_into_service(self._fleet, self._layout, client))
        self._report_addresses()
        background_tasks = [
            asyncio.create_task(watch.run()),
            asyncio.create_task(self._run_faults(watch)),
        ]
        try:
            callers = await self._run_callers(watch)
        finally:
            await _cancel(background_tasks)
        await watch.refresh()
        unexpected = [child.name for child in self._children.values() if child.exited_unexpectedly]
        await self._stop_everything()
        return self._summarise_run(callers, watch, unexpected)

    async def _start_unless_stopped(self, start: Coroutine[Any, Any, None]) -> None:
        starting = asyncio.create_task(start)
        stopped = asyncio.create_task(self._stop_requested.wait())
        watching = asyncio.create_task(self._fail_when_a_process_exits())
        waits: list[asyncio.Task[Any]] = [starting, stopped, watching]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if stopped.done():
                raise CallersFailedError("stopped before any traffic was sent")
        finally:
            await _cancel(waits)

    async def _fail_when_a_process_exits(self) -> None:
        while True:
            exited = [child.name for child in self._children.values() if child.exited_unexpectedly]
            if exited:
                raise FleetStartError(f"exited while the fleet was starting: {', '.join(exited)}")
            await asyncio.sleep(POLL_SECONDS)

    async def _run_callers(self, watch: ControlWatch) -> CallerSummary:
        await self._callers.start()
        stopper = asyncio.create_task(self._stop_callers_on_request())
        try:
            while line := await self._callers.read_line():
                report = _decode_report(line)
                if isinstance(report, CallerSummary):
                    await self._callers.wait(STOP_SECONDS)
                    return report
                if report is not None:
                    self._report(_progress_line(report, watch))
        finally:
            await _cancel([stopper])
        raise CallersFailedError("the callers exited without a summary")

    async def _stop_callers_on_request(self) -> None:
        await self._stop_requested.wait()
        self._callers.signal(signal.SIGTERM)

    async def _run_faults(self, watch: ControlWatch) -> None:
        runner = FaultRunner(
            self._layout, self._children, lambda: watch.leader_name, self._fleet.seed
        )
        await runner.run(timeline(self._fleet.faults), self._report)

    async def _stop_everything(self) -> None:
        # Callers stop first and control last, so that the processes on which a stopping process
        # depends still answer while it drains.
        await self._callers.stop(STOP_SECONDS)
        for kind in (ProcessKind.ROUTER, ProcessKind.WORKER, ProcessKind.CONTROL):
            plans = self._layout.of_kind(kind)
            await stop_all([self._children[plan.name] for plan in plans], STOP_SECONDS)

    def _summarise_run(
        self, callers: CallerSummary, watch: ControlWatch, unexpected: list[str]
    ) -> FleetSummary:
        records = _read_executions(self._layout)
        results = decode_lines(_read(self._layout.history_file), RequestResult)
        services = {worker.name: worker.service for worker in self._fleet.workers}
        policy = ExecutionPolicy(self._fleet.configuration, services)
        evidence = RunEvidence(
            fleet=self._fleet.fleet,
            callers=callers,
            results=results,
            executions=len(records),
            repeated=repeated_executions(records, policy),
            refused_but_ran=refused_but_ran(records, results, policy),
            leader=watch.leader_name,
            configuration_version=watch.configuration_version,
            unexpected_exits=unexpected,
            log_folder=str(self._layout.log_folder),
        )
        return summarise(evidence)

    def _report_addresses(self) -> None:
        for kind, users in ((ProcessKind.ROUTER, "callers"), (ProcessKind.CONTROL, "operators")):
            for plan in self._layout.of_kind(kind):
                self._report(f"{users}: http://{plan.http_address} ({plan.name})")

    def _log_path(self, name: str) -> Path:
        return self._layout.log_folder / f"{name}.log"

    def _caller_arguments(self) -> list[str]:
        arguments = ["emulator", "caller", "--json", "--mix", str(self._layout.mix_file)]
        arguments += ["--for", str(self._for_seconds), "--seed", str(self._fleet.seed)]
        arguments += ["--drain-seconds", str(CALLER_DRAIN_SECONDS)]
        arguments += ["--history", str(self._layout.history_file)]
        for plan in self._layout.of_kind(ProcessKind.ROUTER):
            arguments += ["--router", f"http://{plan.http_address}"]
        return arguments


async def _cancel(tasks: Sequence[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()
    for task in tasks:
        with suppress(asyncio.CancelledError):
            await task


def _decode_report(line: bytes) -> CallerProgress | CallerSummary | None:
    with suppress(msgspec.DecodeError):
        return msgspec.json.decode(line, type=CallerProgress | CallerSummary)
    return None


def _progress_line(progress: CallerProgress, watch: ControlWatch) -> str:
    outcomes = progress.outcomes
    errors = outcomes.refused + outcomes.broken + outcomes.timed_out + outcomes.unreachable
    errors += outcomes.wrong_content + outcomes.incomplete_but_clean
    first_token = progress.first_token
    return (
        f"{progress.second:5d} s  {progress.due:4d} requests  {outcomes.answered:4d} answered  "
        f"{errors:3d} errors  first token p50 {first_token.p50_seconds * 1000:.0f} ms "
        f"p95 {first_token.p95_seconds * 1000:.0f} ms  leader {watch.leader_name or 'none'}  "
        f"configuration {watch.configuration_version}"
    )


def _write_files(fleet: FleetFile, layout: FleetLayout) -> None:
    for folder in (layout.log_folder, layout.execution_folder, layout.folder / "settings"):
        folder.mkdir(parents=True, exist_ok=True)
    for file in layout.settings_files:
        file.path.write_bytes(msgspec.json.encode(file.settings))
    layout.mix_file.write_bytes(msgspec.json.encode(fleet.traffic))


def _read_executions(layout: FleetLayout) -> list[ExecutionRecord]:
    records: list[ExecutionRecord] = []
    for path in sorted(layout.execution_folder.iterdir()):
        records += decode_lines(path.read_bytes(), ExecutionRecord)
    return records


def _read(path: Path) -> bytes:
    return path.read_bytes() if path.exists() else b""
