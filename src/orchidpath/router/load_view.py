"""Attempts in flight on each worker, as far as one router knows."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from orchidpath.wire.messages import CandidateState

KNOWN_FOR_SECONDS = 2.0
"""What the leader said about a worker's load counts for this long."""


class _Known(msgspec.Struct, frozen=True):
    in_flight: int
    at: float


class LoadView:
    """Counts the attempts of this router, and keeps what the leader last said of every router's."""

    def __init__(self) -> None:
        self._own: Counter[str] = Counter()
        self._known: dict[str, _Known] = {}

    def begin(self, worker_ids: Sequence[str]) -> None:
        """Count an attempt on each of these workers."""
        self._own.update(worker_ids)

    def end(self, worker_id: str) -> None:
        """Count the end of an attempt on a worker."""
        self._own[worker_id] -= 1
        if self._own[worker_id] <= 0:
            del self._own[worker_id]

    def update(self, states: Sequence[CandidateState], now: float) -> None:
        """Take what a decision said of its candidates."""
        for state in states:
            self._known[state.worker_id] = _Known(state.in_flight, now)

    def in_flight(self, now: float) -> dict[str, int]:
        """Return the larger of what is known and what is this router's own."""
        self._known = {
            worker_id: known
            for worker_id, known in self._known.items()
            if now - known.at < KNOWN_FOR_SECONDS
        }
        loads = {worker_id: known.in_flight for worker_id, known in self._known.items()}
        for worker_id, count in self._own.items():
            loads[worker_id] = max(loads.get(worker_id, 0), count)
        return loads
