"""Bootstrap of a new Raft group: the first log entry."""

import random

import pytest
from consensus_builders import SETTINGS, membership

from orchidpath.consensus.bootstrap import BOOTSTRAP_TERM, needs_bootstrap
from orchidpath.consensus.errors import NotBootstrapVoterError
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.types import (
    EntryKind,
    HardState,
    LogEntry,
    Membership,
    RestoredState,
    Snapshot,
)

ENTRY = LogEntry(1, BOOTSTRAP_TERM, EntryKind.NOOP)


def test_only_a_voter_bootstraps_a_group() -> None:
    with pytest.raises(NotBootstrapVoterError, match="z"):
        RaftCore("z", SETTINGS, RestoredState(), membership("abc"), 0.0, random.Random(1))


@pytest.mark.parametrize(
    ("restored", "expected"),
    [
        (RestoredState(), True),
        (RestoredState(HardState(term=BOOTSTRAP_TERM)), True),
        (RestoredState(HardState(term=BOOTSTRAP_TERM + 1)), False),
        (RestoredState(entries=[ENTRY]), False),
        (RestoredState(snapshot=Snapshot(1, BOOTSTRAP_TERM, Membership(), b"")), False),
    ],
)
def test_a_replica_that_took_part_in_a_group_needs_no_bootstrap(
    restored: RestoredState, expected: bool
) -> None:
    assert needs_bootstrap(restored) is expected
