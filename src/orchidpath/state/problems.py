"""Problems found in a configuration, each with the path of the place where it is."""

import msgspec

from orchidpath.common.errors import OrchidpathError


class Problem(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One thing that is wrong with a configuration.

    ``path`` names the place, such as ``routes[3].deadline_seconds``; the empty path is the whole
    configuration.
    """

    path: str
    message: str


class InvalidConfigurationError(OrchidpathError):
    """A configuration is refused.

    Parameters
    ----------
    problems
        Everything that was found wrong, at least one.
    """

    def __init__(self, problems: list[Problem]) -> None:
        shown = "; ".join(f"{item.path or 'configuration'}: {item.message}" for item in problems)
        super().__init__(shown)
        self.problems = problems


def join_path(path: str, field: str) -> str:
    """Return the path of a field of the object at a path."""
    return f"{path}.{field}" if path else field
