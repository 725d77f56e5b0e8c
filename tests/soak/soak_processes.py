"""Machines of a soak: the deployed router and control process of each, as real processes."""

import asyncio
import json
import math
import os
import shutil
import signal
import subprocess
import sys
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from loopback_hosts import free_hosts
from machine_limits import MACHINE_MEMORY_BYTES, peak_memory_bytes

ROOT = Path(__file__).resolve().parents[2]

ROUTER = "run_router.py"
CONTROL = "run_control.py"
PROGRAMS = (CONTROL, ROUTER)

FRONT_PORT, READY_PORT, CONTROL_PORT, WIRE_PORT = 8144, 8140, 8146, 7660
"""The same on every machine, as on the platform, and below the range of ephemeral ports."""

SEED_COUNT = 3
"""Number of machines that the settings name."""

DISK_MACHINES = 3
"""Number of machines with a disk, whose control processes may vote."""

GRACE_SECONDS = 8.0
"""Time from SIGTERM until the platform kills a process."""


class OwnEnd(NamedTuple):
    """A process that ended although nothing had stopped it."""

    machine: int
    program: str
    exit_code: int


class Machine:
    """One machine: its address, its settings file, and its two processes.

    ``disturbed`` lists the times at which its router was killed, frozen or thawed, in monotonic
    seconds; what its callers see around them is not judged. ``seeds`` are the hosts that its
    settings name from its next start or reload on.

    Parameters
    ----------
    number
        Position among all machines of the run.
    host
        Loopback address.
    seeds
        Hosts of the first settings.
    folder
        Parent of the machine's folder.
    has_disk
        Whether its control process has a data folder, so that it may vote.
    is_first
        Whether it starts with the fleet; a machine that joins later must not form one.
    """

    def __init__(
        self,
        number: int,
        host: str,
        seeds: Sequence[str],
        folder: Path,
        *,
        has_disk: bool,
        is_first: bool = True,
    ) -> None:
        self.number = number
        self.host = host
        self.seeds = seeds
        self.has_disk = has_disk
        self.disturbed: list[float] = []
        self.is_gone_since = math.inf
        self._folder = folder / str(number)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._starting = threading.Lock()
        self._expected_to_end: set[str] = set()
        self._started: set[str] = set() if is_first else set(PROGRAMS)
        self._data.mkdir(parents=True)

    @property
    def _data(self) -> Path:
        return self._folder / "data"

    def start(self, program: str) -> None:
        """Start a program, or start it again; nothing happens while it runs.

        Events overlap, so two of them may start the same program from two threads.
        """
        with self._starting:
            if not self.is_running(program):
                self._start(program)

    def _start(self, program: str) -> None:
        is_first = program not in self._started
        self._started.add(program)
        self._expected_to_end.discard(program)
        settings = self._settings_file(program)
        settings.write_text(json.dumps(self._settings(is_first=is_first)))
        environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "PYTHONPATH": str(ROOT / "src"),
            "ORCHIDPATH_SETTINGS": str(settings),
        }
        with (self._folder / "log").open("ab") as log:
            self._processes[program] = subprocess.Popen(
                [sys.executable, f"platform/{program}"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def disturb_for_good(self, now: float) -> None:
        """Judge nothing that callers of this machine see from a time on, in monotonic seconds."""
        self.is_gone_since = now

    def lose_disk(self) -> None:
        """Empty the data folder; both programs must have ended."""
        shutil.rmtree(self._data)
        self._data.mkdir()

    def change_seeds(self, seeds: Sequence[str]) -> None:
        """Write settings that name other seeds; the running programs notice it."""
        self.seeds = seeds
        for program in PROGRAMS:
            if self.is_running(program):
                temporary = self._settings_file(f"{program}.new")
                temporary.write_text(json.dumps(self._settings(is_first=False)))
                temporary.replace(self._settings_file(program))

    def is_running(self, program: str) -> bool:
        process = self._processes.get(program)
        return process is not None and process.poll() is None

    def send_signal(self, program: str, number: signal.Signals) -> None:
        """Send a signal to a program that runs; note that it is expected to end if it is.

        SIGHUP is not sent while the Python interpreter itself starts: it ends the interpreter
        before the first line of a program can prevent that.
        """
        if not self.is_running(program):
            return
        process_id = self._processes[program].pid
        if number is signal.SIGHUP and not _has_disposition(process_id, number):
            return
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self._expected_to_end.add(program)
        self._processes[program].send_signal(number)

    async def wait_until_ended(self, program: str, seconds: float) -> bool:
        """Wait for a program to end; return False if it still runs after this time."""
        deadline = asyncio.get_running_loop().time() + seconds
        while self.is_running(program):
            if asyncio.get_running_loop().time() > deadline:
                return False
            await asyncio.sleep(0.05)
        return True

    def own_ends(self) -> list[OwnEnd]:
        """Return the programs that have ended although they were not told to."""
        return [
            OwnEnd(self.number, program, process.returncode)
            for program, process in self._processes.items()
            if process.poll() is not None and program not in self._expected_to_end
        ]

    def memory_problems(self) -> list[str]:
        """Return the programs that have ever taken more than the memory of a machine."""
        problems = []
        for program, process in self._processes.items():
            peak_bytes = peak_memory_bytes(process.pid) if self.is_running(program) else 0
            if peak_bytes >= MACHINE_MEMORY_BYTES:
                problems.append(f"{program} of {self.number} took {peak_bytes / 1e6:.0f} MB")
        return problems

    def kill_all(self) -> None:
        """End both processes at once, at the end of the run."""
        for program, process in self._processes.items():
            if process.poll() is None:
                self._expected_to_end.add(program)
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def log_lines(self) -> list[str]:
        """Return the lines that both programs have logged."""
        log = self._folder / "log"
        return log.read_text(errors="replace").splitlines() if log.exists() else []

    def _settings_file(self, program: str) -> Path:
        return self._folder / f"{program}.json"

    def _settings(self, *, is_first: bool) -> dict[str, object]:
        return {
            "node_name": f"front-z{self.number % 3}-{self.number}",
            "ip": self.host,
            "zone": f"z{self.number % 3}",
            "listen": {
                "front": f"{self.host}:{FRONT_PORT}",
                "ready": f"{self.host}:{READY_PORT}",
                "control": f"{self.host}:{CONTROL_PORT}",
            },
            "internal_ports": [WIRE_PORT, WIRE_PORT + 15],
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in self.seeds],
            "bootstrap": is_first,
            "data_dir": str(self._data) if self.has_disk else None,
            "heartbeat_ms": 1200,
            "bounds": {"grace_s": GRACE_SECONDS, "retry_budget_ratio": 0.2, "retry_slack": 62},
            "fault_tolerance": {"machines": 1},
        }


def _has_disposition(process_id: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or handles a signal."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return False
    masks = dict(line.split(":", 1) for line in status.splitlines())
    mask = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(mask & 1 << number - 1)


def create_machines(
    count: int, folder: Path, disk_count: int = DISK_MACHINES, spare_count: int = 0
) -> tuple[list[Machine], list[str]]:
    """Return machines with loopback addresses on which the ports are free, and spare addresses."""
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, WIRE_PORT, WIRE_PORT + 1)
    hosts = free_hosts(count + spare_count, ports)
    machines = [
        Machine(number, host, hosts[:SEED_COUNT], folder, has_disk=number < disk_count)
        for number, host in enumerate(hosts[:count])
    ]
    return machines, hosts[count:]
