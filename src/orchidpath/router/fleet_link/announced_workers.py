"""What workers themselves told this router; pure.

Sooner than the agreed view: a worker that says it is draining gets nothing more from the router
that heard it, whether or not the control tier has heard it too.
"""

import msgspec

from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import FleetView, WorkerStatus


class _Announced(msgspec.Struct, frozen=True):
    incarnation: str
    sequence: int
    is_draining: bool


class AnnouncedWorkers:
    """The newest announcement of each worker that this router has heard."""

    def __init__(self) -> None:
        self._announced: dict[str, _Announced] = {}
        self._listed: dict[str, str] = {}

    def record_announcement(self, announcement: Announcement) -> bool:
        """Take an announcement.

        Returns
        -------
        bool
            False if it is not newer than what was heard of the same incarnation before.
        """
        record = announcement.record
        known = self._announced.get(record.worker_id)
        same = known is not None and known.incarnation == record.incarnation
        if known is not None and same and known.sequence >= announcement.sequence:
            return False
        is_draining = record.status is not WorkerStatus.READY
        self._announced[record.worker_id] = _Announced(
            record.incarnation, announcement.sequence, is_draining
        )
        return True

    def is_draining(self, worker_id: str) -> bool:
        """Return whether the worker itself said last that it is draining."""
        announced = self._announced.get(worker_id)
        return announced is not None and announced.is_draining

    def view_adopted(self, view: FleetView) -> None:
        """Forget what incarnations have said that were in the view and have been replaced.

        An incarnation that no view has listed yet is newer than the view, which lags behind what
        this router has heard: its word stays. So does that of a worker which is only absent: it
        may have been called gone by mistake and come back as it was.
        """
        for worker in view.workers:
            worker_id = worker.worker_id
            before = self._listed.get(worker_id)
            announced = self._announced.get(worker_id)
            was_listed = announced is not None and announced.incarnation == before
            if was_listed and worker.incarnation != before:
                del self._announced[worker_id]
            self._listed[worker_id] = worker.incarnation
