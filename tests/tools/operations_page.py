"""Reads log events, metrics and commands from the code and from `docs/operations.md`."""

import ast
import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import click

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs/operations.md"
SOURCE_FOLDERS = ("src", "platform")

EVENTS_HEADING = "### Log events"
METRICS_HEADING = "### Metrics"

LOGGER_NAMES = frozenset({"log", "logger"})
"""Names of loggers in the source, without leading underscores."""

LOGGER_FACTORY = "get_logger"

LEVEL_BY_METHOD = {
    "debug": "debug",
    "info": "info",
    "warning": "warning",
    "error": "error",
    "exception": "error",
    "critical": "critical",
}

OTHER_LOGGING_METHODS = frozenset({"log", "msg", "warn", "fatal", "err", "failure"}) | {
    f"a{method}" for method in LEVEL_BY_METHOD
}
"""Other methods that write a log line; the source must not use them."""

NAMESPACE = "orchidpath"
SUFFIX_BY_METHOD = {"counter": "_total", "gauge": "", "latency": ""}
"""Suffix that the exposition adds to a metric's name, by the `Metrics` method that creates it."""


class UnreadableEventError(Exception):
    """The event or level of a log call cannot be determined from the source."""


class UnreadableMetricError(Exception):
    """The name of a metric cannot be determined from the source."""


class MissingSectionError(Exception):
    """The page has no section with this heading."""


class LogEvent(NamedTuple):
    """A log event and the level at which it is logged."""

    name: str
    level: str


class PageRow(NamedTuple):
    """One row of a table: the names in its first cell, and the text of the other cells."""

    names: tuple[str, ...]
    cells: tuple[str, ...]


class Differences(NamedTuple):
    """Names of the code without a row on the page, and rows without a name in the code."""

    missing_rows: frozenset[str]
    surplus_rows: frozenset[str]


def source_trees() -> Iterator[ast.Module]:
    """Yield the syntax tree of each module of `src/` and `platform/`."""
    for folder in SOURCE_FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            yield ast.parse(path.read_text(), filename=str(path))


def log_events(trees: Iterable[ast.Module]) -> set[LogEvent]:
    """Return every event that the modules log.

    Raises
    ------
    UnreadableEventError
        An event is not a literal, or the level of a logging method is not known here.
    """
    return {
        _log_event(call, method)
        for call, method, receiver in _method_calls(trees)
        if _is_logger(receiver) and method in LEVEL_BY_METHOD.keys() | OTHER_LOGGING_METHODS
    }


def metric_names(trees: Iterable[ast.Module]) -> set[str]:
    """Return every metric that the modules create, by the name that `/metrics` shows.

    Raises
    ------
    UnreadableMetricError
        A name is not a literal.
    """
    names = set()
    for call, method, receiver in _method_calls(trees):
        if method not in SUFFIX_BY_METHOD or not _last_name(receiver).endswith("metrics"):
            continue
        name = _first_text(call)
        if name is None:
            raise UnreadableMetricError(ast.unparse(call))
        names.add(f"{NAMESPACE}_{name}{SUFFIX_BY_METHOD[method]}")
    return names


def logger_names(trees: Iterable[ast.Module]) -> set[str]:
    """Return the names to which the modules assign loggers."""
    names: set[str] = set()
    for tree in trees:
        for node in ast.walk(tree):
            if isinstance(node, ast.Assign):
                targets = node.targets
            elif isinstance(node, ast.AnnAssign):
                targets = [node.target]
            else:
                continue
            if isinstance(node.value, ast.Call) and _last_name(node.value.func) == LOGGER_FACTORY:
                names.update(_last_name(target).lstrip("_") for target in targets)
    return names


def page_rows(page: str, heading: str) -> list[PageRow]:
    """Return the rows of the tables below a heading, up to the next heading.

    Raises
    ------
    MissingSectionError
        There is no such heading.
    """
    _, found, rest = page.partition(f"\n{heading}\n")
    if not found:
        raise MissingSectionError(heading)
    section = re.split(r"\n#+ ", rest, maxsplit=1)[0]
    lines = [line for line in section.splitlines() if line.startswith("| `")]
    return [_page_row(line) for line in lines]


def compare(in_code: Iterable[str], rows: Iterable[PageRow]) -> Differences:
    """Return the names of the code that have no row, and the rows without a name in the code."""
    on_page = frozenset(name for row in rows for name in row.names)
    code = frozenset(in_code)
    return Differences(missing_rows=code - on_page, surplus_rows=on_page - code)


def page_commands(page: str) -> set[tuple[str, ...]]:
    """Return each `orchidpath` command on the page as its words, arguments included."""
    found = re.findall(r"(?:`|^ *|/)orchidpath((?: [^\s`|]+)+)", page, re.MULTILINE)
    return {tuple(words.split()) for words in found}


def unknown_words(root: click.Group, words: Iterable[str]) -> list[str]:
    """Return the words that are not commands, and the options that the command does not have."""
    command: click.Command = root
    context = click.Context(root)
    unknown = []
    for word in words:
        if word.startswith("-"):
            if word not in _options(command, context):
                unknown.append(word)
        elif isinstance(command, click.Group):
            found = command.get_command(context, word)
            if found is None:
                return [word]
            command = found
    return unknown


def _method_calls(trees: Iterable[ast.Module]) -> Iterator[tuple[ast.Call, str, ast.expr]]:
    for tree in trees:
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                yield node, node.func.attr, node.func.value


def _options(command: click.Command, context: click.Context) -> set[str]:
    return {option for parameter in command.get_params(context) for option in parameter.opts}


def _is_logger(receiver: ast.expr) -> bool:
    if isinstance(receiver, ast.Call):
        return _last_name(receiver.func) == LOGGER_FACTORY
    return _last_name(receiver).lstrip("_") in LOGGER_NAMES


def _last_name(expression: ast.expr) -> str:
    match expression:
        case ast.Attribute(attr=name) | ast.Name(id=name):
            return name
        case _:
            return ""


def _log_event(call: ast.Call, method: str) -> LogEvent:
    name = _first_text(call)
    if name is None or method not in LEVEL_BY_METHOD:
        raise UnreadableEventError(ast.unparse(call))
    return LogEvent(name, LEVEL_BY_METHOD[method])


def _first_text(call: ast.Call) -> str | None:
    match call.args:
        case [ast.Constant(value=str(text)), *_]:
            return text
        case _:
            return None


def _page_row(line: str) -> PageRow:
    first, *others = (cell.strip() for cell in re.split(r"(?<!\\)\|", line.strip().strip("|")))
    return PageRow(tuple(re.findall(r"`([^`]+)`", first)), tuple(others))
