"""A simulated control process: the real replica and log storage on a simulated disk."""

from collections.abc import Callable

import msgspec

from orchidpath.consensus.effects import PersistEntries, PersistHardState, PersistSnapshot
from orchidpath.consensus.errors import StorageError
from orchidpath.consensus.files import SimulatedFiles
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.storage import FileLogStorage
from orchidpath.consensus.types import Guard, Membership, RaftSettings, RestoredState
from orchidpath.control.leadership.confirmation import ConfirmationGuard
from orchidpath.control.leadership.member_manager import MemberPolicy
from orchidpath.control.replica.control_effects import (
    ControlEffect,
    PersistEffect,
    SendToMember,
    SendToNode,
    SendWorkerCommand,
    UpdateAnswered,
)
from orchidpath.control.replica.control_replica import ControlReplica
from orchidpath.control.replica.replica_loop import is_record, merge_records
from orchidpath.simulation.environment import SimulatedEnvironment, SimulatedProcess
from orchidpath.simulation.member_links import MemberLinks
from orchidpath.state.commands import SubmitConfiguration
from orchidpath.wire.backend import WorkerCommand, WorkerCommandReply
from orchidpath.wire.messages import (
    ConfigurationUpdateReply,
    ConfigurationUpdateRequest,
    ControlMembers,
    JoinRequest,
    Message,
    PlanActionRequest,
    UpdateStatus,
    WhoIsControl,
)
from orchidpath.wire.records import ControlMember

FOLDER = "/data"
JOIN_PERIOD_SECONDS = 0.5
SETTINGS = RaftSettings(snapshot_threshold_entries=60, snapshot_chunk_bytes=4096)
POLICY = MemberPolicy(target_voters=3, replace_after_seconds=3.0, router_removal_seconds=10.0)

ReplyHandler = Callable[[UpdateStatus, int], None]


