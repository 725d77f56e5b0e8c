"""Snapshots are deterministic: their bytes do not depend on the hash seed of the process.

Replicas run with different hash seeds, so iteration over a set must not decide the order of data.
"""

import os
import subprocess
import sys

SCRIPT = """
import hashlib
from orchidpath.state.commands import CordonWorker, RegisterRouter, WorkerChanged, encode_command
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.records import RouterRecord, Stage, WorkerRecord

state = FleetState()
commands = []
for number in range(20):
    worker = WorkerRecord(
        worker_id=f"w{number}", incarnation="a", service="s", stage=Stage.PLAIN, url="http://h"
    )
    router = RouterRecord(
        router_id=f"r{number}", address="a", http_address="h", zone=f"z{number % 3}"
    )
    commands.append(WorkerChanged(record=worker, sequence=1))
    commands.append(CordonWorker(worker_id=worker.worker_id, cordoned=True))
    commands.append(RegisterRouter(record=router))
for index, command in enumerate(commands, start=1):
    state.apply(index, encode_command(command))
print(hashlib.sha256(state.snapshot()).hexdigest())
"""


def snapshot_digest(hash_seed: int) -> str:
    finished = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        env=os.environ | {"PYTHONHASHSEED": str(hash_seed)},
        capture_output=True,
        text=True,
        check=True,
    )
    return finished.stdout


def test_snapshots_do_not_depend_on_the_process_that_makes_them() -> None:
    assert len({snapshot_digest(hash_seed) for hash_seed in (1, 2, 3)}) == 1
