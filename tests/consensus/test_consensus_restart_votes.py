"""Votes of replicas that have just restarted."""

import msgspec
import pytest
from consensus_builders import Group, membership

from orchidpath.consensus.raft_messages import (
    RequestVote,
    RequestVoteReply,
)
from orchidpath.consensus.types import (
    Guard,
    HardState,
    Role,
)


@pytest.mark.parametrize("disabled", [None, Guard.RESTART_VOTE_DELAY])
def test_a_lease_outlives_the_restart_of_a_follower(disabled: Guard | None) -> None:
    """The leader's lease depends on b, which restarts just before c requests its vote.

    If b granted the vote, a second leader could be elected while the lease is valid.
    """
    group = Group(disabled=disabled)
    leader = group.elect("a", 2.0)
    group.propose("a", 1, 3.0 - 0.9)
    group.deliver(2.1)
    group.tick("a", 2.2)
    group.deliver(2.2)
    group.start("b", 2.25)
    request = RequestVote("c", leader.term + 1, False, 3, leader.term)
    group.run("b", group.cores["b"].receive(request, 2.3))
    voted = group.hard_states["b"].voted_for == "c"
    assert leader.has_lease(2.3)
    assert voted is (disabled is not None)
    group.run("b", group.cores["b"].receive(request, 2.9))
    assert group.hard_states["b"].voted_for == "c"


def restart_all(group: Group, now: float) -> None:
    """Restart all replicas at the same time, and drop all messages in flight."""
    group.outbox.clear()
    for name in tuple(group.cores):
        group.start(name, now)


def test_a_group_that_restarts_together_elects_without_the_wait() -> None:
    group = Group()
    group.elect("a", 2.0)
    group.propose("a", 3, 2.1)
    group.deliver(2.1)
    restart_all(group, 5.0)
    group.tick("b", 5.2)
    group.deliver(5.2)
    assert group.role("b") is Role.LEADER
    assert group.cores["b"].has_lease(5.2)


def test_a_restarted_group_with_a_missing_voter_waits() -> None:
    group = Group()
    group.elect("a", 2.0)
    group.deliver(2.1)
    restart_all(group, 5.0)
    del group.cores["a"]
    group.tick("b", 5.2)
    group.deliver(5.2)
    assert group.role("b") is Role.PRE_CANDIDATE
    group.elect("b", 5.7)


def test_restarted_followers_do_not_break_the_lease_of_a_live_leader() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    group.tick("a", 2.2)
    group.deliver(2.2)
    group.start("b", 2.25)
    group.start("c", 2.25)
    group.tick("b", 2.45)
    group.tick("c", 2.45)
    group.deliver(2.45)
    assert leader.role is Role.LEADER
    assert leader.has_lease(2.5)
    assert Role.LEADER not in {group.role("b"), group.role("c")}


@pytest.mark.parametrize("disabled", [None, Guard.START_ID_MATCH])
def test_replies_to_an_earlier_run_of_a_replica_do_not_count(disabled: Guard | None) -> None:
    """A reply that voter a is not the leader must not count after a was elected.

    Replica a replies to c that it does not lead, and is elected. Then c restarts, and the late
    reply arrives.
    """
    group = Group(disabled=disabled)
    group.elect("a", 2.0)
    group.deliver(2.1)
    restart_all(group, 5.0)
    group.tick("c", 5.2)
    group.deliver(5.2, lambda _, receiver, __: receiver == "a", rounds=1)
    [(_, _, late_reply)] = group.outbox
    assert isinstance(late_reply, RequestVoteReply)
    group.outbox.clear()
    leader = group.elect("a", 5.7)
    group.tick("a", 5.8)
    group.deliver(5.8)
    group.start("b", 5.85)
    group.start("c", 5.85)
    group.outbox.clear()
    group.tick("c", 6.02)
    late = msgspec.structs.replace(late_reply, term=group.cores["c"].term)
    group.run("c", group.cores["c"].receive(late, 6.03))
    group.deliver(6.04, lambda sender, receiver, _: "a" not in (sender, receiver))
    assert leader.has_lease(6.05)
    assert (group.role("c") is Role.LEADER) is (disabled is not None)


def test_a_reply_from_before_an_election_breaks_no_lease() -> None:
    """Replica c has the replies of all voters, but a is elected before c requests votes.

    A voter that has the entry of a's term must refuse its vote to c.
    """
    group = Group()
    group.elect("a", 2.0)
    group.deliver(2.1)
    group.hard_states["c"] = HardState(term=group.cores["a"].term + 1)
    restart_all(group, 5.0)
    group.tick("c", 5.2)
    group.deliver(5.2, rounds=2)
    [request] = [message for _, to, message in group.outbox if to == "b"]
    assert isinstance(request, RequestVote)
    assert request.nobody_leads
    group.outbox.clear()
    del group.cores["c"]
    leader = group.elect("a", 5.7)
    group.start("b", 5.75)
    group.run("b", group.cores["b"].receive(request, 5.8))
    assert leader.has_lease(5.8)
    assert group.hard_states["b"].voted_for != "c"


@pytest.mark.parametrize("disabled", [None, Guard.LAST_LEADER_ANSWERS])
def test_a_leader_that_removed_itself_retains_its_lease(disabled: Guard | None) -> None:
    """The remaining voters restart before leader a can commit its removal."""
    group = Group(disabled=disabled)
    leader = group.elect("a", 2.0)
    group.tick("a", 2.1)
    group.deliver(2.1)
    group.change("a", membership("bc"), 2.2)
    group.deliver(2.2, lambda sender, _, __: sender == "a")
    group.outbox.clear()
    group.tick("a", 2.25)
    assert leader.has_lease(2.3)
    group.start("b", 2.3)
    group.start("c", 2.3)
    group.outbox.clear()
    group.tick("c", 2.46)
    group.deliver(2.46, lambda sender, receiver, _: "a" not in (sender, receiver))
    assert leader.has_lease(2.46)
    assert (group.role("c") is Role.LEADER) is (disabled is not None)
