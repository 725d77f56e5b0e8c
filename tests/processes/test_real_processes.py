"""Responses to callers while real processes are killed, frozen, partitioned, or lose their disk.

Each run starts the local fleet with a fault script. The assertions do not depend on the speed of
the machine: no request ran twice, no response had wrong content, no aborted stream looked complete,
and no request that was rejected as not executed had been executed.
"""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

FLEET = """
fleet = "acceptance"
seed = 3

[[machines]]
name = "a"
zone = "one"
disk = true

[[machines]]
name = "b"
zone = "two"
disk = true

[[machines]]
name = "c"
zone = "one"
disk = true

[[machines]]
name = "d"
zone = "two"
disk = true

[[workers]]
name = "read-1"
service = "puzzle"
stage = "prefill"
models = ["puzzle"]

[[workers]]
name = "read-2"
service = "puzzle"
stage = "prefill"
models = ["puzzle"]

[[workers]]
name = "write-1"
service = "puzzle"
stage = "decode"
models = ["puzzle"]

[[workers]]
name = "write-2"
service = "puzzle"
stage = "decode"
models = ["puzzle"]

[[workers]]
name = "board-1"
service = "board"
stage = "plain"

[[workers]]
name = "board-2"
service = "board"
stage = "plain"

[[configuration.services]]
name = "puzzle"
kind = "model"
models = ["puzzle"]
prefill_workers = 2
decode_workers = 2

[[configuration.services]]
name = "board"
kind = "plain"

[[configuration.routes]]
name = "verdicts"
service = "puzzle"
model = "puzzle"

[[configuration.routes]]
name = "boards"
service = "board"
method = "GET"
path = "/boards/{id}"

[[traffic.streams]]
name = "verdicts"
kind = "model"
model = "puzzle"
rate_per_second = 4.0
tenants = ["schools"]

[traffic.streams.max_tokens]
median = 24
maximum = 64

[[traffic.streams]]
name = "boards"
kind = "plain"
method = "GET"
path = "/boards/{}"
rate_per_second = 4.0
tenants = ["families"]
"""


def fault(at: float, kind: str, target: str, seconds: float = 0.0, other: str = "") -> str:
    lines = [
        "[[faults]]",
        f"at_seconds = {at}",
        f'kind = "{kind}"',
        f'target = "{target}"',
        f"for_seconds = {seconds}",
    ]
    if other:
        lines.append(f'other = "{other}"')
    return "\n".join(lines) + "\n"


SCRIPTS = {
    "leader_killed": fault(2, "kill", "leader", 2) + fault(7, "kill", "leader", 2),
    "leader_frozen_for_over_20_seconds": fault(1, "freeze", "leader", 21),
    "disk_lost_twice": fault(2, "replace_disk", "leader") + fault(14, "replace_disk", "leader"),
    "worker_killed": fault(2, "kill", "write-1", 3) + fault(4, "kill", "read-1", 3),
    "router_killed": fault(2, "kill", "router-b", 2),
    "control_tier_stopped": "".join(
        fault(2, "stop", f"control-{machine}", 5) for machine in "abcd"
    ),
    "one_machine_partitioned": fault(2, "cut", "a", 6),
}

SECONDS_BY_SCRIPT = {"leader_frozen_for_over_20_seconds": 26, "disk_lost_twice": 24}
DEFAULT_SECONDS = 14


@pytest.mark.parametrize("name", sorted(SCRIPTS))
def test_callers_get_correct_responses_under_faults(name: str, tmp_path: Path) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text(FLEET + SCRIPTS[name])
    summary = run_fleet(file, SECONDS_BY_SCRIPT.get(name, DEFAULT_SECONDS))
    assert summary["requests"] > 0
    assert summary["answered"] > 0
    assert summary["executions_twice"] == 0
    assert summary["refused_but_ran"] == 0
    assert summary["wrong_content"] == 0
    assert summary["incomplete_but_clean"] == 0
    assert summary["configuration_version"] == 1
    assert summary["leader"]


def run_fleet(file: Path, seconds: int) -> dict[str, Any]:
    command = [sys.executable, "-m", "orchidpath", "fleet", "run", str(file)]
    command += ["--for", str(seconds), "--json"]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=240, check=False)
    lines = [line for line in completed.stdout.splitlines() if line.startswith("{")]
    assert lines, completed.stdout + completed.stderr
    summary: dict[str, Any] = json.loads(lines[-1])
    return summary
