"""Memory of the configuration updates: a repeated update gets its first outcome."""

from collections.abc import Iterable

from orchidpath.state.bounded_table import insert_newest
from orchidpath.state.outcomes import UpdateOutcome, UpdateRecord

UPDATE_MEMORY = 20_000
"""Number of the newest configuration updates that are remembered."""


class UpdateOutcomes:
    """The newest configuration updates by id, oldest first.

    Parameters
    ----------
    records
        Updates to begin with, oldest first.
    limit
        Number of updates that are remembered.
    """

    def __init__(self, records: Iterable[UpdateRecord] = (), limit: int = UPDATE_MEMORY) -> None:
        self._limit = limit
        self._records = {record.order_id: record for record in records}

    def find(self, order_id: str) -> UpdateRecord | None:
        """Return the update remembered under an id."""
        return self._records.get(order_id)

    def record(self, order_id: str, digest: str, outcome: UpdateOutcome) -> None:
        """Remember the first outcome of an update and forget the oldest beyond the limit."""
        record = UpdateRecord(order_id=order_id, digest=digest, outcome=outcome)
        insert_newest(self._records, order_id, record, self._limit)

    def records(self) -> list[UpdateRecord]:
        """Return the remembered updates, oldest first."""
        return list(self._records.values())
