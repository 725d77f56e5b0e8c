"""Tests that a walk reports every problem in order and returns a value with placeholders."""

from collections.abc import Iterable
from typing import Any

import msgspec

from orchidpath.common.problems import Problem
from orchidpath.common.typed_walk import find_mismatches, walk


class Inner(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    tags: list[str]


class Outer(msgspec.Struct, forbid_unknown_fields=True):
    inner: Inner
    items: list[Inner] = []
    count: int = 1


class ShortTexts:
    """Rules that accept a string for each plain value."""

    def not_an_object(self, value: object) -> str:
        return "object"

    def not_a_list(self, value: object) -> str:
        return "list"

    def unknown_field(self, known: Iterable[str]) -> str:
        return "unknown"

    def missing_field(self) -> str:
        return "missing"

    def value_problem(self, value: object, expected: Any) -> str:
        return "" if isinstance(value, str) else "string"


def test_every_problem_has_its_path_and_a_placeholder() -> None:
    value = {"zone": 1, "inner": {"name": 2}, "items": [{"name": "a", "tags": ["b", 3]}, 4]}
    result = walk(value, Outer, ShortTexts())
    assert result.problems == [
        Problem(path="zone", message="unknown"),
        Problem(path="inner.name", message="string"),
        Problem(path="inner.tags", message="missing"),
        Problem(path="items[0].tags[1]", message="string"),
        Problem(path="items[1]", message="object"),
    ]
    assert result.readable == {
        "inner": {"name": "", "tags": []},
        "items": [{"name": "a", "tags": ["b", ""]}, {"name": "", "tags": []}],
    }
    assert result.unreadable_paths == {
        "inner.name",
        "inner.tags",
        "items[0].tags[1]",
        "items[1]",
        "items[1].name",
        "items[1].tags",
    }


def test_a_settings_file_gets_the_messages_of_settings() -> None:
    problems = find_mismatches({"inner": 1, "items": {}, "zone": 1}, Outer)
    assert problems == [
        Problem(path="zone", message="unknown setting; known are count, inner, items"),
        Problem(path="inner", message="expected a table, got int"),
        Problem(path="items", message="expected a list, got a table"),
    ]
