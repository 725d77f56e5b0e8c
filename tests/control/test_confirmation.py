"""When a revision is confirmed: adopted by every router that serves (docs/design/freshness.md)."""

from collections.abc import Set

from orchidpath.control.leadership.confirmation import (
    LEASE_EXPIRY_SECONDS,
    ConfirmationGuard,
    ConfirmationTracker,
    RouterMembership,
)

ROUTERS = frozenset({"a", "b", "c"})
START = 100.0
LATER = START + LEASE_EXPIRY_SECONDS


def tracker(
    *router_memberships: RouterMembership, guards: frozenset[ConfirmationGuard] = frozenset()
) -> ConfirmationTracker:
    first = router_memberships or (RouterMembership(1, ROUTERS, ROUTERS),)
    return ConfirmationTracker(1, list(first), START, guards)


def commit(
    one: ConfirmationTracker,
    revision: int,
    routers: Set[str] = ROUTERS,
    witnesses: Set[str] = ROUTERS,
) -> None:
    one.revision_committed(
        revision, RouterMembership(revision, frozenset(routers), frozenset(witnesses))
    )


def test_a_revision_is_confirmed_at_once_when_all_routers_adopted_it() -> None:
    one = tracker()
    commit(one, 2)
    for router in ROUTERS:
        one.router_adopted(router, 2)
    assert one.advance(LATER) == 2


def test_a_new_leader_first_waits_for_leases_granted_by_its_predecessor() -> None:
    one = tracker()
    commit(one, 2)
    for router in ROUTERS:
        one.router_adopted(router, 2)
    assert one.advance(START + 0.1) == 1
    assert one.advance(LATER) == 2


def test_a_lagging_router_delays_confirmation_until_its_lease_expires() -> None:
    one = tracker()
    commit(one, 2)
    one.router_adopted("a", 2)
    one.router_adopted("b", 2)
    assert one.advance(LATER) == 1
    assert one.advance(LATER + LEASE_EXPIRY_SECONDS - 0.01) == 1
    assert one.advance(LATER + LEASE_EXPIRY_SECONDS) == 2


def test_without_a_witness_majority_a_revision_is_never_confirmed() -> None:
    one = tracker()
    commit(one, 2)
    one.router_adopted("a", 2)
    assert one.advance(LATER + 1000) == 1
    one.router_adopted("b", 2)
    one.advance(LATER + 1000)
    assert one.advance(LATER + 1000 + LEASE_EXPIRY_SECONDS) == 2


def test_every_witness_set_since_the_confirmed_revision_needs_a_majority() -> None:
    old = frozenset({"x", "y", "z"})
    one = tracker(RouterMembership(1, old | ROUTERS, old))
    commit(one, 2)
    for router in ROUTERS:
        one.router_adopted(router, 2)
    assert one.advance(LATER + 1000) == 1
    one.router_adopted("x", 2)
    one.router_adopted("y", 2)
    one.advance(LATER + 1000)
    assert one.advance(LATER + 1000 + LEASE_EXPIRY_SECONDS) == 2


def test_a_removed_router_delays_confirmation_once() -> None:
    one = tracker()
    commit(one, 2, routers={"a", "b"}, witnesses={"a", "b"})
    one.router_adopted("a", 2)
    one.router_adopted("b", 2)
    assert one.advance(LATER) == 1
    assert one.advance(LATER + LEASE_EXPIRY_SECONDS) == 2
    commit(one, 3, routers={"a", "b"}, witnesses={"a", "b"})
    one.router_adopted("a", 3)
    one.router_adopted("b", 3)
    assert one.advance(LATER + LEASE_EXPIRY_SECONDS) == 3


def test_without_its_guards_the_tracker_confirms_too_early() -> None:
    for guard in ConfirmationGuard:
        one = tracker(guards=frozenset({guard}))
        commit(one, 2)
        if guard is ConfirmationGuard.WAIT_FOR_LEASE_EXPIRY:
            one.router_adopted("a", 2)
            one.router_adopted("b", 2)
        one.advance(LATER)
        assert one.advance(LATER + LEASE_EXPIRY_SECONDS) == 2
