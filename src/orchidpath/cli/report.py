"""``orchidpath report``: prints the history of measured scores from the bench's journal."""

from collections.abc import Sequence
from pathlib import Path

import click

from orchidpath.common.errors import OrchidpathError
from orchidpath.tools.journal import JournalEntry, read_journal
from orchidpath.tools.worth_losses import loss_table

COMMIT_CHARACTERS = 7
"""Number of characters of a commit hash that are printed."""


class PlottingMissingError(OrchidpathError):
    """The plotting library is not installed."""


@click.command()
@click.option(
    "--journal",
    "folder",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=Path("journal"),
    show_default=True,
    help="Folder of the journal.",
)
@click.option("--site", help="Print only runs of this deployment.")
@click.option("--trials", is_flag=True, help="Include trial runs and runs of uncommitted sources.")
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Plot the scores into this file; requires the extra 'plot'.",
)
@click.option("--losses", metavar="ID", help="Print the losses of worth on each day of this run.")
def report(
    folder: Path, site: str | None, trials: bool, plot: Path | None, losses: str | None
) -> None:
    """Print the score runs and then the hunt runs of a journal, each oldest first."""
    if losses is not None:
        for line in losses_of(folder, losses):
            click.echo(line)
        return
    entries = [
        entry
        for entry in read_journal(folder)
        if entry.site and (site is None or entry.site == site) and (trials or not entry.is_trial)
    ]
    scores = [entry for entry in entries if entry.command == "score" and entry.score is not None]
    hunts = [entry for entry in entries if entry.command == "hunt" and entry.days]
    for entry in scores:
        click.echo(score_line(entry))
    for entry in hunts:
        click.echo(hunt_line(entry))
    if plot is not None:
        draw(scores, plot)
        click.echo(f"plot written: {plot}")


class UnknownRunError(OrchidpathError):
    """The journal has no run with the given id."""


def losses_of(folder: Path, run_id: str) -> list[str]:
    """Return the lines of a table of the losses of worth on each day of a run.

    Raises
    ------
    UnknownRunError
        The journal has no such run.
    """
    for entry in read_journal(folder):
        if entry.id == run_id:
            return loss_table(entry)
    raise UnknownRunError(f"the journal {folder} contains no run with the id {run_id!r}")


def score_line(entry: JournalEntry) -> str:
    """Return the printed line of a score run."""
    days = " ".join(f"{day.worth:.2f}" for day in entry.days if day.worth is not None)
    kind = "quick" if entry.is_quick else "full "
    gate = "passed" if entry.has_passed else "FAILED"
    return (
        f"{entry.at[0]}  score {kind}  {entry.site:<22} {entry.score:.3f}  gate {gate}  "
        f"{entry.head[:COMMIT_CHARACTERS]}  worth of days: {days}"
    )


def hunt_line(entry: JournalEntry) -> str:
    """Return the printed line of a hunt run."""
    return (
        f"{entry.at[0]}  hunt         {entry.site:<22} {len(entry.days)} days, "
        f"{entry.days_with_broken_rules} with a rule broken  {entry.head[:COMMIT_CHARACTERS]}"
    )


def draw(scores: Sequence[JournalEntry], path: Path) -> None:
    """Plot the scores of each deployment against the order of its runs.

    Raises
    ------
    PlottingMissingError
        The extra 'plot' is not installed.
    """
    try:
        from matplotlib.figure import Figure  # an extra; only this function needs it
    except ImportError as error:
        raise PlottingMissingError("install the extra 'plot': orchidpath[plot]") from error
    figure = Figure(figsize=(9, 4), layout="constrained")
    axes = figure.subplots()
    for site in sorted({entry.site or "" for entry in scores}):
        own = [entry for entry in scores if entry.site == site]
        axes.plot(range(1, len(own) + 1), [entry.score or 0.0 for entry in own], "o-", label=site)
    axes.set_xlabel("scored run")
    axes.set_ylabel("score")
    axes.set_ylim(0.0, 1.05)
    axes.legend()
    figure.savefig(path)
