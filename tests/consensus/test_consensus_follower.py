"""The follower's side of replication: second leaders and conflicting entries."""

import pytest
from consensus_builders import Group

from orchidpath.consensus.errors import (
    ProtocolViolationError,
)
from orchidpath.consensus.raft_messages import (
    AppendEntries,
)
from orchidpath.consensus.types import (
    EntryKind,
    HardState,
    LogEntry,
)


def test_a_second_leader_in_a_term_is_a_violation() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    with pytest.raises(ProtocolViolationError):
        leader.receive(AppendEntries("b", leader.term, 0, 0, 0, 0.0), 2.0)


def test_conflicting_entries_are_skipped_a_term_at_a_time() -> None:
    group = Group()
    other = [LogEntry(n, 2 + n // 50, EntryKind.COMMAND, b"lost") for n in range(2, 150)]
    group.hard_states["c"] = HardState(term=5)
    group.logs["c"].append(other)
    group.start("c", 0.0)
    group.hard_states["a"] = HardState(term=6)
    group.logs["a"].append([LogEntry(2, 6, EntryKind.COMMAND, b"kept")])
    group.start("a", 0.0)
    group.cores["a"]._replica.election_deadline = 2.0
    group.tick("a", 2.0)
    rounds = group.deliver(2.0)
    assert group.cores["c"].last_index == 3
    assert group.logs["c"].entries_between(2, 3) == group.logs["a"].entries_between(2, 3)
    assert rounds < 14
