"""What the leader's circuits and a router's fallback decide with in common.

Both hold the same counters, choose by the same rules and propose transitions from the same table.
They differ in who agrees a transition: the replicated log, or the router alone.
"""

import random
from collections.abc import Iterable, Sequence

from orchidpath.circuit.breaker import BreakerEvent
from orchidpath.circuit.counters import CircuitCounters
from orchidpath.circuit.selection import (
    DEFAULT_LOAD_BOUND_FACTOR,
    MINIMUM_LOAD_ABOVE_AVERAGE,
    Selection,
    StageCircuits,
    select,
)
from orchidpath.circuit.transitions import CircuitTransition
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import DecisionReply, DecisionRequest
from orchidpath.wire.records import WorkerRecord


class DecidingCircuits:
    """Counters, policy and load bound of circuits that decide attempts.

    Parameters
    ----------
    policy
        Thresholds and durations of the circuits.
    generator
        Source of the jitter.
    load_bound_factor
        Factor of the load bound; see :mod:`orchidpath.circuit.selection`.
    """

    def __init__(
        self, policy: CircuitPolicy, generator: random.Random, load_bound_factor: float
    ) -> None:
        self._generator = generator
        self._load_bound_factor = load_bound_factor
        self._load_bound_minimum = MINIMUM_LOAD_ABOVE_AVERAGE
        self._counters = CircuitCounters(policy)

    def set_policy(
        self,
        policy: CircuitPolicy,
        load_bound_factor: float = DEFAULT_LOAD_BOUND_FACTOR,
        load_bound_minimum: float = MINIMUM_LOAD_ABOVE_AVERAGE,
    ) -> None:
        """Apply a new policy; running timers keep their durations.

        Parameters
        ----------
        policy
            Thresholds and durations of the circuits.
        load_bound_factor
            Factor of the load bound.
        load_bound_minimum
            Attempts in flight that a worker may always have above the average.
        """
        self._counters.set_policy(policy)
        self._load_bound_factor = load_bound_factor
        self._load_bound_minimum = load_bound_minimum

    def set_workers(self, workers: Iterable[WorkerRecord]) -> None:
        """Replace the membership: workers that are not in it are never chosen.

        The counters of a worker that was removed or has a new process are dropped; a circuit
        that was opened for an earlier process counts as closed. Draining and cordoned workers
        stay known and are not chosen.

        Parameters
        ----------
        workers
            Every worker of the fleet.
        """
        for worker_id in self._counters.registry.set_workers(workers):
            self._counters.attempt_table.retire_worker(worker_id)

    def _select(self, per_stage: Sequence[StageCircuits]) -> Selection:
        return select(per_stage, self._load_bound_factor, self._load_bound_minimum)

    def _register(
        self,
        request: DecisionRequest,
        term: int,
        per_stage: Sequence[StageCircuits],
        selection: Selection,
        now: float,
    ) -> DecisionReply:
        """Register the selection's attempt in flight and return the reply."""
        return DecisionReply(
            correlation=request.correlation,
            term=term,
            choices=self._counters.register(request, selection, now),
            rejection=selection.rejection,
            retry_after_seconds=selection.retry_after_seconds,
            states=self._counters.states(per_stage, now),
        )

    def _propose(
        self, worker_id: str, event: BreakerEvent, attempt_id: str = ""
    ) -> CircuitTransition | None:
        """Propose the transition that an event causes; None for an unknown worker."""
        worker = self._counters.registry.get(worker_id)
        if worker is None:
            return None
        policy = self._counters.policy
        return worker.circuit.propose(event, policy, self._generator, attempt_id)
