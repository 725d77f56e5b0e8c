"""Soak of real processes: configurations, signals, restarts and crowds in series that overlap.

Clients keep using their open connections until a process is gone. A seed determines the order of
the events and their kinds; how they meet depends on the machine. By hand::

    PYTHONPATH=tests python tests/soak/configuration_soak.py --seeds 0..49 --seconds 30 --machines 3
"""

import argparse
import asyncio
import json
import math
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path
from random import Random

import aiohttp
from soak_checks import DEADLINE_SECONDS, Observations, Outcome, SentUpdate, summary
from soak_configurations import (
    HOST,
    MODEL_ROUTES,
    MODEL_SERVICES,
    PLAIN_SERVICES,
    ROUTES,
    ConfigurationSource,
    Update,
    content_of,
)
from soak_crowds import SoakCrowd
from soak_processes import (
    CONTROL,
    CONTROL_PORT,
    DISK_MACHINES,
    FRONT_PORT,
    GRACE_SECONDS,
    PROGRAMS,
    READY_PORT,
    ROUTER,
    Machine,
    create_machines,
)
from soak_workers import SoakWorker

CLIENTS_PER_MACHINE = 5
CLIENT_MACHINES = 4
"""Machines that get clients; the others only take part in the fleet."""

START_SECONDS = 60.0
"""Bound of the wait until every router is ready; no assertion depends on it."""

SETTLE_SECONDS = 30.0
"""Bound of the waits at the end, after the last disturbance."""

HEARTBEAT_SECONDS = 0.5
CALL_SECONDS = 1.0
"""An operator or a worker moves on to another machine after this time without an answer."""

CLEAR_STATUSES = frozenset({200, 400, 409, 412, 413, 422})


class LastByteTime:
    """When a client has written the last byte of its request; None until then.

    A connection that closes before that has not taken a whole request.
    """

    def __init__(self) -> None:
        self.sent_at: float | None = None

    def trace_config(self) -> aiohttp.TraceConfig:
        """Return the hook for the client's session."""
        trace_config = aiohttp.TraceConfig()
        trace_config.on_request_chunk_sent.append(self._note)
        return trace_config

    async def _note(self, _session: object, _context: object, _parameters: object) -> None:
        self.sent_at = asyncio.get_running_loop().time()


