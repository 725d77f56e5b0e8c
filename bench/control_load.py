"""Measures how the cost of the control tier grows with routers, workers, decisions and changes.

Starts real control processes (three voters and a standby) and a synthetic fleet in this process.
Prints one JSON line for each measured size, then the slopes. docs/CAPACITY.md reports these
figures.
"""

import argparse
import asyncio
import os
import sys
from collections.abc import Callable, Sequence
from random import SystemRandom

import msgspec

from control_cluster import FLEET, ControlCluster, end_on_sigterm, running_cluster
from orchidpath.common.logs import configure_logs
from orchidpath.fleet.ports import LOOPBACK_HOST, choose_ports
from orchidpath.tools.measuring import LinearFit, Point, Quantiles, fit_line, summarize
from orchidpath.tools.process_usage import ProcessUsage, read_usage
from orchidpath.tools.synthetic_fleet import (
    SyntheticFleet,
    SyntheticFleetNotReadyError,
    SyntheticSize,
)
from orchidpath.tools.traffic_count import TrafficCount, count_traffic

CONTROL_PROCESSES = 4
READY_TIMEOUT_SECONDS = 45.0
ADOPT_TIMEOUT_SECONDS = 20.0
CONVERGENCE_SECONDS = 2.0
MEBIBYTE = 1024 * 1024


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run: the size of the fleet, its load, and the measured time."""

    sweep: str
    routers: int
    workers: int
    decisions_per_second: float = 0.0
    changes_per_second: float = 0.0
    seconds: float = 8.0


class RoleUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Resources that one control process used during the measurement."""

    cpu_share: float
    resident_mebibytes: float


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run; times are in seconds.

    ``bytes_*`` and ``messages_*`` are per router and second; the other counts are totals. Fields
    that begin with ``hollow_`` are figures of the process that runs the synthetic fleet.
    """

    run: Run
    join_seconds: float
    leader: RoleUsage
    follower: RoleUsage
    standby: RoleUsage
    leader_stayed: bool
    term: int
    hollow_cpu_share: float
    hollow_kibibytes_per_router: float
    bytes_sent_per_router: float
    bytes_received_per_router: float
    messages_sent_per_router: float
    messages_received_per_router: float
    received_by_kind: dict[str, int]
    decisions_sent: int = 0
    decisions_unanswered: int = 0
    decisions_denied: int = 0
    decision_seconds: Quantiles | None = None
    changes: int = 0
    submit_to_adopted_seconds: Quantiles | None = None
    submit_to_confirmed_seconds: Quantiles | None = None
    adopted_after_confirmed_seconds: float | None = None


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """A run whose fleet did not come into service."""

    run: Run
    reason: str


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Linear fit of one figure over one sweep."""

    sweep: str
    figure: str
    fit: LinearFit


class Change(msgspec.Struct, frozen=True):
    """One confirmed configuration change and its times."""

    version: int
    submitted_at: float
    confirmed_at: float


class Readings(msgspec.Struct, frozen=True, kw_only=True):
    """Counters that are read at the start and at the end of the measured time."""

    control: list[ProcessUsage]
    own: ProcessUsage
    traffic: TrafficCount


