"""Decides whether the replicated state shows that a worker drains or has left; performs no I/O."""

from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.announcements import FINAL_SEQUENCE
from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import WorkerStatus


def shows_departure(state: FleetState, announcement: Announcement) -> bool:
    """Return whether no announcement that was sent before this one can make its worker available.

    A worker that leaves without being registered must be recorded as well: its earlier
    announcements may still be in transit.

    Parameters
    ----------
    state
        A state that was read after the announcement was passed to the leader.
    announcement
        An announcement with which a worker drains or leaves.
    """
    record = announcement.record
    run = state.newest_run(record.worker_id, record.incarnation)
    entry = state.find_worker(record.worker_id)
    if entry is not None and entry.record.incarnation == run:
        return not announcement.leaving and entry.record.status is WorkerStatus.DRAINING
    if entry is not None:
        return True
    last_sequence = state.ended_run_sequence(record.worker_id, run)
    if last_sequence is None:
        return False
    return last_sequence >= (FINAL_SEQUENCE if announcement.leaving else announcement.sequence)
