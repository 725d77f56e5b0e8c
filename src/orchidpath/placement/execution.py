"""Computes the leader's next actions for the running plan.

The leader calls :func:`next_actions` on every tick with the replicated progress of the plan and
with its own observations since it was elected. This module has no state, so a new leader continues
from the replicated phases alone (docs/design/plans.md, "Execution"). It does no input or output.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from orchidpath.state.plans import (
    OPEN_PHASES,
    AbandonedWorker,
    PlanRecord,
    PlanStatus,
    StepPhase,
    cordoned_count,
    step_start_obstacle,
)
from orchidpath.wire.backend import WorkerCommandKind
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

COMMAND_REPEAT_SECONDS = 1.0
"""Time after which a command without effect is sent again, with a higher sequence number."""

CORDON_SECONDS = 10.0
"""Bound on the wait until every serving router has applied a cordon.

It takes 1.7 s when a router is partitioned.
"""

SWITCH_SECONDS = 60.0
"""Bound on the stage change itself.

A prefill worker first waits until the handles of its KV cache expire.
"""

RESUME_SECONDS = 15.0
"""Bound on the wait until a worker accepts requests again after its stage change."""

RETURN_SECONDS = 15.0
"""Bound on the wait until a worker accepts requests in its old stage after a rollback."""


class StepWatch(msgspec.Struct, frozen=True, kw_only=True):
    """The leader's observations of one step in its current phase, since the leader was elected.

    ``since`` is when the leader first saw the step in this phase, and ``command_sent_at`` when it
    last sent a command in this phase, both in monotonic seconds. ``accepted`` is the newest command
    that the worker accepted in this phase.
    """

    since: float
    command_sent_at: float = float("-inf")
    accepted: WorkerCommandKind | None = None


class Advance(msgspec.Struct, frozen=True, kw_only=True):
    """Propose the next phase of a step; ``reason`` is set if the step failed."""

    step: int
    expected: StepPhase
    phase: StepPhase
    reason: str = ""


class SendStepCommand(msgspec.Struct, frozen=True, kw_only=True):
    """Send a command to the worker of a step."""

    step: int
    kind: WorkerCommandKind
    stage: Stage | None = None


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """Propose to stop the plan, for the given reason."""

    reason: str


PlanInstruction = Advance | SendStepCommand | Stop


class PlanSituation(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs to the next actions in addition to the replicated plan.

    ``workers`` and ``in_flight`` are keyed by worker id; ``in_flight`` counts requests.
    ``confirmed_revision`` is the newest revision that every serving router has applied.
    ``watches`` has one entry per step of the plan. ``now`` is in monotonic seconds.
    """

    workers: Mapping[str, WorkerRecord]
    in_flight: Mapping[str, int]
    confirmed_revision: int
    watches: Sequence[StepWatch]
    now: float


def next_actions(record: PlanRecord, situation: PlanSituation) -> list[PlanInstruction]:
    """Return the actions to take now.

    Calling this again before the actions have taken effect returns the same actions or fewer.

    Parameters
    ----------
    record
        The newest plan and its replicated progress.
    situation
        The replicated worker records and the leader's own observations.
    """
    actions: list[PlanInstruction] = []
    for position, progress in enumerate(record.progress.steps):
        if progress.phase in OPEN_PHASES:
            action = _open_step_action(record, position, situation)
            if action is not None:
                actions.append(action)
    if record.progress.status is PlanStatus.RUNNING:
        actions.extend(_begin_actions(record, situation))
    return actions


def _begin_actions(record: PlanRecord, situation: PlanSituation) -> list[PlanInstruction]:
    """Start the next waiting step of each service that may cordon another worker.

    Only one step per service starts at a time, because whether the next one may start depends on
    the cordon of this one.
    """
    actions: list[PlanInstruction] = []
    seen_services: set[str] = set()
    for position, step in enumerate(record.plan.steps):
        if (
            record.progress.steps[position].phase is not StepPhase.WAITING
            or step.service in seen_services
        ):
            continue
        seen_services.add(step.service)
        if cordoned_count(record, step.service) >= record.plan.bounds_of(step.service).max_cordoned:
            continue
        objection = step_start_obstacle(record, position, situation.workers.values())
        if objection:
            return [Stop(reason=objection)]
        actions.append(
            Advance(step=position, expected=StepPhase.WAITING, phase=StepPhase.CORDONING)
        )
    return actions


