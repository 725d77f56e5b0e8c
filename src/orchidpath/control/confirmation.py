"""When a committed revision is in force at every router that serves; pure.

Kept by the leader. The rule and why it is enough: docs/design/freshness.md, "When the leader says
confirmed".
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.messages import LEASE_DRIFT_SECONDS, ROUTER_LEASE_SECONDS

LAPSE_SECONDS = ROUTER_LEASE_SECONDS + LEASE_DRIFT_SECONDS
"""After this long no lease that was given on an older revision can hold any more."""


class ConfirmationGuard(StrEnum):
    """Guards that a test may turn off to see the checker catch what they hold."""

    WITNESS_MAJORITY = "confirm_witness_majority"
    WAIT_FOR_LAPSE = "confirm_wait_for_lapse"


class Roster(msgspec.Struct, frozen=True):
    """Registered routers and the witnesses among them, in force from ``revision`` on."""

    revision: int
    routers: frozenset[str]
    witnesses: frozenset[str]


class _Pending(msgspec.Struct):
    revision: int
    majority_at: float | None = None


class ConfirmationTracker:
    """Follows which revision every serving router obeys.

    Parameters
    ----------
    confirmed_revision
        The newest revision known to be confirmed when this leadership began.
    rosters
        Every roster in force at any revision from ``confirmed_revision`` on, oldest first.
    now
        Monotonic seconds.
    disabled_guards
        For tests only.
    """

    def __init__(
        self,
        confirmed_revision: int,
        rosters: list[Roster],
        now: float,
        disabled_guards: frozenset[ConfirmationGuard] = frozenset(),
    ) -> None:
        self.confirmed_revision = confirmed_revision
        self._rosters = rosters
        self._adopted: dict[str, int] = {}
        self._pending: list[_Pending] = []
        # Routers removed under an earlier leader may still hold a lease that it gave them.
        self._inherited_until = now + LAPSE_SECONDS
        self._disabled = disabled_guards

    def revision_committed(self, revision: int, roster: Roster) -> None:
        """Start to follow a revision; ``roster`` is the one in force after it."""
        newest = self._rosters[-1] if self._rosters else None
        changed = (
            newest is None
            or newest.routers != roster.routers
            or newest.witnesses != roster.witnesses
        )
        if changed:
            self._rosters.append(roster)
        self._pending.append(_Pending(revision))

    def router_adopted(self, router_id: str, revision: int) -> None:
        """Take a router's word; a restarted router may report a lower revision than before."""
        self._adopted[router_id] = revision

    def lagging_routers(self) -> list[str]:
        """Return the registered routers that have not reported the newest committed revision."""
        if not self._pending or not self._rosters:
            return []
        newest = self._pending[-1].revision
        return sorted(
            router_id
            for router_id in self._rosters[-1].routers
            if self._adopted.get(router_id, 0) < newest
        )

    def advance(self, now: float) -> int:
        """Return the newest confirmed revision as of ``now``."""
        for pending in self._pending:
            if pending.majority_at is None and self._has_majorities(pending.revision):
                pending.majority_at = now
        for pending in reversed(self._pending):
            if self._is_confirmed(pending, now):
                self._confirm(pending.revision)
                break
        return self.confirmed_revision

    def next_deadline(self) -> float:
        """When `advance` may confirm something without any further message."""
        waits = [p.majority_at + LAPSE_SECONDS for p in self._pending if p.majority_at is not None]
        return min(waits, default=float("inf"))

    def _rosters_up_to(self, revision: int) -> list[Roster]:
        return [roster for roster in self._rosters if roster.revision <= revision]

    def _has_majorities(self, revision: int) -> bool:
        if ConfirmationGuard.WITNESS_MAJORITY in self._disabled:
            return True
        for roster in self._rosters_up_to(revision):
            adopted = sum(1 for one in roster.witnesses if self._adopted.get(one, 0) >= revision)
            if roster.witnesses and adopted <= len(roster.witnesses) // 2:
                return False
        return True

    def _is_confirmed(self, pending: _Pending, now: float) -> bool:
        if pending.majority_at is None:
            return False
        if ConfirmationGuard.WAIT_FOR_LAPSE in self._disabled:
            return True
        if now >= pending.majority_at + LAPSE_SECONDS:
            return True
        if now < self._inherited_until:
            return False
        routers = {
            one for roster in self._rosters_up_to(pending.revision) for one in roster.routers
        }
        return all(self._adopted.get(one, 0) >= pending.revision for one in routers)

    def _confirm(self, revision: int) -> None:
        self.confirmed_revision = revision
        self._pending = [pending for pending in self._pending if pending.revision > revision]
        in_force = self._rosters_up_to(revision)
        later = [roster for roster in self._rosters if roster.revision > revision]
        # Of the older rosters only the one in force at the confirmed revision can still be obeyed.
        self._rosters = in_force[-1:] + later
