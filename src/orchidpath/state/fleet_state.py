"""The replicated state machine of the fleet.

Every control replica applies the same committed commands in the same order and reaches the same
state. Nothing here reads a clock or draws a random number, and no outcome depends on anything
that is not in the snapshot.
"""

from collections import deque
from typing import assert_never

from orchidpath.circuit.transitions import CircuitTransition
from orchidpath.common.errors import OrchidpathError
from orchidpath.state.changes import Change, ChangeLog, Delta
from orchidpath.state.circuits import AgreedCircuits
from orchidpath.state.commands import (
    AdvanceStep,
    CancelPlan,
    CapacityChanged,
    CircuitChanged,
    Command,
    CordonWorker,
    HaltPlan,
    LeaderStarted,
    RegisterControlMember,
    RegisterRouter,
    RemoveControlMember,
    RemoveRouter,
    ResumePlan,
    RevisionConfirmed,
    StartPlan,
    StopPlan,
    SubmitConfiguration,
    WorkerChanged,
    WorkerRemoved,
    decode_command,
)
from orchidpath.state.outcomes import (
    ApplyResult,
    CircuitResult,
    Effect,
    Outcome,
    RecordResult,
    UpdateAccepted,
    UpdateConflict,
    UpdateIdReused,
    UpdateOutcome,
    UpdateRecord,
    UpdateResult,
)
from orchidpath.state.plan_state import PlanState
from orchidpath.state.plans import AbandonedWorker, PlanActionRecord, PlanRecord
from orchidpath.state.snapshot import (
    ConfigurationEntry,
    SnapshotBody,
    decode_snapshot,
    encode_snapshot,
)
from orchidpath.state.update_outcomes import UpdateOutcomes
from orchidpath.state.witnesses import WitnessHistory, choose_witnesses
from orchidpath.state.workers import WorkerEntry, WorkerTable
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.configuration_delta import configuration_delta
from orchidpath.wire.messages import FleetUpdate
from orchidpath.wire.records import (
    CapacityRecord,
    CircuitRecord,
    ControlMember,
    FleetView,
    RouterRecord,
    WorkerRecord,
)

HISTORY_LIMIT = 1024
"""How many of the newest configurations stay in the history."""


class ApplyOrderError(OrchidpathError):
    """A log entry was applied at or below the newest applied index."""


