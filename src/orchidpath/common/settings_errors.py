"""Error of a settings file, which reports all problems of the file together."""

from collections.abc import Sequence

import msgspec

from orchidpath.common.errors import OrchidpathError


class SettingProblem(msgspec.Struct, frozen=True, kw_only=True):
    """One problem: the file, the path of the value in the file, and the expected value."""

    file: str
    path: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        place = f"{self.file}: {self.path}" if self.path else self.file
        return f"{place}: {' '.join(self.message.split())}"


class SettingsError(OrchidpathError):
    """A settings file is not valid.

    Parameters
    ----------
    problems
        Every problem that was found; at least one.
    """

    def __init__(self, problems: Sequence[SettingProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(map(str, self.problems)))
