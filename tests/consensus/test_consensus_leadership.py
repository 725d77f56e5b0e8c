"""Leader lease, linearizable reads, and the conditions under which a leader steps down."""

import pytest
from consensus_builders import Group

from orchidpath.consensus.errors import (
    NotLeaderError,
)
from orchidpath.consensus.raft_messages import (
    AppendEntriesReply,
    RequestVoteReply,
)
from orchidpath.consensus.types import (
    Guard,
    Role,
)


@pytest.mark.parametrize(
    ("disabled", "role"), [(None, Role.FOLLOWER), (Guard.CHECK_QUORUM, Role.LEADER)]
)
def test_a_leader_without_a_majority_steps_down(disabled: Guard | None, role: Role) -> None:
    group = Group(disabled=disabled)
    leader = group.elect("a", 2.0)
    for step in range(15):
        group.tick("a", 2.0 + step * 0.1)
    assert leader.role is role


@pytest.mark.parametrize("disabled", [None, Guard.WAKE_STEP_DOWN])
def test_a_leader_resumed_after_a_pause_accepts_no_proposal(disabled: Guard | None) -> None:
    group = Group(disabled=disabled)
    leader = group.elect("a", 2.0)
    assert leader.has_lease(2.2)
    assert not leader.has_lease(2.6)
    if disabled is not None:
        assert leader.propose([b"x"], 2.6)[0] == [3]
        return
    with pytest.raises(NotLeaderError):
        leader.propose([b"x"], 2.6)


@pytest.mark.parametrize("disabled", [None, Guard.LEASE_FROM_SEND_TIME])
def test_a_late_acknowledgement_renews_no_lease(disabled: Guard | None) -> None:
    group = Group(disabled=disabled)
    leader = group.elect("a", 2.0)
    group.tick("a", 2.1)
    group.deliver(2.1, lambda _, receiver, __: receiver != "a")
    for step in range(1, 5):
        group.tick("a", 2.1 + step * 0.1)
    late = AppendEntriesReply("b", leader.term, True, sent_at=2.1, prev_index=2, match_index=2)
    leader.receive(late, 2.62)
    assert leader.has_lease(2.62) is (disabled is not None)


def test_a_read_without_a_lease_waits_for_a_majority() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    for step in range(1, 6):
        group.tick("a", 2.0 + step * 0.1)
    group.outbox.clear()
    ticket = leader.read_barrier(2.55)
    assert leader.next_deadline(2.55) == 2.55
    assert not leader.read_is_ready(ticket, 2.55)
    group.tick("a", 2.56)
    group.deliver(2.57)
    assert leader.read_is_ready(ticket, 2.57)
    leader.receive(RequestVoteReply("b", 99, False, granted=False), 2.6)
    with pytest.raises(NotLeaderError):
        leader.read_is_ready(ticket, 2.6)
