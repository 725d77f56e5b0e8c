"""From the agreed workers and the desired counts to the plan that reaches them; pure.

The plan moves the fewest workers, keeps zones and failure domains even in both stages and, among
equals, moves the smallest share of the prefill ring (docs/design/plans.md, "Whom to move"). It
depends on agreed state only, so every control process computes the same plan under the same id.
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
"""Added to the longest deadline of a service's routes for the wait until a worker is idle."""

PLAN_ID_CHARACTERS = 16
"""Characters of a plan's digest that make its id: 64 bits."""


class RefusalReason(StrEnum):
    """Why a service is not part of a plan."""

    ALREADY_AS_DESIRED = "already_as_desired"
    NOT_ENOUGH_WORKERS = "not_enough_workers"
    STAGE_WOULD_BE_EMPTY = "stage_would_be_empty"


class PlanRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """A service with desired counts that no step is planned for, and why."""

    service: str
    reason: RefusalReason
    message: str


class StepPreview(msgspec.Struct, frozen=True, kw_only=True):
    """One worker's change; ``ring_share`` is its share of the prefill ring before or after."""

    step: PlanStep
    zone: str
    failure_domain: str
    ring_share: float


class ServicePreview(msgspec.Struct, frozen=True, kw_only=True):
    """What a plan means for one service.

    ``moved_ring_share`` is the share of the prefill ring's keys that get another owner, and so
    lose their prefix cache. Times are bounds under one leader; each fail-over may add the bound of
    one step.
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
    """What would move now, in this order; nothing without steps.

    ``not_counted`` are workers of the services that are draining or cordoned.
    """

    plan: Plan
    steps: tuple[StepPreview, ...] = ()
    services: tuple[ServicePreview, ...] = ()
    refusals: tuple[PlanRefusal, ...] = ()
    not_counted: tuple[str, ...] = ()


class _ServiceMoves(msgspec.Struct, frozen=True):
    """The workers of one service that change, and the service before.

    ``shares`` are those of the ring of all prefill workers before or after.
    """

    service: Service
    prefill: tuple[WorkerRecord, ...]
    decode: tuple[WorkerRecord, ...]
    moved: tuple[WorkerRecord, ...]
    shares: dict[str, float]

    def count_after(self, stage: Stage) -> int:
        """Return how many workers a stage has once the moves are done."""
        before = len(self.prefill if stage is Stage.PREFILL else self.decode)
        return before + sum(1 if worker.stage is not stage else -1 for worker in self.moved)


def make_preview(view: FleetView) -> PlanPreview:
    """Return the plan from the agreed state to the desired counts, and what it means.

    Parameters
    ----------
    view
        The agreed state: configuration and workers.
    """
    by_service = _by_service(view.workers)
    refusals: list[PlanRefusal] = []
    moves: list[_ServiceMoves] = []
    not_counted: list[str] = []
    for service in view.configuration.services:
        if service.kind is not ServiceKind.MODEL or not _has_desired_state(service):
            continue
        workers = by_service.get(service.name, [])
        not_counted += [one.worker_id for one in workers if not is_serving(one)]
        planned = _plan_service(service, [one for one in workers if is_serving(one)])
        if isinstance(planned, PlanRefusal):
            refusals.append(planned)
        else:
            moves.append(planned)
    return PlanPreview(
        plan=_make_plan(view, moves),
        steps=tuple(step for one in moves for step in _step_previews(one)),
        services=tuple(_service_preview(one, view.configuration) for one in moves),
        refusals=tuple(refusals),
        not_counted=tuple(not_counted),
    )


def ring_shares(worker_ids: Sequence[str]) -> dict[str, float]:
    """Return each worker's share of the key space on a ring of these workers.

    Only the keys of the workers that leave or join get another owner, so any number of them
    moves the sum of their shares on the larger ring.
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
    """Choose the workers of one service that change, or say why none does.

    The desired counts are minimums; workers beyond both stay where they are. So at most one stage
    lacks workers, and each move is needed.
    """
    prefill = tuple(one for one in workers if one.stage is Stage.PREFILL)
    decode = tuple(one for one in workers if one.stage is Stage.DECODE)
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
        shares = ring_shares([one.worker_id for one in (*prefill, *moved)])
    elif lacking_decode > 0:
        shares = ring_shares([one.worker_id for one in prefill])
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
    """Choose the workers that leave a stage, one after another.

    Each time the zone, then the failure domain, where the source stage is furthest ahead of the
    target stage: that keeps the sum of the squared counts of both stages smallest. Then the worker
    with the smallest share of the ring, and so of the prefix caches; then by id.
    """
    zones = _Surplus(source, target, by_zone=True)
    domains = _Surplus(source, target, by_zone=False)
    left = sorted(source, key=lambda one: (shares.get(one.worker_id, 0.0), one.worker_id))
    chosen: list[WorkerRecord] = []
    for _ in range(count):
        # max() keeps the first of equals, which is the one with the smallest share.
        worker = max(left, key=lambda one: (zones.of(one), domains.of(one)))
        left.remove(worker)
        zones.move(worker)
        domains.move(worker)
        chosen.append(worker)
    return tuple(chosen)


class _Surplus:
    """By how many workers one stage is ahead of the other, by zone or by failure domain."""

    def __init__(
        self, source: Sequence[WorkerRecord], target: Sequence[WorkerRecord], by_zone: bool
    ) -> None:
        self._by_zone = by_zone
        self._counts = Counter(self._location(one) for one in source)
        self._counts.subtract(self._location(one) for one in target)

    def of(self, worker: WorkerRecord) -> int:
        """Return the surplus where a worker is."""
        return self._counts[self._location(worker)]

    def move(self, worker: WorkerRecord) -> None:
        """Record that a worker changes its stage."""
        self._counts[self._location(worker)] -= 2

    def _location(self, worker: WorkerRecord) -> str:
        return worker.zone if self._by_zone else worker.failure_domain


def _make_plan(view: FleetView, moves: Sequence[_ServiceMoves]) -> Plan:
    steps = tuple(_step(worker) for one in moves for worker in one.moved)
    bounds = tuple(_bounds(one.service, view.configuration) for one in moves)
    services = [one.service.name for one in moves]
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
        to_stage=_other(worker.stage),
    )


def _other(stage: Stage) -> Stage:
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
    """Return each step with the share of the ring that its worker has as a prefill worker."""
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
