"""Problems found in decoded data, each with the path of the value that it concerns."""

import msgspec


class Problem(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One problem: the path of a value, such as ``routes[3].deadline_seconds``, and a message.

    The empty path refers to the data as a whole. Problems sort by path.
    """

    path: str
    message: str


def join_path(path: str, field: str) -> str:
    """Return the path of a field of the object at ``path``."""
    return f"{path}.{field}" if path else field
