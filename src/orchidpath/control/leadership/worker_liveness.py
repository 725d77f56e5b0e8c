"""Workers' announcements, and the removal of workers that are silent or leave; pure."""

from collections.abc import Iterable

import msgspec

from orchidpath.control.leadership.liveness import LivenessTracker
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import WorkerChanged, WorkerRemoved
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.announcements import MAX_SEQUENCE
from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import WorkerRecord


class WorkerLiveness:
    """Proposes what announcements, and their absence, change in the replicated state.

    Parameters
    ----------
    state
        The replicated state.
    liveness
        When each worker was last heard.
    output
        Where proposals go.
    """

    def __init__(self, state: FleetState, liveness: LivenessTracker, output: ControlOutput) -> None:
        self._state = state
        self._liveness = liveness
        self._output = output

    def receive_announcements(self, announcements: Iterable[Announcement], now: float) -> None:
        """Note announcements and propose those that change the replicated state."""
        for announcement in announcements:
            if announcement.leaving:
                self._remove_leaving(announcement.record)
            else:
                self._receive_announcement(announcement, now)

    def propose_removals(self, now: float) -> None:
        """Propose to remove workers whose lease has expired."""
        incarnations = {worker.worker_id: worker.incarnation for worker in self._state.workers()}
        for silent in self._liveness.silent_workers(incarnations, now):
            removal = WorkerRemoved(
                worker_id=silent.worker_id,
                incarnation=silent.incarnation,
                sequence=silent.sequence,
            )
            self._output.propose(removal)
        self._liveness.forget_workers_except(incarnations)

    def _receive_announcement(self, announcement: Announcement, now: float) -> None:
        record = announcement.record
        is_newest = self._liveness.record_announcement(
            record.worker_id, record.incarnation, announcement.sequence, now
        )
        if is_newest and self._differs(record):
            self._output.propose(WorkerChanged(record=record, sequence=announcement.sequence))

    def _remove_leaving(self, record: WorkerRecord) -> None:
        entry = self._state.find_worker(record.worker_id)
        if entry is None or entry.record.incarnation != record.incarnation:
            return
        # With the highest sequence no announcement still on its way brings the worker back.
        removal = WorkerRemoved(
            worker_id=record.worker_id, incarnation=record.incarnation, sequence=MAX_SEQUENCE
        )
        self._output.propose_once(removal)

    def _differs(self, record: WorkerRecord) -> bool:
        """Whether a record differs from the replicated one in what a worker itself announces."""
        entry = self._state.find_worker(record.worker_id)
        if entry is None:
            return True
        normalized = msgspec.structs.replace(
            record,
            cordoned=entry.record.cordoned,
            failure_domain=record.failure_domain or record.worker_id,
        )
        return normalized != entry.record
