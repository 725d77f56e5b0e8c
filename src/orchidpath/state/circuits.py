"""Agreed circuits of the workers, and agreed capacity circuits of the failure domains."""

from collections.abc import Callable, Iterable

from orchidpath.circuit.transitions import (
    CapacityTransition,
    CircuitTransition,
    apply_capacity_transition,
    apply_circuit_transition,
)
from orchidpath.state.outcomes import CapacityResult, CircuitResult, Effect
from orchidpath.wire.records import CapacityRecord, CircuitRecord

CIRCUIT_MEMORY = 8192
"""Beyond this many circuits, those of forgotten workers are dropped."""


class AgreedCircuits:
    """The circuits that have left their initial state; ``sequence`` counts their changes.

    Parameters
    ----------
    circuits
        Workers' circuits to begin with.
    capacities
        Capacity circuits to begin with.
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
        """Return a worker's circuit."""
        return self._circuits.get(worker_id)

    def find_capacity(self, failure_domain: str) -> CapacityRecord | None:
        """Return a failure domain's capacity circuit."""
        return self._capacities.get(failure_domain)

    def circuits(self) -> list[CircuitRecord]:
        """Return the workers' circuits, by worker."""
        return [self._circuits[worker_id] for worker_id in sorted(self._circuits)]

    def capacities(self) -> list[CapacityRecord]:
        """Return the capacity circuits, by failure domain."""
        return [self._capacities[domain] for domain in sorted(self._capacities)]

    def change_circuit(self, transition: CircuitTransition) -> CircuitResult:
        """Apply a circuit's transition, which takes effect on the expected generation only."""
        current = self._circuits.get(transition.worker_id)
        record = apply_circuit_transition(current, transition)
        if record.generation == (0 if current is None else current.generation):
            return CircuitResult(effect=Effect.STALE, record=current)
        self._circuits[transition.worker_id] = record
        self.sequence += 1
        return CircuitResult(effect=Effect.CHANGED, record=record)

    def change_capacity(self, transition: CapacityTransition) -> CapacityResult:
        """Apply a capacity circuit's transition, on the expected generation only."""
        current = self._capacities.get(transition.failure_domain)
        record = apply_capacity_transition(current, transition)
        if record.generation == (0 if current is None else current.generation):
            return CapacityResult(effect=Effect.STALE, record=current)
        self._capacities[transition.failure_domain] = record
        self.sequence += 1
        return CapacityResult(effect=Effect.CHANGED, record=record)

    def evict_unknown(self, is_known: Callable[[str], bool], limit: int = CIRCUIT_MEMORY) -> None:
        """Drop the circuits of workers that are no longer known, once there are many."""
        if len(self._circuits) <= limit:
            return
        forgotten = [worker_id for worker_id in self._circuits if not is_known(worker_id)]
        for worker_id in forgotten:
            del self._circuits[worker_id]
