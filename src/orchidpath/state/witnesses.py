"""Choice of the witness routers and the history of the sets that were in force.

A router that does not hear the leader may still serve if a majority of the witnesses knows no
newer revision. A change of the state is confirmed only when it has reached a majority of every
witness set that some router may still use, so the history of the sets is part of the state.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.records import RouterRecord

WITNESS_LIMIT = 9
"""Largest number of witness routers; it bounds the cost of a freshness query."""

WITNESS_HISTORY_LIMIT = 1024
"""Number of witness sets that are remembered."""


class WitnessHistoryLostError(OrchidpathError):
    """The witness sets since a revision are no longer all remembered.

    The caller must not conclude that a quorum intersection holds; it may wait for every lease
    that could rest on the older sets to expire, and then query from a newer revision.
    """


class WitnessSet(msgspec.Struct, frozen=True, kw_only=True):
    """A witness set and the revision from which it is in force."""

    revision: int
    witnesses: tuple[str, ...]


def choose_witnesses(
    current: Iterable[str], routers: Mapping[str, RouterRecord], limit: int = WITNESS_LIMIT
) -> tuple[str, ...]:
    """Return the witness set for the registered routers.

    A registered witness stays one. A vacancy goes to the zone with the fewest witnesses among
    those that have a candidate, and there to the lowest id.

    Parameters
    ----------
    current
        The witness set so far.
    routers
        Registered routers by id.
    limit
        Largest number of witnesses.
    """
    chosen = {router_id for router_id in current if router_id in routers}
    zone_counts = Counter(routers[router_id].zone for router_id in chosen)
    candidates = set(routers) - chosen
    while candidates and len(chosen) < limit:
        best = min(
            candidates, key=lambda item: (zone_counts[routers[item].zone], routers[item].zone, item)
        )
        candidates.discard(best)
        chosen.add(best)
        zone_counts[routers[best].zone] += 1
    return tuple(sorted(chosen))


class WitnessHistory:
    """The witness sets by the revision from which each was in force.

    A set is only forgotten once a revision has been confirmed under a later one: a router that
    serves may still use it until then, and forgetting it would let a quorum miss that router.

    Parameters
    ----------
    sets
        Sets to begin with, oldest first; without any, no router is a witness from revision 0.
    limit
        Number of sets that are remembered.
    """

    def __init__(self, sets: Iterable[WitnessSet] = (), limit: int = WITNESS_HISTORY_LIMIT) -> None:
        self._limit = limit
        self._sets = list(sets) or [WitnessSet(revision=0, witnesses=())]

    def current(self) -> tuple[str, ...]:
        """Return the witness set in force now."""
        return self._sets[-1].witnesses

    def sets(self) -> list[WitnessSet]:
        """Return the remembered sets, oldest first."""
        return list(self._sets)

    def change(self, revision: int, witnesses: tuple[str, ...], confirmed_revision: int) -> bool:
        """Put a set in force from a revision.

        Parameters
        ----------
        revision
            The revision that changed the registered routers.
        witnesses
            The new set; one equal to the current set changes nothing.
        confirmed_revision
            Every serving router has applied this revision or a newer one.

        Returns
        -------
        bool
            False if the history is full of sets that may still be in use. The current set then
            stays in force: a vacancy is left open, and no quorum intersection is lost.
        """
        if witnesses == self.current():
            return True
        while len(self._sets) >= self._limit and self._sets[1].revision <= confirmed_revision:
            del self._sets[0]
        if len(self._sets) >= self._limit:
            return False
        self._sets.append(WitnessSet(revision=revision, witnesses=witnesses))
        return True

    def since(self, revision: int) -> tuple[tuple[str, ...], ...]:
        """Return every distinct set in force from a revision up to now, oldest first.

        An empty set is left out: no router can be fresh by a majority of nobody.

        Raises
        ------
        WitnessHistoryLostError
            Sets of that time have been forgotten.
        """
        if revision < self._sets[0].revision:
            raise WitnessHistoryLostError(f"no witness sets remembered for revision {revision}")
        first = max(
            position for position, item in enumerate(self._sets) if item.revision <= revision
        )
        in_force = [item.witnesses for item in self._sets[first:] if item.witnesses]
        return tuple(dict.fromkeys(in_force))
