"""Witness sets: size, spread over zones, stability, and the history that lets quorums intersect."""

import random

import pytest
from state_builders import apply, registered, restored

from orchidpath.state.commands import RemoveRouter, RevisionConfirmed
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.witnesses import (
    WITNESS_LIMIT,
    WitnessHistory,
    WitnessHistoryLostError,
    choose_witnesses,
)
from orchidpath.wire.records import RouterRecord


def record(router_id: str, zone: str) -> RouterRecord:
    return RouterRecord(router_id=router_id, address="a", http_address="h", zone=zone)


def routers_in_zones(*zones: str) -> dict[str, RouterRecord]:
    records = [record(f"r{number:02}", zone) for number, zone in enumerate(zones)]
    return {router.router_id: router for router in records}


def test_witnesses_are_spread_over_the_zones() -> None:
    routers = routers_in_zones(*["z1"] * 10, "z2", "z3", "z3")
    chosen = choose_witnesses((), routers)
    assert len(chosen) == WITNESS_LIMIT
    zones = [routers[router_id].zone for router_id in chosen]
    assert (zones.count("z1"), zones.count("z2"), zones.count("z3")) == (6, 1, 2)
    assert choose_witnesses((), routers_in_zones("z1", "z1", "z2"), limit=2) == ("r00", "r02")


def test_a_witness_is_kept_and_a_vacancy_goes_to_the_least_represented_zone() -> None:
    routers = routers_in_zones(*["z1"] * 9, "z2", "z1", "z2")
    current = tuple(sorted(routers))[:WITNESS_LIMIT]
    assert choose_witnesses(current, routers) == current
    del routers["r03"]
    after = choose_witnesses(current, routers)
    assert set(current) - {"r03"} == set(after) - {"r09"}
    assert "r09" in after


def test_witnesses_of_a_changing_membership_change_only_by_vacancies() -> None:
    generator = random.Random(7)
    state = FleetState()
    names = [f"r{number:02}" for number in range(16)]
    for _ in range(500):
        before = set(state.witnesses)
        name = generator.choice(names)
        if generator.random() < 0.6:
            apply(state, registered(name, f"z{int(name[1:]) % 4}"))
        else:
            apply(state, RemoveRouter(router_id=name))
        registered_ids = {router.router_id for router in state.routers()}
        after = set(state.witnesses)
        assert before & registered_ids <= after <= registered_ids
        assert len(after) == min(WITNESS_LIMIT, len(registered_ids))
        apply(state, RevisionConfirmed(revision=state.revision))


def test_every_witness_set_effective_since_a_revision_is_listed() -> None:
    state = FleetState()
    for name in ("r1", "r2", "r3"):
        apply(state, registered(name, "z"))
    apply(state, RemoveRouter(router_id="r1"))
    state = restored(state)
    assert state.witness_sets_since(4) == (("r2", "r3"),)
    assert state.witness_sets_since(3) == (("r1", "r2", "r3"), ("r2", "r3"))
    assert state.witness_sets_since(1) == (
        ("r1",),
        ("r1", "r2"),
        ("r1", "r2", "r3"),
        ("r2", "r3"),
    )
    # The witness set of revision 0 is empty, so no router can be confirmed as fresh by it.
    assert state.witness_sets_since(0) == state.witness_sets_since(1)


def test_a_witness_set_that_recurs_is_listed_once() -> None:
    history = WitnessHistory()
    for revision, witnesses in ((1, ("a",)), (2, ("b",)), (3, ("a",))):
        assert history.change(revision, witnesses, confirmed_revision=0)
    assert history.since(1) == (("a",), ("b",))


def test_a_full_history_removes_confirmed_sets_and_never_unconfirmed_ones() -> None:
    history = WitnessHistory(limit=3)
    assert history.change(1, ("a",), confirmed_revision=0)
    assert history.change(2, ("b",), confirmed_revision=0)
    assert not history.change(3, ("c",), confirmed_revision=0)
    assert history.current() == ("b",)
    assert history.since(0) == (("a",), ("b",))
    assert history.change(4, ("c",), confirmed_revision=1)
    assert history.since(1) == (("a",), ("b",), ("c",))
    with pytest.raises(WitnessHistoryLostError):
        history.since(0)
