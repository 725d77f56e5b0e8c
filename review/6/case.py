"""A worker whose answers lack a length crashes inside an event; see claim.txt."""

import os
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from small_fleet import ROOT, Operator, call, exit_code, is_ready, wait_for

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 240
CLIENTS = 4
UNFRAMED_AT = 30
EVENTS = 10
HEADERS = {"Host": "lauad.example", "X-Deadline-Ms": "4000", "Content-Type": "text/plain"}


class Workers:
    """Six workers; one that has crashed is started again under a new id."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.started = 0
        self.running = {}
        for position in range(6):
            self.start(position)

    def start(self, position):
        self.started += 1
        ip = self.fleet.worker_ip.rsplit(".", 1)[0] + f".{201 + position}"
        address = f"{ip}:{self.fleet.ports['front']}"
        arguments = [f"i-lauad-{self.started}", "lauad", "kesklinn", address]
        unframed_at = UNFRAMED_AT if self.started == 1 else 0
        arguments += [str(self.fleet.folder / "runs.txt"), str(unframed_at)]
        arguments += ["crashes" if TROUBLE else "lasts"]
        arguments += [core.address("control") for core in self.fleet.cores]
        command = [sys.executable, str(HERE.parent / "stream_worker.py"), *arguments]
        self.running[position] = subprocess.Popen(command, cwd=ROOT)

    def restart_crashed(self):
        for position, process in list(self.running.items()):
            if process.poll() is not None:
                self.start(position)

    def stop(self):
        for process in self.running.values():
            process.kill()
            process.wait()


def judge(record, request_id, answer):
    """Return whether the rule is broken: the answer looks complete, and pieces are missing."""
    if answer is None:
        record.line(f"client {request_id}: the answer was visibly cut off")
        return False
    status, _, body = answer
    pieces = body.count(b"\n\n")
    record.line(f"client {request_id}: {status}, complete, {pieces} pieces, ends {body[-24:]!r}")
    if status != 200 or pieces == EVENTS:
        return False
    record.say(f"{request_id}: complete answer with {pieces} of {EVENTS} pieces, {body[-24:]!r}")
    return True


def stream(fleet, record, number):
    """Send one request on a connection of its own; return whether the rule is broken."""
    request_id = f"c-{number}"
    machine = fleet.machines[number % len(fleet.machines)]
    headers = {**HEADERS, "X-Request-Id": request_id}
    record.line(f"client {request_id} sent to {machine.name}")
    answer = call(machine.address("front"), "POST", "/laud/1", b"book", headers, 5.0)
    return judge(record, request_id, answer)


def play(fleet, record):
    operator = Operator(fleet)
    fleet.start()
    workers = Workers(fleet)
    fields = {"route_type": "streaming", "resumable": True, "max_attempts": 2}
    try:
        first = operator.change(1, timeout_ms=4000, target_gap_ms=300, **fields)
        if first != 200 or not wait_for(lambda: all(map(is_ready, fleet.machines)), 15):
            record.say("the fleet did not become ready")
            return 2
        time.sleep(2.0)
        with ThreadPoolExecutor(CLIENTS) as pool:
            results = [pool.submit(stream, fleet, record, number) for number in range(STREAMS)]
            while not all(result.done() for result in results):
                workers.restart_crashed()
                time.sleep(0.2)
        broken = sum(result.result() for result in results)
        record.say(f"{broken} of {STREAMS} streams ended as complete before their last piece")
        return int(broken > 0)
    finally:
        with suppress(OSError):
            workers.stop()
        fleet.record_runs()


if __name__ == "__main__":
    sys.exit(exit_code(HERE, play))
