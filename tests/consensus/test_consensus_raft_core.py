"""Proposals, commits and applied entries in a Raft group without faults."""

import pytest
from consensus_builders import Group

from orchidpath.consensus.effects import (
    Apply,
    PersistEntries,
)
from orchidpath.consensus.errors import (
    NotLeaderError,
)


def test_a_leader_commits_and_the_followers_apply() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    assert group.propose("a", 3, 2.1) == [3, 4, 5]
    group.deliver(2.1)
    group.tick("a", 2.2)
    group.deliver(2.2)
    assert leader.commit_index == 5
    assert group.applied["a"] == group.applied["b"] == group.applied["c"]
    assert [leader.match_index(n) for n in "abc"] == [5, 5, 5]
    with pytest.raises(NotLeaderError) as raised:
        group.cores["b"].propose([b"x"], 2.2)
    assert raised.value.leader_id == "a"


def test_one_voter_leads_alone_and_persists_before_it_applies() -> None:
    group = Group("a")
    group.elect("a", 2.0)
    _, effects = group.cores["a"].propose([b"x"], 2.0)
    assert [type(effect) for effect in effects] == [PersistEntries, Apply]
    # The lease holds even after a long pause, because no other replica can have been elected.
    assert group.cores["a"].has_lease(60.0)
