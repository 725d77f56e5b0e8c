"""Simulates the prefix cache hit rate of the hash ring with bounded load and of other policies.

Requests arrive as a Poisson process. Each request has one of many prompt prefixes, whose popularity
follows Zipf's law. Each prefill worker processes prompts one at a time and caches the most recently
used prefixes; a prompt with a cached prefix takes a fraction of the time. Every policy gets the
same arrivals and exact loads, as with a single router; with many routers, the loads would be
slightly stale.

Run ``python bench/ring_cache_hits.py`` for JSON on standard output.
"""

import argparse
import heapq
import itertools
import sys
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from enum import StrEnum
from random import Random

import msgspec

from orchidpath.routing.kv_transfer_evidence import PairAvoidance
from orchidpath.routing.pairing import ModelQuery, PairSelector
from orchidpath.routing.ring import HashRing, prefix_key
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.records import FleetView, Stage, WorkerRecord

MODEL = "model"
SERVICE = "service"
MISS_SECONDS = 1.0
"""Time to prefill a prompt whose prefix is not cached."""


class Choice(StrEnum):
    """Policies that choose the prefill worker of a request."""

    RING_BOUNDED_LOAD = "ring_bounded_load"
    RING_UNBOUNDED = "ring_unbounded"
    RANDOM = "random"
    LEAST_LOADED = "least_loaded"


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One workload; ``offered_load`` is the utilization if every prompt missed the cache."""

    workers: int
    requests_per_worker: int = 400
    prefixes_per_worker: int = 20
    cached_prefixes_per_worker: int = 30
    zipf_exponent: float = 1.0
    offered_load: float = 0.8
    hit_seconds: float = 0.15
    warm_up_share: float = 0.25
    seed: int = 1


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one policy on one workload.

    Times are measured from the arrival to the end of the prefill, in seconds.
    """

    choice: Choice
    workers: int
    requests_measured: int
    hit_share: float
    mean_seconds: float
    p50_seconds: float
    p99_seconds: float
    busiest_over_mean_requests: float


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """All workloads and their results."""

    scenarios: list[Scenario]
    results: list[Result]


class Arrival(msgspec.Struct, frozen=True):
    """One request and its arrival time in seconds."""

    time: float
    prefix: int
    number: int


class SimulatedWorker:
    """A prefill worker that processes one prompt at a time, with an LRU cache of prefixes."""

    def __init__(self, scenario: Scenario):
        self._scenario = scenario
        self._cached: OrderedDict[int, None] = OrderedDict()
        self._free_at = 0.0
        self.requests = 0

    def prefill(self, arrival: Arrival) -> tuple[bool, float]:
        """Queue one prompt; return whether its prefix was cached and when its prefill ends."""
        hit = arrival.prefix in self._cached
        self._cached[arrival.prefix] = None
        self._cached.move_to_end(arrival.prefix)
        if len(self._cached) > self._scenario.cached_prefixes_per_worker:
            self._cached.popitem(last=False)
        duration = self._scenario.hit_seconds if hit else MISS_SECONDS
        self._free_at = max(self._free_at, arrival.time) + duration
        self.requests += 1
        return hit, self._free_at


Chooser = Callable[[Arrival, Mapping[str, int]], str]


def chooser_of(choice: Choice, worker_ids: list[str], random: Random) -> Chooser:
    """Return the function that chooses a worker for an arrival, given the current loads."""
    if choice is Choice.RANDOM:
        return lambda _arrival, _loads: random.choice(worker_ids)
    if choice is Choice.LEAST_LOADED:
        return lambda _arrival, loads: min(
            worker_ids, key=lambda worker_id: (loads.get(worker_id, 0), random.random())
        )
    if choice is Choice.RING_UNBOUNDED:
        ring = HashRing.build(worker_ids)
        return lambda arrival, _loads: ring.preference(key_of(arrival), 1)[0]
    selector = PairSelector(PairAvoidance())
    selector.update_view(view_of(worker_ids))
    return lambda arrival, loads: selector.prefill_candidates(query_of(arrival), loads).candidates[
        0
    ]


def key_of(arrival: Arrival) -> int:
    """Return the affinity key of a request's prompt."""
    return prefix_key(MODEL, f"prefix {arrival.prefix}")


