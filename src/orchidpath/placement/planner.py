"""Computes the plan that brings the workers of a service to the desired counts per stage.

The plan moves as few workers as possible, keeps both stages balanced across zones and failure
domains and, among equivalent choices, moves the smallest share of the prefill ring
(docs/design/plans.md, "Whom to move"). It depends only on replicated state, so every control
process computes the same plan with the same id. The module does no input or output.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum

import msgspec

from orchidpath.placement.execution import step_bound_seconds
from orchidpath.routing.ring import RING_SIZE, HashRing
from orchidpath.state.plans import Plan, PlanStep, ServiceBounds, basis_digest, is_serving
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.records import FleetView, Stage, WorkerRecord

DRAIN_MARGIN_SECONDS = 10.0
"""Added to the longest deadline of a service's routes to bound the time to drain a worker."""

PLAN_ID_CHARACTERS = 16
"""Length of a plan id: the first hexadecimal characters of the plan's digest, 64 bits."""


class RefusalReason(StrEnum):
    """Why a service is not part of a plan."""

    ALREADY_AS_DESIRED = "already_as_desired"
    NOT_ENOUGH_WORKERS = "not_enough_workers"
    STAGE_WOULD_BE_EMPTY = "stage_would_be_empty"


class PlanRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """A service with desired counts for which no step is planned, and the reason."""

    service: str
    reason: RefusalReason
    message: str


class StepPreview(msgspec.Struct, frozen=True, kw_only=True):
    """The stage change of one worker.

    ``ring_share`` is the share of the prefill ring that the worker owns while it is a prefill
    worker, that is, before or after the change.
    """

    step: PlanStep
    zone: str
    failure_domain: str
    ring_share: float


class ServicePreview(msgspec.Struct, frozen=True, kw_only=True):
    """Effect of a plan on one service.

    ``moved_ring_share`` is the share of the prefill ring's keys that get another owner and
    therefore lose their cached prefixes. Times are upper bounds without a change of leader; each
    fail-over can add the bound of one step.
    """

    service: str
    prefill_before: int
    prefill_after: int
    decode_before: int
    decode_after: int
    cordoned_at_once: int = msgspec.field(name="held_at_once")
    max_cordoned_seconds: float = msgspec.field(name="held_seconds_at_most")
    plan_seconds_at_most: float
    moved_ring_share: float


class PlanPreview(msgspec.Struct, frozen=True, kw_only=True):
    """The steps that a plan would execute now, in this order; empty if none are needed.

    ``not_counted`` are the workers of services with desired counts that are not serving, that is,
    that are draining or cordoned.
    """

    plan: Plan
    steps: tuple[StepPreview, ...] = ()
    services: tuple[ServicePreview, ...] = ()
    refusals: tuple[PlanRefusal, ...] = ()
    not_counted: tuple[str, ...] = ()


class _ServiceMoves(msgspec.Struct, frozen=True):
    """The workers of one service that change their stage, and both stages before the change.

    ``shares`` are the ring shares of the prefill workers, on the ring before or after the change,
    whichever is the larger.
    """

    service: Service
    prefill: tuple[WorkerRecord, ...]
    decode: tuple[WorkerRecord, ...]
    moved: tuple[WorkerRecord, ...]
    shares: dict[str, float]

    def count_after(self, stage: Stage) -> int:
        """Return the number of workers of a stage after all moves."""
        before = len(self.prefill if stage is Stage.PREFILL else self.decode)
        return before + sum(1 if worker.stage is not stage else -1 for worker in self.moved)


def make_preview(view: FleetView) -> PlanPreview:
    """Return the plan from the replicated state to the desired counts, and its effects.

    Parameters
    ----------
    view
        The replicated state: configuration and workers.
    """
    by_service = _by_service(view.workers)
    refusals: list[PlanRefusal] = []
    moves: list[_ServiceMoves] = []
    not_counted: list[str] = []
    for service in view.configuration.services:
        if service.kind is not ServiceKind.MODEL or not _has_desired_state(service):
            continue
        workers = by_service.get(service.name, [])
        not_counted += [worker.worker_id for worker in workers if not is_serving(worker)]
        planned = _plan_service(service, [worker for worker in workers if is_serving(worker)])
        if isinstance(planned, PlanRefusal):
            refusals.append(planned)
        else:
            moves.append(planned)
    return PlanPreview(
        plan=_make_plan(view, moves),
        steps=tuple(step for service_moves in moves for step in _step_previews(service_moves)),
        services=tuple(
            _service_preview(service_moves, view.configuration) for service_moves in moves
        ),
        refusals=tuple(refusals),
        not_counted=tuple(not_counted),
    )


