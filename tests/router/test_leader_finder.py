"""How a router finds the leader: terms of control members, and queries of the seeds."""

from orchidpath.router.fleet_link.leader_finder import LEADER_SILENT_SECONDS, LeaderFinder
from orchidpath.wire.messages import ControlMembers
from orchidpath.wire.records import ControlMember

SEEDS = ["s1", "s2", "s3"]


def members(term: int, leader: str = "c1") -> ControlMembers:
    known = tuple(
        ControlMember(node_id=node_id, address=f"{node_id}:1") for node_id in ("c1", "c2")
    )
    return ControlMembers(term=term, leader_id=leader, members=known)


def test_members_of_an_older_term_or_without_a_leader_are_ignored() -> None:
    finder = LeaderFinder(SEEDS, 0.0)
    assert finder.leader_address == ""
    assert finder.update_members(members(3))
    assert finder.leader_address == "c1:1"
    assert not finder.update_members(members(2, "c2"))
    assert not finder.update_members(members(3, ""))
    assert not finder.update_members(ControlMembers(term=9, leader_id="", members=()))
    assert finder.update_members(members(4, "c2"))
    assert finder.leader_address == "c2:1"


def test_seeds_are_queried_only_while_the_leader_is_unreachable() -> None:
    finder = LeaderFinder(SEEDS, 0.0)
    finder.update_members(members(3))
    finder.record_leader_contact(1.0)
    assert finder.addresses(1.1) == {"c1:1", "c2:1"}
    assert not finder.should_query(1.1)
    unreachable_at = 1.0 + LEADER_SILENT_SECONDS
    assert finder.addresses(unreachable_at) == {"c1:1", "c2:1", *SEEDS}
    assert finder.should_query(unreachable_at)
    assert not finder.should_query(unreachable_at + 0.01)