def query_of(arrival: Arrival) -> ModelQuery:
    """Return the query that a router makes for a request."""
    return ModelQuery(
        service=SERVICE, model=MODEL, request_id=str(arrival.number), key=key_of(arrival)
    )


def view_of(worker_ids: list[str]) -> FleetView:
    """Return a fleet of ready prefill workers."""
    workers = tuple(
        WorkerRecord(
            worker_id=worker_id,
            incarnation="1",
            service=SERVICE,
            stage=Stage.PREFILL,
            url="",
            models=(MODEL,),
        )
        for worker_id in worker_ids
    )
    return FleetView(
        revision=1, configuration_version=1, configuration=Configuration(), workers=workers
    )


def arrivals_of(scenario: Scenario) -> Iterator[Arrival]:
    """Yield the requests of a workload in the order of their arrival."""
    random = Random(scenario.seed)
    prefix_count = scenario.prefixes_per_worker * scenario.workers
    weights = ((rank + 1) ** -scenario.zipf_exponent for rank in range(prefix_count))
    cumulative = list(itertools.accumulate(weights))
    rate = scenario.offered_load * scenario.workers / MISS_SECONDS
    time = 0.0
    for number in range(scenario.requests_per_worker * scenario.workers):
        time += random.expovariate(rate)
        prefix = bisect_left(cumulative, random.random() * cumulative[-1])
        yield Arrival(time, prefix, number)


def run(scenario: Scenario, choice: Choice) -> Result:
    """Simulate one policy on one workload."""
    worker_ids = [f"worker-{number}" for number in range(scenario.workers)]
    workers = {worker_id: SimulatedWorker(scenario) for worker_id in worker_ids}
    choose = chooser_of(choice, worker_ids, Random(scenario.seed))
    loads = dict.fromkeys(worker_ids, 0)
    running: list[tuple[float, str]] = []
    warm_up = int(scenario.warm_up_share * scenario.requests_per_worker * scenario.workers)
    hits: list[bool] = []
    seconds: list[float] = []
    for arrival in arrivals_of(scenario):
        while running and running[0][0] <= arrival.time:
            loads[heapq.heappop(running)[1]] -= 1
        worker_id = choose(arrival, loads)
        hit, end = workers[worker_id].prefill(arrival)
        loads[worker_id] += 1
        heapq.heappush(running, (end, worker_id))
        if arrival.number >= warm_up:
            hits.append(hit)
            seconds.append(end - arrival.time)
    busiest = max(worker.requests for worker in workers.values())
    return summarize(scenario, choice, hits, seconds, busiest / scenario.requests_per_worker)


def summarize(
    scenario: Scenario, choice: Choice, hits: list[bool], seconds: list[float], busiest: float
) -> Result:
    """Aggregate the measured requests into one result."""
    ordered = sorted(seconds)
    return Result(
        choice=choice,
        workers=scenario.workers,
        requests_measured=len(hits),
        hit_share=round(sum(hits) / len(hits), 4),
        mean_seconds=round(sum(seconds) / len(seconds), 3),
        p50_seconds=round(ordered[len(ordered) // 2], 3),
        p99_seconds=round(ordered[len(ordered) * 99 // 100], 3),
        busiest_over_mean_requests=round(busiest, 3),
    )


def main() -> None:
    """Run every policy on every fleet size and print the report."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--workers", type=int, nargs="+", default=[5, 200])
    parser.add_argument("--requests-per-worker", type=int, default=400)
    parser.add_argument("--prefixes-per-worker", type=int, default=20)
    parser.add_argument("--offered-load", type=float, default=0.8)
    parser.add_argument("--zipf-exponent", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    scenarios = [
        Scenario(
            workers=workers,
            requests_per_worker=arguments.requests_per_worker,
            prefixes_per_worker=arguments.prefixes_per_worker,
            offered_load=arguments.offered_load,
            zipf_exponent=arguments.zipf_exponent,
            seed=arguments.seed,
        )
        for workers in arguments.workers
    ]
    results = [run(scenario, choice) for scenario in scenarios for choice in Choice]
    report = msgspec.json.encode(Report(scenarios=scenarios, results=results))
    sys.stdout.write(msgspec.json.format(report, indent=2).decode() + "\n")


if __name__ == "__main__":
    main()
