"""Table of the registered routers, and of the witness sets that are chosen from them."""

from collections.abc import Iterable

from orchidpath.state.outcomes import Effect
from orchidpath.state.witnesses import WitnessHistory, WitnessSet, choose_witnesses
from orchidpath.wire.records import RouterRecord


class RouterTable:
    """The registered routers and the history of the witness sets.

    Parameters
    ----------
    routers
        Records of the routers that are registered initially.
    witness_sets
        Initial history of the witness sets, oldest first.
    """

    def __init__(
        self, routers: Iterable[RouterRecord] = (), witness_sets: Iterable[WitnessSet] = ()
    ) -> None:
        self._routers = {record.router_id: record for record in routers}
        self._witnesses = WitnessHistory(witness_sets)

    @property
    def witnesses(self) -> tuple[str, ...]:
        """Ids of the current witness routers."""
        return self._witnesses.current()

    def find(self, router_id: str) -> RouterRecord | None:
        """Return the record of a registered router; None if it is not registered."""
        return self._routers.get(router_id)

    def records(self) -> tuple[RouterRecord, ...]:
        """Return the registered routers, sorted by id."""
        return tuple(self._routers[router_id] for router_id in sorted(self._routers))

    def witness_sets(self) -> list[WitnessSet]:
        """Return the witness sets of the history, oldest first."""
        return self._witnesses.sets()

    def witness_sets_since(self, revision: int) -> tuple[tuple[str, ...], ...]:
        """Return every distinct set that was effective at a revision or later, oldest first.

        Raises
        ------
        WitnessHistoryLostError
            A set that was effective at that revision has been removed from the history.
        """
        return self._witnesses.since(revision)

    def register(self, record: RouterRecord) -> Effect:
        """Add a router or change its record; a record without an id is invalid."""
        if not record.router_id:
            return Effect.INVALID
        if self._routers.get(record.router_id) == record:
            return Effect.UNCHANGED
        self._routers[record.router_id] = record
        return Effect.CHANGED

    def remove(self, router_id: str) -> Effect:
        """Remove a router; the effect is ``UNKNOWN`` if it is not registered."""
        if self._routers.pop(router_id, None) is None:
            return Effect.UNKNOWN
        return Effect.CHANGED

    def forget_witness(self, router_id: str) -> None:
        """Remove a router that answers no further query from every witness set of the history."""
        self._witnesses.forget(router_id)

    def update_witnesses(self, revision: int, confirmed_revision: int) -> None:
        """Choose the witness set for the currently registered routers.

        Parameters
        ----------
        revision
            The revision that changed the registered routers.
        confirmed_revision
            Every serving router has applied this revision or a newer one.
        """
        chosen = choose_witnesses(self.witnesses, self._routers)
        self._witnesses.change(revision, chosen, confirmed_revision)
