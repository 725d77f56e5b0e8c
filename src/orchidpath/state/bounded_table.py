"""Insertion into a table that forgets its oldest entries beyond a limit.

The replicated state remembers outcomes, incarnations and workers in tables of this kind. The
order of insertion is part of the state, so every replica forgets the same entries.
"""

from typing import TypeVar

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


def insert_newest(
    table: dict[KeyT, ValueT], key: KeyT, value: ValueT, limit: int
) -> tuple[KeyT, ...]:
    """Insert an entry as the newest one, in place of an older entry with the same key.

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
        Keys of the entries that were forgotten, oldest first.
    """
    table.pop(key, None)
    table[key] = value
    forgotten = []
    while len(table) > limit:
        oldest = next(iter(table))
        del table[oldest]
        forgotten.append(oldest)
    return tuple(forgotten)
