"""Tests that the JSON messages are read and written as in the corpus."""

from enum import Enum, StrEnum
from typing import Any

import msgspec
import pytest
from http_answers import operator_answers
from http_corpus import Case, cases_of, check_case, read_cases, read_json, values_of
from http_labels import ENUMERATIONS, MESSAGES, MODULES, NOT_WRITTEN
from http_names import http_names
from http_samples import reachable_types

LARGE_LABELS = read_cases("http_large_labels.json")
"""Later cases: a label may be the digits of a large number."""
CASES = {
    label: [*cases, *LARGE_LABELS.get(label, [])]
    for label, cases in read_cases("http_messages.json").items()
}
VALUES = read_json("http_enumerations.json")


@pytest.mark.parametrize("label", CASES)
def test_a_message_is_read_and_written_as_before(label: str) -> None:
    assert CASES[label]
    for case in CASES[label]:
        check_case(MESSAGES[label], case)


@pytest.mark.parametrize("label", VALUES)
def test_an_enumeration_has_the_same_values(label: str) -> None:
    assert values_of(ENUMERATIONS[label]) == VALUES[label]


def test_every_message_type_has_a_case() -> None:
    assert CASES.keys() == MESSAGES.keys()
    assert VALUES.keys() == ENUMERATIONS.keys()
    known = {*MESSAGES.values(), *ENUMERATIONS.values()}
    assert len(known) == len(MESSAGES) + len(ENUMERATIONS)
    of_modules = {
        defined
        for module in MODULES
        for defined in vars(module).values()
        if isinstance(defined, type)
        and issubclass(defined, msgspec.Struct | Enum)
        and defined.__module__ == module.__name__
    }
    contained = {found for message in MESSAGES.values() for found in reachable_types(message)}
    assert (of_modules | contained) - known - NOT_WRITTEN.keys() == set()


@pytest.mark.parametrize("label", MESSAGES)
def test_the_corpus_has_every_sample_of_a_message_type(label: str) -> None:
    assert {case.name for case in CASES[label]} >= {case.name for case in cases_of(MESSAGES[label])}


async def test_the_operators_api_answers_as_before() -> None:
    answers = msgspec.to_builtins(await operator_answers())
    expected = read_json("http_answers.json")
    for answer, before in zip(answers, expected, strict=True):
        assert answer == before


def test_names_and_statuses_are_the_same() -> None:
    assert http_names() == read_json("http_names.json")


class Colour(StrEnum):
    """Enumeration of the sample message."""

    RED = "red"
    BLUE = "blue"


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """Message with which the altered messages below are compared."""

    name: str
    colour: Colour
    size: int = 3
    note: str | msgspec.UnsetType = msgspec.UNSET


class ChangedColour(StrEnum):
    """The enumeration with another value for red."""

    RED = "crimson"
    BLUE = "blue"


def altered(
    *fields: tuple[str, Any] | tuple[str, Any, Any], **options: Any
) -> type[msgspec.Struct]:
    return msgspec.defstruct("Altered", list(fields), frozen=True, kw_only=True, **options)


NAME = ("name", str)
COLOUR = ("colour", Colour)
SIZE = ("size", int, 3)
NOTE = ("note", str | msgspec.UnsetType, msgspec.UNSET)


@pytest.mark.parametrize(
    "message",
    [
        altered(("title", str), COLOUR, SIZE, NOTE),
        altered(NAME, COLOUR, ("length", int, 3), NOTE),
        altered(NAME, ("colour", ChangedColour), SIZE, NOTE),
        altered(NAME, COLOUR, ("size", int, 4), NOTE),
        altered(NAME, COLOUR, ("size", float, 3.0), NOTE),
        altered(NAME, COLOUR, SIZE, ("note", str | None, None)),
        altered(NAME, COLOUR, SIZE),
        altered(COLOUR, NAME, SIZE, NOTE),
        altered(NAME, COLOUR, SIZE, NOTE, omit_defaults=True),
        altered(NAME, COLOUR, SIZE, NOTE, tag="Altered"),
        altered(NAME, COLOUR, SIZE, NOTE, array_like=True),
    ],
)
def test_a_changed_message_type_is_noticed(message: type[msgspec.Struct]) -> None:
    with pytest.raises((AssertionError, msgspec.ValidationError)):
        for case in cases_of(Sample):
            check_case(message, case)


def test_a_renamed_class_or_attribute_is_none_of_the_corpus() -> None:
    renamed = altered(("title", str), COLOUR, SIZE, NOTE, rename={"title": "name"})
    for case in cases_of(Sample):
        check_case(renamed, case)


def test_a_missing_class_is_noticed() -> None:
    class Outer(msgspec.Struct):
        parts: tuple[Sample, ...]

    assert reachable_types(Outer) == {Outer, Sample, Colour}


def test_a_changed_default_shows_in_the_value() -> None:
    case = cases_of(Sample)[0]
    assert isinstance(case, Case)
    assert case.value == {"name": "näme-1", "colour": "blue", "size": 3}