def growing(routers: int, seconds: float) -> list[Run]:
    """Return the runs of one growing fleet: more routers, more workers, then more load."""
    runs = [
        Run(sweep="routers", routers=count, workers=60, seconds=seconds)
        for count in (routers // 6, routers // 2, routers)
    ]
    runs += [
        Run(sweep="workers", routers=routers, workers=workers, seconds=seconds)
        for workers in (60, 240, 710)
    ]
    full = Run(sweep="decisions", routers=routers, workers=710, seconds=seconds)
    for decisions in (0.0, 500.0, 1000.0, 1500.0, 2600.0):
        runs.append(msgspec.structs.replace(full, decisions_per_second=decisions))
    for changes in (0.0, 0.5, 1.0):
        run = msgspec.structs.replace(full, sweep="changes", changes_per_second=changes)
        runs.append(msgspec.structs.replace(run, seconds=2 * seconds))
    return runs


def today(seconds: float) -> list[Run]:
    """Return the run of a fleet with the present size: 10 routers and 9 workers."""
    return [
        Run(sweep="today", routers=10, workers=9, changes_per_second=2.0, seconds=2 * seconds),
    ]


def at_once(seconds: float) -> list[list[Run]]:
    """Return runs in which all routers and workers start at the same time."""
    sizes = ((45, 90), (90, 180), (180, 360), (360, 710))
    return [
        [Run(sweep="at-once", routers=routers, workers=workers, seconds=seconds)]
        for routers, workers in sizes
    ]


async def measure(runs: Sequence[Run], results: list[RunResult], *, at_once: bool = False) -> None:
    """Measure a fleet that grows from run to run, and append each result to ``results``."""
    routers = max(run.routers for run in runs)
    workers = max(run.workers for run in runs)
    size = SyntheticSize(routers=routers, workers=workers, at_once=at_once)
    async with running_cluster(CONTROL_PROCESSES) as cluster:
        ports = choose_ports(routers, SystemRandom())
        addresses = [f"{LOOPBACK_HOST}:{port}" for port in ports]
        fleet = SyntheticFleet(size, FLEET, addresses, cluster.seeds[:3])
        memory_before = read_usage(os.getpid()).resident_bytes
        with count_traffic() as traffic:
            try:
                for run in runs:
                    results.append(await _measure_run(run, cluster, fleet, traffic, memory_before))
                    _print(results[-1])
            finally:
                await fleet.stop()


async def _measure_run(
    run: Run,
    cluster: ControlCluster,
    fleet: SyntheticFleet,
    traffic: TrafficCount,
    memory_before: int,
) -> RunResult:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await fleet.grow(run.routers, run.workers, READY_TIMEOUT_SECONDS)
    join_seconds = loop.time() - started_at
    await fleet.call(run.decisions_per_second)
    await asyncio.sleep(CONVERGENCE_SECONDS)
    terms_before = await _term(cluster)
    first = _read(cluster, traffic)
    changes = await _make_changes(run, cluster)
    last = _read(cluster, traffic)
    leader_stayed = terms_before == await _term(cluster)
    if changes:
        await fleet.wait_until_adopted(changes[-1].version, ADOPT_TIMEOUT_SECONDS)
    grown = last.own.resident_bytes - memory_before
    return await _result(
        run, cluster, fleet, changes, first, last, join_seconds, grown, leader_stayed
    )


async def _term(cluster: ControlCluster) -> int:
    return max(status.term for status in (await cluster.statuses()).values() if status is not None)


async def _make_changes(run: Run, cluster: ControlCluster) -> list[Change]:
    loop = asyncio.get_running_loop()
    end = loop.time() + run.seconds
    changes: list[Change] = []
    due = loop.time()
    while run.changes_per_second and due < end:
        await asyncio.sleep(max(0.0, due - loop.time()))
        submitted_at = loop.time()
        reply = await cluster.submit_change()
        changes.append(Change(reply.version, submitted_at, loop.time()))
        due = max(due + 1.0 / run.changes_per_second, loop.time())
    await asyncio.sleep(max(0.0, end - loop.time()))
    return changes


def _read(cluster: ControlCluster, traffic: TrafficCount) -> Readings:
    return Readings(
        control=[read_usage(node.process.process_id) for node in cluster.nodes],
        own=read_usage(os.getpid()),
        traffic=traffic.copy(),
    )


async def _result(
    run: Run,
    cluster: ControlCluster,
    fleet: SyntheticFleet,
    changes: list[Change],
    first: Readings,
    last: Readings,
    join_seconds: float,
    grown_bytes: int,
    leader_stayed: bool,
) -> RunResult:
    usages = [
        RoleUsage(
            cpu_share=round(after.cpu_share_since(before), 4),
            resident_mebibytes=round(after.resident_bytes / MEBIBYTE, 1),
        )
        for before, after in zip(first.control, last.control, strict=True)
    ]
    leader, followers, standbys = await _roles(cluster)
    seconds = last.own.at_seconds - first.own.at_seconds
    per_router = 1.0 / seconds / run.routers
    before, after = first.traffic, last.traffic
    kinds = after.received_by_kind - before.received_by_kind
    adopted, confirmed, late = _change_times(fleet, changes)
    return RunResult(
        run=run,
        join_seconds=round(join_seconds, 2),
        leader=usages[leader],
        follower=usages[followers[0]],
        standby=usages[standbys[0]],
        leader_stayed=leader_stayed,
        term=await _term(cluster),
        hollow_cpu_share=round(last.own.cpu_share_since(first.own), 3),
        hollow_kibibytes_per_router=round(grown_bytes / 1024 / run.routers, 1),
        bytes_sent_per_router=round((after.bytes_sent - before.bytes_sent) * per_router, 1),
        bytes_received_per_router=round(
            (after.bytes_received - before.bytes_received) * per_router, 1
        ),
        messages_sent_per_router=round(
            (after.messages_sent - before.messages_sent) * per_router, 2
        ),
        messages_received_per_router=round(
            (after.messages_received - before.messages_received) * per_router, 2
        ),
        received_by_kind=dict(kinds),
        decisions_sent=fleet.decisions.sent,
        decisions_unanswered=fleet.decisions.unanswered,
        decisions_denied=fleet.decisions.denied,
        decision_seconds=summarize(fleet.decisions.seconds) if fleet.decisions.seconds else None,
        changes=len(changes),
        submit_to_adopted_seconds=summarize(adopted) if adopted else None,
        submit_to_confirmed_seconds=summarize(confirmed) if confirmed else None,
        adopted_after_confirmed_seconds=max(late) if late else None,
    )


def _change_times(
    fleet: SyntheticFleet, changes: list[Change]
) -> tuple[list[float], list[float], list[float]]:
    adopted: list[float] = []
    late: list[float] = []
    for change in changes:
        for router in fleet.started():
            at = router.listener.adopted_at(change.version)
            assert at is not None
            adopted.append(at - change.submitted_at)
            late.append(at - change.confirmed_at)
    confirmed = [change.confirmed_at - change.submitted_at for change in changes]
    return adopted, confirmed, late


async def _roles(cluster: ControlCluster) -> tuple[int, list[int], list[int]]:
    statuses = await cluster.statuses()
    leader = cluster.nodes.index(await cluster.leader())
    followers: list[int] = []
    standbys: list[int] = []
    for number, status in statuses.items():
        if status is None or number == leader:
            continue
        (followers if status.node_id in status.voters else standbys).append(number)
    return leader, followers, standbys


def slopes(results: Sequence[RunResult]) -> list[Slope]:
    """Fit a line to each figure of each sweep that has at least three results."""
    found = []
    for sweep in ("routers", "workers", "decisions", "changes"):
        chosen = [result for result in results if result.run.sweep == sweep]
        if len(chosen) < 3:
            continue
        for figure, value in FIGURES.items():
            points = [Point(_size(result), value(result)) for result in chosen]
            found.append(Slope(sweep=sweep, figure=figure, fit=fit_line(points)))
    return found


FIGURES: dict[str, Callable[[RunResult], float]] = {
    "leader_cpu_share": lambda result: result.leader.cpu_share,
    "leader_mebibytes": lambda result: result.leader.resident_mebibytes,
    "follower_cpu_share": lambda result: result.follower.cpu_share,
    "follower_mebibytes": lambda result: result.follower.resident_mebibytes,
    "standby_cpu_share": lambda result: result.standby.cpu_share,
    "bytes_sent_per_router": lambda result: result.bytes_sent_per_router,
    "bytes_received_per_router": lambda result: result.bytes_received_per_router,
    "messages_sent_per_router": lambda result: result.messages_sent_per_router,
    "messages_received_per_router": lambda result: result.messages_received_per_router,
}


def _size(result: RunResult) -> float:
    run = result.run
    match run.sweep:
        case "routers":
            return run.routers
        case "workers":
            return run.workers
        case "decisions":
            return run.decisions_per_second
        case _:
            return run.changes_per_second


def main() -> None:
    """Run the sweeps and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--part", choices=["growing", "today", "at-once"], required=True)
    parser.add_argument(
        "--routers", type=int, default=180, help="largest number of routers in part growing"
    )
    parser.add_argument("--seconds", type=float, default=8.0)
    arguments = parser.parse_args()
    configure_logs("warning", node_id="bench", role="bench")
    end_on_sigterm()
    if arguments.part == "at-once":
        _measure_at_once(arguments.seconds)
        return
    if arguments.part == "growing":
        runs = growing(arguments.routers, arguments.seconds)
    else:
        runs = today(arguments.seconds)
    results: list[RunResult] = []
    try:
        asyncio.run(measure(runs, results))
    except SyntheticFleetNotReadyError as error:
        _print(Failure(run=runs[len(results)], reason=str(error)))
    for slope in slopes(results):
        _print(slope)


def _measure_at_once(seconds: float) -> None:
    for runs in at_once(seconds):
        try:
            asyncio.run(measure(runs, [], at_once=True))
        except SyntheticFleetNotReadyError as error:
            _print(Failure(run=runs[0], reason=str(error)))


def _print(value: msgspec.Struct) -> None:
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
