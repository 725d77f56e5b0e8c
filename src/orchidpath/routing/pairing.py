"""Ranks the candidate workers of one decision: which prefill and decode workers to try first.

A ranking is made from one snapshot of the fleet. A worker is eligible if it belongs to the service
and stage, is READY, is not cordoned and serves the model. Circuits are not considered here: they
are checked when the decision is made, on their current state. Each ranking holds a bounded number
of candidates, the best first. Workers that this request has already tried come last, so that each
worker is tried once before any is tried again (paper, "Circuit breakers and bounded retries").

Load bound: a worker is over the bound if one more request would put it above
``load_bound_factor`` times the mean load (consistent hashing with bounded loads). The bound is at
least ``load_bound_minimum`` + 1 requests, and never below ``MINIMUM_LOAD_BOUND``. Workers over the
bound come after the others, so a popular prefix overflows to the next workers on the ring.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from itertools import zip_longest

import msgspec

from orchidpath.routing.kv_transfer_evidence import PairAvoidance
from orchidpath.routing.ring import HashRing, prefix_key, request_key
from orchidpath.wire.messages import StageCandidates
from orchidpath.wire.records import FleetView, Stage, WorkerRecord, WorkerStatus

CANDIDATE_LIMIT = 8
"""Maximum number of candidates in one stage of a decision."""

CONSIDERED_WORKERS = 4 * CANDIDATE_LIMIT
"""Workers that are ranked for one stage; bounds the work of a decision in a large fleet."""

SAMPLED_WORKERS = 2
"""Plain workers sampled in the router's zone, and again in all zones, to compare their loads."""

OTHER_ZONE_LOAD_PENALTY = 2.0
"""Requests in flight that are added to the load of a plain worker in another zone."""

MINIMUM_LOAD_BOUND = 2
"""A worker with fewer requests in flight is never over the load bound, even in an idle fleet."""

CACHED_RINGS = 256
"""Maximum number of cached rings; the least recently used one is evicted first."""


class ModelQuery(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a chat completion that needs a prefill and a decode worker.

    ``key`` is the prompt's :func:`~orchidpath.routing.ring.prefix_key`. If ``prefill_worker_id`` is
    set, that worker has already prefilled the prompt and only a decode worker is needed.
    """

    service: str
    model: str
    request_id: str
    key: int
    tried_prefill: tuple[str, ...] = ()
    tried_decode: tuple[str, ...] = ()
    prefill_worker_id: str = ""


class PlainQuery(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a plain request that needs a worker."""

    service: str
    request_id: str
    tried: tuple[str, ...] = ()


class RingCache:
    """A bounded cache of hash rings, keyed by service, stage and worker ids.

    A new view of the fleet reuses the ring of each service and stage whose workers are unchanged.

    Parameters
    ----------
    capacity : int
        Maximum number of cached rings.
    """

    def __init__(self, capacity: int = CACHED_RINGS):
        self._capacity = capacity
        self._rings: OrderedDict[tuple[str, Stage, tuple[str, ...]], HashRing] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rings)

    def ring(self, service: str, stage: Stage, worker_ids: tuple[str, ...]) -> HashRing:
        """Return the ring of some workers; build it if it is not cached.

        Parameters
        ----------
        service : str
            Name of the service.
        stage : Stage
            Stage of the workers.
        worker_ids : tuple[str, ...]
            Ids of the workers, sorted.

        Returns
        -------
        HashRing
            The ring of exactly these workers.
        """
        cache_key = (service, stage, worker_ids)
        ring = self._rings.get(cache_key)
        if ring is None:
            ring = HashRing.build(worker_ids)
            self._rings[cache_key] = ring
            if len(self._rings) > self._capacity:
                self._rings.popitem(last=False)
        else:
            self._rings.move_to_end(cache_key)
        return ring


class _WorkerPool(msgspec.Struct, frozen=True):
    """The eligible workers of one service, stage and model: a ring of all, and one of each zone."""

    ring: HashRing
    zone_rings: dict[str, HashRing]
    worker_ids: tuple[str, ...]


