"""The leader's side of replication: commit, pipelining and retransmission."""

import msgspec
import pytest
from consensus_builders import Group, membership

from orchidpath.consensus.effects import (
    Send,
)
from orchidpath.consensus.raft_messages import (
    AppendEntries,
    AppendEntriesReply,
    RequestVoteReply,
)
from orchidpath.consensus.types import (
    EntryKind,
    Guard,
    HardState,
    LogEntry,
    Role,
)


@pytest.mark.parametrize("disabled", [None, Guard.COMMIT_ONLY_CURRENT_TERM])
def test_an_entry_of_an_earlier_term_does_not_commit_by_counting(disabled: Guard | None) -> None:
    """A later leader can still overwrite such an entry (figure 8 of the Raft paper)."""
    group = Group(disabled=disabled)
    group.hard_states["a"] = HardState(term=3)
    group.logs["a"].append([LogEntry(2, 2, EntryKind.COMMAND, b"old")])
    leader = group.start("a", 0.0)
    group.cores["a"]._replica.election_deadline = 2.0
    group.tick("a", 2.0)
    for pre_vote in (True, False):
        leader.receive(RequestVoteReply("b", 4, pre_vote, granted=True), 2.0)
    assert leader.role is Role.LEADER
    ack = AppendEntriesReply("b", 4, True, sent_at=2.0, prev_index=1, match_index=2)
    leader.receive(ack, 2.0)
    assert leader.commit_index == (0 if disabled is None else 2)
    assert not leader.has_lease(2.0) or disabled is not None
    leader.receive(msgspec.structs.replace(ack, match_index=3), 2.0)
    assert leader.commit_index == 3
    assert leader.has_lease(2.0)


def test_appends_are_pipelined_in_batches_within_the_window() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    group.tick("a", 2.1)
    group.deliver(2.1)
    _, effects = leader.propose([bytes(30)] * 50, 2.1)
    to_b = [e.message for e in effects if isinstance(e, Send) and e.to == "b"]
    sizes = [len(m.entries) for m in to_b if isinstance(m, AppendEntries)]
    assert sizes == [3, 3, 3, 3, 3, 3, 2]
    group.run("a", effects)
    group.deliver(2.1)
    assert leader.commit_index == 52


def test_lost_appends_are_retransmitted() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    group.propose("a", 5, 2.1)
    group.outbox.clear()
    group.propose("a", 1, 2.15)
    group.deliver(2.15)
    assert leader.commit_index == 8


def test_a_learner_does_not_count_towards_a_majority() -> None:
    group = Group("abc", joining="d")
    leader = group.elect("a", 2.0)
    group.change("a", membership("abc", "d"), 2.1)
    group.deliver(2.1)
    group.propose("a", 1, 2.15)
    group.deliver(2.15, lambda _, receiver, __: receiver in "ad")
    assert leader.match_index("d") == leader.last_index
    assert leader.commit_index < leader.last_index
