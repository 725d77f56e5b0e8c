"""The table of guards matches the sources: each edit applies once, each named test exists."""

import ast
from pathlib import Path

import pytest
from left_out_guards import (
    ROOT,
    Edit,
    GuardTextError,
    LeftOutGuard,
    read_guards,
    text_without_guard,
)

GUARDS = read_guards()


def function_names(path: Path) -> set[str]:
    tree = ast.parse(path.read_text())
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {node.name for node in ast.walk(tree) if isinstance(node, kinds)}


@pytest.mark.parametrize("guard", GUARDS, ids=[guard.name for guard in GUARDS])
def test_the_text_of_a_guard_occurs_once_in_its_file_and_its_tests_exist(
    guard: LeftOutGuard,
) -> None:
    assert guard.edits
    assert guard.tests
    for edit in guard.edits:
        changed = text_without_guard(edit)
        ast.parse(changed)
        assert changed != (ROOT / edit.file).read_text()
    for test in guard.tests:
        file, _, name = test.partition("::")
        names = function_names(ROOT / file)
        assert not name or name.partition("[")[0] in names


def test_a_text_absent_from_its_file_is_reported() -> None:
    edit = Edit("src/orchidpath/__init__.py", "never stood here", "")
    with pytest.raises(GuardTextError, match=r"orchidpath/__init__\.py: text occurs 0 times"):
        text_without_guard(edit)
