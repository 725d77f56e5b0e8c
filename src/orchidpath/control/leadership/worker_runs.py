"""Tells late announcements of a worker's ended run from those of its next run; performs no I/O.

A worker whose incarnation is its id does not tell its runs apart: after a restart it announces the
same incarnation, and its sequence starts anew. Each further run therefore gets an incarnation of
its own here, so that the replicated state keeps the ended ones apart.
"""

import msgspec

from orchidpath.state.fleet_state import FleetState
from orchidpath.state.workers import next_run
from orchidpath.wire.backend import Announcement

LATE_ANNOUNCEMENT_SECONDS = 30.0
"""An announcement may arrive this much later than it was sent: a frozen process may hold it."""


class _StaleAnnouncements(msgspec.Struct):
    """Since when an ended run has been announced, and the last time, in monotonic seconds."""

    first_at: float
    last_at: float


class WorkerRuns:
    """Assigns the announcements of a worker to its runs.

    Parameters
    ----------
    state
        The replicated state.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._stale: dict[str, _StaleAnnouncements] = {}

    def assign(self, announcement: Announcement, now: float) -> Announcement | None:
        """Return an announcement with the incarnation of its run; None for an ended run.

        An announcement whose sequence is above the last one of the ended run continues that run.
        Any other is late, unless such announcements have kept coming for
        `LATE_ANNOUNCEMENT_SECONDS`: then the worker has started anew.

        Parameters
        ----------
        announcement
            An announcement with which a worker does not leave.
        now
            Current time, in monotonic seconds.
        """
        record = announcement.record
        if record.incarnation != record.worker_id:
            return announcement
        run = self._state.newest_run(record.worker_id, record.incarnation)
        last_sequence = self._state.ended_run_sequence(record.worker_id, run)
        if last_sequence is not None and announcement.sequence <= last_sequence:
            if not self._has_started_anew(record.worker_id, now):
                return None
            run = next_run(run)
        self._stale.pop(record.worker_id, None)
        return msgspec.structs.replace(
            announcement, record=msgspec.structs.replace(record, incarnation=run)
        )

    def forget_old(self, now: float) -> None:
        """Drop the ended runs that are no longer announced, to bound the memory."""
        for worker_id, stale in list(self._stale.items()):
            if now - stale.last_at > LATE_ANNOUNCEMENT_SECONDS:
                del self._stale[worker_id]

    def _has_started_anew(self, worker_id: str, now: float) -> bool:
        stale = self._stale.setdefault(worker_id, _StaleAnnouncements(now, now))
        stale.last_at = now
        return now - stale.first_at > LATE_ANNOUNCEMENT_SECONDS
