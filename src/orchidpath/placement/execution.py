"""What the leader does next for the running plan; pure.

Asked on every tick with the replicated progress and what this leadership has seen since it began.
Nothing is remembered here, so a new leader continues from the replicated phase alone
(docs/design/plans.md, "Execution").
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from orchidpath.state.plans import (
    OPEN_PHASES,
    AbandonedWorker,
    PlanRecord,
    PlanStatus,
    StepPhase,
    begin_objection,
    cordoned_count,
)
from orchidpath.wire.backend import WorkerCommandKind
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

COMMAND_REPEAT_SECONDS = 1.0
"""A command that has had no effect is sent again after this long, with a higher sequence."""

CORDON_SECONDS = 10.0
"""Bound on the wait until every serving router knows of a cordon; 1.7 s when one is
partitioned."""

SWITCH_SECONDS = 60.0
"""Bound on the change itself; a prefill worker first waits until its KV cache handles expire."""

RESUME_SECONDS = 15.0
"""Bound on the wait until a worker takes requests again."""

RETURN_SECONDS = 15.0
"""Bound on the wait until a worker whose step was given up takes requests in its old stage."""


class StepWatch(msgspec.Struct, frozen=True, kw_only=True):
    """What this leadership has seen of a step in its present phase.

    ``since`` is when it first saw the phase, ``ordered_at`` when it last sent a command in
    it; ``accepted`` is the newest command that the worker accepted in it.
    """

    since: float
    ordered_at: float = float("-inf")
    accepted: WorkerCommandKind | None = None


class Advance(msgspec.Struct, frozen=True, kw_only=True):
    """Propose a step's next phase, with a reason when the step is given up."""

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
    """Propose that the plan stops."""

    reason: str


PlanInstruction = Advance | SendStepCommand | Stop


class PlanSituation(msgspec.Struct, frozen=True, kw_only=True):
    """All that the next actions depend on besides the replicated plan.

    ``watches`` has one entry a step. ``confirmed_revision`` is the newest revision applied at
    every serving router.
    """

    workers: Mapping[str, WorkerRecord]
    in_flight: Mapping[str, int]
    confirmed_revision: int
    watches: Sequence[StepWatch]
    now: float


def next_actions(record: PlanRecord, situation: PlanSituation) -> list[PlanInstruction]:
    """Return what to do now; asking again before it took effect gives the same, at most.

    Parameters
    ----------
    record
        The newest plan and its replicated progress.
    situation
        The agreed workers, and what this leadership has seen.
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
    """Start the next waiting step of each service that may cordon one worker more.

    One step a service at a time, because whether the next may start depends on this cordon.
    """
    actions: list[PlanInstruction] = []
    seen: set[str] = set()
    for position, step in enumerate(record.plan.steps):
        if record.progress.steps[position].phase is not StepPhase.WAITING or step.service in seen:
            continue
        seen.add(step.service)
        if cordoned_count(record, step.service) >= record.plan.bounds_of(step.service).max_cordoned:
            continue
        objection = begin_objection(record, position, situation.workers.values())
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
    # Up to this phase nothing was changed, so giving up means a rollback.
    reversible = phase in {StepPhase.CORDONING, StepPhase.DRAINING}
    if reversible and record.progress.status in {PlanStatus.CANCELLING, PlanStatus.STOPPING}:
        return Advance(step=position, expected=phase, phase=StepPhase.RETURNING)
    following = _following_phase(record, position, worker, situation)
    if following is not None:
        return Advance(step=position, expected=phase, phase=following)
    if situation.now - situation.watches[position].since > _bound_seconds(record, position):
        return _give_up(position, phase, step.worker_id)
    return _command_instruction(record, position, situation)


def _following_phase(
    record: PlanRecord, position: int, worker: WorkerRecord, situation: PlanSituation
) -> StepPhase | None:
    """Return the phase that a step may go on to now, if its worker is where it must be."""
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
        # An announcement alone may be older than a DRAIN still in flight: only the worker's own
        # reply to RESUME proves that it will execute no earlier command any more.
        case StepPhase.RESUMING if resumed and worker.stage is step.to_stage:
            return StepPhase.RELEASED
        case StepPhase.RETURNING if resumed:
            return StepPhase.RETURNED
    return None


def _command_instruction(
    record: PlanRecord, position: int, situation: PlanSituation
) -> SendStepCommand | None:
    """Return the command that the phase needs, unless it was sent a moment ago."""
    phase = record.progress.steps[position].phase
    if phase is StepPhase.CORDONING:
        return None
    if situation.now - situation.watches[position].ordered_at < COMMAND_REPEAT_SECONDS:
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


def _give_up(position: int, phase: StepPhase, worker_id: str) -> Advance:
    """Give a step up after its bound: roll back if the worker may still answer, else abandon."""
    reason = f"{worker_id} took too long: {phase}"
    if phase in {StepPhase.RESUMING, StepPhase.RETURNING}:
        return _abandon(position, phase, reason)
    return Advance(step=position, expected=phase, phase=StepPhase.RETURNING, reason=reason)


def _abandon(position: int, phase: StepPhase, reason: str) -> Advance:
    return Advance(step=position, expected=phase, phase=StepPhase.ABANDONED, reason=reason)


def workers_to_resume(
    abandoned: Iterable[AbandonedWorker], workers: Mapping[str, WorkerRecord]
) -> list[WorkerRecord]:
    """Return the abandoned workers that have come back draining and are in no plan.

    Without RESUME they would drain for ever: a worker that was unreachable for a while still
    executes earlier commands. One that shuts down anyway stays draining; RESUME does no harm.
    """
    found = []
    for one in abandoned:
        worker = workers.get(one.worker_id)
        if worker is None or worker.incarnation != one.incarnation:
            continue
        if worker.status is WorkerStatus.DRAINING and not worker.cordoned:
            found.append(worker)
    return found


def step_bound_seconds(drain_seconds: float) -> float:
    """Return how many seconds a step cordons its worker at most, under one leader.

    A step that runs into the bound of its change also waits for the return.
    """
    forward_seconds = CORDON_SECONDS + drain_seconds + SWITCH_SECONDS
    return forward_seconds + max(RESUME_SECONDS, RETURN_SECONDS)
