"""Every link, path and identifier on the pages refers to something that exists."""

from pathlib import Path

import pytest
from page_references import (
    FOREIGN_NAMES,
    FOREIGN_PATHS,
    GLOSSARY,
    ROOT,
    code_names,
    code_spans,
    former_names,
    pages,
    unresolved,
)

DESIGN_PAGE = ROOT / "docs/design/platform.md"


def _page_id(page: Path) -> str:
    return str(page.relative_to(ROOT))


@pytest.mark.parametrize("page", pages(), ids=_page_id)
def test_all_that_a_page_names_exists(page: Path) -> None:
    assert unresolved(page) == []


@pytest.mark.parametrize(
    ("text", "kind", "reference"),
    [
        ("see [rings](ring.md)", "link", "ring.md"),
        ("see [platform](platform.md#no-such-heading)", "link", "platform.md#no-such-heading"),
        ("`routing/no_ring.py` places prompts", "path", "routing/no_ring.py"),
        ("`tests/routing/test_no_ring.py` shows it", "path", "tests/routing/test_no_ring.py"),
        ("`no_ring.py` places prompts", "path", "no_ring.py"),
        ("`standins/` imitates workers", "path", "standins/"),
        ("run\n```\npython bench/no_such_run.py --part all\n```", "path", "bench/no_such_run.py"),
        ("`NoSuchRing` places prompts", "name", "NoSuchRing"),
        ("`HashRing.no_such_method` places prompts", "name", "HashRing.no_such_method"),
        ("at most `NO_SUCH_LIMIT` of them", "name", "NO_SUCH_LIMIT"),
        ("`test_no_such_behaviour` shows it", "name", "test_no_such_behaviour"),
        ("the core is `consensus.core`", "name", "consensus.core"),
        ("`OrderBook` is a former name", "name", "OrderBook"),
    ],
)
def test_a_reference_to_nothing_is_noticed(text: str, kind: str, reference: str) -> None:
    assert unresolved(DESIGN_PAGE, text) == [("docs/design/platform.md", kind, reference)]


@pytest.mark.parametrize(
    "text",
    [
        "see [decisions](requests.md) and [the first page](../../README.md)",
        "see [the programs](platform.md#programs)",
        "`routing/ring.py`, `tests/routing`, `platform/`, `bench/failover.py`, `run_router.py`",
        "`HashRing`, `HashRing.build`, `VIRTUAL_NODES`, `UpdateStatus.CONFIRMED`, `Ran.NO`",
        "the core is `consensus.raft_core`; the guard `consensus.check_quorum`",
        "`POST /v1/call` answers `text/event-stream`; header `Allow`; method `PATCH`",
        "signal `SIGHUP`, exception `KeyError`, file `fleet.toml`",
        "the variable `ORCHIDPATH_SETTINGS` names the file",
    ],
)
def test_a_reference_that_exists_is_accepted(text: str) -> None:
    assert unresolved(DESIGN_PAGE, text) == []


def test_former_names_are_accepted_in_the_glossary_only() -> None:
    text = "`OrderBook` is `PendingUpdates`"
    assert unresolved(GLOSSARY, text) == []
    assert unresolved(DESIGN_PAGE, text) != []


def test_a_former_class_name_is_no_longer_defined() -> None:
    former_classes = {name for name in former_names() if name[0].isupper()}
    assert former_classes
    assert former_classes & code_names().names == set()


def test_each_exception_is_needed() -> None:
    spans = {span for page in pages() for span in code_spans(page.read_text())}
    words = {word for span in spans for word in span.split()}
    assert [name for name in FOREIGN_NAMES if name not in spans] == []
    assert [path for path in FOREIGN_PATHS if not any(w.startswith(path) for w in words)] == []
    assert set(FOREIGN_NAMES) & code_names().names == set()
