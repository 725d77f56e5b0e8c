"""When a committed revision is in force at every serving router; pure.

Kept by the leader. The rule and why it is enough: docs/design/freshness.md, "When the leader says
confirmed".
"""

from bisect import bisect_right
from enum import StrEnum

import msgspec

from orchidpath.wire.messages import LEASE_DRIFT_SECONDS, ROUTER_LEASE_SECONDS

LEASE_EXPIRY_SECONDS = ROUTER_LEASE_SECONDS + LEASE_DRIFT_SECONDS
"""After this long no lease that was given on an older revision can hold any more."""


class ConfirmationGuard(StrEnum):
    """Guards that a test may turn off to see the checker catch what they prevent."""

    WITNESS_MAJORITY = "confirm_witness_majority"
    WAIT_FOR_LEASE_EXPIRY = "confirm_wait_for_lapse"


class RouterMembership(msgspec.Struct, frozen=True):
    """Registered routers and the witnesses among them, in force from ``revision`` on."""

    revision: int
    routers: frozenset[str]
    witnesses: frozenset[str]


class _Majority(msgspec.Struct, frozen=True):
    """At ``at`` a majority of every witness set concerned was seen to have adopted ``revision``."""

    revision: int
    at: float


class ConfirmationTracker:
    """Follows which revision every serving router obeys.

    While a fleet forms there are hundreds of routers and of revisions at once, so nothing here
    looks at all routers for each revision: a majority for a revision is one for every lower one,
    and of the routers only those that lag behind the newest revision are kept apart.

    Parameters
    ----------
    confirmed_revision
        The newest revision known to be confirmed when this leadership began.
    router_memberships
        Every membership in force at any revision from ``confirmed_revision`` on, oldest first.
    now
        Monotonic seconds.
    disabled_guards
        For tests only.
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
        # Routers removed under an earlier leader may still hold a lease that it gave them.
        self._inherited_until = now + LEASE_EXPIRY_SECONDS
        self._disabled = disabled_guards
        self._awaited: set[str] = set()
        self._lagging: set[str] = set()
        self._await_members()

    @property
    def is_anyone_lagging(self) -> bool:
        """Whether some awaited router has not reported the newest committed revision."""
        return bool(self._lagging)

    def revision_committed(self, revision: int, router_membership: RouterMembership) -> None:
        """Start to follow a revision; ``router_membership`` is the one in force after it."""
        newest = self._router_memberships[-1] if self._router_memberships else None
        if newest is None or not _is_same(newest, router_membership):
            self._router_memberships.append(router_membership)
            self._awaited |= router_membership.routers
        self._pending.append(revision)
        self._lagging = {one for one in self._awaited if self._adopted.get(one, 0) < revision}

    def router_adopted(self, router_id: str, revision: int) -> None:
        """Note what a router has adopted; a restarted router may report less than before."""
        self._adopted[router_id] = revision
        if not self._pending or router_id not in self._awaited:
            return
        if revision >= self._pending[-1]:
            self._lagging.discard(router_id)
        else:
            self._lagging.add(router_id)

    def lagging_routers(self) -> list[str]:
        """Return the awaited routers that have not reported the newest committed revision."""
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
        expired = [one.revision for one in self._majorities if now >= one.at + LEASE_EXPIRY_SECONDS]
        return max(expired, default=self.confirmed_revision)

    def _record_majority(self, now: float) -> None:
        """Find the newest pending revision that has its majorities, by halving."""
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
        """Whether a majority of each witness set up to a revision has adopted it.

        One for a revision is one for every lower one: fewer sets are concerned, and whoever has
        adopted the higher revision obeys the lower one too.
        """
        if ConfirmationGuard.WITNESS_MAJORITY in self._disabled:
            return True
        witness_sets = {
            one.witnesses for one in self._router_memberships if one.revision <= revision
        }
        return all(self._has_majority(witnesses, revision) for witnesses in witness_sets)

    def _has_majority(self, witnesses: frozenset[str], revision: int) -> bool:
        adopted = sum(1 for one in witnesses if self._adopted.get(one, 0) >= revision)
        return not witnesses or adopted > len(witnesses) // 2

    def _confirm(self, revision: int) -> None:
        self.confirmed_revision = revision
        self._pending = self._pending[bisect_right(self._pending, revision) :]
        self._majorities = [one for one in self._majorities if one.revision > revision]
        in_force = [
            router_membership
            for router_membership in self._router_memberships
            if router_membership.revision <= revision
        ]
        later = [
            router_membership
            for router_membership in self._router_memberships
            if router_membership.revision > revision
        ]
        # Of the older ones only the one in force at the confirmed revision can still be obeyed.
        self._router_memberships = in_force[-1:] + later
        self._await_members()

    def _await_members(self) -> None:
        """Await every router of every membership that some router may still obey."""
        self._awaited = {
            one
            for router_membership in self._router_memberships
            for one in router_membership.routers
        }
        newest = self._pending[-1] if self._pending else 0
        self._lagging = {one for one in self._awaited if self._adopted.get(one, 0) < newest}


def _is_same(first: RouterMembership, second: RouterMembership) -> bool:
    return first.routers == second.routers and first.witnesses == second.witnesses
