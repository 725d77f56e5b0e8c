"""Reads the journal of measured runs, in which the users' bench writes one JSON file per run."""

from pathlib import Path
from typing import Any

import msgspec

from orchidpath.common.errors import OrchidpathError


class JournalPart(msgspec.Struct, frozen=True, array_like=True):
    """One part of a day's worth: its weight and its value between 0 and 1."""

    name: str
    weight: float
    value: float | None


class JournalPrice(msgspec.Struct, frozen=True, array_like=True):
    """One price of a day: the amount used and its cost in worth.

    Both are None if the day was not counted.
    """

    name: str
    amount: float | None
    cost: float | None


class JournalDay(msgspec.Struct, frozen=True, kw_only=True):
    """One simulated day of a run.

    Attributes
    ----------
    name
        Name of the day.
    worth
        Credit earned divided by credit owed, minus the costs of the prices.
    score
        Position of the worth between the day's marks, 0 to 1; None for a day without marks.
    rules
        Broken rules by name, each with the number of times it was broken.
    parts
        Parts of the worth.
    prices
        Prices whose costs are subtracted from the worth.
    by_class
        Share of the worth that each kind of request earned; None if nothing is owed for the kind.
    """

    name: str = ""
    worth: float | None = msgspec.field(name="G", default=None)
    score: float | None = None
    rules: dict[str, Any] = {}
    parts: tuple[JournalPart, ...] = ()
    prices: tuple[JournalPrice, ...] = ()
    by_class: tuple[float | None, ...] = ()


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One run of the users' bench, as recorded in its JSON file of the journal.

    Attributes
    ----------
    id
        Random part of the file's name.
    at
        Start and end of the run, ISO 8601.
    command
        Command that was run, such as ``score``, ``run`` or ``hunt``.
    arguments
        Arguments of the command.
    why
        Purpose of the run.
    head
        Commit that was measured.
    dirty
        Whether the sources differed from that commit.
    site
        Deployment; empty for a run that was interrupted.
    figures
        Figures by name; ``gate`` is 1 if the deployment passed.
    score
        Score of the deployment; None for other commands.
    days
        Simulated days of the run.
    """

    id: str
    at: tuple[str, str]
    command: str = msgspec.field(name="cmd")
    arguments: tuple[str, ...] = msgspec.field(name="argv", default=())
    why: str = ""
    head: str = ""
    dirty: bool = False
    site: str | None = None
    figures: dict[str, float] = {}
    score: float | None = None
    days: tuple[JournalDay, ...] = ()

    @property
    def is_trial(self) -> bool:
        """Whether the run measured a scratch copy or uncommitted sources."""
        return self.dirty or self.why.startswith("trial")

    @property
    def has_passed(self) -> bool:
        """Whether the deployment passed the gate."""
        return self.figures.get("gate", 0.0) >= 1.0

    @property
    def is_quick(self) -> bool:
        """Whether the run was limited to the light days."""
        return "--quick" in self.arguments

    @property
    def days_with_broken_rules(self) -> int:
        """Number of days on which a rule was broken."""
        return sum(1 for day in self.days if day.rules)


class DamagedJournalError(OrchidpathError):
    """A file of the journal cannot be read or decoded as an entry."""


def read_journal(folder: Path) -> list[JournalEntry]:
    """Return all entries of a journal, oldest first.

    Parameters
    ----------
    folder
        Folder with the ``*.json`` files of the entries.

    Raises
    ------
    DamagedJournalError
        A file cannot be read or decoded as an entry.
    """
    decoder = msgspec.json.Decoder(JournalEntry)
    entries = []
    for path in sorted(folder.glob("*.json")):
        try:
            entries.append(decoder.decode(path.read_bytes()))
        except (OSError, msgspec.MsgspecError) as error:
            raise DamagedJournalError(f"{path.name}: {error}") from error
    return sorted(entries, key=lambda entry: entry.at[0])
