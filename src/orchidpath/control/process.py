"""The control process: wires the core to disk, peers, routers and the operators' API."""

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
from orchidpath.control.leadership.member_manager import MemberPolicy
from orchidpath.control.replica.control_effects import (
    ControlEffect,
    PlanActionAnswered,
    ReadFailed,
    ReadReady,
    SendToConnected,
    SendToMember,
    SendToNode,
    SendWorkerCommand,
    UpdateAnswered,
)
from orchidpath.control.replica.control_replica import ControlReplica
from orchidpath.control.replica.formation import (
    NoAnswerError,
    may_form_fleet,
    query_control_members,
)
from orchidpath.control.replica.replica_loop import ReplicaLoop
from orchidpath.control.worker_commands import WorkerCommandFormat, WorkerCommandSender
from orchidpath.wire.backend import WorkerCommand, WorkerCommandReply
from orchidpath.wire.connection import Connection, Listener
from orchidpath.wire.link_faults import LinkFaults, watch_fault_file
from orchidpath.wire.messages import (
    ControlMembers,
    Hello,
    JoinRequest,
    Message,
    ProcessRole,
    WhoIsControl,
)
from orchidpath.wire.peer_links import PeerLinks
from orchidpath.wire.records import ControlMember

DISK_FULL_RETRY_SECONDS = 0.5
"""Time between two tries to go on after the disk was full."""

JOIN_PERIOD_SECONDS = 0.5
"""Time between two tries of a replica that is no member to form or join its fleet."""

IDENTITY_CHARACTERS = 12
"""Characters of the random identity that are shown in a replica's id."""

LINKS_PERIOD_SECONDS = 0.2
"""How often the set of links to other members is brought up to date."""


RouteAdder = Callable[[web.Application, LocalControlAccess], None]
"""Adds calls to the application that a control process serves."""


class ReplicaStoppedError(OrchidpathError):
    """The replica's disk failed or its log was contradicted; it must not go on."""


