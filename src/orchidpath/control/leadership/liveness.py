"""Which workers and routers the leader hears; soft state, pure.

A new leader knows nothing of who was heard before, so it grants everyone one full lease from its
start: a fail-over alone never removes a worker.
"""

from typing import NamedTuple

import msgspec

from orchidpath.wire.backend import WORKER_LEASE_SECONDS

ROUTER_REMOVAL_SECONDS = 60.0
"""A router that the leader has not heard for this long is removed."""

REPEAT_PROPOSAL_SECONDS = 1.0
"""A removal that has not been applied is proposed again after this long."""


class WorkerContact(msgspec.Struct):
    """When a worker's announcement was last heard, and which one it was."""

    incarnation: str
    sequence: int
    last_contact_at: float


class SilentWorker(NamedTuple):
    """A worker whose lease has expired, and the newest announcement heard of it."""

    worker_id: str
    incarnation: str
    sequence: int


class LivenessTracker:
    """When each worker and router was last heard.

    Parameters
    ----------
    router_removal_seconds
        A router that is silent for this long is to be removed.
    worker_lease_seconds
        A worker that is silent for this long is to be removed.
    """

    def __init__(
        self,
        router_removal_seconds: float = ROUTER_REMOVAL_SECONDS,
        worker_lease_seconds: float = WORKER_LEASE_SECONDS,
    ) -> None:
        self._router_removal_seconds = router_removal_seconds
        self._worker_lease_seconds = worker_lease_seconds
        self._workers: dict[str, WorkerContact] = {}
        self._routers: dict[str, float] = {}
        self._proposed: dict[str, float] = {}

    def record_announcement(
        self, worker_id: str, incarnation: str, sequence: int, now: float
    ) -> bool:
        """Note an announcement.

        Returns
        -------
        bool
            False if it is older than one heard before of the same incarnation.
        """
        known = self._workers.get(worker_id)
        if known is not None and known.incarnation == incarnation and known.sequence >= sequence:
            return False
        self._workers[worker_id] = WorkerContact(incarnation, sequence, now)
        return True

    def record_router_contact(self, router_id: str, now: float) -> None:
        """Note a router's heartbeat."""
        self._routers[router_id] = now

    def router_age_seconds(self, router_id: str, now: float) -> float:
        """Seconds since a router was heard; infinite if never."""
        return now - self._routers.get(router_id, float("-inf"))

    def silent_workers(self, workers: dict[str, str], now: float) -> list[SilentWorker]:
        """Return the workers whose lease has expired and whose removal may be proposed.

        Parameters
        ----------
        workers
            Incarnation by worker id, as replicated.
        now
            Monotonic seconds.
        """
        silent = []
        for worker_id, incarnation in workers.items():
            heard = self._workers.get(worker_id)
            if heard is None:
                self._workers[worker_id] = WorkerContact(incarnation, 0, now)
                continue
            expired = now - heard.last_contact_at > self._worker_lease_seconds
            if expired and self._may_propose(worker_id, now):
                silent.append(SilentWorker(worker_id, incarnation, heard.sequence))
        return silent

    def silent_routers(self, router_ids: list[str], now: float) -> list[str]:
        """Return the registered routers silent for too long."""
        silent = []
        for router_id in router_ids:
            heard_at = self._routers.setdefault(router_id, now)
            if now - heard_at > self._router_removal_seconds and self._may_propose(router_id, now):
                silent.append(router_id)
        return silent

    def forget_workers_except(self, workers: dict[str, str]) -> None:
        """Drop what was heard of workers that are gone, to keep memory bounded."""
        for worker_id in [one for one in self._workers if one not in workers]:
            del self._workers[worker_id]

    def _may_propose(self, name: str, now: float) -> bool:
        proposed_at = self._proposed.get(name)
        if proposed_at is not None and now - proposed_at < REPEAT_PROPOSAL_SECONDS:
            return False
        self._proposed[name] = now
        return True
