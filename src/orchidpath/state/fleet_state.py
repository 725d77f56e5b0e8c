"""The replicated state machine of the fleet.

Every control replica applies the same committed commands in the same order and reaches the same
state. To keep the state machine deterministic, no code here reads a clock or generates random
numbers, and no outcome depends on data that is not in the snapshot.
"""

from typing import assert_never

from orchidpath.circuit.transitions import CapacityTransition, CircuitTransition
from orchidpath.common.errors import OrchidpathError
from orchidpath.state.changes import Change
from orchidpath.state.commands import (
    AdvanceStep,
    CancelPlan,
    CapacityChanged,
    CircuitChanged,
    Command,
    CordonWorker,
    HaltPlan,
    LeaderStarted,
    PlanActionCommand,
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
from orchidpath.state.fleet_state_reader import FleetStateReader
from orchidpath.state.outcomes import (
    ApplyResult,
    CapacityResult,
    CircuitResult,
    Effect,
    Outcome,
    PlanResult,
    RecordResult,
    UpdateResult,
)
from orchidpath.state.snapshot import decode_snapshot
from orchidpath.state.workers import WorkerChange
from orchidpath.wire.records import ControlMember, RouterRecord


class ApplyOrderError(OrchidpathError):
    """The index of a log entry is not above the newest applied index."""


class FleetState(FleetStateReader):
    """The fleet's replicated state and the commands that change it.

    Parameters
    ----------
    body
        The initial state; by default, the state of a new fleet.
    """

    @classmethod
    def restore(cls, data: bytes) -> "FleetState":
        """Return the state that a snapshot contains.

        Raises
        ------
        SnapshotFormatError
            The snapshot is damaged, or its format is not supported by this version.
        """
        return cls(decode_snapshot(data))

    def apply(self, index: int, payload: bytes) -> ApplyResult:
        """Apply one committed command.

        Parameters
        ----------
        index
            Index of the command's entry in the log; above every index applied so far.
        payload
            The encoded command.

        Raises
        ------
        ApplyOrderError
            The index is not above the newest applied one.
        CommandDecodeError
            The command cannot be decoded. The state is unchanged, and the replica must stop.
        """
        if index <= self._applied_index:
            raise ApplyOrderError(
                f"cannot apply log entry {index}: the newest applied entry is {self._applied_index}"
            )
        command = decode_command(payload)
        outcome = self._dispatch(command)
        self._applied_index = index
        return ApplyResult(
            index=index,
            revision=self._revision,
            circuits_sequence=self._circuits.sequence,
            outcome=outcome,
        )

    # One case for each command type, hence the complexity; mypy reports a type without a handler.
    def _dispatch(self, command: Command) -> Outcome:  # noqa: C901, PLR0912
        """Apply a command with the handler of its type and return the outcome."""
        match command:
            case SubmitConfiguration():
                return self._submit_configuration(command)
            case RegisterRouter():
                return self._register_router(command.record)
            case RemoveRouter():
                return self._remove_router(command)
            case WorkerChanged():
                return self._announce_worker(command)
            case WorkerRemoved():
                return self._remove_worker(command)
            case CordonWorker():
                return self._cordon_worker(command)
            case CircuitChanged():
                return self._change_circuit(command.transition)
            case CapacityChanged():
                return self._change_capacity(command.transition)
            case RegisterControlMember():
                return self._register_control_member(command.member)
            case RemoveControlMember():
                return self._remove_control_member(command.node_id)
            case LeaderStarted():
                return self._start_term(command.term)
            case RevisionConfirmed():
                return self._confirm_revision(command.revision)
            case StartPlan() | HaltPlan() | ResumePlan() | CancelPlan():
                return self._apply_plan_action(command)
            case AdvanceStep():
                return self._advance_step(command)
            case StopPlan():
                return self._stop_plan(command)
            case _:
                assert_never(command)

    def _submit_configuration(self, command: SubmitConfiguration) -> UpdateResult:
        submission = self._configuration.submit(command)
        if submission.delta is not None:
            revision = self._revision + 1
            self._record_change(Change(revision=revision, configuration=submission.delta))
            self._plans.configuration_changed()
        return submission.result

    def _register_router(self, record: RouterRecord) -> RecordResult:
        effect = self._routers.register(record)
        if effect is Effect.CHANGED:
            self._routers_changed(Change(revision=self._revision + 1, router=record))
        return RecordResult(effect=effect)

    def _remove_router(self, command: RemoveRouter) -> RecordResult:
        router_id = command.router_id
        effect = self._routers.remove(router_id)
        if effect is Effect.CHANGED:
            self._routers_changed(Change(revision=self._revision + 1, removed_router=router_id))
        if command.left and self._routers.find(router_id) is None:
            self._routers.forget_witness(router_id)
        return RecordResult(effect=effect)

    def _announce_worker(self, command: WorkerChanged) -> RecordResult:
        return self._worker_changed(self._workers.announce(command.record, command.sequence))

    def _remove_worker(self, command: WorkerRemoved) -> RecordResult:
        return self._worker_changed(
            self._workers.remove(command.worker_id, command.incarnation, command.sequence)
        )

    def _cordon_worker(self, command: CordonWorker) -> RecordResult:
        return self._worker_changed(self._workers.cordon(command.worker_id, command.cordoned))

    def _change_circuit(self, transition: CircuitTransition) -> CircuitResult:
        if not self._workers.is_known(transition.worker_id):
            return CircuitResult(effect=Effect.UNKNOWN)
        return self._circuits.change_circuit(transition)

    def _change_capacity(self, transition: CapacityTransition) -> CapacityResult:
        return self._circuits.change_capacity(transition)

    def _register_control_member(self, member: ControlMember) -> RecordResult:
        return RecordResult(effect=self._control_members.register(member))

    def _remove_control_member(self, node_id: str) -> RecordResult:
        return RecordResult(effect=self._control_members.remove(node_id))

    def _start_term(self, term: int) -> RecordResult:
        return RecordResult(effect=self._progress.start_term(term))

    def _confirm_revision(self, revision: int) -> RecordResult:
        return RecordResult(effect=self._progress.confirm(revision, self._revision))

    def _apply_plan_action(self, command: PlanActionCommand) -> PlanResult:
        return self._plans.apply_action(command, self._configuration.version, self.workers())

    def _advance_step(self, command: AdvanceStep) -> RecordResult:
        """Advance a plan's step, and cordon or release its worker in the same log entry."""
        advanced = self._plans.advance(command, self.workers(), self._revision + 1)
        if advanced.cordon is not None:
            worker_id, cordoned = advanced.cordon.worker_id, advanced.cordon.cordoned
            self._worker_changed(self._workers.cordon(worker_id, cordoned))
        return RecordResult(effect=advanced.effect)

    def _stop_plan(self, command: StopPlan) -> RecordResult:
        return RecordResult(effect=self._plans.stop(command))

    def _worker_changed(self, change: WorkerChange) -> RecordResult:
        """Create the next revision if the change is visible to routers; return the effect."""
        if change.record is not None:
            self._record_change(Change(revision=self._revision + 1, worker=change.record))
            self._circuits.evict_unknown(self._workers.is_known)
        return RecordResult(effect=change.effect)

    def _routers_changed(self, change: Change) -> None:
        """Create the next revision and choose its witness set."""
        self._record_change(change)
        self._routers.update_witnesses(self._revision, self._progress.confirmed_revision)

    def _record_change(self, change: Change) -> None:
        self._revision = change.revision
        self._changes.add(change)
