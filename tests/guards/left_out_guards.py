"""Reads the table of guards and leaves one out of a copy of the sources."""

import shutil
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[2]
TABLE = Path(__file__).with_name("left_out.toml")
COPIED_FOLDERS = ("src", "platform", "deploy", "tests", "docs", "examples")
COPIED_FILES = ("pyproject.toml",)


class GuardTextError(Exception):
    """The text of an edit does not occur exactly once in its file."""


class Edit(NamedTuple):
    """Lines that enforce a rule, and their replacement without it."""

    file: str
    text: str
    instead: str


class LeftOutGuard(NamedTuple):
    """One guard: the rule that it enforces, the tests that must fail, and its edits."""

    name: str
    rule: str
    tests: tuple[str, ...]
    edits: tuple[Edit, ...]


def read_guards(path: Path = TABLE) -> list[LeftOutGuard]:
    """Return the guards of the table, in its order."""
    table = tomllib.loads(path.read_text())
    return [
        LeftOutGuard(
            name=name,
            rule=entry["rule"],
            tests=tuple(entry["tests"]),
            edits=tuple(Edit(**edit) for edit in entry["edits"]),
        )
        for name, entry in table.items()
    ]


def without(edit: Edit, root: Path = ROOT) -> str:
    """Return the text of an edit's file with the guard left out.

    Raises
    ------
    GuardTextError
        The text does not occur there exactly once.
    """
    source = (root / edit.file).read_text()
    found = source.count(edit.text)
    if found != 1:
        raise GuardTextError(f"{edit.file}: {found} times, not once: {edit.text!r}")
    return source.replace(edit.text, edit.instead)


def copy_with(edits: Sequence[Edit], folder: Path) -> None:
    """Write a copy of the sources and tests, with edits made, into an empty folder."""
    skipped = shutil.ignore_patterns("__pycache__", "*.egg-info")
    for name in COPIED_FOLDERS:
        shutil.copytree(ROOT / name, folder / name, ignore=skipped)
    for name in COPIED_FILES:
        shutil.copyfile(ROOT / name, folder / name)
    for edit in edits:
        (folder / edit.file).write_text(without(edit, folder))
