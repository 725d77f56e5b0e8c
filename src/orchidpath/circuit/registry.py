"""Registry of the workers with their circuits, health and failure domains."""

from collections.abc import Iterable, Iterator

from orchidpath.circuit.capacity import failure_domain_of, undeclared_domain
from orchidpath.circuit.worker_circuit import WorkerCircuit
from orchidpath.circuit.worker_health import HealthWindow
from orchidpath.wire.records import CircuitRecord, WorkerRecord, WorkerStatus

RETIRED_LIMIT = 1024
"""Number of workers without a changed circuit that are remembered after they were removed."""


class TrackedWorker:
    """Circuit, health and failure domain of one worker.

    Parameters
    ----------
    worker_id
        The worker.
    health_window_seconds
        Length of the health window in seconds.
    """

    __slots__ = ("circuit", "domain", "eligible", "health")

    def __init__(self, worker_id: str, health_window_seconds: float) -> None:
        self.circuit = WorkerCircuit(worker_id)
        self.health = HealthWindow(health_window_seconds)
        self.domain = undeclared_domain(worker_id)
        self.eligible = True


class CircuitRegistry:
    """Tracked workers by id.

    Until the first membership is set, every worker that is looked up is tracked. The agreed circuit
    of a removed worker is retained, because its generation is compared with the agreed record when
    the worker registers again. :meth:`remove_circuit` removes the retained circuit.

    Parameters
    ----------
    health_window_seconds
        Length of the health windows in seconds.
    """

    def __init__(self, health_window_seconds: float) -> None:
        self._health_window_seconds = health_window_seconds
        self._workers: dict[str, TrackedWorker] = {}
        self._retired: dict[str, WorkerCircuit] = {}
        self._retired_unchanged: dict[str, WorkerCircuit] = {}
        self._has_membership = False

    def __iter__(self) -> Iterator[TrackedWorker]:
        return iter(self._workers.values())

    @property
    def retired_count(self) -> int:
        """Number of circuits that are stored for workers that are not registered."""
        return len(self._retired) + len(self._retired_unchanged)

    def get(self, worker_id: str) -> TrackedWorker | None:
        """Return a registered worker.

        Parameters
        ----------
        worker_id
            The worker.

        Returns
        -------
        TrackedWorker | None
            The worker; None when it is not registered.
        """
        if self._has_membership:
            return self._workers.get(worker_id)
        return self._tracked(worker_id)

    def apply_circuit(self, record: CircuitRecord, now: float) -> None:
        """Apply an agreed circuit; see :meth:`WorkerCircuit.accept`.

        Parameters
        ----------
        record
            The record.
        now
            Monotonic time in seconds.
        """
        self.circuit(record.worker_id).accept(record, now)

    def circuit(self, worker_id: str) -> WorkerCircuit:
        """Return a worker's circuit, whether or not the worker is registered.

        Parameters
        ----------
        worker_id
            The worker.

        Returns
        -------
        WorkerCircuit
            The circuit of the worker, or the circuit that it will have after it registers.
        """
        if worker_id in self._workers or not self._has_membership:
            return self._tracked(worker_id).circuit
        if worker_id not in self._retired:
            unchanged = self._retired_unchanged.pop(worker_id, None)
            self._retired[worker_id] = unchanged or WorkerCircuit(worker_id)
        return self._retired[worker_id]

    def remove_circuit(self, worker_id: str) -> None:
        """Remove the agreed circuit of a worker after the log has removed its record.

        Parameters
        ----------
        worker_id
            The worker.
        """
        self._take_retired(worker_id)
        worker = self._workers.get(worker_id)
        if worker is not None:
            worker.circuit = WorkerCircuit(worker_id, worker.circuit.incarnation)

    def set_health_window(self, health_window_seconds: float) -> None:
        """Change the length of all health windows; their counts are retained.

        Parameters
        ----------
        health_window_seconds
            The new length in seconds.
        """
        self._health_window_seconds = health_window_seconds
        for worker in self._workers.values():
            if worker.health.window_seconds != health_window_seconds:
                worker.health = worker.health.resized(health_window_seconds)

    def set_workers(self, records: Iterable[WorkerRecord]) -> list[str]:
        """Replace the membership.

        Parameters
        ----------
        records
            Every worker of the fleet.

        Returns
        -------
        list[str]
            Ids of the workers whose process has stopped or has been replaced.
        """
        self._has_membership = True
        present = {
            record.worker_id: record for record in records if record.status is not WorkerStatus.GONE
        }
        removed = [worker_id for worker_id in self._workers if worker_id not in present]
        for worker_id in removed:
            self._retire(self._workers.pop(worker_id).circuit)
        replaced = [record.worker_id for record in present.values() if self._set_worker(record)]
        return removed + replaced

    def _retire(self, circuit: WorkerCircuit) -> None:
        """Store the circuit of a worker that was removed; it may return.

        Circuits that never changed are forgotten above `RETIRED_LIMIT`, the oldest first. The
        others are as many as the replicated state stores, which `remove_circuit` follows.
        """
        if circuit.record.generation:
            self._retired[circuit.record.worker_id] = circuit
            return
        self._retired_unchanged[circuit.record.worker_id] = circuit
        if len(self._retired_unchanged) > RETIRED_LIMIT:
            del self._retired_unchanged[next(iter(self._retired_unchanged))]

    def _take_retired(self, worker_id: str) -> WorkerCircuit | None:
        unchanged = self._retired_unchanged.pop(worker_id, None)
        return self._retired.pop(worker_id, unchanged)

    def _tracked(self, worker_id: str) -> TrackedWorker:
        worker = self._workers.get(worker_id)
        if worker is None:
            worker = TrackedWorker(worker_id, self._health_window_seconds)
            self._workers[worker_id] = worker
        return worker

    def _set_worker(self, record: WorkerRecord) -> bool:
        """Track a worker of the membership and return whether its process has been replaced."""
        worker = self._tracked(record.worker_id)
        retired = self._take_retired(record.worker_id)
        if retired is not None:
            worker.circuit = retired
        is_replaced = worker.circuit.set_incarnation(record.incarnation)
        if is_replaced:
            worker.health = HealthWindow(self._health_window_seconds)
        worker.domain = failure_domain_of(record)
        worker.eligible = record.status is WorkerStatus.READY and not record.cordoned
        return is_replaced
