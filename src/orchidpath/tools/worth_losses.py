"""Where the days of a measured run lose their worth, as a table."""

from collections.abc import Sequence

from orchidpath.tools.journal import JournalDay, JournalEntry

LEAST_SHOWN = 0.0005
"""A reason that costs less on every day is left out."""


def loss_by_reason(day: JournalDay) -> dict[str, float]:
    """Return what each part and each price costs a day, in worth.

    A part costs its weight times what it lacks of 1; together with the prices that is all that the
    day's worth lacks of 1.
    """
    losses = {
        part.name: part.weight * (1.0 - part.value) for part in day.parts if part.value is not None
    }
    for price in day.prices:
        losses[price.name] = losses.get(price.name, 0.0) + (price.cost or 0.0)
    return losses


def loss_table(entry: JournalEntry) -> list[str]:
    """Return the lines of a table: a row a reason, a column a day, the dearest reason first."""
    days = [day for day in entry.days if day.worth is not None]
    losses = [loss_by_reason(day) for day in days]
    reasons = sorted(
        {reason for one in losses for reason in one},
        key=lambda reason: -sum(one.get(reason, 0.0) for one in losses),
    )
    rows = [_row("worth", [day.worth or 0.0 for day in days])]
    for reason in reasons:
        costs = [one.get(reason, 0.0) for one in losses]
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
