"""Plans the processes of a fleet file: their names, addresses, settings and command lines."""

from enum import StrEnum
from pathlib import Path

import msgspec

from orchidpath.common.settings import SEED_COUNT, ControlSettings, RouterSettings
from orchidpath.fleet.file import FleetFile, FleetWorker, Machine
from orchidpath.fleet.ports import LOOPBACK_HOST
from orchidpath.wire.records import Stage

PORTS_PER_PROCESS = 2
"""Ports of a router or control process: one for the wire protocol and one for HTTP."""

ANNOUNCE_ADDRESSES = 3
"""Number of routers passed to a worker; it discovers the others at run time."""


class ProcessKind(StrEnum):
    """Kinds of processes, in the order in which they are started."""

    CONTROL = "control"
    ROUTER = "router"
    WORKER = "worker"


class ProcessPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Plan of one process; ``arguments`` follow ``orchidpath`` on its command line."""

    name: str
    machine: str
    kind: ProcessKind
    arguments: tuple[str, ...]
    http_address: str
    data_folder: str = ""


class SettingsFile(msgspec.Struct, frozen=True, kw_only=True):
    """A settings file to be written before the processes are started."""

    path: Path
    settings: RouterSettings | ControlSettings


class FleetLayout(msgspec.Struct, frozen=True, kw_only=True):
    """Processes of a fleet, and the files and folders that they use."""

    folder: Path
    processes: tuple[ProcessPlan, ...]
    settings_files: tuple[SettingsFile, ...]
    mix_file: Path
    history_file: Path
    fault_file: Path
    log_folder: Path
    execution_folder: Path

    def of_kind(self, kind: ProcessKind) -> tuple[ProcessPlan, ...]:
        """Return the processes of one kind."""
        return tuple(process for process in self.processes if process.kind is kind)

    def process_names(self, target: str) -> tuple[str, ...]:
        """Return all processes of the machine ``target``, or the one process of that name."""
        return tuple(
            process.name for process in self.processes if target in (process.machine, process.name)
        )


def ports_needed(fleet: FleetFile) -> int:
    """Return the number of ports that a fleet needs."""
    disks = sum(machine.disk for machine in fleet.machines)
    return PORTS_PER_PROCESS * (len(fleet.machines) + disks) + len(fleet.workers)


def make_layout(fleet: FleetFile, folder: Path, ports: list[int]) -> FleetLayout:
    """Return the layout of a fleet.

    Parameters
    ----------
    fleet
        A checked fleet file.
    folder
        All files of the run are written here.
    ports
        Free ports; as many as :func:`ports_needed` returns.
    """
    return _LayoutMaker(fleet, folder, ports).make()


class _LayoutMaker:
    """Assigns the ports in order and creates the process plans."""

    def __init__(self, fleet: FleetFile, folder: Path, ports: list[int]) -> None:
        self._fleet = fleet
        self._folder = folder
        addresses = iter([f"{LOOPBACK_HOST}:{port}" for port in ports])
        disks = [machine for machine in fleet.machines if machine.disk]
        self._control = {disk.name: (next(addresses), next(addresses)) for disk in disks}
        self._routers = {
            machine.name: (next(addresses), next(addresses)) for machine in fleet.machines
        }
        self._workers = {worker.name: next(addresses) for worker in fleet.workers}
        control_addresses = [wire_address for wire_address, _ in self._control.values()]
        router_addresses = [wire_address for wire_address, _ in self._routers.values()]
        self._formation = control_addresses
        self._seeds = (control_addresses + router_addresses)[:SEED_COUNT]

    def make(self) -> FleetLayout:
        files: list[SettingsFile] = []
        processes: list[ProcessPlan] = []
        for machine in self._fleet.machines:
            if machine.disk:
                files.append(self._control_file(machine))
                processes.append(self._control_plan(machine, files[-1].path))
        for machine in self._fleet.machines:
            files.append(self._router_file(machine))
            processes.append(self._router_plan(machine, files[-1].path))
        processes += [
            self._worker_plan(worker, index) for index, worker in enumerate(self._fleet.workers)
        ]
        return FleetLayout(
            folder=self._folder,
            processes=tuple(processes),
            settings_files=tuple(files),
            mix_file=self._folder / "mix.json",
            history_file=self._folder / "requests.jsonl",
            fault_file=self._fault_file,
            log_folder=self._folder / "logs",
            execution_folder=self._execution_folder,
        )

    @property
    def _fault_file(self) -> Path:
        return self._folder / "link-faults.json"

    @property
    def _execution_folder(self) -> Path:
        return self._folder / "executions"

    def _data_folder(self, machine: Machine) -> Path:
        return self._folder / "data" / machine.name

    def _control_file(self, machine: Machine) -> SettingsFile:
        wire_address, http_address = self._control[machine.name]
        settings = ControlSettings(
            node_id=f"control-{machine.name}",
            fleet=self._fleet.fleet,
            zone=machine.zone,
            wire_address=wire_address,
            http_address=http_address,
            seeds=self._seeds,
            data_folder=str(self._data_folder(machine)),
            formation_members=self._formation,
            target_voters=self._fleet.target_voters,
            log_level=self._fleet.log_level,
            fault_file=str(self._fault_file),
        )
        return SettingsFile(path=self._settings_path(settings.node_id), settings=settings)

    def _router_file(self, machine: Machine) -> SettingsFile:
        wire_address, http_address = self._routers[machine.name]
        settings = RouterSettings(
            node_id=f"router-{machine.name}",
            fleet=self._fleet.fleet,
            zone=machine.zone,
            wire_address=wire_address,
            http_address=http_address,
            seeds=self._seeds,
            log_level=self._fleet.log_level,
            fault_file=str(self._fault_file),
        )
        return SettingsFile(path=self._settings_path(settings.node_id), settings=settings)

    def _settings_path(self, node_id: str) -> Path:
        return self._folder / "settings" / f"{node_id}.json"

    def _control_plan(self, machine: Machine, settings_path: Path) -> ProcessPlan:
        return ProcessPlan(
            name=f"control-{machine.name}",
            machine=machine.name,
            kind=ProcessKind.CONTROL,
            arguments=("control", "-c", str(settings_path)),
            http_address=self._control[machine.name][1],
            data_folder=str(self._data_folder(machine)),
        )

    def _router_plan(self, machine: Machine, settings_path: Path) -> ProcessPlan:
        return ProcessPlan(
            name=f"router-{machine.name}",
            machine=machine.name,
            kind=ProcessKind.ROUTER,
            arguments=("router", "-c", str(settings_path)),
            http_address=self._routers[machine.name][1],
        )

    def _worker_plan(self, worker: FleetWorker, index: int) -> ProcessPlan:
        address = self._workers[worker.name]
        arguments = ["emulator", "service" if worker.stage is Stage.PLAIN else "worker"]
        arguments += ["--id", worker.name, "--service", worker.service]
        arguments += ["--host", LOOPBACK_HOST, "--port", address.rpartition(":")[2]]
        arguments += ["--zone", worker.zone, "--failure-domain", worker.failure_domain]
        arguments += ["--execution-log", str(self._execution_folder / f"{worker.name}.jsonl")]
        if worker.stage is not Stage.PLAIN:
            arguments += ["--stage", worker.stage]
        for model in worker.models:
            arguments += ["--model", model]
        for router_address in self._announce_addresses(index):
            arguments += ["--announce", router_address]
        return ProcessPlan(
            name=worker.name,
            machine=worker.name,
            kind=ProcessKind.WORKER,
            arguments=(*arguments, *worker.options),
            http_address=address,
        )

    def _announce_addresses(self, index: int) -> list[str]:
        addresses = [f"http://{http_address}" for _, http_address in self._routers.values()]
        start = index % len(addresses)
        return (addresses[start:] + addresses[:start])[:ANNOUNCE_ADDRESSES]
