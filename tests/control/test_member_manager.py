"""The member manager keeps the number of voters, and promotes before it removes."""

import math
from collections.abc import Set

import pytest

from orchidpath.consensus.types import Membership
from orchidpath.control.leadership.member_manager import (
    LEARNER_REMOVAL_SECONDS,
    SUPERSEDED_REMOVAL_SECONDS,
    MemberManager,
    MemberPolicy,
)

POLICY = MemberPolicy(target_voters=3, replace_after_seconds=8.0)
ADDRESSES = {name: f"{name}:1" for name in "abcd"}
COMPLETE = Membership(("a", "b", "c"), ("d",), ADDRESSES)


def change_or_none(
    manager: MemberManager,
    membership: Membership,
    unreachable: Set[str] = frozenset(),
    now: float = 100.0,
) -> Membership | None:
    return manager.next_change(
        "a", membership, lambda node: 0.0 if node in unreachable else now, now
    )


def change(
    manager: MemberManager,
    membership: Membership,
    unreachable: Set[str] = frozenset(),
    now: float = 100.0,
) -> Membership:
    next_membership = change_or_none(manager, membership, unreachable, now)
    assert next_membership is not None
    return next_membership


def test_a_complete_membership_is_unchanged() -> None:
    assert change_or_none(MemberManager(POLICY, 0.0), COMPLETE) is None


def test_a_lost_voter_is_replaced_in_two_steps() -> None:
    manager = MemberManager(POLICY, 0.0)
    first = change(manager, COMPLETE, unreachable={"c"})
    assert first.voters == ("a", "b", "c", "d")
    second = change(manager, first, unreachable={"c"})
    assert second.voters == ("a", "b", "d")
    assert "c" not in second.addresses


def test_without_a_standby_a_lost_voter_stays() -> None:
    alone = Membership(("a", "b", "c"), (), ADDRESSES)
    assert change_or_none(MemberManager(POLICY, 0.0), alone, unreachable={"c"}) is None


def test_an_unreachable_standby_is_never_promoted() -> None:
    assert (
        change_or_none(MemberManager(POLICY, 0.0), COMPLETE, unreachable={"c", "d"}, now=50.0)
        is None
    )


def test_a_new_leader_counts_unreachable_time_from_its_own_start() -> None:
    manager = MemberManager(POLICY, 95.0)
    assert change_or_none(manager, COMPLETE, unreachable={"c"}) is None


def test_a_replica_that_asks_becomes_a_learner_and_then_a_voter() -> None:
    manager = MemberManager(POLICY, 0.0)
    manager.join_requested("e", "e:1")
    small = Membership(("a",), (), {"a": "a:1"})
    joined = change(manager, small)
    assert joined.learners == ("e",)
    assert change(manager, joined).voters == ("a", "e")


def test_a_learner_unreachable_for_long_is_removed() -> None:
    manager = MemberManager(POLICY, 0.0)
    changed = change(manager, COMPLETE, unreachable={"d"}, now=LEARNER_REMOVAL_SECONDS + 1)
    assert changed.learners == ()


def test_a_voter_that_came_back_makes_its_replacement_a_standby_again() -> None:
    manager = MemberManager(POLICY, 0.0)
    grown = change(manager, COMPLETE, unreachable={"c"})
    back = change(manager, grown)
    assert back.voters == ("a", "b", "c")
    assert back.learners == ("d",)


def test_a_voter_whose_address_belongs_to_another_replica_is_replaced_at_once() -> None:
    """The machine restarted with an empty disk, and another voter may be lost within seconds."""
    wiped = Membership(("a", "b", "c"), ("c2",), {**ADDRESSES, "c2": "c:1"})
    manager = MemberManager(POLICY, 0.0)
    promoted = change(manager, wiped, unreachable={"c"}, now=1.0)
    assert promoted.voters == ("a", "b", "c", "c2")
    removed = change(manager, promoted, unreachable={"c"}, now=1.0)
    assert removed.voters == ("a", "b", "c2")


def test_a_voter_whose_address_is_its_own_is_replaced_only_after_the_timeout() -> None:
    elsewhere = Membership(("a", "b", "c"), ("d",), ADDRESSES)
    assert change_or_none(MemberManager(POLICY, 0.0), elsewhere, unreachable={"c"}, now=1.0) is None


def test_a_replica_without_a_disk_never_votes() -> None:
    lost = Membership(("a", "b", "c"), ("d",), ADDRESSES)
    manager = MemberManager(POLICY, 0.0)
    standbys = frozenset({"d"})
    next_membership = manager.next_change(
        "a", lost, lambda node: 0.0 if node == "c" else 100.0, 100.0, standbys
    )
    assert next_membership is None


def test_an_unreachable_learner_whose_address_belongs_to_another_replica_is_removed_early() -> None:
    restarted = Membership(("a", "b", "c"), ("d", "d2"), {**ADDRESSES, "d2": "d:1"})
    left = change(MemberManager(POLICY, 0.0), restarted, unreachable={"d"}, now=10.0)
    assert left.learners == ("d2",)


