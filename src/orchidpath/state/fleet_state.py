"""The replicated state machine of the fleet.

Every control replica applies the same committed commands in the same order and reaches the same
state. Nothing here reads a clock or draws a random number, and no outcome depends on anything
that is not in the snapshot.
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
    """A log entry was applied at or below the newest applied index."""


class FleetState(FleetStateReader):
    """The fleet's replicated state and the commands that change it.

    Parameters
    ----------
    body
        The state to begin with; by default that of a new fleet.
    """

    @classmethod
    def restore(cls, data: bytes) -> "FleetState":
        """Return the state in a snapshot.

        Raises
        ------
        SnapshotFormatError
            The snapshot is damaged or of a format that this version does not know.
        """
        return cls(decode_snapshot(data))

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
            The index is not above the newest applied one.
        CommandDecodeError
            The command cannot be decoded; nothing was changed and the replica must stop.
        """
        if index <= self._applied_index:
            raise ApplyOrderError(f"entry {index} comes after entry {self._applied_index}")
        command = decode_command(payload)
        outcome = self._dispatch(command)
        self._applied_index = index
        return ApplyResult(
            index=index,
            revision=self._revision,
            circuits_sequence=self._circuits.sequence,
            outcome=outcome,
        )

    # One table, a line for each command type; mypy reports a type without a handler.
    def _dispatch(self, command: Command) -> Outcome:  # noqa: C901, PLR0912
        """Call the handler of a command."""
        match command:
            case SubmitConfiguration():
                return self._submit_configuration(command)
            case RegisterRouter():
                return self._register_router(command.record)
            case RemoveRouter():
                return self._remove_router(command.router_id)
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

    def _remove_router(self, router_id: str) -> RecordResult:
        effect = self._routers.remove(router_id)
        if effect is Effect.CHANGED:
            self._routers_changed(Change(revision=self._revision + 1, removed_router=router_id))
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
        """Advance a step, and cordon or release its worker in the same entry."""
        advanced = self._plans.advance(command, self.workers(), self._revision + 1)
        if advanced.cordon is not None:
            worker_id, cordoned = advanced.cordon.worker_id, advanced.cordon.cordoned
            self._worker_changed(self._workers.cordon(worker_id, cordoned))
        return RecordResult(effect=advanced.effect)

    def _stop_plan(self, command: StopPlan) -> RecordResult:
        return RecordResult(effect=self._plans.stop(command))

    def _worker_changed(self, change: WorkerChange) -> RecordResult:
        """Make the next revision if a change is visible in the view."""
        if change.record is not None:
            self._record_change(Change(revision=self._revision + 1, worker=change.record))
            self._circuits.evict_unknown(self._workers.is_known)
        return RecordResult(effect=change.effect)

    def _routers_changed(self, change: Change) -> None:
        """Make the next revision and choose the witnesses for it."""
        self._record_change(change)
        self._routers.update_witnesses(self._revision, self._progress.confirmed_revision)

    def _record_change(self, change: Change) -> None:
        self._revision = change.revision
        self._changes.add(change)
