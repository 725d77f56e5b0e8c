"""Cases of the JSON messages: what the code of a time writes and reads, as plain JSON."""

import json
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
from http_samples import plain_value, samples

FOLDER = Path(__file__).parent
"""Where the files of the corpus are."""


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """One message as text, what it means, and how the code writes it.

    Attributes
    ----------
    name
        Which sample of the message it is.
    accepted
        JSON text that is read.
    value
        What the text means, with the fields that it leaves out.
    encoded
        JSON text that the value is written as.
    """

    name: str
    accepted: str
    value: Any
    encoded: str


def cases_of(message: type[msgspec.Struct]) -> list[Case]:
    """Return the cases of a message type as the code has it now."""
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
    """Fail unless a message type reads a case as it was meant and writes the same bytes."""
    value = msgspec.json.decode(case.accepted, type=message)
    assert plain_value(value) == case.value
    assert msgspec.json.encode(value).decode() == case.encoded
    again = msgspec.json.decode(case.encoded, type=message)
    assert msgspec.json.encode(again).decode() == case.encoded
    assert plain_value(again) == case.value


def values_of(enumeration: type[Enum]) -> list[Any]:
    """Return the values of an enumeration in their order."""
    return [one.value for one in enumeration]


def read_cases(name: str) -> dict[str, list[Case]]:
    """Read a file of cases: the cases of each label."""
    return msgspec.json.decode((FOLDER / name).read_bytes(), type=dict[str, list[Case]])


def read_json(name: str) -> Any:
    """Read any other file of the corpus."""
    return json.loads((FOLDER / name).read_bytes())


def json_file(content: object) -> bytes:
    """Return the bytes of a file of the corpus."""
    plain = msgspec.to_builtins(content)
    return json.dumps(plain, indent=1, ensure_ascii=False, sort_keys=False).encode() + b"\n"
