"""Attempts in flight on each worker, as estimated by one router."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from orchidpath.wire.messages import CandidateState

REPORTED_LOAD_TTL_SECONDS = 2.0
"""How long a worker's load as reported by the leader is used."""


class _ReportedLoad(msgspec.Struct, frozen=True):
    in_flight: int
    at: float


class LoadView:
    """Attempts of this router, and of all routers as last reported by the leader, per worker."""

    def __init__(self) -> None:
        self._own: Counter[str] = Counter()
        self._reported: dict[str, _ReportedLoad] = {}

    def begin(self, worker_ids: Sequence[str]) -> None:
        """Count the start of an attempt on each of these workers."""
        self._own.update(worker_ids)

    def end(self, worker_id: str) -> None:
        """Count the end of an attempt on a worker."""
        self._own[worker_id] -= 1
        if self._own[worker_id] <= 0:
            del self._own[worker_id]

    def update(self, states: Sequence[CandidateState], now: float) -> None:
        """Store the loads of the candidates that the leader reported with a decision."""
        for state in states:
            self._reported[state.worker_id] = _ReportedLoad(state.in_flight, now)

    def in_flight(self, now: float) -> dict[str, int]:
        """Return the attempts in flight per worker: the larger of reported and own number.

        Reported loads older than ``REPORTED_LOAD_TTL_SECONDS`` are removed.
        """
        self._reported = {
            worker_id: reported
            for worker_id, reported in self._reported.items()
            if now - reported.at < REPORTED_LOAD_TTL_SECONDS
        }
        loads = {worker_id: reported.in_flight for worker_id, reported in self._reported.items()}
        for worker_id, count in self._own.items():
            loads[worker_id] = max(loads.get(worker_id, 0), count)
        return loads
