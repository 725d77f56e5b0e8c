"""The in-memory replicated log: gaps and the installation of snapshots."""

import pytest

from orchidpath.consensus.errors import LogGapError
from orchidpath.consensus.log import ReplicaLog
from orchidpath.consensus.types import EntryKind, LogEntry, Membership, Snapshot


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, b"x")


def test_an_entry_that_does_not_follow_the_last_one_is_rejected() -> None:
    log = ReplicaLog(None, [entry(1)])
    with pytest.raises(LogGapError, match="entry 3 does not follow the last entry of the log, 1"):
        log.append([entry(3)])


@pytest.mark.parametrize(("snapshot_term", "last_index"), [(1, 3), (2, 2)])
def test_a_snapshot_retains_later_entries_only_where_the_logs_agree(
    snapshot_term: int, last_index: int
) -> None:
    log = ReplicaLog(None, [entry(1), entry(2), entry(3)])
    log.install(Snapshot(2, snapshot_term, Membership(), b""))
    assert log.last_index == last_index
