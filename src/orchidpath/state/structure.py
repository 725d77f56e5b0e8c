"""Structure of a configuration: fields and their types, checked without stopping at the first.

A part that cannot be read is replaced by a harmless stand-in so that the checks of meaning can
still run over the rest; its path is kept, because what those checks say about it is worthless.
"""

import math
from typing import Any, cast

import msgspec
from msgspec import inspect

from orchidpath.state.problems import Problem, join_path
from orchidpath.wire.configuration import Configuration

_CONFIGURATION_TYPE = cast(inspect.StructType, inspect.type_info(Configuration))
_SHOWN_CHARACTERS = 40


class Structure(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration with stand-ins at every unreadable path, and the problems of structure."""

    configuration: Configuration
    problems: list[Problem]
    unreadable_paths: frozenset[str]


def read_structure(value: object) -> Structure:
    """Return the configuration in decoded JSON, whatever it holds.

    Parameters
    ----------
    value
        Any value that a JSON document can hold.

    Returns
    -------
    Structure
        Without problems, its configuration is exactly what the document says.
    """
    reader = _Reader()
    readable = reader.read_object(value, _CONFIGURATION_TYPE, "")
    return Structure(
        configuration=msgspec.convert(readable, Configuration),
        problems=reader.problems,
        unreadable_paths=frozenset(reader.unreadable_paths),
    )


class _Reader:
    """Walks a JSON value along the configuration's types and collects problems."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []
        self.unreadable_paths: set[str] = set()

    def read_object(self, value: object, kind: inspect.StructType, path: str) -> dict[str, object]:
        """Return the readable fields of an object, with stand-ins for required ones."""
        given: dict[str, object] = {}
        if isinstance(value, dict):
            given = value
            self._refuse_unknown_fields(given, kind, path)
        else:
            self._refuse(path, f"must be an object, is {_show(value)}")
        readable: dict[str, object] = {}
        for field in kind.fields:
            name = field.encode_name
            field_path = join_path(path, name)
            if name in given:
                readable[name] = self._read(given[name], field.type, field_path)
            elif field.required:
                readable[name] = _stand_in(field.type)
                self.unreadable_paths.add(field_path)
                # A missing object was reported as a whole, which says enough.
                if isinstance(value, dict):
                    self.problems.append(Problem(path=field_path, message="is required"))
        return readable

    def _refuse_unknown_fields(
        self, value: dict[str, object], kind: inspect.StructType, path: str
    ) -> None:
        known = {field.encode_name for field in kind.fields}
        for name in sorted(set(value) - known):
            self.problems.append(
                Problem(path=join_path(path, name), message="is not a known field")
            )

    def _read(self, value: object, kind: inspect.Type, path: str) -> object:
        """Return a readable value of a type."""
        if isinstance(kind, inspect.StructType):
            return self.read_object(value, kind, path)
        if isinstance(kind, inspect.ListType):
            return self._read_list(value, kind, path)
        expected = _mismatch(value, kind)
        if not expected:
            return value
        self._refuse(path, f"must be {expected}, is {_show(value)}")
        return _stand_in(kind)

    def _read_list(self, value: object, kind: inspect.ListType, path: str) -> list[object]:
        if not isinstance(value, list):
            self._refuse(path, f"must be a list, is {_show(value)}")
            return []
        return [
            self._read(item, kind.item_type, f"{path}[{position}]")
            for position, item in enumerate(value)
        ]

    def _refuse(self, path: str, message: str) -> None:
        self.problems.append(Problem(path=path, message=message))
        self.unreadable_paths.add(path)


def _mismatch(value: object, kind: inspect.Type) -> str:
    """Return what a plain value must be and is not; nothing if it is."""
    match kind:
        case inspect.StrType():
            return "" if isinstance(value, str) else "a string"
        case inspect.BoolType():
            return "" if isinstance(value, bool) else "true or false"
        case inspect.IntType():
            whole = isinstance(value, int) and not isinstance(value, bool)
            return "" if whole else "a whole number"
        case inspect.FloatType():
            return "" if _is_finite_number(value) else "a number"
        case inspect.EnumType():
            names = [str(member.value) for member in kind.cls]
            return "" if value in names else "one of " + ", ".join(names)
        case _:
            raise NotImplementedError(f"no reader for {kind}")


def _is_finite_number(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def _stand_in(kind: inspect.Type) -> Any:
    """Return some value of a type, for a part that cannot be read."""
    match kind:
        case inspect.StrType():
            return ""
        case inspect.BoolType():
            return False
        case inspect.IntType() | inspect.FloatType():
            return 0
        case inspect.EnumType():
            return next(iter(kind.cls)).value
        case _:
            raise NotImplementedError(f"no stand-in for {kind}")


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