class Fleet:
    """A member manager whose changes take effect at once, and the replicas that answer it."""

    def __init__(self, membership: Membership, started_at: float = 0.0) -> None:
        self.manager = MemberManager(POLICY, started_at)
        self.membership = membership
        self.silent: set[str] = set()
        self.last_contacts: dict[str, float] = {}
        self.now = started_at

    @property
    def learners(self) -> tuple[str, ...]:
        return tuple(self.membership.learners)

    def run(self, seconds: float) -> None:
        """Let time pass, with a tick and an answer of every other replica each half second."""
        for _ in range(round(2 * seconds)):
            self.now += 0.5
            for member in self.membership.members():
                if member not in self.silent:
                    self.last_contacts[member] = self.now
            self.tick()

    def missing_voters(self) -> int:
        return self.manager.missing_voters(
            "a", self.membership, lambda node: self.last_contacts.get(node, -math.inf), self.now
        )

    def tick(self) -> None:
        changed = self.manager.next_change(
            "a", self.membership, lambda node: self.last_contacts.get(node, -math.inf), self.now
        )
        if changed is not None:
            self.membership = changed


AGES = [0.0, 10.0, LEARNER_REMOVAL_SECONDS, 2 * LEARNER_REMOVAL_SECONDS, 7200.0]
"""Seconds for which a leader has led."""


@pytest.mark.parametrize("age", AGES)
@pytest.mark.parametrize("address", ["e:1", "c:1"])
def test_a_new_learner_has_its_whole_timeout_whatever_the_age_of_the_leader(
    age: float, address: str
) -> None:
    """Guards against a lost voter that is never replaced: its successor was removed at once."""
    fleet = Fleet(Membership(("a", "b", "c"), (), ADDRESSES))
    fleet.run(age)
    fleet.silent = {"c", "e"}
    fleet.run(POLICY.replace_after_seconds + 1)
    fleet.manager.join_requested("e", address)
    fleet.tick()
    timeout = SUPERSEDED_REMOVAL_SECONDS if address == "c:1" else LEARNER_REMOVAL_SECONDS
    fleet.run(timeout - 0.5)
    assert fleet.learners == ("e",)
    fleet.silent = {"c"}
    fleet.run(2.0)
    assert set(fleet.membership.voters) == {"a", "b", "e"}


@pytest.mark.parametrize("age", AGES)
def test_a_demoted_voter_has_its_whole_timeout_as_a_learner(age: float) -> None:
    grown = Membership(("a", "b", "c", "d"), (), ADDRESSES)
    fleet = Fleet(Membership(("a", "b", "c"), (), ADDRESSES))
    fleet.run(age)
    fleet.membership, fleet.last_contacts["d"] = grown, fleet.now
    fleet.tick()
    assert fleet.learners == ("d",)
    fleet.silent = {"d"}
    fleet.run(LEARNER_REMOVAL_SECONDS - 0.5)
    assert fleet.learners == ("d",)
    fleet.run(1.5)
    assert not fleet.learners


@pytest.mark.parametrize("age", AGES)
def test_a_learner_with_another_address_has_its_whole_timeout_there(age: float) -> None:
    fleet = Fleet(COMPLETE)
    fleet.silent = {"d"}
    fleet.run(min(age, LEARNER_REMOVAL_SECONDS - 1.0))
    fleet.silent = set()
    fleet.run(max(age - LEARNER_REMOVAL_SECONDS, 1.0))
    fleet.silent = {"d"}
    fleet.run(LEARNER_REMOVAL_SECONDS - 1.0)
    fleet.manager.join_requested("d", "d:2")
    fleet.run(LEARNER_REMOVAL_SECONDS - 1.0)
    assert fleet.learners == ("d",)
    fleet.run(3.0)
    assert not fleet.learners


@pytest.mark.parametrize("started_at", [0.0, 5000.0])
def test_a_learner_of_an_earlier_leader_has_its_whole_timeout_from_the_new_leaders_start(
    started_at: float,
) -> None:
    fleet = Fleet(COMPLETE, started_at)
    fleet.silent = {"d"}
    fleet.run(LEARNER_REMOVAL_SECONDS)
    assert fleet.learners == ("d",)
    fleet.run(1.0)
    assert not fleet.learners


@pytest.mark.parametrize("age", [POLICY.replace_after_seconds + 1.0, 7200.0])
def test_missing_and_lost_voters_are_counted(age: float) -> None:
    fleet = Fleet(Membership(("a", "b", "c"), (), ADDRESSES))
    fleet.run(age)
    assert fleet.missing_voters() == 0
    fleet.silent = {"c"}
    fleet.run(POLICY.replace_after_seconds)
    assert fleet.missing_voters() == 0
    fleet.run(1.0)
    assert fleet.missing_voters() == 1
    fleet.membership = Membership(("a", "b"), (), ADDRESSES)
    assert fleet.missing_voters() == 1
    fleet.silent = set()
    fleet.membership = Membership(("a", "b", "c", "d"), (), ADDRESSES)
    fleet.last_contacts["d"] = fleet.now
    fleet.run(0.5)
    assert fleet.missing_voters() == 0
