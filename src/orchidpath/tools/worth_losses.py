"""Table of the losses of worth on each day of a measured run, by reason."""

from collections.abc import Sequence

from orchidpath.tools.journal import JournalDay, JournalEntry

LEAST_SHOWN = 0.0005
"""Smallest cost in worth that is shown; a reason below this on every day is omitted."""


def loss_by_reason(day: JournalDay) -> dict[str, float]:
    """Return the cost in worth of each part and each price of a day, by name.

    A part costs its weight times the difference of its value from 1. The costs of all parts and
    prices add up to the difference of the day's worth from 1.
    """
    losses = {
        part.name: part.weight * (1.0 - part.value) for part in day.parts if part.value is not None
    }
    for price in day.prices:
        losses[price.name] = losses.get(price.name, 0.0) + (price.cost or 0.0)
    return losses


def loss_table(entry: JournalEntry) -> list[str]:
    """Return the lines of a table: a row per reason, most costly first, and a column per day."""
    days = [day for day in entry.days if day.worth is not None]
    losses = [loss_by_reason(day) for day in days]
    reasons = sorted(
        {reason for day_losses in losses for reason in day_losses},
        key=lambda reason: -sum(day_losses.get(reason, 0.0) for day_losses in losses),
    )
    rows = [_row("worth", [day.worth or 0.0 for day in days])]
    for reason in reasons:
        costs = [day_losses.get(reason, 0.0) for day_losses in losses]
        if max(costs, default=0.0) >= LEAST_SHOWN:
            rows.append(_row(reason, costs))
    for position in range(max((len(day.by_class) for day in days), default=0)):
        shares = [day.by_class[position] for day in days if position < len(day.by_class)]
        if all(share is not None for share in shares):
            rows.append(_row(f"served, kind {position + 1}", [share or 0.0 for share in shares]))
    names = "".join(f"{day.name[:12]:>13}" for day in days)
    return [f"{entry.id}  {entry.site}  {entry.why}", f"{'':<44}{names}", *rows]


def _row(name: str, values: Sequence[float]) -> str:
    return f"{name[:43]:<44}" + "".join(f"{value:>13.4f}" for value in values)
