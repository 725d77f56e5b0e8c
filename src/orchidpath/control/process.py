"""Control process: connects its replica to disk, peers, routers, workers and the operators' API."""

import asyncio
import random as random_module
from collections.abc import Callable

from aiohttp import web

from orchidpath.common.clock import Clock, monotonic_seconds
from orchidpath.common.daemon import Daemon
from orchidpath.common.errors import OrchidpathError
from orchidpath.common.logs import configure_logs, get_logger
from orchidpath.common.metrics import Metrics
from orchidpath.common.settings import ControlSettings
from orchidpath.consensus.effects import LeadershipChanged
from orchidpath.consensus.errors import ConsensusError, StorageError, StorageFullError
from orchidpath.consensus.files import FileLayer, RealFiles
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.storage import FileLogStorage, LogStorage, MemoryLogStorage
from orchidpath.consensus.types import Membership, RaftSettings, RestoredState
from orchidpath.control.api.local_access import LocalControlAccess
from orchidpath.control.api.operator_api import create_operator_app
from orchidpath.control.api.plan_api import add_plan_routes
from orchidpath.control.connections import ControlConnections
from orchidpath.control.fleet_joiner import FleetJoiner
from orchidpath.control.leadership.member_manager import MemberPolicy
from orchidpath.control.replica.control_effects import (
    ControlEffect,
    LearnerRemoved,
    PlanActionAnswered,
    ProposalDropped,
    ReadFailed,
    ReadReady,
    SendToConnected,
    SendToMember,
    SendToNode,
    SendWorkerCommand,
    UpdateAnswered,
)
from orchidpath.control.replica.control_replica import ControlReplica
from orchidpath.control.replica.replica_loop import ReplicaLoop
from orchidpath.control.voter_watch import VoterWatch
from orchidpath.control.worker_commands import WorkerCommandFormat, WorkerCommandSender
from orchidpath.wire.backend import WorkerCommand, WorkerCommandReply
from orchidpath.wire.connection import Connection
from orchidpath.wire.http_metrics import HttpServerMetrics
from orchidpath.wire.http_server import BoundedHttpServer
from orchidpath.wire.link_faults import LinkFaults, watch_fault_file
from orchidpath.wire.messages import (
    Hello,
    Message,
    ProcessRole,
    WhoIsControl,
)
from orchidpath.wire.records import ControlMember

DISK_FULL_RETRY_SECONDS = 0.5
"""Time between two attempts to restart the replica after the disk was full."""

IDENTITY_CHARACTERS = 12
"""Number of characters of the log's random identity that are part of a replica's id."""

LINKS_PERIOD_SECONDS = 0.2
"""Time between two updates of the set of links to other members."""

RouteAdder = Callable[[web.Application, LocalControlAccess], None]
"""Adds routes to the web application that a control process serves."""

HTTP_SHUTDOWN_SECONDS = 0.5
"""Bound on the wait for open HTTP requests when the process stops."""


class ReplicaStoppedError(OrchidpathError):
    """The replica failed, for example on a disk error or a contradiction in its log.

    It must not continue.
    """


