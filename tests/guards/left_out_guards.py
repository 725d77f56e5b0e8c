"""Reads the table of guards, and makes copies of the sources from which a guard is left out.

A guard is the lines of the source that enforce a safety rule.
"""

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


def text_without_guard(edit: Edit, root: Path = ROOT) -> str:
    """Return the text of an edit's file with the guard left out.

    Raises
    ------
    GuardTextError
        The text of the edit does not occur exactly once in its file.
    """
    source = (root / edit.file).read_text()
    found = source.count(edit.text)
    if found != 1:
        raise GuardTextError(
            f"{edit.file}: text occurs {found} times, expected once: {edit.text!r}"
        )
    return source.replace(edit.text, edit.instead)


def copy_with(edits: Sequence[Edit], folder: Path) -> None:
    """Copy the sources and tests into an empty folder and apply edits to the copy."""
    skipped = shutil.ignore_patterns("__pycache__", "*.egg-info")
    for name in COPIED_FOLDERS:
        shutil.copytree(ROOT / name, folder / name, ignore=skipped)
    for name in COPIED_FILES:
        shutil.copyfile(ROOT / name, folder / name)
    for edit in edits:
        (folder / edit.file).write_text(text_without_guard(edit, folder))