class ControlProcess(Daemon[ControlSettings]):
    """One control process.

    Parameters
    ----------
    settings
        Checked settings.
    files
        File operations; injected by tests.
    clock
        Monotonic clock.
    add_routes
        Adds further calls to the operators' API, for adapters to other interfaces.
    order_format
        How orders to workers are written; by default in the product's own form.
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
        self._incoming: dict[str, Connection] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._was_restored = False
        self.metrics = Metrics()
        self._sync_seconds = self.metrics.latency("sync_seconds", "Time of one sync to disk")

    @property
    def drain_seconds(self) -> float:
        """Return 0: a control process has nothing to drain, others take over at once."""
        return 0.0

    async def start(self) -> None:
        """Read the disk, listen, and take part."""
        restored = self._storage.load()
        self._was_restored = restored != RestoredState()
        identity = self._storage.identity[:IDENTITY_CHARACTERS]
        self._member = ControlMember(
            node_id=f"{self._settings.node_id}.{identity}",
            address=self._settings.wire_address,
            http_address=f"http://{self._settings.http_address}",
            may_vote=self._settings.may_vote,
        )
        self._hello = Hello(
            node_id=self._member.node_id,
            incarnation=identity,
            role=ProcessRole.CONTROL,
            address=self._settings.wire_address,
            fleet=self._settings.fleet,
        )
        self._runner = ReplicaLoop(
            self._new_core(restored, None), self._storage, self._clock, self._execute, self._synced
        )
        self._access = LocalControlAccess(self._runner, self._clock, self._send_to_leader)
        self._worker_commands = WorkerCommandSender(
            self._worker_command_answered, self._command_format
        )
        self._faults = LinkFaults() if self._settings.fault_file else None
        self._listener = Listener(
            self._settings.wire_address,
            self._hello,
            on_connect=self._on_incoming,
            on_message=self._on_message,
            on_close=self._on_incoming_closed,
            faults=self._faults,
        )
        self._links = PeerLinks(self._hello, self._on_message, self._random, faults=self._faults)
        await self._listener.start()
        await self._start_http()
        self._tasks = [
            asyncio.create_task(self._run_core()),
            asyncio.create_task(self._join_forever()),
            asyncio.create_task(self._keep_links()),
        ]
        if self._faults is not None:
            self._tasks.append(watch_fault_file(self._settings.fault_file, self._faults))

    async def stop(self, drain_seconds: float) -> None:
        """Stop at once; whatever was acknowledged is on disk."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._worker_commands.close()
        await self._links.close()
        await self._listener.close()
        await self._http_runner.cleanup()
        self._storage.close()

    async def reload(self, settings: ControlSettings) -> None:
        """Take new settings; the log level and the seeds change in a running process."""
        self._settings = settings
        configure_logs(settings.log_level, node_id=settings.node_id, role="control")

    def _new_storage(self) -> LogStorage:
        """Return where this replica keeps its log; one that never votes needs no disk."""
        if not self._settings.may_vote:
            return MemoryLogStorage()
        return FileLogStorage(self._settings.data_folder, self._files)

    def _new_core(self, restored: RestoredState, bootstrap: Membership | None) -> ControlReplica:
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
        self._http_runner = web.AppRunner(app, access_log=None)
        await self._http_runner.setup()
        host, port = self._settings.http_address.rsplit(":", 1)
        await web.TCPSite(self._http_runner, host, int(port), shutdown_timeout=0.5).start()

    async def _run_core(self) -> None:
        while True:
            try:
                await self._runner.run_forever()
            except StorageFullError as error:
                self._logger.error("disk_full", error=str(error))
                await self._restart_replica()
            except ConsensusError as error:
                self.fail(ReplicaStoppedError(f"{type(error).__name__}: {error}"))
                return
            except Exception as error:
                # A core that stopped in the middle of an event must not look alive.
                self._logger.exception("core_failed", error=str(error))
                self.fail(ReplicaStoppedError(f"{type(error).__name__}: {error}"))
                return

    async def _restart_replica(self) -> None:
        """Go on from what is on the disk, as a restarted process would, once it takes bytes.

        What the core believed is ahead of its disk, so nothing of it is kept.
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
            self._runner.restart(self._new_core(restored, None), self._storage)
            return

    async def _join_forever(self) -> None:
        """Form or join the fleet whenever this replica is no member of it."""
        while True:
            if not self._runner.core.is_member or not self._is_known_to_leader():
                await self._try_to_join()
            await asyncio.sleep(JOIN_PERIOD_SECONDS)

    def _is_known_to_leader(self) -> bool:
        """Whether a leader is heard: a replica that was removed while away hears none."""
        return self._runner.core.raft.leader_id is not None

    async def _try_to_join(self) -> None:
        settings = self._settings
        is_new = not self._was_restored and not self._runner.core.raft.membership.members()
        if is_new and settings.may_vote:
            forms = await may_form_fleet(
                settings.wire_address, settings.formation_members, self._hello
            )
            if forms:
                self._form_fleet()
                return
        others = dict.fromkeys([*settings.seeds, *settings.formation_members])
        for address in others:
            if address == settings.wire_address:
                continue
            try:
                answer = await query_control_members(address, self._hello, self._faults)
            except NoAnswerError:
                continue
            if await self._request_join(answer):
                return

    def _form_fleet(self) -> None:
        membership = Membership(
            voters=(self._member.node_id,),
            addresses={self._member.node_id: self._member.address},
        )
        self._logger.info("forming_a_new_fleet", member=self._member.node_id)
        self._was_restored = True
        self._runner.core = self._new_core(RestoredState(), membership)

    async def _request_join(self, answer: ControlMembers) -> bool:
        """Ask the leader named in an answer to be added; False if it names none to ask."""
        own = self._member.node_id
        if any(member.node_id == own for member in answer.members):
            return True
        for member in answer.members:
            if member.node_id == answer.leader_id:
                connection = self._links.connection(member.address)
                if connection is None:
                    self._links.set_addresses({*self._links.addresses, member.address})
                    return False
                connection.send(JoinRequest(member=self._member))
                return True
        return False

    async def _keep_links(self) -> None:
        while True:
            membership = self._runner.core.raft.membership
            wanted = set(membership.addresses.values()) - {self._member.address}
            if wanted:
                self._links.set_addresses(wanted)
            await asyncio.sleep(LINKS_PERIOD_SECONDS)

    def _synced(self, seconds: float) -> None:
        self._sync_seconds.observe(seconds)
        if seconds > self._settings.sync_delay_warning_seconds:
            self._logger.warning("slow_disk", seconds=round(seconds, 3))

    def _send_to_leader(self, message: Message) -> bool:
        core = self._runner.core
        address = core.raft.membership.addresses.get(core.raft.leader_id or "", "")
        return bool(address) and self._links.send(address, message)

    def _on_incoming(self, connection: Connection) -> None:
        if connection.remote.role is ProcessRole.TOOL:
            return
        self._incoming[connection.remote.node_id] = connection

    def _on_incoming_closed(self, connection: Connection) -> None:
        if self._incoming.get(connection.remote.node_id) is connection:
            del self._incoming[connection.remote.node_id]

    def _on_message(self, connection: Connection, message: Message) -> None:
        if self._access.take_message(message):
            return
        if isinstance(message, WhoIsControl):
            connection.send(self._runner.core.control_members())
            return
        sender_id = connection.remote.node_id
        self._runner.post(lambda now: self._runner.core.receive(sender_id, message, now))

    def _execute(self, effect: ControlEffect) -> None:
        match effect:
            case SendToMember():
                # A new learner knows no address yet; it answers where it was spoken to.
                if not self._links.send(effect.address, effect.message):
                    self._send_to_incoming(effect.node_id, effect.message)
            case SendToNode():
                self._send_to_incoming(effect.node_id, effect.message)
            case SendToConnected():
                for connection in self._incoming.values():
                    connection.send(effect.message)
            case UpdateAnswered() | ReadReady() | ReadFailed() | PlanActionAnswered():
                self._access.answered(effect.key, effect)
            case SendWorkerCommand():
                self._worker_commands.send(effect.url, effect.order)
            case LeadershipChanged():
                self._logger.info(
                    "leadership_changed",
                    state=effect.role.value,
                    term=effect.term,
                    leader=effect.leader_id,
                )
            case _:
                raise AssertionError(f"{type(effect).__name__} is a record")

    def _worker_command_answered(
        self, order: WorkerCommand, reply: WorkerCommandReply | None
    ) -> None:
        runner = self._runner
        runner.post(lambda now: runner.core.worker_command_answered(order, reply, now))

    def _send_to_incoming(self, node_id: str, message: Message) -> None:
        connection = self._incoming.get(node_id)
        if connection is not None:
            connection.send(message)
