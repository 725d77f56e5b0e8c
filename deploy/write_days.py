"""Writes the days of `deploy/days.toml` to `target/days/`, one file each.

A day is a scenario of the users' bench: traffic with planned operations and faults at given times.
The script needs the standard library only.
"""

import json
import sys
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

SOURCE = Path(__file__).with_name("days.toml")
FOLDER = Path("target/days")
EVENT_TIMES_SECONDS = (7.0, 19.0)
"""Times at which each event of a day occurs, from the start of the traffic."""
FIRST_SEED = 4101
"""Seed of the first day; each further day has the next number."""


class EventVariant(NamedTuple):
    """One variant of an event: of a planned operation or of a fault.

    ``fields`` are the parameters of the event in the file format of the users' bench.
    """

    kind: str
    is_planned: bool
    fields: dict[str, Any]

    @property
    def name(self) -> str:
        """Name of the day in which only this event occurs."""
        how = str(self.fields.get("how", "")).replace(" ", "-")
        core = "-core" if "on" in self.fields else ""
        return f"{self.kind}{core}" + (f"-{how}" if how else "")


def read_event_variants(table: dict[str, Any]) -> list[EventVariant]:
    """Return every variant of every kind of event, in the order of the table."""
    return [
        EventVariant(kind, section == "plan", fields)
        for section in ("plan", "faults")
        for kind, variants in table[section].items()
        for fields in variants
    ]


def day_text(name: str, seed: int, variants: list[EventVariant]) -> str:
    """Return the text of a day in which the events occur together, at each of the times."""
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", "one = 0.8", "zero = 0.4"]
    lines.append("goal = { floor = 0.3 }")
    for section, is_planned in (("plan", True), ("faults", False)):
        entries = [
            _entry(variant, moment)
            for variant in variants
            if variant.is_planned is is_planned
            for moment in EVENT_TIMES_SECONDS
        ]
        lines.append(f"{section} = [{', '.join(entries)}]")
    return "\n".join(lines) + "\n"


def _entry(variant: EventVariant, at_seconds: float) -> str:
    fields = {"at": at_seconds, "kind": variant.kind, **variant.fields}
    values = ", ".join(f"{name} = {json.dumps(value)}" for name, value in fields.items())
    return f"{{ {values} }}"


def main() -> int:
    """Write all days and return the exit code."""
    table = tomllib.loads(SOURCE.read_text())
    variants = read_event_variants(table)
    days = {variant.name: [variant] for variant in variants}
    first_variants = {variant.kind: variant for variant in reversed(variants)}
    for pair in table["pairs"]:
        both = [first_variants[kind] for kind in pair["kinds"]]
        days["pair-" + "-".join(variant.kind for variant in both)] = both
    FOLDER.mkdir(parents=True, exist_ok=True)
    for number, (name, events) in enumerate(days.items()):
        (FOLDER / f"{name}.toml").write_text(day_text(name, FIRST_SEED + number, events))
    print(f"{len(days)} days in {FOLDER}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