def ring_shares(worker_ids: Sequence[str]) -> dict[str, float]:
    """Return each worker's share of the key space on a ring of these workers.

    When workers leave or join, only the keys of these workers get another owner. The share of keys
    that move is therefore the sum of these workers' shares on the larger ring.
    """
    ring = HashRing.build(worker_ids)
    lengths = dict.fromkeys(worker_ids, 0)
    boundaries = ring.boundaries()
    if not boundaries:
        return {}
    previous = boundaries[-1] - RING_SIZE
    for boundary in boundaries:
        owner = ring.owner(boundary)
        assert owner is not None
        lengths[owner] += boundary - previous
        previous = boundary
    return {worker_id: length / RING_SIZE for worker_id, length in lengths.items()}


def _has_desired_state(service: Service) -> bool:
    return service.prefill_workers > 0 or service.decode_workers > 0


def _by_service(workers: Iterable[WorkerRecord]) -> dict[str, list[WorkerRecord]]:
    found: dict[str, list[WorkerRecord]] = {}
    for worker in workers:
        found.setdefault(worker.service, []).append(worker)
    return found


def _plan_service(service: Service, workers: list[WorkerRecord]) -> _ServiceMoves | PlanRefusal:
    """Choose the workers of one service that change their stage, or return why none does.

    The desired counts are minimums, and workers beyond both counts do not move. So at most one
    stage lacks workers, and every move is needed.
    """
    prefill = tuple(worker for worker in workers if worker.stage is Stage.PREFILL)
    decode = tuple(worker for worker in workers if worker.stage is Stage.DECODE)
    desired = service.prefill_workers + service.decode_workers
    if service.prefill_workers < 1 or service.decode_workers < 1:
        message = "each stage needs a worker to serve"
        return _refusal(service, RefusalReason.STAGE_WOULD_BE_EMPTY, message)
    if len(prefill) + len(decode) < desired:
        message = f"{len(prefill) + len(decode)} workers serve, {desired} are wanted"
        return _refusal(service, RefusalReason.NOT_ENOUGH_WORKERS, message)
    lacking_prefill = service.prefill_workers - len(prefill)
    lacking_decode = service.decode_workers - len(decode)
    if lacking_prefill > 0:
        moved = _choose(decode, prefill, lacking_prefill, {})
        shares = ring_shares([worker.worker_id for worker in (*prefill, *moved)])
    elif lacking_decode > 0:
        shares = ring_shares([worker.worker_id for worker in prefill])
        moved = _choose(prefill, decode, lacking_decode, shares)
    else:
        message = f"{len(prefill)} workers prefill and {len(decode)} decode"
        return _refusal(service, RefusalReason.ALREADY_AS_DESIRED, message)
    return _ServiceMoves(service, prefill, decode, moved, shares)


def _refusal(service: Service, reason: RefusalReason, message: str) -> PlanRefusal:
    return PlanRefusal(service=service.name, reason=reason, message=message)


def _choose(
    source: Sequence[WorkerRecord],
    target: Sequence[WorkerRecord],
    count: int,
    shares: dict[str, float],
) -> tuple[WorkerRecord, ...]:
    """Choose the workers that change from the source stage to the target stage, one by one.

    Each choice takes a worker from the zone, then from the failure domain, with the largest surplus
    of source workers over target workers. This minimizes the sum of the squared counts of both
    stages. Ties are broken by the smallest ring share, and so the smallest loss of cached prefixes,
    then by worker id.
    """
    zones = _Surplus(source, target, by_zone=True)
    domains = _Surplus(source, target, by_zone=False)
    remaining = sorted(
        source, key=lambda worker: (shares.get(worker.worker_id, 0.0), worker.worker_id)
    )
    chosen: list[WorkerRecord] = []
    for _ in range(count):
        # max() returns the first of equal workers, which has the smallest ring share.
        worker = max(remaining, key=lambda worker: (zones.of(worker), domains.of(worker)))
        remaining.remove(worker)
        zones.move(worker)
        domains.move(worker)
        chosen.append(worker)
    return tuple(chosen)


