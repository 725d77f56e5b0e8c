"""Walks plain decoded data along a msgspec struct and collects every mismatch.

msgspec itself stops at the first one; operators want all of them at once.
"""

from collections.abc import Iterator
from typing import Any, get_args, get_origin

import msgspec


class Mismatch(msgspec.Struct, frozen=True, kw_only=True):
    """One value that does not fit: its path (``routes[2].path``) and what is expected."""

    path: str
    message: str


def find_mismatches(value: object, expected: type, path: str = "") -> list[Mismatch]:
    """Return every mismatch between plain data and a struct type.

    Parameters
    ----------
    value
        Data as decoded from TOML or JSON.
    expected
        A msgspec struct type that forbids unknown fields.
    path
        Path of ``value`` in its file.

    Returns
    -------
    list of Mismatch
        Empty exactly when ``msgspec.convert(value, expected)`` takes the value.
    """
    found = list(_walk(value, expected, path))
    if found:
        return found
    return list(_convert(value, expected, path))


def _walk(value: object, expected: Any, path: str) -> Iterator[Mismatch]:
    if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
        yield from _walk_struct(value, expected, path)
    elif get_origin(expected) is list:
        yield from _walk_list(value, get_args(expected)[0], path)
    else:
        yield from _convert(value, expected, path)


def _walk_struct(value: object, expected: type[msgspec.Struct], path: str) -> Iterator[Mismatch]:
    if not isinstance(value, dict):
        yield Mismatch(path=path, message=f"expected a table, got {_kind_of(value)}")
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(expected)}
    for name in value:
        if name not in fields:
            known = ", ".join(sorted(fields))
            yield Mismatch(path=_join(path, name), message=f"unknown setting; known are {known}")
    for name, field in fields.items():
        if name in value:
            yield from _walk(value[name], field.type, _join(path, name))
        elif field.required:
            yield Mismatch(path=_join(path, name), message="missing, and it has no default")


def _walk_list(value: object, item_type: Any, path: str) -> Iterator[Mismatch]:
    if not isinstance(value, list):
        yield Mismatch(path=path, message=f"expected a list, got {_kind_of(value)}")
        return
    for index, item in enumerate(value):
        yield from _walk(item, item_type, f"{path}[{index}]")


def _convert(value: object, expected: Any, path: str) -> Iterator[Mismatch]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        yield Mismatch(path=path, message=_lower_first(str(error)))


def _lower_first(text: str) -> str:
    return text[:1].lower() + text[1:]


def _join(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)


def _kind_of(value: object) -> str:
    kinds = {dict: "a table", list: "a list", str: "a text", bool: "true or false"}
    return kinds.get(type(value), type(value).__name__)