class ControlProcess(Daemon[ControlSettings]):
    """A control process of the fleet: one Raft replica and its HTTP API.

    Parameters
    ----------
    settings
        Validated settings.
    files
        File operations; injected by tests.
    clock
        Monotonic clock.
    add_routes
        Adds further routes to the operators' API, for adapters to other interfaces.
    command_format
        Encoding of commands to workers; by default orchidpath's own form.
    """

    def __init__(
        self,
        settings: ControlSettings,
        files: FileLayer | None = None,
        clock: Clock = monotonic_seconds,
        add_routes: RouteAdder | None = None,
        command_format: WorkerCommandFormat | None = None,
    ) -> None:
        super().__init__()
        self._command_format = command_format
        self._add_routes = add_routes
        self._settings = settings
        self._clock = clock
        self._logger = get_logger("control")
        self._files = files or RealFiles()
        self._storage = self._new_storage()
        self._random = random_module.Random()
        self._tasks: list[asyncio.Task[None]] = []
        self.metrics = Metrics()
        self._sync_seconds = self.metrics.latency("sync_seconds", "Time of one sync to disk")
        self._voter_watch = VoterWatch(self.metrics, clock)
        self._http_metrics = HttpServerMetrics(self.metrics, clock)
        self._workers_refused = self.metrics.counter(
            "workers_refused", "Announcements refused since too many workers are registered."
        )

    @property
    def drain_seconds(self) -> float:
        """Return 0: a control process has nothing to drain, because the others take over."""
        return 0.0

    async def start(self) -> None:
        """Restore the replica from disk, start the listeners and begin to join the fleet."""
        restored = self._storage.load()
        self._member = self._describe_member()
        self._loop = ReplicaLoop(
            self._new_replica(restored, None),
            self._storage,
            self._clock,
            self._execute,
            self._on_synced,
        )
        self._connect_parts(is_restored=restored != RestoredState())
        await self._connections.start()
        await self._start_http()
        self._start_tasks()

    async def stop(self, drain_seconds: float) -> None:
        """Stop at once; everything that was acknowledged is on disk already."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._worker_commands.close()
        await self._connections.close()
        await self._http_server.close()
        self._storage.close()

    async def reload(self, settings: ControlSettings) -> None:
        """Apply new settings; the log level and the seeds change in a running process."""
        self._settings = settings
        configure_logs(settings.log_level, node_id=settings.node_id, role="control")

    def _describe_member(self) -> ControlMember:
        """Return the record that this replica registers itself with.

        Its id contains the identity of the log, so a replica with a new log gets a new id.
        """
        return ControlMember(
            node_id=f"{self._settings.node_id}.{self._identity}",
            address=self._settings.wire_address,
            http_address=f"http://{self._settings.http_address}",
            may_vote=self._settings.may_vote,
        )

    @property
    def _identity(self) -> str:
        return self._storage.identity[:IDENTITY_CHARACTERS]

    def _connect_parts(self, *, is_restored: bool) -> None:
        """Create the parts that exchange messages with operators, workers and other processes."""
        hello = Hello(
            node_id=self._member.node_id,
            incarnation=self._identity,
            role=ProcessRole.CONTROL,
            address=self._settings.wire_address,
            fleet=self._settings.fleet,
        )
        self._faults = LinkFaults() if self._settings.fault_file else None
        self._access = LocalControlAccess(
            self._loop, self._clock, self._send_to_leader, self._workers_refused.inc
        )
        self._worker_commands = WorkerCommandSender(
            self._on_worker_command_reply, self._command_format
        )
        self._connections = ControlConnections(hello, self._on_message, self._random, self._faults)
        self._joiner = FleetJoiner(
            lambda: self._settings,
            hello,
            self._loop,
            self._connections,
            self._form_fleet,
            is_restored=is_restored,
            faults=self._faults,
        )

    def _start_tasks(self) -> None:
        self._tasks = [
            asyncio.create_task(self._run_replica()),
            asyncio.create_task(self._joiner.run_forever()),
            asyncio.create_task(self._update_links()),
            asyncio.create_task(self._voter_watch.run_forever(lambda: self._loop.replica)),
        ]
        if self._faults is not None:
            self._tasks.append(watch_fault_file(self._settings.fault_file, self._faults))

    def _new_storage(self) -> LogStorage:
        """Return the storage of this replica's log; a replica that never votes needs no disk."""
        if not self._settings.may_vote:
            return MemoryLogStorage()
        return FileLogStorage(self._settings.data_folder, self._files)

    def _new_replica(self, restored: RestoredState, bootstrap: Membership | None) -> ControlReplica:
        now = self._clock()
        raft = RaftCore(
            self._member.node_id, RaftSettings(), restored, bootstrap, now, self._random
        )
        policy = MemberPolicy(
            target_voters=self._settings.target_voters,
            replace_after_seconds=self._settings.replace_voter_after_seconds,
            worker_lease_seconds=self._settings.worker_lease_seconds,
        )
        formation_voters = min(
            self._settings.target_voters, max(1, len(self._settings.formation_members))
        )
        return ControlReplica(self._member, raft, policy, formation_voters, self._random)

    async def _start_http(self) -> None:
        app = create_operator_app(self._access, self.metrics.registry)
        add_plan_routes(app, self._access)
        if self._add_routes is not None:
            self._add_routes(app, self._access)
        self._http_server = BoundedHttpServer(
            app, shutdown_seconds=HTTP_SHUTDOWN_SECONDS, metrics=self._http_metrics
        )
        await self._http_server.start(self._settings.http_address)

    async def _run_replica(self) -> None:
        while True:
            try:
                await self._loop.run_forever()
            except StorageFullError as error:
                self._logger.error("disk_full", error=str(error))
                await self._restart_replica()
            except ConsensusError as error:
                self.fail(ReplicaStoppedError(f"{type(error).__name__}: {error}"))
                return
            except Exception as error:
                # Outermost loop: a process whose replica stopped in an event must not look healthy.
                self._logger.exception("replica_failed", error=str(error))
                self.fail(ReplicaStoppedError(f"{type(error).__name__}: {error}"))
                return

    async def _restart_replica(self) -> None:
        """Restart the replica from disk, as a restarted process would, once the disk is writable.

        The state in memory is ahead of the disk, so none of it is reused.
        """
        while True:
            await asyncio.sleep(DISK_FULL_RETRY_SECONDS)
            self._storage.close()
            self._storage = self._new_storage()
            try:
                restored = self._storage.load()
            except StorageError as error:
                self._logger.error("disk_still_unusable", error=str(error))
                continue
            self._loop.restart(self._new_replica(restored, None), self._storage)
            return

    def _form_fleet(self) -> None:
        membership = Membership(
            voters=(self._member.node_id,),
            addresses={self._member.node_id: self._member.address},
        )
        self._logger.info("forming_a_new_fleet", member=self._member.node_id)
        self._loop.replica = self._new_replica(RestoredState(), membership)

    async def _update_links(self) -> None:
        while True:
            membership = self._loop.replica.raft.membership
            other_addresses = set(membership.addresses.values()) - {self._member.address}
            if other_addresses:
                self._connections.link_to(other_addresses)
            await asyncio.sleep(LINKS_PERIOD_SECONDS)

    def _on_synced(self, seconds: float) -> None:
        self._sync_seconds.observe(seconds)
        if seconds > self._settings.sync_delay_warning_seconds:
            self._logger.warning("slow_disk", seconds=round(seconds, 3))

    def _send_to_leader(self, message: Message) -> bool:
        raft = self._loop.replica.raft
        address = raft.membership.addresses.get(raft.leader_id or "", "")
        return bool(address) and self._connections.send_to_address(address, message)

    def _on_message(self, connection: Connection, message: Message) -> None:
        if self._access.receive_reply(message):
            return
        if isinstance(message, WhoIsControl):
            connection.send(self._loop.replica.control_members())
            return
        sender_id = connection.remote.node_id
        self._loop.post(lambda now: self._loop.replica.receive(sender_id, message, now))

    def _execute(self, effect: ControlEffect) -> None:
        match effect:
            case SendToMember():
                self._connections.send_to_member(effect)
            case SendToNode():
                self._connections.send_to_node(effect.node_id, effect.message)
            case SendToConnected():
                self._connections.send_to_connected(effect.message)
            case UpdateAnswered() | ReadReady() | ReadFailed() | PlanActionAnswered():
                self._access.complete(effect.key, effect)
            case SendWorkerCommand():
                self._worker_commands.send(effect.url, effect.command)
            case ProposalDropped():
                self._logger.error(
                    "proposal_dropped", command=effect.command_type, reason=effect.reason
                )
            case LearnerRemoved():
                self._voter_watch.record_learner_removed(effect.node_id)
            case LeadershipChanged():
                self._logger.info(
                    "leadership_changed",
                    state=effect.role.value,
                    term=effect.term,
                    leader=effect.leader_id,
                )
            case _:
                raise ReplicaStoppedError(
                    f"{type(effect).__name__} is a log record to sync, not an effect to execute"
                )

    def _on_worker_command_reply(
        self, command: WorkerCommand, reply: WorkerCommandReply | None
    ) -> None:
        loop = self._loop
        loop.post(lambda now: loop.replica.worker_command_answered(command, reply, now))
