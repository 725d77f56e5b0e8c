"""Insertion into a table that evicts its oldest entries above a limit.

The replicated state stores outcomes, incarnations and abandoned workers in such tables. The order
of insertion is part of the state, so every replica evicts the same entries.
"""

from typing import TypeVar

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


def insert_newest(
    table: dict[KeyT, ValueT], key: KeyT, value: ValueT, limit: int
) -> tuple[KeyT, ...]:
    """Insert an entry as the newest one, replacing an older entry with the same key.

    Parameters
    ----------
    table
        Entries in order of insertion, oldest first.
    key, value
        The entry to insert.
    limit
        Number of entries that are retained.

    Returns
    -------
    tuple
        Keys of the evicted entries, oldest first.
    """
    table.pop(key, None)
    table[key] = value
    evicted = []
    while len(table) > limit:
        oldest = next(iter(table))
        del table[oldest]
        evicted.append(oldest)
    return tuple(evicted)
