"""Decisions that the leader returns after the router stopped waiting; pure, no input or output.

The leader has registered such an attempt as in flight on the workers that it chose, and may have
granted a probe. For each of these workers that it did not use, the router sends a neutral report,
which removes the in-flight mark and returns the probe (see :mod:`orchidpath.circuit.fallback`).
"""

from collections import OrderedDict
from collections.abc import Collection

from orchidpath.wire.messages import AttemptEffect, AttemptReport, DecisionReply, DecisionRequest

MAX_STORED_REQUESTS = 1024
"""Maximum number of stored unanswered requests.

The in-flight marks of older requests are removed by their TTL.
"""


class LateDecisions:
    """Abandoned decision requests, and the workers that the router used instead."""

    def __init__(self) -> None:
        self._requests: OrderedDict[int, DecisionRequest] = OrderedDict()
        self._used: OrderedDict[str, frozenset[str]] = OrderedDict()

    def record_abandoned(self, request: DecisionRequest) -> None:
        """Store a decision request whose reply did not arrive in time."""
        self._requests[request.correlation] = request
        if len(self._requests) > MAX_STORED_REQUESTS:
            self._requests.popitem(last=False)

    def record_local_decision(self, attempt_id: str, worker_ids: Collection[str]) -> None:
        """Store which workers the router itself chose for an attempt."""
        self._used[attempt_id] = frozenset(worker_ids)
        if len(self._used) > MAX_STORED_REQUESTS:
            self._used.popitem(last=False)

    def release_unused(self, reply: DecisionReply) -> list[AttemptReport]:
        """Return neutral reports for the unused workers of a late reply.

        The list is empty for a reply to a request that is not stored.
        """
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
