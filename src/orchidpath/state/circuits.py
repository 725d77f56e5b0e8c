"""Replicated circuits of the workers, and replicated capacity circuits of the failure domains."""

from collections.abc import Callable, Iterable

from orchidpath.circuit.transitions import (
    CapacityTransition,
    CircuitTransition,
    apply_capacity_transition,
    apply_circuit_transition,
)
from orchidpath.state.outcomes import CapacityResult, CircuitResult, Effect
from orchidpath.wire.records import CapacityRecord, CircuitRecord

CIRCUIT_LIMIT = 8192
"""Number of circuits above which the circuits of unknown workers are evicted."""


class AgreedCircuits:
    """The circuits that have left their initial state; ``sequence`` counts their changes.

    Parameters
    ----------
    circuits
        Initial circuits of workers.
    capacities
        Initial capacity circuits.
    sequence
        Number of changes so far.
    """

    def __init__(
        self,
        circuits: Iterable[CircuitRecord] = (),
        capacities: Iterable[CapacityRecord] = (),
        sequence: int = 0,
    ) -> None:
        self._circuits = {record.worker_id: record for record in circuits}
        self._capacities = {record.failure_domain: record for record in capacities}
        self.sequence = sequence

    def find_circuit(self, worker_id: str) -> CircuitRecord | None:
        """Return a worker's circuit; None if it never left its initial state."""
        return self._circuits.get(worker_id)

    def find_capacity(self, failure_domain: str) -> CapacityRecord | None:
        """Return a failure domain's capacity circuit; None if it never left its initial state."""
        return self._capacities.get(failure_domain)

    def circuits(self) -> list[CircuitRecord]:
        """Return the workers' circuits, sorted by worker id."""
        return [self._circuits[worker_id] for worker_id in sorted(self._circuits)]

    def capacities(self) -> list[CapacityRecord]:
        """Return the capacity circuits, sorted by failure domain."""
        return [self._capacities[domain] for domain in sorted(self._capacities)]

    def change_circuit(self, transition: CircuitTransition) -> CircuitResult:
        """Apply a transition to a worker's circuit if the circuit has the expected generation."""
        current = self._circuits.get(transition.worker_id)
        record = apply_circuit_transition(current, transition)
        if record.generation == (0 if current is None else current.generation):
            return CircuitResult(effect=Effect.STALE, record=current)
        self._circuits[transition.worker_id] = record
        self.sequence += 1
        return CircuitResult(effect=Effect.CHANGED, record=record)

    def change_capacity(self, transition: CapacityTransition) -> CapacityResult:
        """Apply a transition to a capacity circuit if the circuit has the expected generation."""
        current = self._capacities.get(transition.failure_domain)
        record = apply_capacity_transition(current, transition)
        if record.generation == (0 if current is None else current.generation):
            return CapacityResult(effect=Effect.STALE, record=current)
        self._capacities[transition.failure_domain] = record
        self.sequence += 1
        return CapacityResult(effect=Effect.CHANGED, record=record)

    def evict_unknown(self, is_known: Callable[[str], bool], limit: int = CIRCUIT_LIMIT) -> None:
        """Evict the circuits of unknown workers if there are more than ``limit`` circuits."""
        if len(self._circuits) <= limit:
            return
        unknown_ids = [worker_id for worker_id in self._circuits if not is_known(worker_id)]
        for worker_id in unknown_ids:
            del self._circuits[worker_id]