class Soak:
    """One run: machines, workers, clients and an operator.

    Parameters
    ----------
    seed
        Determines the configurations, the events and what workers do.
    machine_count
        Number of machines, each with a router and a control process; at least three.
    folder
        Folder for the settings, data and logs of the processes.
    disk_count
        Number of machines with a disk.
    spare_count
        Number of addresses for machines that come later.
    """

    def __init__(
        self,
        seed: int,
        machine_count: int,
        folder: Path,
        disk_count: int = DISK_MACHINES,
        spare_count: int = 0,
    ) -> None:
        self._random = Random(f"events of {seed}")
        self._worker_random = Random(f"workers of {seed}")
        self._source = ConfigurationSource(Random(f"configurations of {seed}"))
        self._machines, self._spare_hosts = create_machines(
            machine_count, folder, disk_count, spare_count
        )
        self.observations = Observations(self._machines)
        self._workers: list[SoakWorker] = []
        self._worker_numbers = count(1)
        self._request_numbers = count(1)
        self._events: set[asyncio.Task[None]] = set()
        self._control_event = asyncio.Lock()
        self._operator_turn = asyncio.Lock()
        self._clients_per_machine = CLIENTS_PER_MACHINE
        self._workers_change = True
        self._is_over = False

    async def run(self, seconds: float) -> None:
        """Start everything, play events for a time, and check that the fleet settles."""
        try:
            async with aiohttp.ClientSession() as self._session:
                await self._start()
                tasks = [asyncio.create_task(self._send_heartbeats())]
                clients = [
                    asyncio.create_task(self._run_client(machine))
                    for machine in self._machines[:CLIENT_MACHINES]
                    for _ in range(self._clients_per_machine)
                ]
                await self._submit(self._source.first(), START_SECONDS)
                await self._wait_until_ready(START_SECONDS)
                operator = asyncio.create_task(self._change_forever())
                await self._disturb(seconds)
                self._is_over = True
                await operator
                await self._settle()
                await asyncio.gather(*clients)
                for task in tasks:
                    task.cancel()
        finally:
            for machine in self.observations.machines:
                machine.kill_all()
            for worker in self._workers:
                await worker.stop()

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _note(self, event: str) -> None:
        self.observations.timeline.append(f"{self._now:.3f} {event}")

    async def _start(self) -> None:
        for service in (*PLAIN_SERVICES, *MODEL_SERVICES):
            stages = ("prefill", "decode", "decode") if service in MODEL_SERVICES else ("", "")
            for stage in stages:
                await self._add_worker(service, stage)
        for machine in self._machines:
            for program in PROGRAMS:
                await asyncio.to_thread(machine.start, program)

    async def _add_worker(self, service: str, stage: str) -> None:
        worker_id = f"i-{next(self._worker_numbers)}"
        worker = SoakWorker(
            worker_id,
            service,
            stage,
            self.observations.runs,
            self._worker_random,
            changes_record=self._workers_change,
        )
        await worker.start()
        self._workers.append(worker)

    # Workers and operator

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.gather(*(self._send_heartbeat(worker) for worker in self._workers))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_heartbeat(self, worker: SoakWorker) -> bool:
        body = json.dumps(worker.heartbeat()).encode()
        return await self._call("PUT", f"/instances/{worker.worker_id}", body)

    async def _call(self, method: str, path: str, body: bytes = b"") -> bool:
        """Call one machine after another until one accepts; False if none does."""
        first = self._worker_random.randrange(len(self._machines))
        for number in range(min(len(self._machines), 5)):
            machine = self._machines[(first + number) % len(self._machines)]
            status = await self._control_status(machine, method, path, body, {})
            if status == 200:
                return True
        return False

    async def _control_status(
        self, machine: Machine, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> int | None:
        url = f"http://{machine.host}:{CONTROL_PORT}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _change_forever(self) -> None:
        while not self._is_over:
            async with self._operator_turn:
                await self._submit(self._source.next(), math.inf)
            await asyncio.sleep(self._random.uniform(0.0, 0.8))

    async def _submit(self, update: Update, seconds: float) -> None:
        """Send an update to one machine after another until there is a clear answer."""
        sent_at = self._now
        updates = self.observations.updates
        updates.append(SentUpdate(update, sent_at, math.inf))
        headers = {"If-Match": str(update.base), "Content-Type": "application/json"}
        give_up_at = sent_at + seconds
        over_at = math.inf
        status = None
        for number in count(self._random.randrange(len(self._machines))):
            machine = self._machines[number % len(self._machines)]
            status = await self._control_status(
                machine, update.method, "/config", update.body, headers
            )
            if self._is_over:
                over_at = min(over_at, self._now + SETTLE_SECONDS)
            if status in CLEAR_STATUSES or self._now > min(give_up_at, over_at):
                break
            await asyncio.sleep(0.1)
        if status != 200:
            self.observations.problems.append(
                f"CONFIG: version {update.version} was answered with {status}"
            )
            return
        updates[-1] = SentUpdate(update, sent_at, self._now)
        self._note(f"version {update.version} is acknowledged")
        self._source.accepted(update)

    # Clients

    async def _run_client(self, machine: Machine) -> None:
        """Send one request after another on a connection that is kept open."""
        random = Random(f"client {next(self._request_numbers)}")
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60.0)
        client = LastByteTime()
        async with aiohttp.ClientSession(
            connector=connector, trace_configs=[client.trace_config()]
        ) as session:
            while not self._is_over:
                client.sent_at = None
                status = await self._send_request(session, machine, random, client)
                pause_seconds = 0.1 if status == 200 else 0.4
                await asyncio.sleep(random.uniform(0.0, pause_seconds))

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        machine: Machine,
        random: Random,
        client: "LastByteTime",
    ) -> int | None:
        """Send one request and return its status; None if there was no whole answer."""
        route = random.choice(ROUTES)
        request_id = f"r{next(self._request_numbers)}"
        deadline_ms = str(round(1000 * DEADLINE_SECONDS))
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": deadline_ms}
        if route in MODEL_ROUTES:
            part = random.randrange(50)
            tokens = random.choice((800, 9_000, 20_000))
            headers["X-Model"] = "m"
            headers["X-Token-Usage"] = f"{tokens},3"
            headers["X-Prefix-Hash"] = f"{part:08x}:{tokens - 100},{request_id[1:]:>08}:100"
        url = f"http://{machine.host}:{FRONT_PORT}/{route}/x"
        status, body = None, b""
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 2.0):
                async with session.post(url, headers=headers, data=b"the body") as response:
                    body = await response.read()
                    status = response.status
        except aiohttp.ClientConnectorError:
            return None  # The request was not sent.
        except (aiohttp.ClientError, TimeoutError):
            status = None
        if client.sent_at is not None:
            self.observations.outcomes.append(
                Outcome(request_id, route, machine.number, client.sent_at, self._now, status, body)
            )
        return status

    # Disturbances

    async def _disturb(self, seconds: float) -> None:
        """Begin one event after another; they overlap. Return once all of them are over.

        The first one is a crowd, so that the shortest run meets one.
        """
        end_at = self._now + seconds
        events: list[Callable[[], Awaitable[None]]] = [
            self._stop_router,
            self._stop_router,
            self._kill_router,
            self._freeze_router,
            self._reload,
            self._stop_control,
            self._kill_control,
            self._freeze_control,
            self._replace_worker,
            self._replace_worker,
            self._send_crowd,
            self._send_crowd,
        ]
        self._events.add(asyncio.ensure_future(self._send_crowd()))
        while self._now < end_at:
            event = self._random.choice(events)
            task = asyncio.ensure_future(event())
            self._events.add(task)
            await asyncio.sleep(self._random.uniform(0.1, 1.5))
        await asyncio.gather(*self._events)

    def _choose(self, program: str, machines: list[Machine] | None = None) -> Machine | None:
        running = [machine for machine in machines or self._machines if machine.is_running(program)]
        return self._random.choice(running) if running else None

    async def _stop_router(self) -> None:
        """Stop a router as planned, and start it again; a second stop may overlap the first."""
        machine = self._choose(ROUTER)
        if machine is not None:
            self._note(f"router {machine.number} is stopped")
            machine.send_signal(ROUTER, signal.SIGTERM)
            if not await machine.wait_until_ended(ROUTER, GRACE_SECONDS):
                self.observations.problems.append(f"{machine.number}: the router did not stop")
                machine.disturbed.append(self._now)
                machine.send_signal(ROUTER, signal.SIGKILL)
            await self._start_again(machine, ROUTER)

    async def _kill_router(self) -> None:
        machine = self._choose(ROUTER)
        if machine is not None:
            self._note(f"router {machine.number} is killed")
            machine.disturbed.append(self._now)
            machine.send_signal(ROUTER, signal.SIGKILL)
            await self._start_again(machine, ROUTER)

    async def _freeze_router(self) -> None:
        machine = self._choose(ROUTER)
        if machine is not None:
            self._note(f"router {machine.number} is frozen")
            machine.disturbed.append(self._now)
            machine.send_signal(ROUTER, signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.2, 3.0))
            machine.send_signal(ROUTER, signal.SIGCONT)
            machine.disturbed.append(self._now)
            self._note(f"router {machine.number} is thawed")

    async def _reload(self) -> None:
        """Announce changed settings to both programs of a machine."""
        machine = self._random.choice(self._machines)
        self._note(f"machine {machine.number} reloads")
        for program in PROGRAMS:
            machine.send_signal(program, signal.SIGHUP)

    async def _stop_control(self) -> None:
        await self._end_control(signal.SIGTERM)

    async def _kill_control(self) -> None:
        await self._end_control(signal.SIGKILL)

    async def _end_control(self, number: signal.Signals) -> None:
        # One machine with a disk at a time, which is what may be lost at once.
        async with self._control_event:
            machine = self._choose(CONTROL)
            if machine is not None:
                self._note(f"control {machine.number} gets {number.name}")
                machine.send_signal(CONTROL, number)
                await self._start_again(machine, CONTROL)

    async def _freeze_control(self) -> None:
        async with self._control_event:
            machine = self._choose(
                CONTROL, [machine for machine in self._machines if machine.has_disk]
            )
            if machine is not None:
                self._note(f"control {machine.number} is frozen")
                machine.send_signal(CONTROL, signal.SIGSTOP)
                await asyncio.sleep(self._random.uniform(0.2, 4.0))
                machine.send_signal(CONTROL, signal.SIGCONT)
                self._note(f"control {machine.number} is thawed")

    async def _start_again(self, machine: Machine, program: str) -> None:
        await machine.wait_until_ended(program, GRACE_SECONDS)
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        if not machine.is_running(program):
            # Starting a process takes some tenths of a second on a busy machine.
            await asyncio.to_thread(machine.start, program)
            self._note(f"{program} of machine {machine.number} is started again")

    async def _replace_worker(self) -> None:
        """Replace a worker by another one: it drains, leaves, and serves on for a while."""
        ready = [worker for worker in self._workers if worker.state == "ready"]
        worker = self._random.choice(ready)
        await self._add_worker(worker.service, worker.stage)
        worker.state = "draining"
        await self._send_heartbeat(worker)
        await asyncio.sleep(2.0)
        self._workers.remove(worker)
        await self._call("DELETE", f"/instances/{worker.worker_id}")
        await asyncio.sleep(DEADLINE_SECONDS + 1.0)
        await worker.stop()

    async def _send_crowd(self) -> None:
        """Let clients outside the limits meet the programs of one machine."""
        machine = self._random.choice(self._machines)
        crowd = SoakCrowd(self._random, machine)
        self.observations.crowds += 1
        self._note(f"machine {machine.number} meets a crowd: {crowd.description}")
        await crowd.run()
        self.observations.problems += machine.memory_problems()
        self._note(f"machine {machine.number} is left by a crowd: {crowd.description}")

    # The end

    async def _settle(self) -> None:
        """Check that every machine serves the newest configuration again."""
        await self._wait_until_ready(SETTLE_SECONDS)
        newest = self._source.document
        for machine in self._machines:
            read = await self._read_configuration(machine, newest["version"])
            if read is None or content_of(read) != content_of(newest):
                version = read["version"] if read is not None else None
                self.observations.problems.append(
                    f"CONFIG: machine {machine.number} reads version {version}"
                    f" instead of {newest['version']}"
                )

    async def _read_configuration(self, machine: Machine, version: int) -> dict[str, object] | None:
        """Read the configuration until the version comes; at the end of the time, any version."""
        url = f"http://{machine.host}:{CONTROL_PORT}/config"
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        document: dict[str, object] | None = None
        give_up_at = self._now + SETTLE_SECONDS
        while self._now < give_up_at:
            try:
                async with self._session.get(url, timeout=timeout) as response:
                    if response.status == 200:
                        document = json.loads(await response.read())
                        if document["version"] == version:
                            return document
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return document

    async def _wait_until_ready(self, seconds: float) -> None:
        give_up_at = self._now + seconds
        for machine in self._machines:
            while not await self._is_ready(machine):
                if self._now > give_up_at:
                    self.observations.problems.append(f"router {machine.number} is not ready")
                    return
                await asyncio.sleep(0.1)

    async def _is_ready(self, machine: Machine) -> bool:
        url = f"http://{machine.host}:{READY_PORT}/ready"
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


def run_soak(seed: int, seconds: float, machine_count: int, folder: Path) -> Observations:
    """Run one seed and return what was seen."""
    soak = Soak(seed, machine_count, folder)
    asyncio.run(soak.run(seconds))
    return soak.observations


def parse_seeds(text: str) -> range:
    """Return the seeds of ``A..B``, both included, or of ``A``."""
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Run a range of seeds; print the summary and the problems of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=range(1))
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--machines", type=int, default=3)
    arguments = parser.parse_args()
    failed = 0
    for seed in arguments.seeds:
        with tempfile.TemporaryDirectory() as folder:
            observations = run_soak(seed, arguments.seconds, arguments.machines, Path(folder))
            problems = observations.check()
        print(f"seed {seed}: {json.dumps(summary(observations))}", flush=True)
        for problem in problems:
            print(f"seed {seed}: {problem}", flush=True)
        if problems:
            print("\n".join(observations.timeline), flush=True)
        failed += bool(problems)
    print(f"{failed} of {len(arguments.seeds)} seeds broke a rule", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