class PairSelector:
    """Ranks the candidate workers of one router's decisions.

    Parameters
    ----------
    avoidance : PairAvoidance
        Pairs whose link failed recently; their decode workers are ranked last.
    candidate_limit : int
        Maximum number of candidates of one stage.
    zone : str
        Zone of the router; empty if it is unknown.
    """

    def __init__(
        self, avoidance: PairAvoidance, candidate_limit: int = CANDIDATE_LIMIT, zone: str = ""
    ):
        self._avoidance = avoidance
        self._candidate_limit = candidate_limit
        self._own_zone = zone
        self._rings = RingCache()
        self._pools: dict[tuple[str, Stage, str], _WorkerPool] = {}
        self._workers: dict[tuple[str, Stage], list[WorkerRecord]] = {}
        self._zones: dict[str, str] = {}
        self._load_bound_factor = 1.0
        self._load_bound_minimum = float(MINIMUM_LOAD_BOUND)

    def update_view(self, view: FleetView) -> None:
        """Rank by another snapshot of the fleet from now on.

        Parameters
        ----------
        view : FleetView
            The snapshot that the router has adopted.
        """
        self._pools = {}
        self._workers = {}
        self._zones = {worker.worker_id: worker.zone for worker in view.workers}
        admission = view.configuration.admission
        self._load_bound_factor = admission.load_bound_factor
        self._load_bound_minimum = max(MINIMUM_LOAD_BOUND, admission.load_bound_minimum + 1)
        for worker in view.workers:
            if worker.status is WorkerStatus.READY and not worker.cordoned:
                self._workers.setdefault((worker.service, worker.stage), []).append(worker)

    def model_candidates(
        self, query: ModelQuery, in_flight: Mapping[str, int], now: float
    ) -> tuple[StageCandidates, ...]:
        """Return the ranked candidates of each stage of a chat completion.

        Parameters
        ----------
        query : ModelQuery
            The attempt to find workers for.
        in_flight : Mapping[str, int]
            Requests in flight by worker id; a worker that is missing counts as zero.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple[StageCandidates, ...]
            Prefill and decode, or only decode if the prompt was already prefilled. A stage without
            candidates has no eligible worker.
        """
        if query.prefill_worker_id:
            return (self.decode_candidates(query, query.prefill_worker_id, in_flight, now),)
        prefill = self.prefill_candidates(query, in_flight)
        first_prefill = prefill.candidates[0] if prefill.candidates else ""
        return (prefill, self.decode_candidates(query, first_prefill, in_flight, now))

    def prefill_candidates(
        self, query: ModelQuery, in_flight: Mapping[str, int]
    ) -> StageCandidates:
        """Rank the prefill workers in ring order from the prompt's key, within the load bound.

        Parameters
        ----------
        query : ModelQuery
            The attempt to find a worker for.
        in_flight : Mapping[str, int]
            Requests in flight by worker id; a worker that is missing counts as zero.

        Returns
        -------
        StageCandidates
            The worker whose prefix cache most likely holds the prefix comes first.
        """
        pool = self._pool(query.service, Stage.PREFILL, query.model)
        bound = self._load_bound(pool, in_flight)
        considered = pool.ring.preference(query.key, CONSIDERED_WORKERS)
        ordered = sorted(
            considered,
            key=lambda worker_id: (
                worker_id in query.tried_prefill,
                in_flight.get(worker_id, 0) + 1 > bound,
            ),
        )
        return self._stage_candidates(Stage.PREFILL, ordered, query.tried_prefill)

    def decode_candidates(
        self, query: ModelQuery, prefill_worker_id: str, in_flight: Mapping[str, int], now: float
    ) -> StageCandidates:
        """Rank the decode workers by the cost of the link from a prefill worker, then by load.

        Workers that were already tried come last. Before them come the decode workers of avoided
        pairs, then workers over the load bound, then workers in another zone than the prefill
        worker, or than this router if no other worker prefills the prompt. Workers that are equal
        in all of this are ranked by load, and then in ring order, which makes the ranking stable.
        The load bound takes precedence over the zone: otherwise the only decode worker of a zone
        would be overloaded.

        Parameters
        ----------
        query : ModelQuery
            The attempt to find a worker for.
        prefill_worker_id : str
            The prefill worker that was chosen, or is likely to be; empty if there is none.
        in_flight : Mapping[str, int]
            Requests in flight by worker id; a worker that is missing counts as zero.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        StageCandidates
            The decode worker with the lowest cost comes first.
        """
        pool = self._pool(query.service, Stage.DECODE, query.model)
        bound = self._load_bound(pool, in_flight)
        zone = self._zones.get(prefill_worker_id, self._own_zone)
        considered = self._considered_for_decode(pool, zone, request_key(query.request_id))

        def cost(worker_id: str) -> tuple[bool, bool, bool, bool, int]:
            load = in_flight.get(worker_id, 0)
            return (
                worker_id in query.tried_decode,
                self._avoidance.is_avoided(prefill_worker_id, worker_id, now),
                load + 1 > bound,
                self._zones.get(worker_id, "") != zone,
                load,
            )

        ordered = sorted(considered, key=cost)
        if not query.prefill_worker_id:
            # The decision may choose another prefill worker, and then needs a decode worker in that
            # worker's zone.
            unpenalized = [worker_id for worker_id in ordered if not any(cost(worker_id)[:3])]
            ordered = [*self._spread_over_zones(unpenalized), *ordered[len(unpenalized) :]]
        return self._stage_candidates(Stage.DECODE, ordered, query.tried_decode)

    def _spread_over_zones(self, ordered: Sequence[str]) -> list[str]:
        """Move workers of other zones up, so that the candidates cover more zones.

        The first ``candidate_limit // 2`` workers keep their order. Workers of the other zones
        follow, one of each zone in turn; the rest of the first worker's zone comes last.
        """
        retained = self._candidate_limit // 2
        by_zone: dict[str, list[str]] = {}
        for worker_id in ordered[retained:]:
            by_zone.setdefault(self._zones.get(worker_id, ""), []).append(worker_id)
        first_zone = by_zone.pop(self._zones.get(ordered[0], ""), []) if ordered else []
        interleaved = [worker_id for turn in zip_longest(*by_zone.values()) for worker_id in turn]
        return [
            *ordered[:retained],
            *(worker_id for worker_id in interleaved if worker_id is not None),
            *first_zone,
        ]

    def plain_candidates(self, query: PlainQuery, in_flight: Mapping[str, int]) -> StageCandidates:
        """Rank the workers of a plain service: a few sampled ones by load, then the others.

        ``SAMPLED_WORKERS`` are sampled in the router's own zone and as many in all zones. A worker
        of another zone ranks before one of the own zone only if it has fewer requests in flight by
        more than ``OTHER_ZONE_LOAD_PENALTY``: a worker of the own zone has a lower latency, more
        often has an open connection, and causes no traffic between zones.

        Parameters
        ----------
        query : PlainQuery
            The attempt to find a worker for.
        in_flight : Mapping[str, int]
            Requests in flight by worker id; a worker that is missing counts as zero.

        Returns
        -------
        StageCandidates
            The sampled workers by load, then the others in ring order from the request id's key;
            workers that were already tried come last.
        """
        pool = self._pool(query.service, Stage.PLAIN, "")
        key = request_key(query.request_id)
        all_zones = pool.ring.preference(key, CONSIDERED_WORKERS)
        untried = [worker_id for worker_id in all_zones if worker_id not in query.tried]
        same_zone_ring = pool.zone_rings.get(self._own_zone)
        same_zone = (
            same_zone_ring.preference(key, CONSIDERED_WORKERS) if same_zone_ring is not None else ()
        )
        same_zone_untried = [worker_id for worker_id in same_zone if worker_id not in query.tried]
        sampled = dict.fromkeys((*same_zone_untried[:SAMPLED_WORKERS], *untried[:SAMPLED_WORKERS]))

        def cost(worker_id: str) -> float:
            is_other_zone = (
                bool(same_zone_untried) and self._zones.get(worker_id, "") != self._own_zone
            )
            return in_flight.get(worker_id, 0) + (OTHER_ZONE_LOAD_PENALTY if is_other_zone else 0.0)

        first = sorted(sampled, key=cost)
        ordered = dict.fromkeys((*first, *untried, *all_zones))
        return self._stage_candidates(Stage.PLAIN, ordered, query.tried)

    def eligible(self, service: str, stage: Stage, model: str = "") -> tuple[str, ...]:
        """Return the eligible workers of a service and stage, sorted.

        Parameters
        ----------
        service : str
            Name of the service.
        stage : Stage
            Stage of the workers.
        model : str
            Model that the workers must serve; ignored for plain workers.

        Returns
        -------
        tuple[str, ...]
            Ids of the workers.
        """
        return self._pool(service, stage, model).worker_ids

    def _stage_candidates(
        self, stage: Stage, ordered: Iterable[str], tried: tuple[str, ...]
    ) -> StageCandidates:
        candidates = tuple(ordered)[: self._candidate_limit]
        return StageCandidates(stage=stage, candidates=candidates, tried=tried)

    def _pool(self, service: str, stage: Stage, model: str) -> _WorkerPool:
        pool_key = (service, stage, "" if stage is Stage.PLAIN else model)
        pool = self._pools.get(pool_key)
        if pool is None:
            pool = self._build_pool(*pool_key)
            if pool.worker_ids:
                # Callers choose the model names: caching unknown models would let memory grow.
                self._pools[pool_key] = pool
        return pool

    def _build_pool(self, service: str, stage: Stage, model: str) -> _WorkerPool:
        workers = [
            worker
            for worker in self._workers.get((service, stage), [])
            if stage is Stage.PLAIN or model in worker.models
        ]
        by_zone: dict[str, list[str]] = {}
        for worker in workers:
            by_zone.setdefault(worker.zone, []).append(worker.worker_id)
        worker_ids = tuple(sorted(worker.worker_id for worker in workers))
        zone_rings = {
            zone: self._rings.ring(service, stage, tuple(sorted(zone_ids)))
            for zone, zone_ids in by_zone.items()
        }
        ring = self._rings.ring(service, stage, worker_ids)
        return _WorkerPool(ring, zone_rings, worker_ids)

    def _load_bound(self, pool: _WorkerPool, in_flight: Mapping[str, int]) -> float:
        if not pool.worker_ids:
            return math.inf
        total = sum(in_flight.get(worker_id, 0) for worker_id in pool.worker_ids)
        mean = (total + 1) / len(pool.worker_ids)
        return max(math.ceil(self._load_bound_factor * mean), self._load_bound_minimum)

    @staticmethod
    def _considered_for_decode(pool: _WorkerPool, zone: str, key: int) -> list[str]:
        """Return workers of one zone and then of all zones; each group gets a part of the limit."""
        half = CONSIDERED_WORKERS // 2
        same_zone_ring = pool.zone_rings.get(zone)
        same_zone = same_zone_ring.preference(key, half) if same_zone_ring is not None else ()
        all_zones = pool.ring.preference(key, CONSIDERED_WORKERS)
        return list(dict.fromkeys((*same_zone, *all_zones)))[:CONSIDERED_WORKERS]


def model_query(service: str, model: str, request_id: str, prompt: str) -> ModelQuery:
    """Return the query of a request's first attempt.

    Parameters
    ----------
    service : str
        Name of the service.
    model : str
        Model of the request.
    request_id : str
        Identifier of the request.
    prompt : str
        The complete prompt.

    Returns
    -------
    ModelQuery
        A query without tried workers.
    """
    return ModelQuery(
        service=service, model=model, request_id=request_id, key=prefix_key(model, prompt)
    )
