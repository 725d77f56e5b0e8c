"""Rejection of an invalid configuration, with every problem that was found."""

from orchidpath.common.errors import OrchidpathError
from orchidpath.common.problems import Problem, join_path

__all__ = ["InvalidConfigurationError", "Problem", "join_path"]


class InvalidConfigurationError(OrchidpathError):
    """A configuration is rejected.

    Parameters
    ----------
    problems
        Every problem that was found, at least one.
    """

    def __init__(self, problems: list[Problem]) -> None:
        shown = "; ".join(f"{item.path or 'configuration'}: {item.message}" for item in problems)
        super().__init__(shown)
        self.problems = problems
