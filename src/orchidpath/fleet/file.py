"""The fleet file: the processes, traffic and fault script of a local fleet."""

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec

from orchidpath.common.problems import Problem
from orchidpath.common.settings_checks import check_name
from orchidpath.common.settings_file import convert_settings, read_table
from orchidpath.emulators.backend.injected_faults import Fault
from orchidpath.emulators.client.traffic_mix import TrafficMix, TrafficMixError, check_traffic_mix
from orchidpath.state.configuration_checks.validation import validate
from orchidpath.wire.configuration import Configuration, ServiceKind
from orchidpath.wire.records import Stage

LEADER_TARGET = "leader"
"""Target of a fault: the control process that is the leader when the fault is injected."""


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One router machine; with a disk it also runs a control process.

    Its processes are named ``router-NAME`` and ``control-NAME``.
    """

    name: str
    zone: str = ""
    disk: bool = False


class FleetWorker(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One emulated back end.

    ``options`` are appended unchanged to its ``orchidpath emulator`` command.
    """

    name: str
    service: str
    stage: Stage
    models: list[str] = []
    zone: str = ""
    failure_domain: str = ""
    options: list[str] = []


class ScriptedFaultKind(StrEnum):
    """Actions of the fault script."""

    KILL = "kill"
    """Send SIGKILL; the process starts again after ``for_seconds`` or by a later ``start``."""
    FREEZE = "freeze"
    """Send SIGSTOP; the process gets SIGCONT after ``for_seconds`` or by a later ``wake``."""
    WAKE = "wake"
    STOP = "stop"
    """Send SIGTERM; the process starts again after ``for_seconds`` or by a later ``start``."""
    START = "start"
    REPLACE_DISK = "replace_disk"
    """Send SIGKILL to a control process, delete its data folder, and start it again."""
    PARTITION = "cut"
    """Drop every message between ``target`` and ``other`` for ``for_seconds`` or until ``heal``.

    An empty ``other`` means all processes. With ``one_way``, messages from ``other`` to ``target``
    are still delivered.
    """
    HEAL = "heal"
    """End every cut whose source is a process of ``target``."""
    WORKER = "worker"
    """Post ``worker_fault`` to the emulated worker."""


class ScriptedFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One step of the fault script.

    ``target`` is the name of a machine (meaning all its processes), the name of a process, the
    name of a worker, or ``leader``. Times are measured from the start of the traffic.
    """

    at_seconds: float
    kind: ScriptedFaultKind
    target: str
    other: str = ""
    one_way: bool = False
    for_seconds: float = 0.0
    worker_fault: Fault | None = None


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Content of a fleet file."""

    fleet: str
    machines: list[Machine]
    workers: list[FleetWorker]
    configuration: Configuration
    traffic: TrafficMix
    faults: list[ScriptedFault] = []
    target_voters: int = 3
    seed: int = 0
    log_level: str = "info"


def load_fleet(path: Path) -> FleetFile:
    """Load and check a fleet file.

    Raises
    ------
    SettingsError
        The file has problems; the error lists all of them.
    """
    return convert_fleet(read_table(path), str(path))


def convert_fleet(table: dict[str, Any], file: str) -> FleetFile:
    """Convert and check a decoded fleet file; see :func:`load_fleet`."""
    return convert_settings(table, file, FleetFile, check_fleet)


def check_fleet(fleet: FleetFile) -> list[Problem]:
    """Return every problem of a fleet file whose values have the right types."""
    return [
        *check_name("fleet", fleet.fleet),
        *_check_machines(fleet),
        *_check_workers(fleet),
        *_check_configuration(fleet),
        *_check_traffic(fleet),
        *_check_faults(fleet),
    ]


def fault_targets(fleet: FleetFile) -> frozenset[str]:
    """Return every name that a fault may have as its target."""
    names = {LEADER_TARGET}
    for machine in fleet.machines:
        names |= {machine.name, f"router-{machine.name}"}
        if machine.disk:
            names.add(f"control-{machine.name}")
    return frozenset(names | {worker.name for worker in fleet.workers})


def _check_machines(fleet: FleetFile) -> Iterator[Problem]:
    names = [machine.name for machine in fleet.machines]
    for index, machine in enumerate(fleet.machines):
        yield from check_name(f"machines[{index}].name", machine.name)
        if machine.name in names[:index]:
            yield Problem(path=f"machines[{index}].name", message=f"{machine.name!r} is used twice")
    if not any(machine.disk for machine in fleet.machines):
        yield Problem(path="machines", message="expected at least one machine with disk = true")
    if len(fleet.machines) < 3:
        yield Problem(path="machines", message="expected at least three machines, for three seeds")


def _check_workers(fleet: FleetFile) -> Iterator[Problem]:
    names = [worker.name for worker in fleet.workers]
    kinds = {service.name: service.kind for service in fleet.configuration.services}
    for index, worker in enumerate(fleet.workers):
        path = f"workers[{index}]"
        yield from check_name(f"{path}.name", worker.name)
        if worker.name in names[:index]:
            yield Problem(path=f"{path}.name", message=f"{worker.name!r} is used twice")
        kind = kinds.get(worker.service)
        if kind is None:
            message = f"the configuration has no service {worker.service!r}"
            yield Problem(path=f"{path}.service", message=message)
        elif (kind is ServiceKind.PLAIN) != (worker.stage is Stage.PLAIN):
            message = f"{worker.stage} does not fit a service of kind {kind}"
            yield Problem(path=f"{path}.stage", message=message)
        if (worker.stage is Stage.PLAIN) == bool(worker.models):
            message = "expected models for a model worker and none for a plain one"
            yield Problem(path=f"{path}.models", message=message)


def _check_configuration(fleet: FleetFile) -> Iterator[Problem]:
    for problem in validate(fleet.configuration):
        path = f"configuration.{problem.path}" if problem.path else "configuration"
        yield Problem(path=path, message=problem.message)


def _check_traffic(fleet: FleetFile) -> Iterator[Problem]:
    try:
        check_traffic_mix(fleet.traffic)
    except TrafficMixError as error:
        yield Problem(path="traffic", message=str(error))


def _check_faults(fleet: FleetFile) -> Iterator[Problem]:
    targets = fault_targets(fleet)
    workers = {worker.name for worker in fleet.workers}
    for index, fault in enumerate(fleet.faults):
        path = f"faults[{index}]"
        if not fault.at_seconds >= 0 or not fault.for_seconds >= 0:
            yield Problem(path=path, message="expected times of zero or more seconds")
        if fault.target not in targets:
            message = f"no machine, process or worker is named {fault.target!r}"
            yield Problem(path=f"{path}.target", message=message)
        if fault.other and fault.other not in targets:
            yield Problem(
                path=f"{path}.other",
                message=f"no machine, process or worker is named {fault.other!r}",
            )
        if (fault.kind is ScriptedFaultKind.WORKER) != (fault.worker_fault is not None):
            message = "expected if, and only if, kind = 'worker'"
            yield Problem(path=f"{path}.worker_fault", message=message)
        if fault.kind is ScriptedFaultKind.WORKER and fault.target not in workers:
            yield Problem(path=f"{path}.target", message="expected the name of a worker")
