"""Writes the days of `deploy/days.toml` for the users' bench, one file each, to `target/days/`."""

import json
import sys
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

SOURCE = Path(__file__).with_name("days.toml")
FOLDER = Path("target/days")
MOMENTS_SECONDS = (7.0, 19.0)
"""When a kind of trouble comes, counted from the start of traffic."""
FIRST_SEED = 4101


class Trouble(NamedTuple):
    """One way of one kind of trouble."""

    kind: str
    is_planned: bool
    fields: dict[str, Any]

    @property
    def name(self) -> str:
        """Name of the day that plays it alone."""
        how = str(self.fields.get("how", "")).replace(" ", "-")
        core = "-core" if "on" in self.fields else ""
        return f"{self.kind}{core}" + (f"-{how}" if how else "")


def read_troubles(table: dict[str, Any]) -> list[Trouble]:
    """Return every way of every kind."""
    return [
        Trouble(kind, section == "plan", fields)
        for section in ("plan", "faults")
        for kind, ways in table[section].items()
        for fields in ways
    ]


def day_text(name: str, seed: int, troubles: list[Trouble]) -> str:
    """Return the text of a day that plays the troubles together, at each of the moments."""
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", "one = 0.8", "zero = 0.4"]
    lines.append("goal = { floor = 0.3 }")
    for section, is_planned in (("plan", True), ("faults", False)):
        entries = [
            _entry(trouble, moment)
            for trouble in troubles
            if trouble.is_planned is is_planned
            for moment in MOMENTS_SECONDS
        ]
        lines.append(f"{section} = [{', '.join(entries)}]")
    return "\n".join(lines) + "\n"


def _entry(trouble: Trouble, at_seconds: float) -> str:
    fields = {"at": at_seconds, "kind": trouble.kind, **trouble.fields}
    values = ", ".join(f"{name} = {json.dumps(value)}" for name, value in fields.items())
    return f"{{ {values} }}"


def main() -> int:
    """Write all days; returns the exit code."""
    table = tomllib.loads(SOURCE.read_text())
    troubles = read_troubles(table)
    days = {trouble.name: [trouble] for trouble in troubles}
    firsts = {trouble.kind: trouble for trouble in reversed(troubles)}
    for pair in table["pairs"]:
        both = [firsts[kind] for kind in pair["kinds"]]
        days["pair-" + "-".join(trouble.kind for trouble in both)] = both
    FOLDER.mkdir(parents=True, exist_ok=True)
    for number, (name, played) in enumerate(days.items()):
        (FOLDER / f"{name}.toml").write_text(day_text(name, FIRST_SEED + number, played))
    print(f"{len(days)} days in {FOLDER}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
