"""Tracks which committed revision every serving router has applied; performs no I/O.

The leader calls such a revision *confirmed*. First, a majority of every witness set concerned must
have adopted the revision. Then it is confirmed either at once, when every awaited router has
adopted the newest revision and leases granted by an earlier leader have expired, or after
``LEASE_EXPIRY_SECONDS``, when every lease granted on an older revision has expired.
docs/design/freshness.md, "When the leader says confirmed", explains why this is sufficient.
"""

from bisect import bisect_right
from enum import StrEnum

import msgspec

from orchidpath.wire.messages import LEASE_DRIFT_SECONDS, ROUTER_LEASE_SECONDS

LEASE_EXPIRY_SECONDS = ROUTER_LEASE_SECONDS + LEASE_DRIFT_SECONDS
"""After this time every lease that was granted on an older revision has expired."""


class ConfirmationGuard(StrEnum):
    """Safety checks that a test may turn off to show that the checker detects their absence."""

    WITNESS_MAJORITY = "confirm_witness_majority"
    WAIT_FOR_LEASE_EXPIRY = "confirm_wait_for_lapse"


class RouterMembership(msgspec.Struct, frozen=True):
    """The registered routers and the witnesses among them, effective from ``revision`` on."""

    revision: int
    routers: frozenset[str]
    witnesses: frozenset[str]


class _Majority(msgspec.Struct, frozen=True):
    """A majority of every witness set concerned had adopted ``revision`` by the time ``at``."""

    revision: int
    at: float


