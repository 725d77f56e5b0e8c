"""Preference orders of workers for one decision: which prefill and decode pair to try first.

Works on one snapshot of the fleet. A worker is eligible when it belongs to the service and stage,
is READY, is not held by a plan and serves the model; circuits are judged later, by whoever reads
them fresh. Each order names a bounded number of candidates, the best first, and puts workers that
this request has already tried last, so that each is tried once before reuse (paper, "Circuit
breakers and bounded retries").

Load bound: a worker is over the bound when one more request would put it above
``load_bound_factor`` times the mean load (consistent hashing with bounded loads). Workers over the
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
"""Candidates that go into one stage of a decision."""

CONSIDERED_WORKERS = 4 * CANDIDATE_LIMIT
"""Workers looked at for one stage; bounds the work of a decision in a large fleet."""

DRAWN_WORKERS = 2
"""Workers of a plain service that are compared by their load, of each of near and anywhere."""

FAR_LOAD_MARGIN = 2.0
"""Requests in flight by which a plain worker of another zone must be lighter to go first."""

MINIMUM_LOAD_BOUND = 2
"""A worker with fewer requests in flight is never over the load bound, however idle the rest."""

CACHED_RINGS = 256
"""Rings kept; the one used longest ago is dropped first."""


class ModelQuery(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a chat completion that needs a pair of workers.

    ``key`` is the prompt's :func:`~orchidpath.routing.ring.prefix_key`. With
    ``prefill_worker_id`` set the prompt was already prefilled there and only a decode worker is
    wanted.
    """

    service: str
    model: str
    request_id: str
    key: int
    tried_prefill: tuple[str, ...] = ()
    tried_decode: tuple[str, ...] = ()
    prefill_worker_id: str = ""


