"""Measures confirmed changes, the time without a leader, a full restart and the replay of a log.

The parts ``changes``, ``kill`` and ``freeze`` run three voters on disk with ten synthetic routers;
``restart`` runs a complete fleet file with real routers and workers; ``replay`` reads back a log of
changes. Prints one JSON line for each part. docs/CAPACITY.md reports these figures.
"""

import argparse
import asyncio
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import SystemRandom

import msgspec

from control_cluster import (
    FLEET,
    ControlCluster,
    ControlNode,
    configuration,
    end_on_sigterm,
    running_cluster,
)
from orchidpath.common.clock import monotonic_seconds
from orchidpath.common.logs import configure_logs
from orchidpath.consensus.files import RealFiles
from orchidpath.consensus.storage import FileLogStorage
from orchidpath.consensus.types import EntryKind, LogEntry, Role
from orchidpath.control.api.operator_client import OperatorClient
from orchidpath.fleet.file import FleetFile, load_fleet
from orchidpath.fleet.layout import FleetLayout, ProcessKind, make_layout, ports_needed
from orchidpath.fleet.ports import LOOPBACK_HOST, choose_ports
from orchidpath.fleet.processes import ChildProcess, stop_all
from orchidpath.fleet.startup import bring_into_service
from orchidpath.state.commands import SubmitConfiguration, configuration_digest, encode_command
from orchidpath.state.fleet_state import FleetState
from orchidpath.tools.measuring import Quantiles, summarize
from orchidpath.tools.synthetic_fleet import SyntheticFleet, SyntheticSize

ROUTERS = 10
VOTERS = 3
READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.01
FREEZE_SECONDS = 1.0
CONVERGENCE_SECONDS = 1.5
STOP_TIMEOUT_SECONDS = 10.0
FLEET_FILE = Path(__file__).parent.parent / "examples" / "vinbrug.toml"


