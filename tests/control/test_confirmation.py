"""A revision is confirmed once every serving router has applied it (docs/design/freshness.md)."""

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
    confirmation: ConfirmationTracker,
    revision: int,
    routers: Set[str] = ROUTERS,
    witnesses: Set[str] = ROUTERS,
) -> None:
    confirmation.revision_committed(
        revision, RouterMembership(revision, frozenset(routers), frozenset(witnesses))
    )


def test_a_revision_is_confirmed_at_once_when_all_routers_adopted_it() -> None:
    confirmation = tracker()
    commit(confirmation, 2)
    for router in ROUTERS:
        confirmation.router_adopted(router, 2)
    assert confirmation.advance(LATER) == 2


def test_a_new_leader_first_waits_for_leases_granted_by_its_predecessor() -> None:
    confirmation = tracker()
    commit(confirmation, 2)
    for router in ROUTERS:
        confirmation.router_adopted(router, 2)
    assert confirmation.advance(START + 0.1) == 1
    assert confirmation.advance(LATER) == 2


def test_a_lagging_router_delays_confirmation_until_its_lease_expires() -> None:
    confirmation = tracker()
    commit(confirmation, 2)
    confirmation.router_adopted("a", 2)
    confirmation.router_adopted("b", 2)
    assert confirmation.advance(LATER) == 1
    assert confirmation.advance(LATER + LEASE_EXPIRY_SECONDS - 0.01) == 1
    assert confirmation.advance(LATER + LEASE_EXPIRY_SECONDS) == 2


def test_without_a_witness_majority_a_revision_is_never_confirmed() -> None:
    confirmation = tracker()
    commit(confirmation, 2)
    confirmation.router_adopted("a", 2)
    assert confirmation.advance(LATER + 1000) == 1
    confirmation.router_adopted("b", 2)
    confirmation.advance(LATER + 1000)
    assert confirmation.advance(LATER + 1000 + LEASE_EXPIRY_SECONDS) == 2


def test_every_witness_set_since_the_confirmed_revision_needs_a_majority() -> None:
    old = frozenset({"x", "y", "z"})
    confirmation = tracker(RouterMembership(1, old | ROUTERS, old))
    commit(confirmation, 2)
    for router in ROUTERS:
        confirmation.router_adopted(router, 2)
    assert confirmation.advance(LATER + 1000) == 1
    confirmation.router_adopted("x", 2)
    confirmation.router_adopted("y", 2)
    confirmation.advance(LATER + 1000)
    assert confirmation.advance(LATER + 1000 + LEASE_EXPIRY_SECONDS) == 2


def test_a_removed_router_delays_confirmation_once() -> None:
    confirmation = tracker()
    commit(confirmation, 2, routers={"a", "b"}, witnesses={"a", "b"})
    confirmation.router_adopted("a", 2)
    confirmation.router_adopted("b", 2)
    assert confirmation.advance(LATER) == 1
    assert confirmation.advance(LATER + LEASE_EXPIRY_SECONDS) == 2
    commit(confirmation, 3, routers={"a", "b"}, witnesses={"a", "b"})
    confirmation.router_adopted("a", 3)
    confirmation.router_adopted("b", 3)
    assert confirmation.advance(LATER + LEASE_EXPIRY_SECONDS) == 3


def test_without_its_guards_the_tracker_confirms_too_early() -> None:
    for guard in ConfirmationGuard:
        confirmation = tracker(guards=frozenset({guard}))
        commit(confirmation, 2)
        if guard is ConfirmationGuard.WAIT_FOR_LEASE_EXPIRY:
            confirmation.router_adopted("a", 2)
            confirmation.router_adopted("b", 2)
        confirmation.advance(LATER)
        assert confirmation.advance(LATER + LEASE_EXPIRY_SECONDS) == 2


def test_routers_that_have_left_are_neither_awaited_nor_counted_among_the_witnesses() -> None:
    """Guards against changes that are never confirmed once most witnesses have left for good."""
    confirmation = tracker()
    commit(confirmation, 2)
    confirmation.router_adopted("a", 2)
    assert confirmation.advance(LATER) == 1
    confirmation.router_left("b")
    assert confirmation.advance(LATER) == 1
    confirmation.router_left("c")
    assert confirmation.advance(LATER) == 2
