"""Elections: pre-votes, votes, and the refusal of votes while a leader may hold a lease."""

import pytest
from consensus_builders import Group

from orchidpath.consensus.effects import (
    LeadershipChanged,
    PersistHardState,
    Send,
)
from orchidpath.consensus.raft_messages import (
    RequestVote,
    RequestVoteReply,
)
from orchidpath.consensus.types import (
    Guard,
    Role,
)


def test_a_vote_is_durable_before_it_is_answered() -> None:
    # The effects run in order, so the vote must be persisted before the reply is sent.
    group = Group()
    effects = group.cores["b"].receive(RequestVote("a", 5, False, 9, 4), 2.0)
    kinds = [type(effect) for effect in effects if not isinstance(effect, LeadershipChanged)]
    assert kinds == [PersistHardState, PersistHardState, Send]
    assert group.cores["b"].receive(RequestVote("c", 5, False, 9, 4), 2.0) == [
        Send("c", RequestVoteReply("b", 5, False, granted=False))
    ]


@pytest.mark.parametrize(("disabled", "rises"), [(None, False), (Guard.PRE_VOTE, True)])
def test_an_isolated_follower_keeps_its_term(disabled: Guard | None, rises: bool) -> None:
    group = Group(disabled=disabled)
    group.elect("a", 2.0)
    term = group.cores["c"].term
    for step in range(30):
        group.tick("c", 4.0 + step * 0.5)
    assert (group.cores["c"].term > term) is rises


@pytest.mark.parametrize(("disabled", "granted"), [(None, False), (Guard.LEASE_VOTE_REFUSAL, True)])
@pytest.mark.parametrize("pre_vote", [True, False])
def test_a_follower_in_contact_with_a_leader_grants_no_vote(
    disabled: Guard | None, granted: bool, pre_vote: bool
) -> None:
    group = Group(disabled=disabled)
    group.elect("a", 2.0)
    term = group.cores["b"].term
    request = RequestVote("c", term + 1, pre_vote, 2, term)
    group.outbox.clear()
    group.run("b", group.cores["b"].receive(request, 2.5))
    [(_, _, reply)] = group.outbox
    assert isinstance(reply, RequestVoteReply)
    assert reply.granted is granted
    if not granted:
        assert group.cores["b"].term == term


@pytest.mark.parametrize("disabled", [None, Guard.LEASE_VOTE_REFUSAL])
def test_a_leader_with_a_majority_is_not_deposed_by_a_request(disabled: Guard | None) -> None:
    group = Group(disabled=disabled)
    leader = group.elect("a", 2.0)
    leader.receive(RequestVote("c", leader.term + 1, False, 9, leader.term), 2.1)
    assert (leader.role is Role.LEADER) is (disabled is None)
