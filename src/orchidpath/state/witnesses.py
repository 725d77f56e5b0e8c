"""Selection of the witness routers, and the history of the witness sets.

A witness is a router that other routers query for the newest revision. A router that does not
receive messages from the leader may still serve if a majority of the witnesses has no newer
revision than its own. A change of the state is therefore confirmed only when it has reached a
majority of every witness set that some router may still use, and the history of the witness sets
is part of the replicated state.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.records import RouterRecord

WITNESS_LIMIT = 9
"""Maximum number of witness routers; it bounds the cost of a freshness query."""

WITNESS_HISTORY_LIMIT = 1024
"""Maximum number of witness sets in the history."""


class WitnessHistoryLostError(OrchidpathError):
    """The history no longer contains every witness set since a revision.

    The caller must not conclude that the quorums intersect. It may wait until every lease that
    could depend on the older sets has expired, and then query from a newer revision.
    """


class WitnessSet(msgspec.Struct, frozen=True, kw_only=True):
    """A witness set and the revision from which it is effective."""

    revision: int
    witnesses: tuple[str, ...]


def choose_witnesses(
    current: Iterable[str], routers: Mapping[str, RouterRecord], limit: int = WITNESS_LIMIT
) -> tuple[str, ...]:
    """Return the witness set for the registered routers.

    A witness that is still registered remains a witness. A vacancy is filled from the zone with
    the fewest witnesses among the zones that have a candidate, with the candidate of the lowest
    id.

    Parameters
    ----------
    current
        The current witness set.
    routers
        Registered routers by id.
    limit
        Maximum number of witnesses.
    """
    chosen = {router_id for router_id in current if router_id in routers}
    zone_counts = Counter(routers[router_id].zone for router_id in chosen)
    candidates = set(routers) - chosen
    while candidates and len(chosen) < limit:
        best = min(
            candidates,
            key=lambda router_id: (
                zone_counts[routers[router_id].zone],
                routers[router_id].zone,
                router_id,
            ),
        )
        candidates.discard(best)
        chosen.add(best)
        zone_counts[routers[best].zone] += 1
    return tuple(sorted(chosen))


class WitnessHistory:
    """The witness sets, each with the revision from which it is effective.

    A set is removed only after a revision has been confirmed at which a later set was effective.
    Until then a serving router may still use the older set; if that set were removed, a quorum
    might not include that router.

    Parameters
    ----------
    sets
        Initial sets, oldest first; by default, one empty set from revision 0.
    limit
        Maximum number of sets.
    """

    def __init__(self, sets: Iterable[WitnessSet] = (), limit: int = WITNESS_HISTORY_LIMIT) -> None:
        self._limit = limit
        self._sets = list(sets) or [WitnessSet(revision=0, witnesses=())]

    def current(self) -> tuple[str, ...]:
        """Return the current witness set."""
        return self._sets[-1].witnesses

    def sets(self) -> list[WitnessSet]:
        """Return the sets of the history, oldest first."""
        return list(self._sets)

    def change(self, revision: int, witnesses: tuple[str, ...], confirmed_revision: int) -> bool:
        """Replace the current witness set from a revision on.

        Parameters
        ----------
        revision
            The revision that changed the registered routers.
        witnesses
            The new set; if it equals the current set, nothing changes.
        confirmed_revision
            Every serving router has applied this revision or a newer one.

        Returns
        -------
        bool
            False if the history is full and every set in it may still be in use. The current set
            then remains effective: a vacancy is not filled, but the quorums still intersect.
        """
        if witnesses == self.current():
            return True
        while len(self._sets) >= self._limit and self._sets[1].revision <= confirmed_revision:
            del self._sets[0]
        if len(self._sets) >= self._limit:
            return False
        self._sets.append(WitnessSet(revision=revision, witnesses=witnesses))
        return True

    def forget(self, router_id: str) -> None:
        """Remove a router from every set, because it answers no further query.

        The majority of a smaller set has more than half of the witnesses that may still answer, so
        those outside it are less than half of the set that a router may still use.
        """
        self._sets = [
            msgspec.structs.replace(
                witness_set,
                witnesses=tuple(
                    witness for witness in witness_set.witnesses if witness != router_id
                ),
            )
            for witness_set in self._sets
        ]

    def since(self, revision: int) -> tuple[tuple[str, ...], ...]:
        """Return every distinct set that was effective at a revision or later, oldest first.

        Empty sets are left out: no router can be confirmed as fresh by an empty set of witnesses.

        Raises
        ------
        WitnessHistoryLostError
            A set that was effective at that revision has been removed from the history.
        """
        if revision < self._sets[0].revision:
            raise WitnessHistoryLostError(f"the history has no witness set for revision {revision}")
        first = max(
            position
            for position, witness_set in enumerate(self._sets)
            if witness_set.revision <= revision
        )
        witness_sets = [
            witness_set.witnesses for witness_set in self._sets[first:] if witness_set.witnesses
        ]
        return tuple(dict.fromkeys(witness_sets))
