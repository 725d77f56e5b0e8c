"""Common base class of the leader's circuit table and a router's fallback circuits.

Both have the same counters, select workers by the same rules and propose transitions from the same
table. They differ in how a transition takes effect: the leader commits it through the replicated
log, a router applies it locally.
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


class BaseCircuits:
    """Base class with the counters, the policy and the load bound for decisions on attempts.

    Parameters
    ----------
    policy
        Thresholds and durations of the circuits.
    generator
        Random source of the jitter.
    load_bound_factor
        Multiple of the average number of attempts in flight that a worker may have; see
        :mod:`orchidpath.circuit.selection`.
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
        """Apply a new policy; timers that are running keep their durations.

        Parameters
        ----------
        policy
            Thresholds and durations of the circuits.
        load_bound_factor
            Multiple of the average number of attempts in flight that a worker may have.
        load_bound_minimum
            Number of attempts in flight above the average that a worker may always have.
        """
        self._counters.set_policy(policy)
        self._load_bound_factor = load_bound_factor
        self._load_bound_minimum = load_bound_minimum

    def set_workers(self, workers: Iterable[WorkerRecord]) -> None:
        """Replace the membership. Workers that are not in the membership are never chosen.

        The counters of a worker that was removed or has a new process are dropped. A circuit that
        was opened for an earlier process of a worker counts as closed. Draining and cordoned
        workers remain registered but are not chosen.

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
        """Register the attempt as in flight on the selected workers and return the reply."""
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
        """Return the transition that an event causes, or None, also for an unknown worker."""
        worker = self._counters.registry.get(worker_id)
        if worker is None:
            return None
        policy = self._counters.policy
        return worker.circuit.propose(event, policy, self._generator, attempt_id)
