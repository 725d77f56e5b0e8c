"""Membership changes: which are rejected, and how a removed leader steps down."""

import pytest
from consensus_builders import Group, membership

from orchidpath.consensus.errors import (
    InvalidMembershipError,
    MembershipChangePendingError,
)
from orchidpath.consensus.raft_messages import (
    AppendEntries,
)
from orchidpath.consensus.types import (
    Guard,
    Role,
)


@pytest.mark.parametrize("disabled", [None, Guard.SINGLE_MEMBERSHIP_CHANGE])
def test_two_voters_do_not_change_at_once(disabled: Guard | None) -> None:
    group = Group("abcde", disabled=disabled)
    leader = group.elect("a", 2.0)
    if disabled is not None:
        group.change("a", membership("abc"), 2.1)
        return
    with pytest.raises(InvalidMembershipError):
        leader.propose_membership(membership("abc"), 2.1)


def test_no_change_before_an_entry_of_the_term_is_committed() -> None:
    group = Group()
    leader = group.cores["a"]
    leader._replica.election_deadline = 2.0
    group.tick("a", 2.0)
    group.deliver(2.0, lambda _, __, message: not isinstance(message, AppendEntries))
    assert leader.role is Role.LEADER
    with pytest.raises(MembershipChangePendingError):
        leader.propose_membership(membership("ab"), 2.0)


def test_a_leader_that_is_removed_leads_until_its_removal_is_committed() -> None:
    group = Group()
    group.elect("a", 2.0)
    group.change("a", membership("bc"), 2.1)
    assert group.role("a") is Role.LEADER
    group.deliver(2.1)
    assert group.role("a") is Role.LEARNER
    assert group.cores["b"].membership_committed
    group.elect("b", 4.0)


def test_a_group_that_grew_to_two_can_elect_before_the_second_has_the_change() -> None:
    group = Group("a", joining="b")
    group.elect("a", 2.0)
    group.change("a", membership("a", "b"), 2.1)
    group.deliver(2.1)
    group.change("a", membership("ab"), 2.2)
    group.outbox.clear()
    group.start("a", 2.3)
    group.elect("a", 4.0)
    assert group.cores["b"].membership.voters == ("a", "b")
