import asyncio
import json
import signal
from pathlib import Path

from orchidpath.fleet.fault_runner import FaultRunner, write_fault_file
from orchidpath.fleet.fault_timeline import PartitionTable, timeline
from orchidpath.fleet.file import ScriptedFault, ScriptedFaultKind
from orchidpath.fleet.layout import FleetLayout, ProcessKind, ProcessPlan
from orchidpath.fleet.processes import ChildProcess
from orchidpath.wire.link_faults import LinkFaultFileReader, LinkFaults

BOUND_SECONDS = 15.0


def fault(kind: str, target: str, at: float, **fields: object) -> ScriptedFault:
    return ScriptedFault(
        at_seconds=at,
        kind=ScriptedFaultKind(kind),
        target=target,
        **fields,  # type: ignore[arg-type]
    )


def test_the_end_of_a_fault_is_scheduled_in_order_of_time() -> None:
    script = [
        fault("freeze", "leader", 5.0, for_seconds=20.0),
        fault("kill", "router-a", 6.0, for_seconds=1.0),
        fault("cut", "a", 1.0),
    ]
    actions = [(action.at_seconds, action.kind.value, action.number) for action in timeline(script)]
    assert actions == [
        (1.0, "cut", 2),
        (5.0, "freeze", 0),
        (6.0, "kill", 1),
        (7.0, "start", 1),
        (25.0, "wake", 0),
    ]


def test_partitions_reach_the_processes_through_the_file(tmp_path: Path) -> None:
    path = tmp_path / "link-faults.json"
    faults = LinkFaults()
    reader = LinkFaultFileReader(path, faults)
    partitions = PartitionTable(seed=3)
    partitions.cut(0, ["control-a", "router-a"], [], one_way=False)
    partitions.cut(1, ["router-b"], ["router-c"], one_way=True)
    write_fault_file(path, partitions)
    reader.refresh()
    assert faults.is_partitioned("control-a.12ab", "router-b")
    assert faults.is_partitioned("router-b", "router-a")
    assert faults.is_partitioned("router-b", "router-c")
    assert not faults.is_partitioned("router-c", "router-b")
    partitions.heal(0)
    write_fault_file(path, partitions)
    reader.refresh()
    assert not faults.is_partitioned("router-b", "router-a")
    assert faults.is_partitioned("router-b", "router-c")
    partitions.heal_nodes(["router-b"])
    assert partitions.as_file().links == []


def layout_of(folder: Path, *plans: ProcessPlan) -> FleetLayout:
    return FleetLayout(
        folder=folder,
        processes=plans,
        settings_files=(),
        mix_file=folder / "mix.json",
        history_file=folder / "requests.jsonl",
        fault_file=folder / "link-faults.json",
        log_folder=folder,
        execution_folder=folder,
    )


class RecordingChild(ChildProcess):
    """Fake process that records the actions applied to it."""

    def __init__(self, name: str) -> None:
        super().__init__(name, (), Path())
        self.actions: list[str] = []

    async def start(self) -> None:
        self.actions.append("start")

    async def kill(self) -> None:
        self.actions.append("kill")

    def signal(self, number: signal.Signals) -> None:
        self.actions.append(number.name)


def control_plan(name: str, folder: Path) -> ProcessPlan:
    return ProcessPlan(
        name=f"control-{name}",
        machine=name,
        kind=ProcessKind.CONTROL,
        arguments=(),
        http_address="",
        data_folder=str(folder / name),
    )


async def test_the_end_of_a_fault_applies_to_the_process_of_its_start(tmp_path: Path) -> None:
    children = {name: RecordingChild(name) for name in ("control-a", "control-b")}
    leaders = iter(["control-a", "control-b"])
    layout = layout_of(tmp_path, control_plan("a", tmp_path), control_plan("b", tmp_path))
    runner = FaultRunner(layout, dict(children), lambda: next(leaders), seed=0)
    script = [
        fault("freeze", "leader", 0.0, for_seconds=0.01),
        fault("stop", "leader", 0.02),
    ]
    reports: list[str] = []
    await runner.run(timeline(script), reports.append)
    assert children["control-a"].actions == ["SIGSTOP", "SIGCONT"]
    assert children["control-b"].actions == ["SIGTERM"]
    assert len(reports) == 3


async def test_replaced_disk_is_empty_when_the_process_starts_again(tmp_path: Path) -> None:
    (tmp_path / "a").mkdir()
    (tmp_path / "a" / "log").write_text("x")
    child = RecordingChild("control-a")
    layout = layout_of(tmp_path, control_plan("a", tmp_path))
    runner = FaultRunner(layout, {"control-a": child}, lambda: "", seed=0)
    await runner.run(timeline([fault("replace_disk", "a", 0.0)]), lambda _line: None)
    assert child.actions == ["kill", "start"]
    assert not (tmp_path / "a").exists()


async def test_child_process_is_frozen_stopped_and_restarted(tmp_path: Path) -> None:
    arguments = ("standin", "service", "--id", "stock-1", "--service", "stock")
    child = ChildProcess("stock-1", arguments, tmp_path / "log", pipe_output=True)
    try:
        await child.start()
        async with asyncio.timeout(BOUND_SECONDS):
            assert json.loads(await child.read_line())["ready"] == "stock-1"
        assert child.is_running
        child.signal(signal.SIGSTOP)
        await child.stop(BOUND_SECONDS)
        assert not child.is_running
        assert child.exit_code == 0, (
            "SIGCONT follows SIGTERM, so the frozen process shuts down gracefully"
        )
        assert not child.exited_unexpectedly
        await child.start()
        assert child.is_running
    finally:
        await child.kill()
    assert not child.is_running


async def test_a_process_that_exits_by_itself_is_reported(tmp_path: Path) -> None:
    child = ChildProcess("broken", ("no-such-command",), tmp_path / "log")
    await child.start()
    assert await child.wait(BOUND_SECONDS)
    assert child.exited_unexpectedly
    assert "no-such-command" in (tmp_path / "log").read_text()