class ControlNode(SimulatedProcess):
    """One simulated control process and its disk.

    Parameters
    ----------
    environment
        The environment that the process runs in.
    address
        Network address of the process.
    seeds
        Addresses that the process queries for the control members until it has joined.
    raft_guards, confirmation_guards
        Guards to disable.
    voters
        Target number of voters of the fleet.
    """

    def __init__(
        self,
        environment: SimulatedEnvironment,
        address: str,
        seeds: list[str],
        raft_guards: frozenset[Guard],
        confirmation_guards: frozenset[ConfirmationGuard],
        voters: int = POLICY.target_voters,
    ) -> None:
        super().__init__(environment, address)
        self._policy = msgspec.structs.replace(POLICY, target_voters=voters)
        self.files = SimulatedFiles()
        self.core: ControlReplica | None = None
        self.sync_seconds = 0.0
        self.links: MemberLinks | None = None
        self._seeds = seeds
        self._raft_guards = raft_guards
        self._confirmation_guards = confirmation_guards
        self._storage: FileLogStorage | None = None
        self._id = address
        self._bootstrap: Membership | None = None
        self._pending: list[Callable[[ControlReplica], list[ControlEffect]]] = []
        self._syncing = False
        self._tick_at = float("inf")
        self._reply_handlers: dict[int, ReplyHandler] = {}
        self._next_key = 0
        self.after_turn: Callable[[ControlNode], None] = lambda _node: None
        self.on_worker_command: Callable[[ControlNode, WorkerCommand], None] = lambda *_: None

    @property
    def node_id(self) -> str:
        """Identity of the replica that is stored on the current disk."""
        return self._id

    def load_identity(self) -> str:
        """Create and return the identity of the disk, before the first start.

        The initial membership of a fleet is made of these identities.
        """
        storage = FileLogStorage(FOLDER, self.files, self._new_identity)
        storage.load()
        self._id = f"{self.address}.{storage.identity}"
        storage.close()
        return self._id

    def bootstrap_with(self, membership: Membership) -> None:
        """Bootstrap a new fleet at the next start with this membership, if the disk is empty."""
        self._bootstrap = membership

    def on_start(self) -> None:
        """Restore the state from the disk and start the replica."""
        self._storage = FileLogStorage(FOLDER, self.files, self._new_identity)
        try:
            restored = self._storage.load()
        except StorageError:
            self.kill()  # the real process exits in this case too, and is started again later
            return
        self._id = f"{self.address}.{self._storage.identity}"
        bootstrap = self._bootstrap if restored == RestoredState() else None
        self._bootstrap = None
        raft = RaftCore(
            self._id,
            SETTINGS,
            restored,
            bootstrap,
            self.now,
            self.environment.random,
            self._raft_guards,
        )
        member = ControlMember(node_id=self._id, address=self.address, http_address=self.address)
        self.core = ControlReplica(
            member, raft, self._policy, 1, self.environment.random, self._confirmation_guards
        )
        self._syncing = False
        self._tick_at = float("inf")
        self._pending = []
        self._post(lambda core: core.tick(self.now))
        self.every(JOIN_PERIOD_SECONDS, self._join)

    def on_kill(self) -> None:
        """Discard the process state and all writes that were not synced."""
        self.core = None
        self._storage = None
        self._reply_handlers.clear()
        self.files.crash(self.environment.random)

    def lose_disk(self) -> None:
        """Kill the process and erase its disk; it restarts as a replica with a new identity."""
        self.kill()
        self.files = SimulatedFiles()

    def on_message(self, sender_id: str, message: Message) -> None:
        """Process a message in the same way as the shell of the real process."""
        if isinstance(message, ConfigurationUpdateReply):
            handler = self._reply_handlers.pop(message.correlation, None)
            if handler is not None:
                handler(message.answer, message.version)
            return
        if isinstance(message, ControlMembers):
            self._receive_members(message)
            return
        self._post(lambda core: core.receive(sender_id, message, self.now))

    def submit(self, order: SubmitConfiguration, handler: ReplyHandler) -> None:
        """Submit a configuration update, or forward it if another process is the leader.

        Parameters
        ----------
        order
            The update.
        handler
            Called with the outcome and the version. It is not called if the process is not running
            or frozen, or if it is killed before the reply arrives.
        """
        core = self.core
        if core is None or self.frozen:
            return
        self._next_key += 1
        key = self._next_key
        self._reply_handlers[key] = handler
        if core.is_leader:
            self._post(lambda leader: leader.submit(key, order, self.now))
            return
        address = core.raft.membership.addresses.get(core.raft.leader_id or "", "")
        if not address:
            self._reply_handlers.pop(key)(UpdateStatus.REJECTED, 0)
            return
        request = ConfigurationUpdateRequest(
            correlation=key,
            order_id=order.order_id,
            base_version=order.base_version,
            configuration=order.configuration,
            digest=order.digest,
        )
        self.send(address, request)

    def request_plan_action(self, request: PlanActionRequest) -> None:
        """Submit a plan action, or forward it to the leader; the outcome is not reported."""
        core = self.core
        if core is None or self.frozen:
            return
        if core.is_leader:
            self._post(
                lambda leader: leader.request_plan_action(request.correlation, request, self.now)
            )
            return
        address = core.raft.membership.addresses.get(core.raft.leader_id or "", "")
        if address:
            self.send(address, request)

    def worker_command_answered(self, command: WorkerCommand, reply: WorkerCommandReply) -> None:
        """Process the reply of a worker to a command that this process sent."""
        self._post(lambda core: core.worker_command_answered(command, reply, self.now))

    def _new_identity(self) -> str:
        return f"{self.environment.random.getrandbits(48):012x}"

    def _post(self, event: Callable[[ControlReplica], list[ControlEffect]]) -> None:
        self._pending.append(event)
        if not self._syncing:
            self._turn()

    def _turn(self) -> None:
        """Process all pending events, sync their records, then execute their effects.

        This is the order of the real runner: no effect leaves the process before the records of
        the same turn are synced.
        """
        core = self.core
        assert core is not None
        events, self._pending = self._pending, []
        effects: list[ControlEffect] = []
        for event in events:
            effects.extend(event(core))
        records = merge_records(effect for effect in effects if is_record(effect))
        if records and self.sync_seconds > 0:
            self._syncing = True
            delay_seconds = self.environment.random.uniform(0.0, self.sync_seconds)
            self.after(delay_seconds, lambda: self._finish_turn(records, effects))
            return
        self._finish_turn(records, effects)

    def _finish_turn(self, records: list[PersistEffect], effects: list[ControlEffect]) -> None:
        self._syncing = False
        try:
            for record in records:
                self._write(record)
        except StorageError:
            self.kill()
            return
        self._update_links()
        for effect in effects:
            if not is_record(effect):
                self._execute(effect)
        self.after_turn(self)
        self._schedule_tick()
        if self._pending and not self._syncing:
            self._turn()

    def _write(self, record: PersistEffect) -> None:
        assert self._storage is not None
        match record:
            case PersistHardState():
                self._storage.persist_hard_state(record.hard_state)
            case PersistEntries():
                self._storage.persist_entries(record.truncate_from, record.entries)
            case PersistSnapshot():
                self._storage.persist_snapshot(record.snapshot)

    def _execute(self, effect: ControlEffect) -> None:
        match effect:
            case SendToMember():
                self._send_to_member(effect)
            case SendToNode():
                address = effect.node_id.partition(".")[0]
                self.send(address, effect.message, effect.node_id)
            case UpdateAnswered():
                handler = self._reply_handlers.pop(effect.key, None)
                if handler is not None:
                    handler(effect.answer, effect.version)
            case SendWorkerCommand():
                self.on_worker_command(self, effect.command)
            case _:
                pass

    def _update_links(self) -> None:
        """Connect to the members, if the scenario models the time that this takes."""
        if self.links is not None and self.core is not None:
            self.links.set_addresses(set(self.core.raft.membership.addresses.values()))

    def _send_to_member(self, effect: SendToMember) -> None:
        """Send over the link to a member, or else over a connection that it has opened.

        A new learner has no addresses of members yet, so only the latter is possible; the node id
        of the member contains the address to reply to.
        """
        address = effect.address or effect.node_id.partition(".")[0]
        has_own_link = effect.address and self.links is not None and self.links.is_up(address)
        if has_own_link or self._is_connected_from(address):
            self.send(address, effect.message, effect.node_id)

    def _is_connected_from(self, address: str) -> bool:
        """Return whether another process has connected to this one; true if not modelled."""
        if self.links is None:
            return True
        other = self.environment.processes.get(address)
        if not isinstance(other, ControlNode) or other.links is None:
            return False
        return other.links.is_up(self.address)

    def _schedule_tick(self) -> None:
        assert self.core is not None
        delay_seconds = max(0.0, self.core.next_deadline(self.now) - self.now) + 1e-6
        tick_at = self.environment.time + delay_seconds
        if tick_at >= self._tick_at > self.environment.time:
            return
        self._tick_at = tick_at
        self.after(delay_seconds, lambda: self._tick(tick_at))

    def _tick(self, tick_at: float) -> None:
        if tick_at == self._tick_at:
            self._tick_at = float("inf")
            self._post(lambda core: core.tick(self.now))

    def _join(self) -> None:
        core = self.core
        if core is None or (core.is_member and core.raft.leader_id is not None):
            return
        for seed in self._seeds:
            if seed != self.address:
                self.send(seed, WhoIsControl())

    def _receive_members(self, answer: ControlMembers) -> None:
        core = self.core
        if core is None or any(member.node_id == self._id for member in answer.members):
            return
        for member in answer.members:
            if member.node_id == answer.leader_id:
                if self.links is not None:
                    self.links.join_through(member.address)
                self.send(member.address, JoinRequest(member=core.member))
