"""Memory of the operators' orders: a repeated order gets its first outcome."""

from collections.abc import Iterable

from orchidpath.state.outcomes import OrderOutcome, OrderRecord

ORDER_MEMORY = 20_000
"""How many of the newest orders are remembered."""


class OrderMemory:
    """The newest orders by id, oldest first.

    Parameters
    ----------
    records
        Orders to begin with, oldest first.
    limit
        How many are remembered.
    """

    def __init__(self, records: Iterable[OrderRecord] = (), limit: int = ORDER_MEMORY) -> None:
        self._limit = limit
        self._records = {record.order_id: record for record in records}

    def find(self, order_id: str) -> OrderRecord | None:
        """Return the order taken under an id."""
        return self._records.get(order_id)

    def remember(self, order_id: str, digest: str, outcome: OrderOutcome) -> None:
        """Keep the first outcome of an order and forget the oldest beyond the limit."""
        self._records[order_id] = OrderRecord(order_id=order_id, digest=digest, outcome=outcome)
        while len(self._records) > self._limit:
            del self._records[next(iter(self._records))]

    def records(self) -> list[OrderRecord]:
        """Return the remembered orders, oldest first."""
        return list(self._records.values())
