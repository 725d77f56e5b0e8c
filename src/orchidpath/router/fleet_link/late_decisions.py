"""Decisions whose answer comes after the router has gone on without it; pure.

The leader has registered such an attempt in flight on the workers that it chose, and may have
granted a probe. The router reports each of them that it did not use as neutral, which frees the
mark and gives the probe back (see :mod:`orchidpath.circuit.fallback`).
"""

from collections import OrderedDict
from collections.abc import Collection

from orchidpath.wire.messages import AttemptEffect, AttemptReport, DecisionReply, DecisionRequest

MAX_REMEMBERED = 1024
"""Requests without an answer that are remembered; of older ones the in-flight TTL frees marks."""


class LateDecisions:
    """Requests that were given up, and which workers were used instead."""

    def __init__(self) -> None:
        self._requests: OrderedDict[int, DecisionRequest] = OrderedDict()
        self._used: OrderedDict[str, frozenset[str]] = OrderedDict()

    def record_abandoned(self, request: DecisionRequest) -> None:
        """Remember a request whose answer was not waited for."""
        self._requests[request.correlation] = request
        if len(self._requests) > MAX_REMEMBERED:
            self._requests.popitem(last=False)

    def decided_alone(self, attempt_id: str, worker_ids: Collection[str]) -> None:
        """Remember which workers the router chose by itself for an attempt."""
        self._used[attempt_id] = frozenset(worker_ids)
        if len(self._used) > MAX_REMEMBERED:
            self._used.popitem(last=False)

    def answered(self, reply: DecisionReply) -> list[AttemptReport]:
        """Return the neutral reports that a late answer asks for."""
        request = self._requests.pop(reply.correlation, None)
        if request is None:
            return []
        used = self._used.pop(request.attempt_id, frozenset())
        return [
            AttemptReport(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                worker_id=choice.worker_id,
                effect=AttemptEffect.GATEWAY,
                probe_generation=choice.probe_generation,
            )
            for choice in reply.choices
            if choice.worker_id not in used
        ]
