"""Stored outcomes of configuration updates, which make repeated updates idempotent."""

from collections.abc import Iterable

from orchidpath.state.bounded_table import insert_newest
from orchidpath.state.outcomes import UpdateOutcome, UpdateRecord

UPDATE_OUTCOME_LIMIT = 20_000
"""Number of newest configuration updates whose outcomes are stored."""


class UpdateOutcomes:
    """The newest configuration updates and their outcomes, by id, oldest first.

    Parameters
    ----------
    records
        Initial updates, oldest first.
    limit
        Number of updates that are stored.
    """

    def __init__(
        self, records: Iterable[UpdateRecord] = (), limit: int = UPDATE_OUTCOME_LIMIT
    ) -> None:
        self._limit = limit
        self._records = {record.order_id: record for record in records}

    def find(self, order_id: str) -> UpdateRecord | None:
        """Return the stored update with an id; None if there is none."""
        return self._records.get(order_id)

    def record(self, order_id: str, digest: str, outcome: UpdateOutcome) -> None:
        """Store the first outcome of an update, and evict the oldest updates above the limit."""
        record = UpdateRecord(order_id=order_id, digest=digest, outcome=outcome)
        insert_newest(self._records, order_id, record, self._limit)

    def records(self) -> list[UpdateRecord]:
        """Return the stored updates, oldest first."""
        return list(self._records.values())