class ChangesResult(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of one operator, who sends each change after the previous one is confirmed."""

    part: str = "changes"
    changes: int
    changes_per_second: float
    seconds: Quantiles


class OutageResult(msgspec.Struct, frozen=True, kw_only=True):
    """Times since the fault.

    ``serving_seconds`` ends when the new leader has answered every router, and
    ``confirmed_seconds`` when it has confirmed a change.
    """

    part: str
    trials: int
    elected_seconds: Quantiles
    serving_seconds: Quantiles
    confirmed_seconds: Quantiles


class RestartResult(msgspec.Struct, frozen=True, kw_only=True):
    """Times from the start of all processes until the fleet is in service."""

    part: str = "restart"
    fleet: str
    processes: int
    seconds: Quantiles


class ReplayResult(msgspec.Struct, frozen=True, kw_only=True):
    """Time to read a log of changes and to apply it."""

    part: str = "replay"
    entries: int
    bytes_on_disk: int
    load_seconds: float
    apply_seconds: float
    entries_per_second: float


class Outage(msgspec.Struct, frozen=True):
    """Times of one trial, measured from the fault."""

    elected_seconds: float
    serving_seconds: float
    confirmed_seconds: float


Fault = Callable[[ControlNode], Awaitable[None]]


async def measure_changes(seconds: float) -> ChangesResult:
    """Submit changes one after another for a number of seconds."""
    async with running_cluster(VOTERS) as cluster:
        fleet = await _start_routers(cluster)
        try:
            durations: list[float] = []
            started_at = monotonic_seconds()
            while monotonic_seconds() - started_at < seconds:
                sent_at = monotonic_seconds()
                await cluster.submit_change()
                durations.append(monotonic_seconds() - sent_at)
            elapsed = monotonic_seconds() - started_at
        finally:
            await fleet.stop()
    return ChangesResult(
        changes=len(durations),
        changes_per_second=len(durations) / elapsed,
        seconds=summarize(durations),
    )


async def measure_outages(part: str, trials: int) -> OutageResult:
    """Kill or freeze the leader ``trials`` times, and return the summarized outage times."""
    outages: list[Outage] = []
    async with running_cluster(VOTERS) as cluster:
        fleet = await _start_routers(cluster)
        try:
            for _ in range(trials):
                fault, repair = (_kill, _start) if part == "kill" else (_freeze, _wake)
                leader = await cluster.leader()
                outages.append(await _measure_outage(cluster, fleet, leader, fault))
                await asyncio.sleep(FREEZE_SECONDS)
                await repair(leader)
                await _wait_until_settled(cluster)
        finally:
            await fleet.stop()
    return OutageResult(
        part=part,
        trials=len(outages),
        elected_seconds=summarize([outage.elected_seconds for outage in outages]),
        serving_seconds=summarize([outage.serving_seconds for outage in outages]),
        confirmed_seconds=summarize([outage.confirmed_seconds for outage in outages]),
    )


async def _start_routers(cluster: ControlCluster) -> SyntheticFleet:
    addresses = [f"{LOOPBACK_HOST}:{port}" for port in choose_ports(ROUTERS, SystemRandom())]
    fleet = SyntheticFleet(SyntheticSize(routers=ROUTERS), FLEET, addresses, cluster.seeds)
    await fleet.grow(ROUTERS, 0, READY_TIMEOUT_SECONDS)
    return fleet


async def _measure_outage(
    cluster: ControlCluster, fleet: SyntheticFleet, leader: ControlNode, fault: Fault
) -> Outage:
    others = [node for node in cluster.nodes if node is not leader]
    async with OperatorClient([node.http_address for node in others]) as client:
        old_term = max(
            status.term for status in (await client.statuses()).values() if status is not None
        )
        started_at = monotonic_seconds()
        await fault(leader)
        while True:
            statuses = (await client.statuses()).items()
            leaders = [
                address
                for address, status in statuses
                if status is not None and status.role is Role.LEADER and status.term > old_term
            ]
            if leaders:
                break
            await asyncio.sleep(POLL_SECONDS)
        elected_at = monotonic_seconds()
        new_leader = OperatorClient(leaders)
        async with new_leader:
            await cluster.submit_change(new_leader)
        confirmed_at = monotonic_seconds()
    served_at = max(
        min(at for term, at in router.listener.leader_contact_at.items() if term > old_term)
        for router in fleet.started()
    )
    return Outage(elected_at - started_at, served_at - started_at, confirmed_at - started_at)


async def _wait_until_settled(cluster: ControlCluster) -> None:
    """Wait until all processes have applied the same entries, plus :data:`CONVERGENCE_SECONDS`."""
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while True:
            statuses = (await cluster.statuses()).values()
            applied = {
                status.applied_index for status in statuses if status is not None and status.ready
            }
            if len(applied) == 1 and all(
                status is not None and status.ready for status in statuses
            ):
                break
            await asyncio.sleep(5 * POLL_SECONDS)
    await asyncio.sleep(CONVERGENCE_SECONDS)


async def _kill(node: ControlNode) -> None:
    node.process.signal(signal.SIGKILL)


async def _start(node: ControlNode) -> None:
    await node.process.wait(STOP_TIMEOUT_SECONDS)
    await node.process.start()


async def _freeze(node: ControlNode) -> None:
    node.process.signal(signal.SIGSTOP)


async def _wake(node: ControlNode) -> None:
    node.process.signal(signal.SIGCONT)


async def measure_restart(trials: int) -> RestartResult:
    """Kill all processes of a fleet, restart them, and wait until the fleet is in service."""
    fleet = load_fleet(FLEET_FILE)
    durations: list[float] = []
    with tempfile.TemporaryDirectory(prefix="orchidpath-bench-") as folder:
        ports = choose_ports(ports_needed(fleet), SystemRandom())
        layout = make_layout(fleet, Path(folder), ports)
        _write_settings(layout)
        children = [
            ChildProcess(plan.name, plan.arguments, layout.log_folder / f"{plan.name}.log")
            for plan in layout.processes
        ]
        addresses = [plan.http_address for plan in layout.of_kind(ProcessKind.CONTROL)]
        try:
            async with OperatorClient(addresses) as client:
                await _start_fleet(fleet, layout, children, client)
                for _ in range(trials):
                    await asyncio.gather(*(child.kill() for child in children))
                    started_at = monotonic_seconds()
                    await _start_fleet(fleet, layout, children, client)
                    durations.append(monotonic_seconds() - started_at)
        finally:
            await stop_all(children, STOP_TIMEOUT_SECONDS)
    return RestartResult(fleet=fleet.fleet, processes=len(children), seconds=summarize(durations))


async def _start_fleet(
    fleet: FleetFile, layout: FleetLayout, children: list[ChildProcess], client: OperatorClient
) -> None:
    for child in children:
        await child.start()
    await bring_into_service(fleet, layout, client)


def _write_settings(layout: FleetLayout) -> None:
    for folder in (layout.log_folder, layout.execution_folder, layout.folder / "settings"):
        folder.mkdir(parents=True, exist_ok=True)
    for file in layout.settings_files:
        file.path.write_bytes(msgspec.json.encode(file.settings))


def measure_replay(entries: int) -> ReplayResult:
    """Write a log of configuration changes, read it back and apply it."""
    with tempfile.TemporaryDirectory(prefix="orchidpath-bench-") as folder:
        storage = FileLogStorage(folder, RealFiles())
        storage.load()
        storage.persist_entries(None, [_change_entry(number) for number in range(1, entries + 1)])
        storage.close()
        size = sum(path.stat().st_size for path in Path(folder).rglob("*") if path.is_file())
        started_at = monotonic_seconds()
        reopened = FileLogStorage(folder, RealFiles())
        restored = reopened.load()
        loaded_at = monotonic_seconds()
        state = FleetState()
        for entry in restored.entries:
            state.apply(entry.index, entry.payload)
        applied_at = monotonic_seconds()
        reopened.close()
    assert state.configuration_version == entries
    return ReplayResult(
        entries=entries,
        bytes_on_disk=size,
        load_seconds=loaded_at - started_at,
        apply_seconds=applied_at - loaded_at,
        entries_per_second=entries / (applied_at - started_at),
    )


def _change_entry(number: int) -> LogEntry:
    changed = configuration(number)
    update = SubmitConfiguration(
        order_id=f"order-{number}",
        base_version=number - 1,
        configuration=changed,
        digest=configuration_digest(number - 1, changed),
    )
    return LogEntry(number, 1, EntryKind.COMMAND, encode_command(update))


def main() -> None:
    """Run one part and print its result."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parts = ["changes", "kill", "freeze", "restart", "replay"]
    parser.add_argument("--part", choices=parts, required=True)
    parser.add_argument("--trials", type=int, default=30)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--entries", type=int, default=3700)
    arguments = parser.parse_args()
    configure_logs("warning", node_id="bench", role="bench")
    end_on_sigterm()
    result: msgspec.Struct
    match arguments.part:
        case "changes":
            result = asyncio.run(measure_changes(arguments.seconds))
        case "restart":
            result = asyncio.run(measure_restart(arguments.trials))
        case "replay":
            result = measure_replay(arguments.entries)
        case part:
            result = asyncio.run(measure_outages(part, arguments.trials))
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


if __name__ == "__main__":
    main()
