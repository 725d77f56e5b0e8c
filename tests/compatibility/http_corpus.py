"""Cases of the JSON messages: the texts that the code reads and writes, as plain JSON."""

import json
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
from http_samples import plain_value, samples

FOLDER = Path(__file__).parent
"""Folder of the files of the corpus."""


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """One message: its text, the decoded value, and the text that the code writes for it.

    Attributes
    ----------
    name
        Name of the sample of the message.
    accepted
        JSON text that is read.
    value
        Decoded value, including the fields that the text omits.
    encoded
        JSON text that the code writes for the value.
    """

    name: str
    accepted: str
    value: Any
    encoded: str


def cases_of(message: type[msgspec.Struct]) -> list[Case]:
    """Return the cases of a message type, created by the current code."""
    return [_case(message, name, content) for name, content in samples(message)]


def _case(message: type[msgspec.Struct], name: str, content: dict[str, Any]) -> Case:
    accepted = msgspec.json.encode(content)
    value = msgspec.json.decode(accepted, type=message)
    return Case(
        name=name,
        accepted=accepted.decode(),
        value=plain_value(value),
        encoded=msgspec.json.encode(value).decode(),
    )


def check_case(message: type[msgspec.Struct], case: Case) -> None:
    """Fail unless a message type reads the value of a case and writes the same bytes."""
    value = msgspec.json.decode(case.accepted, type=message)
    assert plain_value(value) == case.value
    assert msgspec.json.encode(value).decode() == case.encoded
    again = msgspec.json.decode(case.encoded, type=message)
    assert msgspec.json.encode(again).decode() == case.encoded
    assert plain_value(again) == case.value


def values_of(enumeration: type[Enum]) -> list[Any]:
    """Return the values of an enumeration in the order of their definition."""
    return [member.value for member in enumeration]


def read_cases(name: str) -> dict[str, list[Case]]:
    """Read a file of cases: the cases of each label."""
    return msgspec.json.decode((FOLDER / name).read_bytes(), type=dict[str, list[Case]])


def read_json(name: str) -> Any:
    """Read any other file of the corpus."""
    return json.loads((FOLDER / name).read_bytes())


def json_file(content: object) -> bytes:
    """Return the bytes of a file of the corpus with some content."""
    plain = msgspec.to_builtins(content)
    return json.dumps(plain, indent=1, ensure_ascii=False, sort_keys=False).encode() + b"\n"