class _Surplus:
    """Surplus of source workers over target workers in each zone or each failure domain."""

    def __init__(
        self, source: Sequence[WorkerRecord], target: Sequence[WorkerRecord], by_zone: bool
    ) -> None:
        self._by_zone = by_zone
        self._counts = Counter(self._location(worker) for worker in source)
        self._counts.subtract(self._location(worker) for worker in target)

    def of(self, worker: WorkerRecord) -> int:
        """Return the surplus in the zone or failure domain of a worker."""
        return self._counts[self._location(worker)]

    def move(self, worker: WorkerRecord) -> None:
        """Record that a worker changes from the source stage to the target stage."""
        self._counts[self._location(worker)] -= 2

    def _location(self, worker: WorkerRecord) -> str:
        return worker.zone if self._by_zone else worker.failure_domain


def _make_plan(view: FleetView, moves: Sequence[_ServiceMoves]) -> Plan:
    steps = tuple(_step(worker) for service_moves in moves for worker in service_moves.moved)
    bounds = tuple(_bounds(service_moves.service, view.configuration) for service_moves in moves)
    services = [service_moves.service.name for service_moves in moves]
    basis = basis_digest(view.configuration_version, view.workers, services)
    content = msgspec.msgpack.encode((basis, steps, bounds))
    return Plan(
        plan_id=hashlib.sha256(content).hexdigest()[:PLAN_ID_CHARACTERS],
        configuration_version=view.configuration_version,
        revision=view.revision,
        basis=basis,
        steps=steps,
        bounds=bounds,
    )


def _step(worker: WorkerRecord) -> PlanStep:
    return PlanStep(
        worker_id=worker.worker_id,
        incarnation=worker.incarnation,
        service=worker.service,
        from_stage=worker.stage,
        to_stage=_opposite(worker.stage),
    )


def _opposite(stage: Stage) -> Stage:
    return Stage.DECODE if stage is Stage.PREFILL else Stage.PREFILL


def _bounds(service: Service, configuration: Configuration) -> ServiceBounds:
    deadlines = [
        route.deadline_seconds for route in configuration.routes if route.service == service.name
    ]
    return ServiceBounds(
        service=service.name,
        max_cordoned=service.max_held_workers,
        minimum_prefill=service.prefill_workers,
        minimum_decode=service.decode_workers,
        drain_seconds=max(deadlines, default=0.0) + DRAIN_MARGIN_SECONDS,
    )


def _step_previews(moves: _ServiceMoves) -> list[StepPreview]:
    """Return each step with the ring share that its worker owns as a prefill worker."""
    return [
        StepPreview(
            step=_step(worker),
            zone=worker.zone,
            failure_domain=worker.failure_domain,
            ring_share=moves.shares[worker.worker_id],
        )
        for worker in moves.moved
    ]


def _service_preview(moves: _ServiceMoves, configuration: Configuration) -> ServicePreview:
    bounds = _bounds(moves.service, configuration)
    seconds = step_bound_seconds(bounds.drain_seconds)
    rounds = -(-len(moves.moved) // bounds.max_cordoned)
    return ServicePreview(
        service=moves.service.name,
        prefill_before=len(moves.prefill),
        prefill_after=moves.count_after(Stage.PREFILL),
        decode_before=len(moves.decode),
        decode_after=moves.count_after(Stage.DECODE),
        cordoned_at_once=min(bounds.max_cordoned, len(moves.moved)),
        max_cordoned_seconds=seconds,
        plan_seconds_at_most=rounds * seconds,
        moved_ring_share=sum(moves.shares[worker.worker_id] for worker in moves.moved),
    )
