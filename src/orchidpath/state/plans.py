"""Plans in the replicated state: which workers switch their stage, and the progress of each step.

A plan is computed by :mod:`orchidpath.placement.planner` and stored in the replicated state, so
that a new leader can continue it after a change of leadership (docs/design/plans.md).
"""

import hashlib
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus


class PlanStatus(StrEnum):
    """Progress of a plan; ``DONE``, ``CANCELLED`` and ``STOPPED`` are final."""

    RUNNING = "running"
    HALTED = "halted"
    """No further step begins; open steps continue to their end."""
    CANCELLING = "cancelling"
    STOPPING = "stopping"
    DONE = "done"
    CANCELLED = "cancelled"
    STOPPED = "stopped"


FINAL_STATUSES = frozenset({PlanStatus.DONE, PlanStatus.CANCELLED, PlanStatus.STOPPED})
"""Statuses of a plan that has ended."""


class StepPhase(StrEnum):
    """Progress of one worker's stage switch."""

    WAITING = "waiting"
    CORDONING = "holding"
    """The worker is cordoned, but some routers may not have applied the cordon yet."""
    DRAINING = "draining"
    SWITCHING = "switching"
    RESUMING = "resuming"
    """The worker has announced its new stage and is instructed to accept requests."""
    RELEASED = "released"
    RETURNING = "returning"
    """The step was rolled back before the switch.

    The worker is instructed to accept requests in its current stage.
    """
    RETURNED = "returned"
    ABANDONED = "abandoned"
    """The worker was lost, restarted or did not respond; its stage is the one that it announces."""


OPEN_PHASES = frozenset(
    {
        StepPhase.CORDONING,
        StepPhase.DRAINING,
        StepPhase.SWITCHING,
        StepPhase.RESUMING,
        StepPhase.RETURNING,
    }
)
"""Phases in which the worker is cordoned."""

PHASE_TRANSITIONS: dict[StepPhase, frozenset[StepPhase]] = {
    StepPhase.WAITING: frozenset({StepPhase.CORDONING}),
    StepPhase.CORDONING: frozenset({StepPhase.DRAINING, StepPhase.RETURNING, StepPhase.ABANDONED}),
    StepPhase.DRAINING: frozenset({StepPhase.SWITCHING, StepPhase.RETURNING, StepPhase.ABANDONED}),
    StepPhase.SWITCHING: frozenset({StepPhase.RESUMING, StepPhase.RETURNING, StepPhase.ABANDONED}),
    StepPhase.RESUMING: frozenset({StepPhase.RELEASED, StepPhase.ABANDONED}),
    StepPhase.RETURNING: frozenset({StepPhase.RETURNED, StepPhase.ABANDONED}),
    StepPhase.RELEASED: frozenset(),
    StepPhase.RETURNED: frozenset(),
    StepPhase.ABANDONED: frozenset(),
}
"""The phases that a step may enter from each phase."""


class PlanStep(msgspec.Struct, frozen=True, kw_only=True):
    """The stage switch of one worker; it applies only to the given incarnation."""

    worker_id: str
    incarnation: str
    service: str
    from_stage: Stage
    to_stage: Stage


class ServiceBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that a plan respects for one service.

    At most ``max_cordoned`` workers are cordoned at once. A step begins only if the worker's
    current stage keeps ``minimum_prefill`` or ``minimum_decode`` serving workers without that
    worker. A worker may drain for ``drain_seconds``, which covers the longest request of the
    service.
    """

    service: str
    max_cordoned: int = msgspec.field(name="max_held")
    minimum_prefill: int
    minimum_decode: int
    drain_seconds: float

    def minimum(self, stage: Stage) -> int:
        """Return the minimum number of serving workers of a stage."""
        return self.minimum_prefill if stage is Stage.PREFILL else self.minimum_decode


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A sequence of steps, each of which switches the stage of one worker.

    ``basis`` is the :func:`basis_digest` of the plan's inputs. ``plan_id`` is a digest of the
    basis, the steps and the bounds, so equal ids mean equal plans. ``revision`` is the revision
    at which the plan was computed; it is not part of the id.
    """

    plan_id: str
    configuration_version: int
    revision: int
    basis: str
    steps: tuple[PlanStep, ...]
    bounds: tuple[ServiceBounds, ...]

    def bounds_of(self, service: str) -> ServiceBounds:
        """Return the bounds of a service that has steps in this plan."""
        return next(bounds for bounds in self.bounds if bounds.service == service)


class StepProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a step; ``cordoned_revision`` is the first revision with the cordon."""

    phase: StepPhase = StepPhase.WAITING
    cordoned_revision: int = msgspec.field(default=0, name="held_revision")
    reason: str = ""


class PlanProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a plan and of each step; ``reason`` is why the plan halted or stopped."""

    status: PlanStatus
    steps: tuple[StepProgress, ...]
    reason: str = ""


class PlanRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The newest plan that was started, and its progress."""

    plan: Plan
    progress: PlanProgress

    @property
    def active(self) -> bool:
        """Whether the plan has not ended; while a plan is active, no other plan may start."""
        return self.progress.status not in FINAL_STATUSES


class AbandonedWorker(msgspec.Struct, frozen=True, kw_only=True):
    """An incarnation whose step was abandoned; it may announce itself later, still draining."""

    worker_id: str
    incarnation: str


class PlanAnswer(StrEnum):
    """Outcome of an operator's plan action."""

    ACCEPTED = "accepted"
    STALE = "stale"
    """The plan was computed from an older state, or the leader has no plan with its id."""
    REFUSED = "refused"
    ORDER_ID_REUSED = "order_id_reused"


class PlanActionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A plan action and its first outcome, stored for the case that the action is repeated."""

    order_id: str
    content: str
    answer: PlanAnswer
    reason: str = ""


def basis_digest(
    configuration_version: int, workers: Iterable[WorkerRecord], services: Iterable[str]
) -> str:
    """Return the digest of the inputs of a plan for some services.

    Parameters
    ----------
    configuration_version
        Version of the configuration that sets the desired numbers of workers.
    workers
        The registered workers.
    services
        Services that the plan has steps for; workers of other services are ignored.

    Returns
    -------
    str
        SHA-256 in hexadecimal digits.
    """
    planned_services = set(services)
    records = sorted(
        (worker for worker in workers if worker.service in planned_services),
        key=lambda worker: worker.worker_id,
    )
    content = msgspec.msgpack.encode((configuration_version, records))
    return hashlib.sha256(content).hexdigest()


def is_serving(worker: WorkerRecord) -> bool:
    """Return whether routers may send new requests to a worker."""
    return worker.status is WorkerStatus.READY and not worker.cordoned


def step_start_obstacle(record: PlanRecord, position: int, workers: Iterable[WorkerRecord]) -> str:
    """Return the reason why a waiting step may not begin; empty if it may.

    The leader checks this before it proposes the step. It is checked again when the step is
    applied, because workers may have been lost in between (docs/design/plans.md, "Bounds").
    """
    step = record.plan.steps[position]
    minimum = record.plan.bounds_of(step.service).minimum(step.from_stage)
    serving = 0
    found = False
    for worker in workers:
        if worker.service != step.service or worker.stage is not step.from_stage:
            continue
        if not is_serving(worker):
            continue
        if worker.worker_id == step.worker_id:
            found = worker.incarnation == step.incarnation
        else:
            serving += 1
    if not found:
        return f"{step.worker_id} is not what the plan was made for"
    if serving < minimum:
        return f"{step.service} would keep {serving} of {minimum} workers for {step.from_stage}"
    return ""


def cordoned_count(record: PlanRecord, service: str) -> int:
    """Return the number of workers of a service that a plan has cordoned."""
    return sum(
        1
        for step, progress in zip(record.plan.steps, record.progress.steps, strict=True)
        if step.service == service and progress.phase in OPEN_PHASES
    )