def _open_step_action(
    record: PlanRecord, position: int, situation: PlanSituation
) -> PlanInstruction | None:
    """Return the next instruction for a step whose worker is cordoned."""
    step = record.plan.steps[position]
    phase = record.progress.steps[position].phase
    worker = situation.workers.get(step.worker_id)
    if worker is None:
        return _abandon(position, phase, f"{step.worker_id} was lost")
    if worker.incarnation != step.incarnation:
        return _abandon(position, phase, f"{step.worker_id} was restarted")
    # The worker's stage has not been changed in these phases, so the step can be rolled back.
    reversible = phase in {StepPhase.CORDONING, StepPhase.DRAINING}
    if reversible and record.progress.status in {PlanStatus.CANCELLING, PlanStatus.STOPPING}:
        return Advance(step=position, expected=phase, phase=StepPhase.RETURNING)
    following = _following_phase(record, position, worker, situation)
    if following is not None:
        return Advance(step=position, expected=phase, phase=following)
    if situation.now - situation.watches[position].since > _bound_seconds(record, position):
        return _time_out(position, phase, step.worker_id)
    return _command_instruction(record, position, situation)


def _following_phase(
    record: PlanRecord, position: int, worker: WorkerRecord, situation: PlanSituation
) -> StepPhase | None:
    """Return the phase that a step may enter now; None if its conditions are not met yet."""
    step = record.plan.steps[position]
    progress = record.progress.steps[position]
    resumed = (
        situation.watches[position].accepted is WorkerCommandKind.RESUME
        and worker.status is WorkerStatus.READY
    )
    match progress.phase:
        case StepPhase.CORDONING if situation.confirmed_revision >= progress.cordoned_revision:
            return StepPhase.DRAINING
        case StepPhase.DRAINING if (
            worker.status is WorkerStatus.DRAINING
            and situation.in_flight.get(step.worker_id, 0) == 0
        ):
            return StepPhase.SWITCHING
        case StepPhase.SWITCHING if worker.stage is step.to_stage:
            return StepPhase.RESUMING
        # The announcement alone may be older than a DRAIN that is still in flight. Only the
        # worker's own reply to RESUME proves that it will not execute any earlier command.
        case StepPhase.RESUMING if resumed and worker.stage is step.to_stage:
            return StepPhase.RELEASED
        case StepPhase.RETURNING if resumed:
            return StepPhase.RETURNED
    return None


def _command_instruction(
    record: PlanRecord, position: int, situation: PlanSituation
) -> SendStepCommand | None:
    """Return the command that the phase needs; None if it needs none or was sent recently."""
    phase = record.progress.steps[position].phase
    if phase is StepPhase.CORDONING:
        return None
    if situation.now - situation.watches[position].command_sent_at < COMMAND_REPEAT_SECONDS:
        return None
    if phase is StepPhase.DRAINING:
        return SendStepCommand(step=position, kind=WorkerCommandKind.DRAIN)
    if phase is StepPhase.SWITCHING:
        stage = record.plan.steps[position].to_stage
        return SendStepCommand(step=position, kind=WorkerCommandKind.SET_STAGE, stage=stage)
    return SendStepCommand(step=position, kind=WorkerCommandKind.RESUME)


def _bound_seconds(record: PlanRecord, position: int) -> float:
    service = record.plan.steps[position].service
    bounds = {
        StepPhase.CORDONING: CORDON_SECONDS,
        StepPhase.DRAINING: record.plan.bounds_of(service).drain_seconds,
        StepPhase.SWITCHING: SWITCH_SECONDS,
        StepPhase.RESUMING: RESUME_SECONDS,
        StepPhase.RETURNING: RETURN_SECONDS,
    }
    return bounds[record.progress.steps[position].phase]


def _time_out(position: int, phase: StepPhase, worker_id: str) -> Advance:
    """End a step that exceeded its bound: abandon it in the last phases, else roll it back."""
    reason = f"{worker_id} took too long: {phase}"
    if phase in {StepPhase.RESUMING, StepPhase.RETURNING}:
        return _abandon(position, phase, reason)
    return Advance(step=position, expected=phase, phase=StepPhase.RETURNING, reason=reason)


def _abandon(position: int, phase: StepPhase, reason: str) -> Advance:
    return Advance(step=position, expected=phase, phase=StepPhase.ABANDONED, reason=reason)


def workers_to_resume(
    abandoned: Iterable[AbandonedWorker], workers: Mapping[str, WorkerRecord]
) -> list[WorkerRecord]:
    """Return the abandoned workers that are reachable again, draining and not cordoned.

    Without a RESUME command these workers would drain forever, because a worker that was
    unreachable for a while still executes earlier commands. A worker that is shutting down stays
    draining, so RESUME does no harm there.
    """
    found = []
    for entry in abandoned:
        worker = workers.get(entry.worker_id)
        if worker is None or worker.incarnation != entry.incarnation:
            continue
        if worker.status is WorkerStatus.DRAINING and not worker.cordoned:
            found.append(worker)
    return found


def step_bound_seconds(drain_seconds: float) -> float:
    """Return the maximum seconds that a step cordons its worker, without a change of leader.

    A step that exceeds the bound of the stage change also waits for the worker's return.
    """
    forward_seconds = CORDON_SECONDS + drain_seconds + SWITCH_SECONDS
    return forward_seconds + max(RESUME_SECONDS, RETURN_SECONDS)
