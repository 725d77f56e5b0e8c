"""Checks of a configuration's structure: its fields and their types, with all problems reported.

A value that cannot be decoded is replaced by a placeholder, so that the semantic checks can still
run on the rest of the configuration. Its path is recorded, and problems that the semantic checks
report at that path are ignored.
"""

import math
import re
from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec

from orchidpath.common.digits import MAX_DIGITS
from orchidpath.common.problems import Problem
from orchidpath.common.typed_walk import walk
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.integers import LARGE_INTEGER_PATTERN, EncodedInteger

_SHOWN_CHARACTERS = 40
"""Maximum number of characters of a value in a message."""


class Structure(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration with placeholders at unreadable paths, and its structural problems."""

    configuration: Configuration
    problems: list[Problem]
    unreadable_paths: frozenset[str]


def read_structure(value: object) -> Structure:
    """Return the configuration in decoded JSON and its structural problems.

    Parameters
    ----------
    value
        Any value that a JSON document can contain.

    Returns
    -------
    Structure
        If it has no problems, its configuration is exactly that of the document.
    """
    result = walk(value, Configuration, _ConfigurationRules())
    return Structure(
        configuration=msgspec.convert(result.readable, Configuration),
        problems=result.problems,
        unreadable_paths=result.unreadable_paths,
    )


class _ConfigurationRules:
    """Rules for values of a configuration: unlike settings, values are never converted."""

    def not_an_object(self, value: object) -> str:
        return f"must be an object, is {_show(value)}"

    def not_a_list(self, value: object) -> str:
        return f"must be a list, is {_show(value)}"

    def unknown_field(self, known: Iterable[str]) -> str:
        return "is not a known field"

    def missing_field(self) -> str:
        return "is required"

    def value_problem(self, value: object, expected: Any) -> str:
        requirement = _unmet_requirement(value, expected)
        return f"must be {requirement}, is {_show(value)}" if requirement else ""


def _unmet_requirement(value: object, expected: Any) -> str:
    """Return the requirement that a plain value does not meet; empty if the value is valid."""
    if expected is str:
        return "" if isinstance(value, str) else "a string"
    if expected is bool:
        return "" if isinstance(value, bool) else "true or false"
    if expected is int:
        return "" if _is_integer(value) else "an integer"
    if expected == EncodedInteger:
        return "" if _is_encoded_integer(value) else "an integer, or the digits of a large one"
    if expected is float:
        return "" if _is_finite_number(value) else "a number"
    if isinstance(expected, type) and issubclass(expected, Enum):
        names = [str(member.value) for member in expected]
        return "" if value in names else "one of " + ", ".join(names)
    raise NotImplementedError(f"no rule for values of type {expected}")


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_encoded_integer(value: object) -> bool:
    if not isinstance(value, str):
        return _is_integer(value)
    return len(value) <= MAX_DIGITS and re.search(LARGE_INTEGER_PATTERN, value) is not None


def _is_finite_number(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def _show(value: object) -> str:
    """Return a short form of a value for a message."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    try:
        text = msgspec.json.encode(value).decode()
    except (msgspec.MsgspecError, OverflowError, ValueError):
        return "not representable"
    return text if len(text) <= _SHOWN_CHARACTERS else text[:_SHOWN_CHARACTERS] + "..."
