"""Compares decoded data with a msgspec struct type and collects every mismatch.

msgspec itself stops at the first mismatch, but operators need to see all of them. The walk is used
for settings files (:func:`find_mismatches`) and for configurations
(:mod:`orchidpath.state.configuration_checks.structure`). The two accept different plain values and
have different error texts; each defines both as its :class:`WalkRules`.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Any, Protocol, Union, get_args, get_origin

import msgspec

from orchidpath.common.problems import Problem, join_path

_PLACEHOLDERS: dict[Any, object] = {str: "", bool: False, int: 0, float: 0}


class WalkRules(Protocol):
    """Rules of a walk: which plain values fit a type, and the texts of the problems."""

    def not_an_object(self, value: object) -> str:
        """Return the message for a value in place of an object."""

    def not_a_list(self, value: object) -> str:
        """Return the message for a value in place of a list."""

    def unknown_field(self, known: Iterable[str]) -> str:
        """Return the message for a field that the struct does not have."""

    def missing_field(self) -> str:
        """Return the message for a required field that is missing."""

    def value_problem(self, value: object, expected: Any) -> str:
        """Return why a value does not fit a type other than a struct or list; empty if it fits."""


class WalkResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a walk.

    Attributes
    ----------
    readable
        The data, with a placeholder at every unreadable path.
    problems
        Every problem, in the order in which the walk found it.
    unreadable_paths
        Paths of the values that do not fit their type or are missing.
    """

    readable: Any
    problems: list[Problem]
    unreadable_paths: frozenset[str]


def walk(value: object, expected: type[msgspec.Struct], rules: WalkRules) -> WalkResult:
    """Compare data with a struct type and return the data that fits and every problem.

    Parameters
    ----------
    value
        Data as decoded from TOML or JSON.
    expected
        A msgspec struct type that forbids unknown fields.
    rules
        Which plain values fit a type, and the texts of the problems.
    """
    walker = _Walker(rules)
    readable = walker.read(value, expected, "")
    return WalkResult(
        readable=readable,
        problems=walker.problems,
        unreadable_paths=frozenset(walker.unreadable_paths),
    )


def find_mismatches(value: object, expected: type[msgspec.Struct]) -> list[Problem]:
    """Return every mismatch between a decoded settings file and a struct type.

    Parameters
    ----------
    value
        Data as decoded from TOML or JSON.
    expected
        A msgspec struct type that forbids unknown fields.

    Returns
    -------
    list of Problem
        Empty exactly when ``msgspec.convert(value, expected)`` accepts the value.
    """
    problems = walk(value, expected, _SettingsRules()).problems
    if problems:
        return problems
    message = _conversion_problem(value, expected)
    return [Problem(path="", message=message)] if message else []


class _Walker:
    """State of one walk: the problems and the unreadable paths found so far."""

    def __init__(self, rules: WalkRules) -> None:
        self.problems: list[Problem] = []
        self.unreadable_paths: set[str] = set()
        self._rules = rules

    def read(self, value: object, expected: Any, path: str) -> object:
        """Return a value in which placeholders replace the parts that do not fit."""
        if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
            return self._read_struct(value, expected, path)
        if get_origin(expected) is list:
            return self._read_list(value, get_args(expected)[0], path)
        message = self._rules.value_problem(value, expected)
        if not message:
            return value
        self._reject(path, message)
        return _placeholder(expected)

    def _read_struct(
        self, value: object, expected: type[msgspec.Struct], path: str
    ) -> dict[str, object]:
        is_object = isinstance(value, dict)
        given: dict[str, object] = value if isinstance(value, dict) else {}
        if not is_object:
            self._reject(path, self._rules.not_an_object(value))
        fields = {field.encode_name: field for field in msgspec.structs.fields(expected)}
        self._reject_unknown_fields(given, fields.keys(), path)
        readable: dict[str, object] = {}
        for name, field in fields.items():
            field_path = join_path(path, name)
            if name in given:
                readable[name] = self.read(given[name], field.type, field_path)
            elif field.required:
                readable[name] = _placeholder(field.type)
                self.unreadable_paths.add(field_path)
                # A value that is not an object has already been reported as one problem; its
                # missing fields would add nothing.
                if is_object:
                    problem = Problem(path=field_path, message=self._rules.missing_field())
                    self.problems.append(problem)
        return readable

    def _reject_unknown_fields(
        self, given: dict[str, object], known: Iterable[str], path: str
    ) -> None:
        for name in given:
            if name not in known:
                message = self._rules.unknown_field(known)
                self.problems.append(Problem(path=join_path(path, str(name)), message=message))

    def _read_list(self, value: object, item_type: Any, path: str) -> list[object]:
        if not isinstance(value, list):
            self._reject(path, self._rules.not_a_list(value))
            return []
        return [
            self.read(item, item_type, f"{path}[{position}]") for position, item in enumerate(value)
        ]

    def _reject(self, path: str, message: str) -> None:
        self.problems.append(Problem(path=path, message=message))
        self.unreadable_paths.add(path)


def _placeholder(expected: Any) -> object:
    """Return an arbitrary value of a type, to replace a value that can't be read."""
    if get_origin(expected) is list:
        return []
    if isinstance(expected, type) and issubclass(expected, Enum):
        return next(iter(expected)).value
    if get_origin(expected) is Union:
        return _placeholder(get_args(expected)[0])
    return _PLACEHOLDERS.get(expected)


class _SettingsRules:
    """Rules for settings files: a plain value fits if msgspec can convert it to the type."""

    def not_an_object(self, value: object) -> str:
        return f"expected a table, got {_kind_of(value)}"

    def not_a_list(self, value: object) -> str:
        return f"expected a list, got {_kind_of(value)}"

    def unknown_field(self, known: Iterable[str]) -> str:
        return f"unknown setting; known are {', '.join(sorted(known))}"

    def missing_field(self) -> str:
        return "missing, and it has no default"

    def value_problem(self, value: object, expected: Any) -> str:
        return _conversion_problem(value, expected)


def _conversion_problem(value: object, expected: Any) -> str:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        text = str(error)
        return text[:1].lower() + text[1:]
    return ""


def _kind_of(value: object) -> str:
    kinds = {dict: "a table", list: "a list", str: "a text", bool: "true or false"}
    return kinds.get(type(value), type(value).__name__)
