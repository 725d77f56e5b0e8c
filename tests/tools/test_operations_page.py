"""The on-call tables of `docs/operations.md` list exactly the code's log events and metrics."""

import ast
import json

import pytest
from operations_page import (
    EVENTS_HEADING,
    LOGGER_NAMES,
    METRICS_HEADING,
    PAGE,
    ROOT,
    MissingSectionError,
    PageRow,
    UnreadableEventError,
    UnreadableMetricError,
    compare,
    log_events,
    logger_names,
    metric_names,
    page_commands,
    page_rows,
    source_trees,
    unknown_words,
)

from orchidpath.cli.main import orchidpath

TEXT = PAGE.read_text()
TREES = tuple(source_trees())
EVENT_ROWS = page_rows(TEXT, EVENTS_HEADING)
METRIC_ROWS = page_rows(TEXT, METRICS_HEADING)
METRICS_CORPUS = ROOT / "tests/compatibility/metrics_list.json"
PROCESSES = ("router", "router of forward routes", "control")
COLUMNS_AFTER_THE_NAME = 4


def event_names() -> set[str]:
    return {event.name for event in log_events(TREES)}


def levels_on_page() -> dict[str, str]:
    return {name: row.cells[0] for row in EVENT_ROWS for name in row.names}


def parsed(source: str) -> list[ast.Module]:
    return [ast.parse(source)]


def test_every_log_event_has_a_row_and_every_row_an_event() -> None:
    assert compare(event_names(), EVENT_ROWS) == (frozenset(), frozenset())


def test_every_metric_has_a_row_and_every_row_a_metric() -> None:
    assert compare(metric_names(TREES), METRIC_ROWS) == (frozenset(), frozenset())


def test_each_event_row_has_the_level_of_the_event() -> None:
    levels = levels_on_page()
    assert {event: levels[event.name] for event in log_events(TREES)} == {
        event: event.level for event in log_events(TREES)
    }


@pytest.mark.parametrize("row", [*EVENT_ROWS, *METRIC_ROWS], ids=lambda row: str(row.names[0]))
def test_each_row_names_one_thing_and_fills_every_column(row: PageRow) -> None:
    assert len(row.names) == 1
    assert len(row.cells) == COLUMNS_AFTER_THE_NAME
    assert all(row.cells)


def test_no_name_has_two_rows() -> None:
    names = [name for row in (*EVENT_ROWS, *METRIC_ROWS) for name in row.names]
    assert len(names) == len(set(names))


@pytest.mark.parametrize("left_out", EVENT_ROWS, ids=lambda row: str(row.names[0]))
def test_a_missing_event_row_is_noticed(left_out: PageRow) -> None:
    rows = [row for row in EVENT_ROWS if row is not left_out]
    assert compare(event_names(), rows) == (frozenset(left_out.names), frozenset())


@pytest.mark.parametrize("left_out", METRIC_ROWS, ids=lambda row: str(row.names[0]))
def test_a_missing_metric_row_is_noticed(left_out: PageRow) -> None:
    rows = [row for row in METRIC_ROWS if row is not left_out]
    assert compare(metric_names(TREES), rows) == (frozenset(left_out.names), frozenset())


@pytest.mark.parametrize("heading", [EVENTS_HEADING, METRICS_HEADING])
def test_a_surplus_row_on_the_page_is_noticed(heading: str) -> None:
    rows = page_rows(TEXT, heading)
    first_row = next(
        line for line in TEXT.splitlines() if line.startswith(f"| `{rows[0].names[0]}")
    )
    page = TEXT.replace(first_row, f"| `of_no_code` | info | any | any | any |\n{first_row}")
    in_code = [name for row in rows for name in row.names]
    assert compare(in_code, page_rows(page, heading)) == (frozenset(), frozenset({"of_no_code"}))


def test_a_new_event_in_the_code_is_noticed() -> None:
    added = parsed(
        'class A:\n    def f(self):\n        self._logger.info("of_no_row", seconds=1)\n'
    )
    names = {event.name for event in log_events([*TREES, *added])}
    assert compare(names, EVENT_ROWS) == (frozenset({"of_no_row"}), frozenset())


def test_a_new_metric_in_the_code_is_noticed() -> None:
    added = parsed('self._metrics.counter("of_no_row", "Documentation.")\n')
    names = metric_names([*TREES, *added])
    assert compare(names, METRIC_ROWS) == (frozenset({"orchidpath_of_no_row_total"}), frozenset())


@pytest.mark.parametrize(
    "source",
    [
        "self._logger.info(event)",
        'logger.error(f"failed_{name}")',
        '_log.log(level, "event")',
        'get_logger("component").warning(name)',
        'await self._logger.ainfo("event")',
    ],
)
def test_an_event_that_is_not_a_literal_is_rejected(source: str) -> None:
    with pytest.raises(UnreadableEventError):
        log_events(parsed(source))


def test_a_metric_name_that_is_not_a_literal_is_rejected() -> None:
    with pytest.raises(UnreadableMetricError):
        metric_names(parsed("self.metrics.gauge(name, 'Documentation.')"))


def test_every_logger_has_a_name_by_which_its_calls_are_found() -> None:
    assert logger_names(TREES) <= LOGGER_NAMES


def test_the_metrics_read_from_the_source_are_those_that_the_processes_expose() -> None:
    corpus = json.loads(METRICS_CORPUS.read_text())
    added = json.loads(METRICS_CORPUS.with_name("metrics_added.json").read_text())
    exposed = {
        metric["name"] + ("_total" if metric["type"] == "counter" else "")
        for process in PROCESSES
        for metric in [*corpus[process], *added.get(process, [])]
    }
    assert metric_names(TREES) == exposed


def test_a_missing_section_is_rejected() -> None:
    with pytest.raises(MissingSectionError):
        page_rows(TEXT.replace(EVENTS_HEADING, "### Other"), EVENTS_HEADING)


@pytest.mark.parametrize("words", sorted(page_commands(TEXT)), ids=" ".join)
def test_each_command_of_the_page_exists(words: tuple[str, ...]) -> None:
    assert unknown_words(orchidpath, words) == []


def test_the_commands_are_found_in_text_and_in_code_blocks() -> None:
    page = "Run `orchidpath config push FILE`.\n   orchidpath status --json\n"
    assert page_commands(page) == {("config", "push", "FILE"), ("status", "--json")}


@pytest.mark.parametrize(
    ("words", "unknown"),
    [
        (("config", "push", "FILE"), ["push"]),
        (("conf",), ["conf"]),
        (("status", "--xml"), ["--xml"]),
        (("config", "put", "FILE", "--base", "0"), []),
    ],
)
def test_a_word_that_is_no_command_or_option_is_noticed(
    words: tuple[str, ...], unknown: list[str]
) -> None:
    assert unknown_words(orchidpath, words) == unknown