class FleetState:
    """The fleet's shared state: configuration, orders, workers, routers, witnesses, circuits.

    Parameters
    ----------
    body
        The state to begin with; by default that of a new fleet.

    Notes
    -----
    ``revision`` grows by one with every change that routers must know; ``circuits_sequence`` by
    one with every change of a circuit. Neither ever goes back.
    """

    def __init__(self, body: SnapshotBody | None = None) -> None:
        if body is None:
            body = SnapshotBody()
        self._applied_index = body.applied_index
        self._leader_term = body.leader_term
        self._revision = body.revision
        self._confirmed_revision = body.confirmed_revision
        self._configuration_version = body.configuration_version
        self._configuration = body.configuration
        self._document = body.document
        self._history = deque(body.history, maxlen=HISTORY_LIMIT)
        self._orders = UpdateOutcomes(body.orders)
        self._workers = WorkerTable(body.workers, body.dead_incarnations, body.cordoned_workers)
        self._routers = {record.router_id: record for record in body.routers}
        self._witnesses = WitnessHistory(body.witness_sets)
        self._circuits = AgreedCircuits(body.circuits, body.capacities, body.circuits_sequence)
        self._control_members = {member.node_id: member for member in body.control_members}
        self._plans = PlanState(body.plan, body.plan_orders, body.plan_abandoned)
        self._changes = ChangeLog()
        self._view: FleetView | None = None

    @classmethod
    def restore(cls, data: bytes) -> "FleetState":
        """Return the state in a snapshot.

        Raises
        ------
        SnapshotFormatError
            The snapshot is damaged or of a format that this version does not know.
        """
        return cls(decode_snapshot(data))

    def snapshot(self) -> bytes:
        """Return the whole state as bytes, the same on every replica at the same index."""
        return encode_snapshot(
            SnapshotBody(
                applied_index=self._applied_index,
                leader_term=self._leader_term,
                revision=self._revision,
                confirmed_revision=self._confirmed_revision,
                circuits_sequence=self._circuits.sequence,
                configuration_version=self._configuration_version,
                configuration=self._configuration,
                document=self._document,
                history=list(self._history),
                orders=self._orders.records(),
                workers=self._workers.entries(),
                dead_incarnations=self._workers.dead(),
                cordoned_workers=self._workers.cordoned(),
                routers=list(self.routers()),
                witness_sets=self._witnesses.sets(),
                circuits=list(self.circuits()),
                capacities=list(self.capacities()),
                control_members=list(self.control_members()),
                plan=self._plans.record,
                plan_orders=self._plans.orders(),
                plan_abandoned=self._plans.abandoned(),
            )
        )

    def apply(self, index: int, payload: bytes) -> ApplyResult:
        """Apply one committed command.

        Parameters
        ----------
        index
            Position of its entry in the log; above every index applied so far.
        payload
            The encoded command.

        Raises
        ------
        ApplyOrderError
            The index was already passed.
        CommandDecodeError
            The command cannot be read; nothing was changed and the replica must stop.
        """
        if index <= self._applied_index:
            raise ApplyOrderError(f"entry {index} comes after entry {self._applied_index}")
        command = decode_command(payload)
        outcome = self._apply_command(command)
        self._applied_index = index
        return ApplyResult(
            index=index,
            revision=self._revision,
            circuits_sequence=self._circuits.sequence,
            outcome=outcome,
        )

    @property
    def applied_index(self) -> int:
        """Position of the newest applied command in the log."""
        return self._applied_index

    @property
    def leader_term(self) -> int:
        """Highest term whose leader has committed its first command."""
        return self._leader_term

    @property
    def revision(self) -> int:
        """Newest revision of what routers must know."""
        return self._revision

    @property
    def confirmed_revision(self) -> int:
        """Newest revision recorded as obeyed by every router that serves."""
        return self._confirmed_revision

    @property
    def circuits_sequence(self) -> int:
        """Number of circuit changes so far."""
        return self._circuits.sequence

    @property
    def configuration_version(self) -> int:
        """Version of the newest configuration; 0 before the first."""
        return self._configuration_version

    @property
    def configuration(self) -> Configuration:
        """The newest configuration."""
        return self._configuration

    @property
    def document(self) -> bytes:
        """The text from which the newest configuration was made; empty if none was given."""
        return self._document

    def history(self) -> tuple[ConfigurationEntry, ...]:
        """Return the newest configurations taken, oldest first."""
        return tuple(self._history)

    def find_update(self, order_id: str) -> UpdateRecord | None:
        """Return the order taken under an id, with its first outcome."""
        return self._orders.find(order_id)

    def find_worker(self, worker_id: str) -> WorkerEntry | None:
        """Return a worker in the view, with the sequence of its announcement."""
        return self._workers.find(worker_id)

    def workers(self) -> tuple[WorkerRecord, ...]:
        """Return the workers in the view, by id."""
        return self.view().workers

    def routers(self) -> tuple[RouterRecord, ...]:
        """Return the registered routers, by id."""
        return tuple(self._routers[router_id] for router_id in sorted(self._routers))

    def find_router(self, router_id: str) -> RouterRecord | None:
        """Return a registered router."""
        return self._routers.get(router_id)

    def control_members(self) -> tuple[ControlMember, ...]:
        """Return the registered control replicas, by id."""
        return tuple(self._control_members[node_id] for node_id in sorted(self._control_members))

    def find_circuit(self, worker_id: str) -> CircuitRecord | None:
        """Return a worker's agreed circuit; None if it never left its first state."""
        return self._circuits.find_circuit(worker_id)

    def circuits(self) -> tuple[CircuitRecord, ...]:
        """Return the agreed circuits, by worker."""
        return tuple(self._circuits.circuits())

    def find_capacity(self, failure_domain: str) -> CapacityRecord | None:
        """Return a failure domain's agreed capacity circuit."""
        return self._circuits.find_capacity(failure_domain)

    def capacities(self) -> tuple[CapacityRecord, ...]:
        """Return the agreed capacity circuits, by failure domain."""
        return tuple(self._circuits.capacities())

    @property
    def plan(self) -> PlanRecord | None:
        """The newest plan that was started, running or over."""
        return self._plans.record

    def abandoned_workers(self) -> list[AbandonedWorker]:
        """Return the workers that plans have abandoned, oldest first."""
        return self._plans.abandoned()

    def find_plan_action(self, order_id: str) -> PlanActionRecord | None:
        """Return the order about a plan that was taken under an id, with its first outcome."""
        return self._plans.find_update(order_id)

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Ids of the routers that are witnesses now."""
        return self._witnesses.current()

    def witness_sets_since(self, revision: int) -> tuple[tuple[str, ...], ...]:
        """Return every distinct witness set in force from a revision up to now, oldest first.

        Raises
        ------
        WitnessHistoryLostError
            Sets of that time have been forgotten.
        """
        return self._witnesses.since(revision)

    def view(self) -> FleetView:
        """Return everything a router must know, at the newest revision."""
        if self._view is None or self._view.revision != self._revision:
            self._view = FleetView(
                revision=self._revision,
                configuration_version=self._configuration_version,
                configuration=self._configuration,
                workers=tuple(entry.record for entry in self._workers.entries()),
                routers=self.routers(),
                witnesses=self.witnesses,
            )
        return self._view

    def update_since(self, adopted_revision: int) -> FleetUpdate:
        """Return what brings a router from the revision it has adopted to the newest one.

        Only what changed, as far back as changes are remembered; the whole view beyond that.
        """
        delta: Delta | None = Delta()
        if adopted_revision < self._revision:
            delta = self._changes.since(adopted_revision)
        # A router that has adopted nothing has no view that a delta could change.
        if delta is None or adopted_revision == 0:
            return FleetUpdate(
                revision=self._revision,
                configuration_version=self._configuration_version,
                view=self.view(),
            )
        return FleetUpdate(
            revision=self._revision,
            configuration_version=self._configuration_version,
            base_revision=adopted_revision,
            workers=delta.workers,
            routers=delta.routers,
            removed_routers=delta.removed_routers,
            witnesses=self.witnesses if delta.roster else None,
            configuration=delta.configuration,
        )

    def _apply_command(self, command: Command) -> Outcome:
        match command:
            case SubmitConfiguration():
                return self._submit(command)
            case RegisterRouter() | RemoveRouter():
                return RecordResult(effect=self._change_routers(command))
            case WorkerChanged() | WorkerRemoved() | CordonWorker():
                return RecordResult(effect=self._change_worker(command))
            case CircuitChanged():
                return self._change_circuit(command.transition)
            case CapacityChanged():
                return self._circuits.change_capacity(command.transition)
            case RegisterControlMember() | RemoveControlMember():
                return RecordResult(effect=self._change_members(command))
            case LeaderStarted() | RevisionConfirmed():
                return RecordResult(effect=self._record_progress(command))
            case StartPlan() | HaltPlan() | ResumePlan() | CancelPlan():
                return self._plans.order(command, self._configuration_version, self.workers())
            case AdvanceStep() | StopPlan():
                return RecordResult(effect=self._follow_plan(command))
            case _:
                assert_never(command)

    def _submit(self, order: SubmitConfiguration) -> UpdateResult:
        """Take a configuration if it was built on the current version (compare and swap)."""
        taken = self._orders.find(order.order_id)
        if taken is not None and taken.digest != order.digest:
            reused = UpdateIdReused(current_version=self._configuration_version)
            return UpdateResult(outcome=reused)
        if taken is not None:
            return UpdateResult(outcome=taken.outcome, repeated=True)
        outcome: UpdateOutcome
        if order.base_version != self._configuration_version:
            outcome = UpdateConflict(current_version=self._configuration_version)
        else:
            outcome = self._accept(order)
        self._orders.remember(order.order_id, order.digest, outcome)
        return UpdateResult(outcome=outcome)

    def _accept(self, order: SubmitConfiguration) -> UpdateAccepted:
        version = self._configuration_version + 1
        changed = configuration_delta(self._configuration, order.configuration)
        self._configuration = order.configuration
        self._document = order.document
        self._configuration_version = version
        self._history.append(
            ConfigurationEntry(version=version, order_id=order.order_id, digest=order.digest)
        )
        self._revision += 1
        self._changes.add(Change(revision=self._revision, configuration=changed))
        self._plans.configuration_changed()
        return UpdateAccepted(version=version)

    def _change_routers(self, command: RegisterRouter | RemoveRouter) -> Effect:
        revision = self._revision + 1
        if isinstance(command, RegisterRouter):
            record = command.record
            if not record.router_id:
                return Effect.INVALID
            if self._routers.get(record.router_id) == record:
                return Effect.UNCHANGED
            self._routers[record.router_id] = record
            change = Change(revision=revision, router=record)
        else:
            if self._routers.pop(command.router_id, None) is None:
                return Effect.UNKNOWN
            change = Change(revision=revision, removed_router=command.router_id)
        self._revision = revision
        self._changes.add(change)
        chosen = choose_witnesses(self.witnesses, self._routers)
        self._witnesses.change(self._revision, chosen, self._confirmed_revision)
        return Effect.CHANGED

    def _change_worker(self, command: WorkerChanged | WorkerRemoved | CordonWorker) -> Effect:
        changed: WorkerRecord | None
        if isinstance(command, WorkerRemoved):
            changed = self._workers.depart(command.worker_id, command.incarnation, command.sequence)
            effect = Effect.STALE if changed is None else Effect.CHANGED
        elif isinstance(command, WorkerChanged):
            effect = self._workers.announce(command.record, command.sequence)
            changed = self._agreed_worker(command.record.worker_id)
        else:
            effect = self._workers.cordon(command.worker_id, command.cordoned)
            changed = self._agreed_worker(command.worker_id)
        if effect is Effect.CHANGED and changed is not None:
            self._worker_changed(changed)
            self._circuits.forget(self._workers.known)
        return effect

    def _follow_plan(self, command: AdvanceStep | StopPlan) -> Effect:
        """Stop a plan, or advance a step and hold or release its worker with it."""
        if isinstance(command, StopPlan):
            return self._plans.stop(command)
        advanced = self._plans.advance(command, self.workers(), self._revision + 1)
        if advanced.cordon is not None:
            cordon = CordonWorker(
                worker_id=advanced.cordon.worker_id, cordoned=advanced.cordon.cordoned
            )
            self._change_worker(cordon)
        return advanced.effect

    def _agreed_worker(self, worker_id: str) -> WorkerRecord | None:
        entry = self._workers.find(worker_id)
        return None if entry is None else entry.record

    def _change_circuit(self, transition: CircuitTransition) -> CircuitResult:
        if not self._workers.known(transition.worker_id):
            return CircuitResult(effect=Effect.UNKNOWN)
        return self._circuits.change_circuit(transition)

    def _change_members(self, command: RegisterControlMember | RemoveControlMember) -> Effect:
        if isinstance(command, RemoveControlMember):
            removed = self._control_members.pop(command.node_id, None)
            return Effect.UNKNOWN if removed is None else Effect.CHANGED
        member = command.member
        if not member.node_id:
            return Effect.INVALID
        if self._control_members.get(member.node_id) == member:
            return Effect.UNCHANGED
        self._control_members[member.node_id] = member
        return Effect.CHANGED

    def _record_progress(self, command: LeaderStarted | RevisionConfirmed) -> Effect:
        """Record a leader's start or a confirmed revision; neither ever goes back."""
        if isinstance(command, LeaderStarted):
            if command.term <= self._leader_term:
                return Effect.STALE
            self._leader_term = command.term
            return Effect.CHANGED
        if command.revision > self._revision:
            return Effect.INVALID
        if command.revision <= self._confirmed_revision:
            return Effect.STALE
        self._confirmed_revision = command.revision
        return Effect.CHANGED

    def _worker_changed(self, worker: WorkerRecord) -> None:
        """Make the next revision, which changes one worker."""
        self._revision += 1
        self._changes.add(Change(revision=self._revision, worker=worker))
