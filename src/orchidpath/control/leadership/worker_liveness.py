"""Handles announcements of workers and removes workers that leave or send none; no I/O."""

from collections.abc import Iterable

import msgspec

from orchidpath.control.leadership.liveness import LivenessTracker
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import WorkerChanged, WorkerRemoved
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.announcements import FINAL_SEQUENCE
from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import WorkerRecord


class WorkerLiveness:
    """Proposes the changes of the replicated state that announcements, or their absence, require.

    Parameters
    ----------
    state
        The replicated state.
    liveness
        Records the workers' announcements.
    output
        Collects the proposals.
    """

    def __init__(self, state: FleetState, liveness: LivenessTracker, output: ControlOutput) -> None:
        self._state = state
        self._liveness = liveness
        self._output = output

    def receive_announcements(self, announcements: Iterable[Announcement], now: float) -> None:
        """Record announcements and propose the changes and departures that they report."""
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
        self._liveness.retain_workers(incarnations)

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
        # The sequence is above that of every announcement, so that none in transit can add the
        # worker again.
        removal = WorkerRemoved(
            worker_id=record.worker_id, incarnation=record.incarnation, sequence=FINAL_SEQUENCE
        )
        self._output.propose_once(removal)

    def _differs(self, record: WorkerRecord) -> bool:
        """Whether an announced record differs from the replicated record of its worker.

        The cordon is not compared, because the worker does not announce it.
        """
        entry = self._state.find_worker(record.worker_id)
        if entry is None:
            return True
        normalized = msgspec.structs.replace(
            record,
            cordoned=entry.record.cordoned,
            failure_domain=record.failure_domain or record.worker_id,
        )
        return normalized != entry.record
