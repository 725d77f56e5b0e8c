"""Announcements that this router received from workers; pure, no input or output.

An announcement takes effect before the agreed view contains it: a router sends no further requests
to a worker that announced to it that it is draining, whether or not the control tier has received
that announcement.
"""

import msgspec

from orchidpath.wire.announcements import MAX_WORKERS
from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import FleetView, WorkerStatus


class _Announced(msgspec.Struct, frozen=True):
    incarnation: str
    sequence: int
    is_draining: bool


class AnnouncedWorkers:
    """The newest announcement that this router received from each worker."""

    def __init__(self) -> None:
        self._announced: dict[str, _Announced] = {}
        self._listed: dict[str, str] = {}

    @property
    def remembered_count(self) -> int:
        """Number of workers of which an announcement or an incarnation is stored."""
        return len(self._announced.keys() | self._listed.keys())

    def record_announcement(self, announcement: Announcement) -> bool:
        """Store an announcement if it is newer than the stored one.

        Returns
        -------
        bool
            False if it is not newer than the last announcement of the same incarnation.
        """
        record = announcement.record
        known = self._announced.get(record.worker_id)
        same = known is not None and known.incarnation == record.incarnation
        if known is not None and same and known.sequence >= announcement.sequence:
            return False
        is_draining = record.status is not WorkerStatus.READY
        self._announced.pop(record.worker_id, None)
        self._announced[record.worker_id] = _Announced(
            record.incarnation, announcement.sequence, is_draining
        )
        if len(self._announced) > MAX_WORKERS:
            del self._announced[next(iter(self._announced))]
        return True

    def is_draining(self, worker_id: str) -> bool:
        """Return whether the worker's newest announcement says that it is draining."""
        announced = self._announced.get(worker_id)
        return announced is not None and announced.is_draining

    def view_adopted(self, view: FleetView) -> None:
        """Remove the announcements of incarnations that were in the view and have been replaced.

        An incarnation that no view has listed yet is newer than the view, which lags behind the
        announcements to this router: its announcement is retained. So is the announcement of a
        worker that is only absent from the view: it may have been declared gone by mistake and may
        return with the same incarnation.
        """
        for worker in view.workers:
            worker_id = worker.worker_id
            before = self._listed.get(worker_id)
            announced = self._announced.get(worker_id)
            was_listed = announced is not None and announced.incarnation == before
            if was_listed and worker.incarnation != before:
                del self._announced[worker_id]
            self._listed[worker_id] = worker.incarnation
        self._forget_unlisted(view)

    def _forget_unlisted(self, view: FleetView) -> None:
        """Drop which incarnation a worker had that is neither in the view nor has announced."""
        listed = {worker.worker_id for worker in view.workers}
        self._listed = {
            worker_id: incarnation
            for worker_id, incarnation in self._listed.items()
            if worker_id in listed or worker_id in self._announced
        }