class ConfirmationTracker:
    """Tracks the newest revision that every serving router has applied.

    While a fleet forms there are hundreds of routers and hundreds of pending revisions, so neither
    `router_adopted` nor `advance` iterates over all routers for each pending revision. Two facts
    make this possible: a majority for a revision is also a majority for every lower revision, and
    it is enough to keep the set of the routers that lag behind the newest revision.

    Parameters
    ----------
    confirmed_revision
        Newest revision recorded as confirmed when this leadership began.
    router_memberships
        Every membership that was effective at ``confirmed_revision`` or later, oldest first.
    now
        Start of this leadership, in monotonic seconds.
    disabled_guards
        Safety checks to turn off; for tests only.
    """

    def __init__(
        self,
        confirmed_revision: int,
        router_memberships: list[RouterMembership],
        now: float,
        disabled_guards: frozenset[ConfirmationGuard] = frozenset(),
    ) -> None:
        self.confirmed_revision = confirmed_revision
        self._router_memberships = list(router_memberships)
        self._adopted: dict[str, int] = {}
        self._pending: list[int] = []
        self._majorities: list[_Majority] = []
        # A router that an earlier leader removed may still hold a lease granted by that leader.
        self._inherited_until = now + LEASE_EXPIRY_SECONDS
        self._disabled = disabled_guards
        self._awaited: set[str] = set()
        self._lagging: set[str] = set()
        self._await_members()

    @property
    def has_lagging_routers(self) -> bool:
        """Whether an awaited router has not reported the newest committed revision."""
        return bool(self._lagging)

    def revision_committed(self, revision: int, router_membership: RouterMembership) -> None:
        """Start to track a revision; ``router_membership`` is effective from this revision on."""
        newest = self._router_memberships[-1] if self._router_memberships else None
        if newest is None or not _have_same_members(newest, router_membership):
            self._router_memberships.append(router_membership)
            self._awaited |= router_membership.routers
        self._pending.append(revision)
        self._lagging = {
            router_id for router_id in self._awaited if self._adopted.get(router_id, 0) < revision
        }

    def router_adopted(self, router_id: str, revision: int) -> None:
        """Record the revision that a router has adopted; after a restart it may be lower."""
        self._adopted[router_id] = revision
        if not self._pending or router_id not in self._awaited:
            return
        if revision >= self._pending[-1]:
            self._lagging.discard(router_id)
        else:
            self._lagging.add(router_id)

    def router_left(self, router_id: str) -> None:
        """Await nothing more of a router that serves no longer and answers no further query.

        It is no longer counted among the witnesses, neither as one that has adopted a revision nor
        as one of those of which a majority is required.
        """
        self._adopted.pop(router_id, None)
        self._router_memberships = [
            RouterMembership(
                router_membership.revision,
                router_membership.routers - {router_id},
                router_membership.witnesses - {router_id},
            )
            for router_membership in self._router_memberships
        ]
        self._await_members()

    def lagging_routers(self) -> list[str]:
        """Return the ids of awaited routers that have not reported the newest committed revision.

        The list is sorted, and empty if no revision is pending.
        """
        return sorted(self._lagging) if self._pending else []

    def advance(self, now: float) -> int:
        """Return the newest confirmed revision as of ``now``."""
        if not self._pending:
            return self.confirmed_revision
        self._record_majority(now)
        confirmed = self._newest_confirmed(now)
        if confirmed > self.confirmed_revision:
            self._confirm(confirmed)
        return self.confirmed_revision

    def _newest_confirmed(self, now: float) -> int:
        newest = self._majorities[-1] if self._majorities else None
        if newest is None:
            return self.confirmed_revision
        if ConfirmationGuard.WAIT_FOR_LEASE_EXPIRY in self._disabled:
            return newest.revision
        all_adopted = newest.revision == self._pending[-1] and not self._lagging
        if all_adopted and now >= self._inherited_until:
            return newest.revision
        expired = [
            majority.revision
            for majority in self._majorities
            if now >= majority.at + LEASE_EXPIRY_SECONDS
        ]
        return max(expired, default=self.confirmed_revision)

    def _record_majority(self, now: float) -> None:
        """Find the newest pending revision that has its majorities, by binary search."""
        known = self._majorities[-1].revision if self._majorities else self.confirmed_revision
        waiting = self._pending[bisect_right(self._pending, known) :]
        low, high = 0, len(waiting)
        while low < high:
            middle = (low + high) // 2
            if self._has_majorities(waiting[middle]):
                low = middle + 1
            else:
                high = middle
        if low > 0:
            self._majorities.append(_Majority(waiting[low - 1], now))

    def _has_majorities(self, revision: int) -> bool:
        """Whether a majority of each witness set up to a revision has adopted that revision.

        If this holds for a revision, it holds for every lower one: fewer witness sets are
        concerned, and a router that has adopted the higher revision has applied the lower one too.
        """
        if ConfirmationGuard.WITNESS_MAJORITY in self._disabled:
            return True
        witness_sets = {
            router_membership.witnesses
            for router_membership in self._router_memberships
            if router_membership.revision <= revision
        }
        return all(self._has_majority(witnesses, revision) for witnesses in witness_sets)

    def _has_majority(self, witnesses: frozenset[str], revision: int) -> bool:
        adopted = sum(1 for witness in witnesses if self._adopted.get(witness, 0) >= revision)
        return not witnesses or adopted > len(witnesses) // 2

    def _confirm(self, revision: int) -> None:
        self.confirmed_revision = revision
        self._pending = self._pending[bisect_right(self._pending, revision) :]
        self._majorities = [
            majority for majority in self._majorities if majority.revision > revision
        ]
        effective = [
            router_membership
            for router_membership in self._router_memberships
            if router_membership.revision <= revision
        ]
        later = [
            router_membership
            for router_membership in self._router_memberships
            if router_membership.revision > revision
        ]
        # All routers that serve have applied the confirmed revision, so no router uses a membership
        # older than the one effective at that revision.
        self._router_memberships = effective[-1:] + later
        self._await_members()

    def _await_members(self) -> None:
        """Await every router of every membership that a router may still use."""
        self._awaited = {
            router_id
            for router_membership in self._router_memberships
            for router_id in router_membership.routers
        }
        newest = self._pending[-1] if self._pending else 0
        self._lagging = {
            router_id for router_id in self._awaited if self._adopted.get(router_id, 0) < newest
        }


def _have_same_members(first: RouterMembership, second: RouterMembership) -> bool:
    return first.routers == second.routers and first.witnesses == second.witnesses
