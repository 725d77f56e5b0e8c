"""Handles announcements of workers and removes workers that leave or send none; no I/O."""

from collections.abc import Iterable

import msgspec

from orchidpath.control.leadership.liveness import LivenessTracker
from orchidpath.control.leadership.worker_admission import WorkerAdmission
from orchidpath.control.leadership.worker_runs import WorkerRuns
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import WorkerChanged, WorkerRemoved
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.announcements import FINAL_SEQUENCE, MAX_WORKERS
from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import WorkerRecord, WorkerStatus


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
    max_workers
        Largest number of workers that are registered.
    """

    def __init__(
        self,
        state: FleetState,
        liveness: LivenessTracker,
        output: ControlOutput,
        max_workers: int = MAX_WORKERS,
    ) -> None:
        self._state = state
        self._liveness = liveness
        self._output = output
        self._runs = WorkerRuns(state)
        self.admission = WorkerAdmission(state, max_workers)

    def receive_announcements(self, announcements: Iterable[Announcement], now: float) -> None:
        """Record announcements and propose the changes and departures that they report."""
        for announcement in announcements:
            if announcement.leaving:
                self._remove_leaving(announcement.record)
                continue
            if not self.admission.admit(announcement.record.worker_id, now):
                continue
            assigned = self._runs.assign(announcement, now)
            if assigned is not None:
                self._receive_announcement(assigned, now)

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
        self._runs.forget_old(now)
        self.admission.forget_applied(now)

    def _receive_announcement(self, announcement: Announcement, now: float) -> None:
        record = announcement.record
        is_newest = self._liveness.record_announcement(
            record.worker_id, record.incarnation, announcement.sequence, now
        )
        if is_newest and self._differs(record):
            self._output.propose(WorkerChanged(record=record, sequence=announcement.sequence))

    def _remove_leaving(self, record: WorkerRecord) -> None:
        """Propose that the newest run of a worker has ended, whatever it announced before.

        The sequence is above that of every announcement, so that none in transit can add the
        worker again. A worker that is not registered is registered first, as draining: only the end
        of a registered run is recorded.
        """
        run = self._state.newest_run(record.worker_id, record.incarnation)
        entry = self._state.find_worker(record.worker_id)
        if entry is not None and entry.record.incarnation != run:
            return
        if entry is None:
            if self._state.ended_run_sequence(record.worker_id, run) == FINAL_SEQUENCE:
                return
            leaver = msgspec.structs.replace(record, incarnation=run, status=WorkerStatus.DRAINING)
            self._output.propose_once(WorkerChanged(record=leaver, sequence=FINAL_SEQUENCE))
        removal = WorkerRemoved(
            worker_id=record.worker_id, incarnation=run, sequence=FINAL_SEQUENCE
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
