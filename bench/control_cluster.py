"""Cluster of real control processes for the measurements that use synthetic routers."""

import asyncio
import signal
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import SystemRandom
from types import FrameType

import msgspec

from orchidpath.common.settings import ControlSettings
from orchidpath.consensus.types import Role
from orchidpath.control.api.operator_bodies import StatusBody, SubmitReplyBody
from orchidpath.control.api.operator_client import (
    NoControlAnswersError,
    OperatorClient,
    UpdateOutcomeUnknownError,
    UpdateRejectedError,
)
from orchidpath.fleet.ports import LOOPBACK_HOST, choose_ports
from orchidpath.fleet.processes import ChildProcess, stop_all
from orchidpath.tools.synthetic_fleet import MODEL, SERVICE
from orchidpath.wire.configuration import Configuration, Route, Service, ServiceKind

FLEET = "hollow"
TARGET_VOTERS = 3
START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.05
CLIENT_TIMEOUT_SECONDS = 8.0


class MeasuredProcess(ChildProcess):
    """A child process that exposes its process id."""

    @property
    def process_id(self) -> int:
        """Process id of the last start."""
        assert self._process is not None, "not started"
        return self._process.pid


class ControlNode(msgspec.Struct, frozen=True):
    """One control process of the cluster."""

    process: MeasuredProcess
    wire_address: str
    http_address: str


class ControlCluster:
    """Control processes as children of this process.

    Parameters
    ----------
    folder
        Folder for settings, data and logs.
    count
        Number of control processes; those beyond three are standbys.
    """

    def __init__(self, folder: Path, count: int) -> None:
        ports = choose_ports(2 * count, SystemRandom())
        addresses = [f"{LOOPBACK_HOST}:{port}" for port in ports]
        self.seeds = addresses[:count]
        self._version = 0
        self._order_number = 0
        self.nodes = [
            self._make_node(folder, number, addresses[number], addresses[count + number])
            for number in range(count)
        ]
        self.client = OperatorClient(
            [node.http_address for node in self.nodes], CLIENT_TIMEOUT_SECONDS
        )

    @property
    def version(self) -> int:
        """Version of the last accepted configuration."""
        return self._version

    async def start(self) -> None:
        """Start every process and submit the first configuration."""
        for node in self.nodes:
            await node.process.start()
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            await self.wait_for_voters(min(TARGET_VOTERS, len(self.nodes)))
            await self.submit_change()

    async def stop(self) -> None:
        """Stop every process."""
        await stop_all([node.process for node in self.nodes], STOP_TIMEOUT_SECONDS)

    async def leader(self) -> ControlNode:
        """Wait until a process reports that it is the leader, and return it."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                for node, status in (await self.statuses()).items():
                    if status is not None and status.role is Role.LEADER:
                        return self.nodes[node]
                await asyncio.sleep(POLL_SECONDS)

    async def statuses(self) -> dict[int, StatusBody | None]:
        """Return the status of each process by its number; None if the process did not answer."""
        found = await self.client.statuses()
        return dict(enumerate(found.values()))

    async def wait_for_voters(self, count: int) -> None:
        """Wait until this many processes are voters."""
        for _ in range(round(START_TIMEOUT_SECONDS / POLL_SECONDS)):
            if len(await self._voters()) >= count:
                return
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(f"{count} voters after {START_TIMEOUT_SECONDS:.0f} s")

    async def submit_change(self, client: OperatorClient | None = None) -> SubmitReplyBody:
        """Submit a changed configuration, with retries until it is confirmed.

        Parameters
        ----------
        client
            Client of the processes that are contacted; by default of all processes.
        """
        self._order_number += 1
        base_version = self._version
        while True:
            try:
                reply = await (client or self.client).submit(
                    f"order-{self._order_number}", base_version, configuration(self._order_number)
                )
            except (UpdateRejectedError, UpdateOutcomeUnknownError):
                await asyncio.sleep(0.01)
                continue
            self._version = reply.version
            if reply.confirmed:
                return reply

    async def _voters(self) -> Sequence[str]:
        try:
            members = await self.client.members()
        except NoControlAnswersError:
            return ()
        return [member.node_id for member in members.members if member.voter]

    def _make_node(
        self, folder: Path, number: int, wire_address: str, http_address: str
    ) -> ControlNode:
        settings = ControlSettings(
            node_id=f"control-{number}",
            fleet=FLEET,
            zone=f"zone-{number}",
            wire_address=wire_address,
            http_address=http_address,
            seeds=self.seeds[:3],
            data_folder=str(folder / f"data-{number}"),
            formation_members=self.seeds,
            replace_voter_after_seconds=60.0,
        )
        path = folder / f"control-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        log = folder / f"control-{number}.log"
        process = MeasuredProcess(settings.node_id, ["control", "-c", str(path)], log)
        return ControlNode(process, wire_address, f"http://{http_address}")


def configuration(number: int) -> Configuration:
    """Return a valid configuration with 5 models and 40 plain routes.

    The deadline of the first route depends on ``number``, so that configurations with consecutive
    numbers differ.
    """
    models = [MODEL, *(f"model-{index}" for index in range(4))]
    services = [Service(name=SERVICE, kind=ServiceKind.MODEL, models=models)]
    services.append(Service(name="stock", kind=ServiceKind.PLAIN))
    routes = [Route(name=f"route-{model}", service=SERVICE, model=model) for model in models]
    routes += [
        Route(name=f"plain-{index}", service="stock", method="GET", path=f"/stock/{index}/{{sku}}")
        for index in range(40)
    ]
    routes[0] = msgspec.structs.replace(routes[0], deadline_seconds=30.0 + number % 1000 / 100)
    return Configuration(services=services, routes=routes)


def end_on_sigterm() -> None:
    """Handle SIGTERM like Ctrl-C, so that the child processes are stopped too."""

    def end(_number: int, _frame: FrameType | None) -> None:
        # A second signal must not interrupt the shutdown of the children.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)


@asynccontextmanager
async def running_cluster(count: int) -> AsyncIterator[ControlCluster]:
    """Run a cluster of control processes and stop it on exit, also after an error."""
    with tempfile.TemporaryDirectory(prefix="orchidpath-bench-") as folder:
        cluster = ControlCluster(Path(folder), count)
        try:
            async with cluster.client:
                await cluster.start()
                yield cluster
        finally:
            await cluster.stop()
