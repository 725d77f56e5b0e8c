"""Measures the decisions per second of the control leader's circuit table.

Each round does the leader's work for one attempt: the decision, which reads the state of every
candidate, the registration of the attempt as in flight, and the report of its end. Prints one JSON
object for each number of candidates.

Run: ``python bench/decisions.py [--rounds N] [--repeats N]``
"""

import argparse
import random
import statistics
import time

import msgspec

from orchidpath.circuit.circuit_table import CircuitTable, Decided
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import AttemptEffect, AttemptReport, DecisionRequest, StageCandidates
from orchidpath.wire.records import Stage, WorkerRecord

CANDIDATE_COUNTS = (2, 4, 8, 16, 64)
DEFAULT_ROUNDS = 5_000
DEFAULT_REPEATS = 5
IN_FLIGHT_ATTEMPTS = 32
"""Attempts that are kept in flight, so that the load bound is evaluated with load."""

ROUND_SECONDS = 0.001
"""Simulated time between two rounds."""


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Figures for one number of candidates; a decision includes registration and report."""

    candidates: int
    rounds: int
    repeats: int
    decisions_per_second_median: float
    decisions_per_second_lowest: float
    decisions_per_second_highest: float


def make_table(worker_ids: tuple[str, ...]) -> CircuitTable:
    """Return a circuit table that contains these workers."""
    table = CircuitTable(CircuitPolicy(), random.Random(1), term=1)
    table.set_workers(
        WorkerRecord(
            worker_id=worker_id,
            incarnation="1",
            service="service",
            stage=Stage.PLAIN,
            url="http://127.0.0.1:1",
            failure_domain=f"domain-{position % 4}",
        )
        for position, worker_id in enumerate(worker_ids)
    )
    return table


def decide(table: CircuitTable, candidates: tuple[str, ...], number: int) -> str:
    """Request a decision for one attempt and return the chosen worker."""
    start = number % len(candidates)
    stage_candidates = StageCandidates(
        stage=Stage.PLAIN, candidates=candidates[start:] + candidates[:start]
    )
    request = DecisionRequest(
        correlation=number,
        request_id=f"request-{number}",
        attempt_id=f"attempt-{number}",
        service="service",
        per_stage=(stage_candidates,),
    )
    answer = table.decide(request, number * ROUND_SECONDS)
    if not isinstance(answer, Decided) or not answer.reply.choices:
        raise RuntimeError(f"round {number}: the table chose no worker")
    return answer.reply.choices[0].worker_id


def report_success(table: CircuitTable, worker_id: str, number: int, now: float) -> None:
    """Report the success of an earlier attempt."""
    report = AttemptReport(
        request_id=f"request-{number}",
        attempt_id=f"attempt-{number}",
        worker_id=worker_id,
        effect=AttemptEffect.SUCCESS,
    )
    table.report([report], now)


def measure_once(candidate_count: int, rounds: int) -> float:
    """Return the decisions per second of one run."""
    candidates = tuple(f"worker-{position}" for position in range(candidate_count))
    table = make_table(candidates)
    chosen = [decide(table, candidates, number) for number in range(IN_FLIGHT_ATTEMPTS)]
    started_at = time.perf_counter()
    for number in range(IN_FLIGHT_ATTEMPTS, IN_FLIGHT_ATTEMPTS + rounds):
        chosen.append(decide(table, candidates, number))
        oldest = number - IN_FLIGHT_ATTEMPTS
        report_success(table, chosen[oldest], oldest, number * ROUND_SECONDS)
    return rounds / (time.perf_counter() - started_at)


def measure(candidate_count: int, rounds: int, repeats: int) -> Result:
    """Return the figures of several runs with one number of candidates."""
    rates = [measure_once(candidate_count, rounds) for _ in range(repeats)]
    return Result(
        candidates=candidate_count,
        rounds=rounds,
        repeats=repeats,
        decisions_per_second_median=round(statistics.median(rates), 1),
        decisions_per_second_lowest=round(min(rates), 1),
        decisions_per_second_highest=round(max(rates), 1),
    )


def main() -> None:
    """Measure every number of candidates and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=DEFAULT_ROUNDS)
    parser.add_argument("--repeats", type=int, default=DEFAULT_REPEATS)
    arguments = parser.parse_args()
    for candidate_count in CANDIDATE_COUNTS:
        result = measure(candidate_count, arguments.rounds, arguments.repeats)
        print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
