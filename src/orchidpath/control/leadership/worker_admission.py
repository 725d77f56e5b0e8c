"""Bounds the number of workers that the leader registers; performs no I/O.

Every process of the fleet stores every worker, so announcements under ever new ids would take the
memory of all of them.
"""

from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.announcements import MAX_WORKERS

PENDING_SECONDS = 10.0
"""A registration that was proposed and has not been applied counts for this long."""


class WorkerAdmission:
    """Decides whether an announcement may register a worker.

    Parameters
    ----------
    state
        The replicated state.
    max_workers
        Largest number of workers that are registered or about to be.
    """

    def __init__(self, state: FleetState, max_workers: int = MAX_WORKERS) -> None:
        self._state = state
        self._max_workers = max_workers
        self._pending: dict[str, float] = {}
        self.refused_count = 0

    def admit(self, worker_id: str, now: float) -> bool:
        """Return whether a worker is registered already, or may be registered.

        Parameters
        ----------
        worker_id
            Id of the worker that has announced itself.
        now
            Current time, in monotonic seconds.
        """
        if worker_id in self._pending or self._state.find_worker(worker_id) is not None:
            return True
        if self._state.worker_count + len(self._pending) >= self._max_workers:
            self.refused_count += 1
            return False
        self._pending[worker_id] = now
        return True

    def forget_applied(self, now: float) -> None:
        """Drop the registrations that were applied, or were proposed too long ago."""
        for worker_id, proposed_at in list(self._pending.items()):
            is_applied = self._state.find_worker(worker_id) is not None
            if is_applied or now - proposed_at > PENDING_SECONDS:
                del self._pending[worker_id]
