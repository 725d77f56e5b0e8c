"""Snapshot transfer to a follower that needs compacted entries."""

import pytest
from consensus_builders import Group, membership

from orchidpath.consensus.errors import (
    CompactionError,
    InvalidMembershipError,
    LearnerNotCaughtUpError,
    MembershipChangePendingError,
)
from orchidpath.consensus.raft_messages import (
    InstallSnapshot,
    RaftMessage,
)
from orchidpath.consensus.types import (
    Role,
)


def test_a_snapshot_reaches_a_learner_in_chunks_and_it_becomes_a_voter() -> None:
    group = Group("abc", joining="d")
    leader = group.elect("a", 2.0)
    group.propose("a", 30, 2.1)
    group.deliver(2.1)
    group.run("a", leader.compact(b"state of the machine at 20", 20, 2.1))
    with pytest.raises(CompactionError):
        leader.compact(b"again", 20, 2.1)
    with pytest.raises(InvalidMembershipError):
        leader.propose_membership(membership("abcd"), 2.1)
    group.change("a", membership("abc", "d"), 2.1)
    with pytest.raises(MembershipChangePendingError):
        leader.propose_membership(membership("abc"), 2.1)
    group.deliver(2.1, lambda _, receiver, __: receiver != "d")
    with pytest.raises(LearnerNotCaughtUpError):
        leader.propose_membership(membership("abcd"), 2.1)
    chunks: list[int] = []

    def count(_: str, __: str, message: RaftMessage) -> bool:
        if isinstance(message, InstallSnapshot):
            chunks.append(message.offset)
        return True

    group.tick("a", 2.2)
    group.deliver(2.2, count)
    assert chunks == [0, 10, 20]
    assert group.role("d") is Role.LEARNER
    assert leader.match_index("d") == leader.last_index
    group.change("a", membership("abcd"), 2.2)
    group.deliver(2.2)
    assert leader.membership_committed
    assert group.role("d") is Role.FOLLOWER
    restarted = group.start("d", 2.3)
    assert restarted.membership.voters == tuple("abcd")
