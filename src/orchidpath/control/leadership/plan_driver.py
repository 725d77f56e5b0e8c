"""Executes the active plan by means of proposals and fenced commands; performs no I/O.

There is one :class:`PlanDriver` per leadership, called on the ticks of a leader that holds its
lease. Its own state is soft: the next leader continues from the replicated phases of the plan's
steps (docs/design/plans.md, "Execution").
"""

from collections.abc import Callable, Mapping

import msgspec

from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.placement.execution import (
    COMMAND_REPEAT_SECONDS,
    Advance,
    PlanSituation,
    SendStepCommand,
    StepWatch,
    Stop,
    next_actions,
    workers_to_resume,
)
from orchidpath.state.commands import AdvanceStep, Command, StopPlan
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.plans import PlanRecord, StepPhase
from orchidpath.wire.backend import WorkerCommand, WorkerCommandKind, WorkerCommandReply
from orchidpath.wire.records import Stage, WorkerRecord

PLAN_PERIOD_SECONDS = 0.1
"""Time between two evaluations of the plan."""

REPEAT_PROPOSAL_SECONDS = 1.0
"""A proposal that has not been applied is repeated after this time."""


class _Watched(msgspec.Struct):
    """What this leadership has observed of a step since its current phase began.

    ``first_sequence`` is the lowest sequence of a command that can belong to the phase.
    """

    phase: StepPhase
    first_sequence: int
    watch: StepWatch


class PlanDriver:
    """Executes the newest plan.

    Parameters
    ----------
    term
        Term of this leadership. Every command is fenced by the term and an increasing sequence.
    state
        The replicated state.
    in_flight
        Returns the number of attempts in flight by worker id at a time in monotonic seconds, as
        the leader counts them.
    output
        Collects the commands and proposals.
    """

    def __init__(
        self,
        term: int,
        state: FleetState,
        in_flight: Callable[[float], Mapping[str, int]],
        output: ControlOutput,
    ) -> None:
        self._term = term
        self._state = state
        self._in_flight = in_flight
        self._output = output
        self._sequence = 0
        self._plan_id = ""
        self._watched: dict[int, _Watched] = {}
        self._proposed: dict[Command, float] = {}
        self._resumed_at: dict[str, float] = {}
        self._next_check_at = float("-inf")

    def tick(self, confirmed_revision: int, now: float) -> None:
        """Propose and command the next actions of the plan, at most once per period.

        Workers of abandoned steps are resumed even when no plan is active. The caller has checked
        that this leader holds its lease at ``now``.
        """
        record = self._state.plan
        if record is None or now < self._next_check_at:
            return
        self._next_check_at = now + PLAN_PERIOD_SECONDS
        workers = {worker.worker_id: worker for worker in self._state.workers()}
        self._resume_abandoned(workers, now)
        if record.active:
            self._follow(record, workers, confirmed_revision, now)

    def command_answered(self, command: WorkerCommand, reply: WorkerCommandReply) -> None:
        """Record that a worker accepted a command that belongs to its step's present phase."""
        record = self._state.plan
        if record is None or command.term != self._term or not reply.accepted:
            return
        for position, step in enumerate(record.plan.steps):
            watched = self._watched.get(position)
            if watched is None or step.worker_id != command.worker_id:
                continue
            current = record.progress.steps[position].phase is watched.phase
            if current and command.sequence >= watched.first_sequence:
                watched.watch = msgspec.structs.replace(watched.watch, accepted=command.kind)

    def _follow(
        self,
        record: PlanRecord,
        workers: Mapping[str, WorkerRecord],
        confirmed_revision: int,
        now: float,
    ) -> None:
        self._watch(record, now)
        draining = any(step.phase is StepPhase.DRAINING for step in record.progress.steps)
        situation = PlanSituation(
            workers=workers,
            in_flight=self._in_flight(now) if draining else {},
            confirmed_revision=confirmed_revision,
            watches=[self._watched[position].watch for position in range(len(record.plan.steps))],
            now=now,
        )
        for action in next_actions(record, situation):
            match action:
                case Advance():
                    self._propose(_advance_command(record, action), now)
                case Stop():
                    self._propose(StopPlan(plan_id=self._plan_id, reason=action.reason), now)
                case SendStepCommand():
                    self._command_step(record, action, now)

    def _resume_abandoned(self, workers: Mapping[str, WorkerRecord], now: float) -> None:
        for worker in workers_to_resume(self._state.abandoned_workers(), workers):
            last = self._resumed_at.get(worker.worker_id, float("-inf"))
            if now - last >= COMMAND_REPEAT_SECONDS:
                self._resumed_at[worker.worker_id] = now
                self._command(worker, WorkerCommandKind.RESUME, None)

    def _watch(self, record: PlanRecord, now: float) -> None:
        """Reset the observations of every step whose phase has changed."""
        if record.plan.plan_id != self._plan_id:
            self._plan_id = record.plan.plan_id
            self._watched.clear()
            self._proposed.clear()
        for position, progress in enumerate(record.progress.steps):
            watched = self._watched.get(position)
            if watched is None or watched.phase is not progress.phase:
                self._watched[position] = _Watched(
                    progress.phase, self._sequence + 1, StepWatch(since=now)
                )

    def _propose(self, command: Command, now: float) -> None:
        if now - self._proposed.get(command, float("-inf")) < REPEAT_PROPOSAL_SECONDS:
            return
        self._proposed[command] = now
        self._output.propose(command)

    def _command_step(self, record: PlanRecord, action: SendStepCommand, now: float) -> None:
        entry = self._state.find_worker(record.plan.steps[action.step].worker_id)
        if entry is None:
            return
        watched = self._watched[action.step]
        watched.watch = msgspec.structs.replace(watched.watch, command_sent_at=now)
        self._command(entry.record, action.kind, action.stage)

    def _command(self, worker: WorkerRecord, kind: WorkerCommandKind, stage: Stage | None) -> None:
        self._sequence += 1
        command = WorkerCommand(
            term=self._term,
            sequence=self._sequence,
            worker_id=worker.worker_id,
            incarnation=worker.incarnation,
            kind=kind,
            stage=stage,
        )
        self._output.command_worker(worker.url, command)


def _advance_command(record: PlanRecord, action: Advance) -> AdvanceStep:
    return AdvanceStep(
        plan_id=record.plan.plan_id,
        step=action.step,
        expected=action.expected,
        phase=action.phase,
        reason=action.reason,
    )
