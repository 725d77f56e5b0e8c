"""The error that rejects an invalid configuration and lists every problem found."""

from orchidpath.common.errors import OrchidpathError
from orchidpath.common.problems import Problem, join_path

__all__ = ["InvalidConfigurationError", "Problem", "join_path"]


class InvalidConfigurationError(OrchidpathError):
    """A configuration is invalid and was rejected.

    Parameters
    ----------
    problems
        Every problem found; at least one.
    """

    def __init__(self, problems: list[Problem]) -> None:
        message = "; ".join(
            f"{problem.path or 'configuration'}: {problem.message}" for problem in problems
        )
        super().__init__(message)
        self.problems = problems
