"""Tracks when the leader last received a message from each worker and router; performs no I/O.

This is soft state. A new leader has no record of earlier messages, so it grants every worker and
router a full lease from the first check of its leadership. A fail-over alone therefore never
removes a worker.
"""

from typing import NamedTuple

import msgspec

from orchidpath.wire.backend import WORKER_LEASE_SECONDS

ROUTER_REMOVAL_SECONDS = 60.0
"""A router without a heartbeat for longer than this is removed."""

REPEAT_PROPOSAL_SECONDS = 1.0
"""A removal that has not been applied is proposed again after this time."""


class WorkerContact(msgspec.Struct):
    """The newest announcement received from a worker, and its time in monotonic seconds."""

    incarnation: str
    sequence: int
    last_contact_at: float


class SilentWorker(NamedTuple):
    """A worker whose lease has expired, and the sequence of its newest announcement."""

    worker_id: str
    incarnation: str
    sequence: int


class LivenessTracker:
    """Tracks the last announcement of each worker and the last heartbeat of each router.

    Parameters
    ----------
    router_removal_seconds
        A router is to be removed when it has sent no heartbeat for longer than this.
    worker_lease_seconds
        A worker is to be removed when it has sent no announcement for longer than this.
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

    @property
    def proposal_count(self) -> int:
        """Number of removals whose last proposal is remembered."""
        return len(self._proposed)

    def record_announcement(
        self, worker_id: str, incarnation: str, sequence: int, now: float
    ) -> bool:
        """Record an announcement of a worker.

        Returns
        -------
        bool
            False if its sequence is not higher than that of the newest announcement of the same
            incarnation. Such an announcement does not renew the lease.
        """
        known = self._workers.get(worker_id)
        if known is not None and known.incarnation == incarnation and known.sequence >= sequence:
            return False
        self._workers[worker_id] = WorkerContact(incarnation, sequence, now)
        return True

    def record_router_contact(self, router_id: str, now: float) -> None:
        """Record a heartbeat of a router."""
        self._routers[router_id] = now

    def seconds_since_heartbeat(self, router_id: str, now: float) -> float:
        """Return the seconds since a router's last heartbeat, or infinity if there was none.

        For a router without a heartbeat, the first check by `silent_routers` counts as one.
        """
        return now - self._routers.get(router_id, float("-inf"))

    def silent_workers(self, workers: dict[str, str], now: float) -> list[SilentWorker]:
        """Return the workers whose lease has expired and whose removal may be proposed.

        Parameters
        ----------
        workers
            Incarnation by worker id, from the replicated state.
        now
            Current time, in monotonic seconds.
        """
        silent = []
        for worker_id, incarnation in workers.items():
            contact = self._workers.get(worker_id)
            if contact is None:
                self._workers[worker_id] = WorkerContact(incarnation, 0, now)
                continue
            expired = now - contact.last_contact_at > self._worker_lease_seconds
            if expired and self._may_propose(worker_id, now):
                silent.append(SilentWorker(worker_id, incarnation, contact.sequence))
        return silent

    def silent_routers(self, router_ids: list[str], now: float) -> list[str]:
        """Return the routers without a heartbeat for too long whose removal may be proposed."""
        silent = []
        for router_id in router_ids:
            received_at = self._routers.setdefault(router_id, now)
            if now - received_at > self._router_removal_seconds and self._may_propose(
                router_id, now
            ):
                silent.append(router_id)
        return silent

    def retain_workers(self, workers: dict[str, str]) -> None:
        """Drop the announcements of all workers not in ``workers``, to bound the memory."""
        for worker_id in [known_id for known_id in self._workers if known_id not in workers]:
            del self._workers[worker_id]

    def _may_propose(self, name: str, now: float) -> bool:
        proposed_at = self._proposed.get(name)
        if proposed_at is not None and now - proposed_at < REPEAT_PROPOSAL_SECONDS:
            return False
        self._forget_proposals(now)
        self._proposed.pop(name, None)
        self._proposed[name] = now
        return True

    def _forget_proposals(self, now: float) -> None:
        """Drop the proposals, oldest first, that may be repeated anyway, to bound the memory."""
        while self._proposed:
            oldest = next(iter(self._proposed))
            if now - self._proposed[oldest] < REPEAT_PROPOSAL_SECONDS:
                return
            del self._proposed[oldest]
