"""Measures the leader's memory for attempts in flight and the cost of the decision messages.

``bench/decisions.py`` measures the decision itself. Prints one JSON line; docs/CAPACITY.md reports
these figures.
"""

import argparse
import random
import sys
import time
import tracemalloc

import msgspec

from orchidpath.circuit.circuit_table import CircuitTable, Decided
from orchidpath.tools.measuring import LinearFit, Point, fit_line
from orchidpath.tools.synthetic_fleet import SyntheticSize, worker_record
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.framing import FrameDecoder, encode_frame
from orchidpath.wire.messages import (
    AttemptEffect,
    AttemptReport,
    AttemptReports,
    DecisionReply,
    DecisionRequest,
    StageCandidates,
)
from orchidpath.wire.records import Stage

CANDIDATES = 8


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Measured figures; ``table_bytes`` are bytes allocated by the interpreter."""

    workers: int
    in_flight: list[int]
    table_bytes: list[float]
    bytes_per_attempt: LinearFit
    decide_seconds: float
    report_seconds: float
    message_seconds: float
    request_bytes: int
    reply_bytes: int
    reports_bytes: int


class Times(msgspec.Struct):
    """Total time spent in each part, in seconds."""

    decide: float = 0.0
    report: float = 0.0
    message: float = 0.0


def make_table(workers: int) -> CircuitTable:
    """Return a leader's circuit table with ``workers`` workers."""
    table = CircuitTable(CircuitPolicy(), random.Random(1), term=1)
    size = SyntheticSize(routers=1, workers=workers)
    table.set_workers([worker_record(number, size) for number in range(workers)])
    return table


def make_request(number: int, workers: int) -> DecisionRequest:
    """Return a decision request whose candidates depend on ``number``."""
    size = SyntheticSize(routers=1, workers=workers)
    records = [
        worker_record((number * 7 + offset) % workers, size) for offset in range(8 * CANDIDATES)
    ]
    per_stage = []
    for stage in (Stage.PREFILL, Stage.DECODE):
        names = [record.worker_id for record in records if record.stage is stage]
        per_stage.append(StageCandidates(stage=stage, candidates=tuple(names[:CANDIDATES])))
    return DecisionRequest(
        correlation=number,
        request_id=f"request-{number}",
        attempt_id=f"request-{number}-1",
        service="hollow",
        per_stage=tuple(per_stage),
    )


def fill(table: CircuitTable, first: int, last: int, workers: int) -> None:
    """Register the attempts ``first`` to ``last - 1`` in the table."""
    for number in range(first, last):
        table.decide(make_request(number, workers), number * 1e-4)


def measure_memory(workers: int, sizes: list[int]) -> list[float]:
    """Return the bytes allocated for the table at each number of attempts in flight."""
    tracemalloc.start()
    table = make_table(workers)
    table_bytes = []
    filled = 0
    for size in sizes:
        fill(table, filled, size, workers)
        filled = size
        table_bytes.append(float(tracemalloc.get_traced_memory()[0]))
    tracemalloc.stop()
    return table_bytes


def measure_times(workers: int, rounds: int) -> tuple[Times, AttemptReports, DecisionReply]:
    """Time decisions, reports, and the decoding and encoding of messages by the leader.

    The last reports and the last reply are returned too, so that their size can be measured.
    """
    table = make_table(workers)
    times = Times()
    frames = [encode_frame(make_request(number, workers)) for number in range(rounds)]
    last: tuple[AttemptReports, DecisionReply] | None = None
    for number, frame in enumerate(frames):
        started_at = time.perf_counter()
        (request,) = FrameDecoder().feed(frame)
        decoded_at = time.perf_counter()
        assert isinstance(request, DecisionRequest)
        answer = table.decide(request, number * 1e-3)
        decided_at = time.perf_counter()
        assert isinstance(answer, Decided)
        encode_frame(answer.reply)
        encoded_at = time.perf_counter()
        reports = _reports(request, answer.reply)
        report_started_at = time.perf_counter()
        table.report(reports.reports, number * 1e-3)
        times.report += time.perf_counter() - report_started_at
        times.decide += decided_at - decoded_at
        times.message += (decoded_at - started_at) + (encoded_at - decided_at)
        last = (reports, answer.reply)
    assert last is not None
    return times, *last


def _reports(request: DecisionRequest, reply: DecisionReply) -> AttemptReports:
    reports = tuple(
        AttemptReport(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            worker_id=choice.worker_id,
            effect=AttemptEffect.SUCCESS,
        )
        for choice in reply.choices
    )
    return AttemptReports(sequence=1, reports=reports)


def main() -> None:
    """Measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--workers", type=int, default=710)
    parser.add_argument("--rounds", type=int, default=5_000)
    parser.add_argument("--in-flight", type=int, nargs="+", default=[5_000, 20_000, 50_000])
    arguments = parser.parse_args()
    memory = measure_memory(arguments.workers, arguments.in_flight)
    times, reports, reply = measure_times(arguments.workers, arguments.rounds)
    points = [
        Point(float(size), figure) for size, figure in zip(arguments.in_flight, memory, strict=True)
    ]
    result = Result(
        workers=arguments.workers,
        in_flight=arguments.in_flight,
        table_bytes=memory,
        bytes_per_attempt=fit_line(points),
        decide_seconds=times.decide / arguments.rounds,
        report_seconds=times.report / arguments.rounds,
        message_seconds=times.message / arguments.rounds,
        request_bytes=len(encode_frame(make_request(1, arguments.workers))),
        reply_bytes=len(encode_frame(reply)),
        reports_bytes=len(encode_frame(reports)),
    )
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


if __name__ == "__main__":
    main()
