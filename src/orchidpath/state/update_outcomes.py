"""Memory of the operators' orders: a repeated order gets its first outcome."""

from collections.abc import Iterable

from orchidpath.state.outcomes import UpdateOutcome, UpdateRecord

ORDER_MEMORY = 20_000
"""How many of the newest orders are remembered."""


class UpdateOutcomes:
    """The newest orders by id, oldest first.

    Parameters
    ----------
    records
        Orders to begin with, oldest first.
    limit
        How many are remembered.
    """

    def __init__(self, records: Iterable[UpdateRecord] = (), limit: int = ORDER_MEMORY) -> None:
        self._limit = limit
        self._records = {record.order_id: record for record in records}

    def find(self, order_id: str) -> UpdateRecord | None:
        """Return the order taken under an id."""
        return self._records.get(order_id)

    def remember(self, order_id: str, digest: str, outcome: UpdateOutcome) -> None:
        """Keep the first outcome of an order and forget the oldest beyond the limit."""
        self._records[order_id] = UpdateRecord(order_id=order_id, digest=digest, outcome=outcome)
        while len(self._records) > self._limit:
            del self._records[next(iter(self._records))]

    def records(self) -> list[UpdateRecord]:
        """Return the remembered orders, oldest first."""
        return list(self._records.values())
