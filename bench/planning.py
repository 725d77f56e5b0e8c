"""Measures the planning time with 710 workers and the share of prefill ring keys that move.

The moved share is compared with the smallest possible share. If a number of workers leave the ring,
that is the sum of the smallest ring shares. The planner may move slightly more keys to keep zones
and failure domains balanced.

Run ``python bench/planning.py`` for JSON on standard output.
"""

import argparse
import statistics
import sys
import time

import msgspec

from orchidpath.placement.planner import make_preview, ring_shares
from orchidpath.wire.configuration import Configuration, Route, Service, ServiceKind
from orchidpath.wire.records import FleetView, Stage, WorkerRecord

WORKERS = 710
ZONES = 7
WORKERS_PER_FAILURE_DOMAIN = 8
PREFILL_SHARE = 0.29


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the split between prefill and decode workers, and its cost."""

    prefill_before: int
    prefill_after: int
    moves: int
    median_seconds: float
    longest_seconds: float
    moved_ring_share: float
    smallest_possible_share: float
    mean_share_of_as_many: float
    zone_spread_prefill: int
    zone_spread_decode: int


def make_view(prefill: int, desired_prefill: int) -> FleetView:
    """Return a fleet with ``prefill`` prefill workers and a different desired count."""
    workers = tuple(
        WorkerRecord(
            worker_id=f"worker-{number:04d}",
            incarnation=f"incarnation-{number}",
            service="chat",
            # Prefill workers are spread evenly over the numbers, and therefore over zones and
            # failure domains.
            stage=Stage.PREFILL if number * prefill % WORKERS < prefill else Stage.DECODE,
            url=f"http://10.0.{number // 250}.{number % 250}:8000",
            models=("model",),
            zone=f"zone-{number % ZONES}",
            failure_domain=failure_domain(number),
        )
        for number in range(WORKERS)
    )
    service = Service(
        name="chat",
        kind=ServiceKind.MODEL,
        models=["model"],
        prefill_workers=desired_prefill,
        decode_workers=WORKERS - desired_prefill,
        max_held_workers=8,
    )
    route = Route(name="chat", service="chat", model="model")
    configuration = Configuration(services=[service], routes=[route])
    return FleetView(
        revision=1, configuration_version=1, configuration=configuration, workers=workers
    )


def failure_domain(number: int) -> str:
    """Return the rack of a worker; all workers of a rack are in one zone."""
    return f"rack-{number % ZONES}-{number // (ZONES * WORKERS_PER_FAILURE_DOMAIN)}"


def measure(prefill: int, desired_prefill: int, repetitions: int) -> Case:
    """Plan one change ``repetitions`` times and return its cost."""
    view = make_view(prefill, desired_prefill)
    seconds = []
    for _ in range(repetitions):
        started_at = time.perf_counter()
        preview = make_preview(view)
        seconds.append(time.perf_counter() - started_at)
    assert len(preview.steps) == abs(prefill - desired_prefill)
    service = preview.services[0]
    smallest = 0.0
    if desired_prefill < prefill:
        ids = [worker.worker_id for worker in view.workers if worker.stage is Stage.PREFILL]
        smallest = sum(sorted(ring_shares(ids).values())[: prefill - desired_prefill])
    moved = {step.step.worker_id for step in preview.steps}
    return Case(
        prefill_before=prefill,
        prefill_after=service.prefill_after,
        moves=len(preview.steps),
        median_seconds=statistics.median(seconds),
        longest_seconds=max(seconds),
        moved_ring_share=service.moved_ring_share,
        smallest_possible_share=smallest,
        mean_share_of_as_many=len(moved) / max(prefill, desired_prefill),
        zone_spread_prefill=zone_spread(view, moved, Stage.PREFILL),
        zone_spread_decode=zone_spread(view, moved, Stage.DECODE),
    )


def zone_spread(view: FleetView, moved: set[str], stage: Stage) -> int:
    """Return the difference between the largest and the smallest zone of a stage after the move."""
    counts = dict.fromkeys((f"zone-{number}" for number in range(ZONES)), 0)
    for worker in view.workers:
        if (worker.stage is stage) != (worker.worker_id in moved):
            counts[worker.zone] += 1
    return max(counts.values()) - min(counts.values())


def main() -> None:
    """Measure a few changes of the typical split and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repetitions", type=int, default=5)
    arguments = parser.parse_args()
    typical = round(WORKERS * PREFILL_SHARE)
    changes = [
        (typical, typical - 1),
        (typical, typical // 2),
        (typical // 2, typical),
        (typical, typical + 103),
    ]
    cases = [measure(before, after, arguments.repetitions) for before, after in changes]
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(cases), indent=2).decode() + "\n")


if __name__ == "__main__":
    main()
