"""Executes the fault script on a running fleet."""

import asyncio
import os
import shutil
import signal
from collections.abc import Callable
from pathlib import Path

import aiohttp
import msgspec

from orchidpath.emulators.backend.injected_faults import FaultKind
from orchidpath.fleet.fault_timeline import PartitionTable, TimedAction
from orchidpath.fleet.file import LEADER_TARGET, ScriptedFaultKind
from orchidpath.fleet.layout import FleetLayout
from orchidpath.fleet.processes import ChildProcess

POST_TIMEOUT_SECONDS = 5.0
"""Timeout of the request that posts a fault to an emulated worker."""


class FaultRunner:
    """Executes the actions of a timeline one after another.

    Parameters
    ----------
    layout
        Layout of the fleet.
    children
        Processes of the fleet by name.
    leader_name
        Returns the name of the leading control process, or an empty string if there is none.
    seed
        Seed of the link faults.
    """

    def __init__(
        self,
        layout: FleetLayout,
        children: dict[str, ChildProcess],
        leader_name: Callable[[], str],
        seed: int,
    ) -> None:
        self._layout = layout
        self._children = children
        self._leader_name = leader_name
        self._partitions = PartitionTable(seed)
        self._names_by_step: dict[int, tuple[str, ...]] = {}
        self._plans = {plan.name: plan for plan in layout.processes}

    async def run(self, actions: list[TimedAction], report: Callable[[str], None]) -> None:
        """Execute each action at its time; times are measured from this call."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for action in actions:
            await asyncio.sleep(max(0.0, started_at + action.at_seconds - loop.time()))
            names = self._names(action)
            report(f"fault: {action.kind} {', '.join(names) or action.fault.target}")
            await self._execute(action, names)

    def _names(self, action: TimedAction) -> tuple[str, ...]:
        # The end of a fault applies to the processes of its start, even if the leader has changed.
        names = self._names_by_step.get(action.number)
        if names is None:
            names = self._resolve(action.fault.target)
            self._names_by_step[action.number] = names
        return names

    def _resolve(self, target: str) -> tuple[str, ...]:
        if not target:
            return ()
        name = self._leader_name() if target == LEADER_TARGET else target
        return self._layout.process_names(name)

    async def _execute(self, action: TimedAction, names: tuple[str, ...]) -> None:
        children = [self._children[name] for name in names]
        match action.kind:
            case ScriptedFaultKind.KILL:
                await asyncio.gather(*(child.kill() for child in children))
            case ScriptedFaultKind.FREEZE:
                self._signal(children, signal.SIGSTOP)
            case ScriptedFaultKind.WAKE:
                self._signal(children, signal.SIGCONT)
            case ScriptedFaultKind.STOP:
                self._signal(children, signal.SIGTERM)
            case ScriptedFaultKind.START:
                await self._start(children)
            case ScriptedFaultKind.REPLACE_DISK:
                await self._replace_disks(names)
            case ScriptedFaultKind.PARTITION:
                others = self._resolve(action.fault.other)
                self._partitions.cut(action.number, names, others, one_way=action.fault.one_way)
                write_fault_file(self._layout.fault_file, self._partitions)
            case ScriptedFaultKind.HEAL:
                self._partitions.heal(action.number)
                self._partitions.heal_nodes(names)
                write_fault_file(self._layout.fault_file, self._partitions)
            case ScriptedFaultKind.WORKER:
                await self._post_worker_fault(action, names)

    def _signal(self, children: list[ChildProcess], number: signal.Signals) -> None:
        for child in children:
            child.signal(number)

    async def _start(self, children: list[ChildProcess]) -> None:
        for child in children:
            await child.kill()  # a process that is still draining must exit first
            await child.start()

    async def _replace_disks(self, names: tuple[str, ...]) -> None:
        for name in names:
            data_folder = self._plans[name].data_folder
            if not data_folder:
                continue
            await self._children[name].kill()
            await asyncio.to_thread(shutil.rmtree, data_folder, ignore_errors=True)
            await self._children[name].start()

    async def _post_worker_fault(self, action: TimedAction, names: tuple[str, ...]) -> None:
        fault = action.fault.worker_fault
        if fault is None:
            return
        timeout = aiohttp.ClientTimeout(total=POST_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for name in names:
                if fault.kind is FaultKind.CRASH:
                    self._children[name].expect_exit()
                await self._post(session, self._plans[name].http_address, fault)

    async def _post(
        self, session: aiohttp.ClientSession, address: str, fault: msgspec.Struct
    ) -> None:
        content = msgspec.json.encode(fault)
        try:
            async with session.post(f"http://{address}/v1/faults", data=content) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return  # a crashing worker does not answer; a stopped worker needs no fault


def write_fault_file(path: Path, partitions: PartitionTable) -> None:
    """Replace the fault file atomically, so that no process reads a partial file."""
    new_path = path.with_suffix(".new")
    new_path.write_bytes(msgspec.json.encode(partitions.as_file()))
    os.replace(new_path, path)