class PlainQuery(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a plain call that needs a worker."""

    service: str
    request_id: str
    tried: tuple[str, ...] = ()


class RingCache:
    """Rings by service, stage and workers, so that a new view costs nothing where it is the same.

    Parameters
    ----------
    capacity : int
        Rings kept.
    """

    def __init__(self, capacity: int = CACHED_RINGS):
        self._capacity = capacity
        self._rings: OrderedDict[tuple[str, Stage, tuple[str, ...]], HashRing] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rings)

    def ring(self, service: str, stage: Stage, worker_ids: tuple[str, ...]) -> HashRing:
        """Return the ring of some workers, built when it is not known.

        Parameters
        ----------
        service : str
            Name of the service.
        stage : Stage
            Stage of the workers.
        worker_ids : tuple[str, ...]
            The workers, sorted.

        Returns
        -------
        HashRing
            Their ring.
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
    """The eligible workers of one service, stage and model, on their rings."""

    ring: HashRing
    zone_rings: dict[str, HashRing]
    worker_ids: tuple[str, ...]


class PairSelector:
    """Gives the preference orders of one router's decisions.

    Parameters
    ----------
    avoidance : PairAvoidance
        Pairs with a failed link; put last.
    candidate_limit : int
        Candidates of one stage.
    zone : str
        Zone of the router; empty when it is not known.
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
        """Decide from another snapshot of the fleet from now on.

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
        """Return the stages of a decision about a chat completion.

        Parameters
        ----------
        query : ModelQuery
            What is asked for.
        in_flight : Mapping[str, int]
            Requests in flight on each worker as far as known; zero where unknown.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple[StageCandidates, ...]
            Prefill and decode, or decode alone when the prompt was already prefilled. A stage
            without candidates means that no worker is eligible.
        """
        if query.prefill_worker_id:
            return (self.decode_candidates(query, query.prefill_worker_id, in_flight, now),)
        prefill = self.prefill_candidates(query, in_flight)
        first_prefill = prefill.candidates[0] if prefill.candidates else ""
        return (prefill, self.decode_candidates(query, first_prefill, in_flight, now))

    def prefill_candidates(
        self, query: ModelQuery, in_flight: Mapping[str, int]
    ) -> StageCandidates:
        """Order prefill workers by the ring, from the prompt's key on, within the load bound.

        Parameters
        ----------
        query : ModelQuery
            What is asked for.
        in_flight : Mapping[str, int]
            Requests in flight on each worker as far as known.

        Returns
        -------
        StageCandidates
            The worker that should hold the prefix first.
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
        """Order decode workers by the cost of the link from a prefill worker, then by load.

        Avoided pairs come last, then workers over the load bound, then those in another zone than
        the prefill worker, or than this router when no other worker prefills the prompt; the load
        decides next and the ring makes the order stable. The load bound goes before the zone:
        otherwise a zone with one decode worker would drown it.

        Parameters
        ----------
        query : ModelQuery
            What is asked for.
        prefill_worker_id : str
            The prefill worker that was chosen or is likely to be; empty when there is none.
        in_flight : Mapping[str, int]
            Requests in flight on each worker as far as known.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        StageCandidates
            The cheapest decode worker first.
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
            # Whoever decides may choose another prefill worker, and wants a decode worker near it.
            free = [worker_id for worker_id in ordered if not any(cost(worker_id)[:3])]
            ordered = [*self._spread_over_zones(free), *ordered[len(free) :]]
        return self._stage_candidates(Stage.DECODE, ordered, query.tried_decode)

    def _spread_over_zones(self, ordered: Sequence[str]) -> list[str]:
        """Put the best of every other zone among the first candidates, after half of the best."""
        retained = self._candidate_limit // 2
        by_zone: dict[str, list[str]] = {}
        for worker_id in ordered[retained:]:
            by_zone.setdefault(self._zones.get(worker_id, ""), []).append(worker_id)
        nearest = by_zone.pop(self._zones.get(ordered[0], ""), []) if ordered else []
        by_turns = [one for group in zip_longest(*by_zone.values()) for one in group]
        return [*ordered[:retained], *(one for one in by_turns if one is not None), *nearest]

    def plain_candidates(self, query: PlainQuery, in_flight: Mapping[str, int]) -> StageCandidates:
        """Order the workers of a plain service: the least loaded of a few first, near ones before.

        Two are drawn anywhere and two in the router's own zone. One of another zone goes first only
        when it is lighter by ``FAR_LOAD_MARGIN``: a near one is reached sooner, over a connection
        that is more often open already, and its bytes cross no zone.

        Parameters
        ----------
        query : PlainQuery
            What is asked for.
        in_flight : Mapping[str, int]
            Requests in flight on each worker as far as known.

        Returns
        -------
        StageCandidates
            The chosen few by their load, then ring order by request id; tried ones come last.
        """
        pool = self._pool(query.service, Stage.PLAIN, "")
        key = request_key(query.request_id)
        anywhere = pool.ring.preference(key, CONSIDERED_WORKERS)
        untried = [worker_id for worker_id in anywhere if worker_id not in query.tried]
        near_ring = pool.zone_rings.get(self._own_zone)
        near = near_ring.preference(key, CONSIDERED_WORKERS) if near_ring is not None else ()
        near_untried = [worker_id for worker_id in near if worker_id not in query.tried]
        drawn = dict.fromkeys((*near_untried[:DRAWN_WORKERS], *untried[:DRAWN_WORKERS]))

        def cost(worker_id: str) -> float:
            is_far = bool(near_untried) and self._zones.get(worker_id, "") != self._own_zone
            return in_flight.get(worker_id, 0) + (FAR_LOAD_MARGIN if is_far else 0.0)

        first = sorted(drawn, key=cost)
        ordered = dict.fromkeys((*first, *untried, *anywhere))
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
            Model that they must serve; ignored for plain workers.

        Returns
        -------
        tuple[str, ...]
            Their names.
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
                # Models are named by callers: an unknown one must not stay in memory.
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
        """Take workers of the same zone and of all zones, so that neither crowds out the other."""
        half = CONSIDERED_WORKERS // 2
        near_ring = pool.zone_rings.get(zone)
        near = near_ring.preference(key, half) if near_ring is not None else ()
        anywhere = pool.ring.preference(key, CONSIDERED_WORKERS)
        return list(dict.fromkeys((*near, *anywhere)))[:CONSIDERED_WORKERS]


def model_query(service: str, model: str, request_id: str, prompt: str) -> ModelQuery:
    """Make the query of a request's first attempt.

    Parameters
    ----------
    service : str
        Name of the service.
    model : str
        Model of the request.
    request_id : str
        Identifier of the request.
    prompt : str
        The whole prompt.

    Returns
    -------
    ModelQuery
        A query with nothing tried yet.
    """
    return ModelQuery(
        service=service, model=model, request_id=request_id, key=prefix_key(model, prompt)
    )
