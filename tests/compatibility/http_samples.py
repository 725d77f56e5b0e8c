"""Sample values of message types, and the plain JSON of a decoded value.

Both use the names in the JSON text and never the names of Python classes or attributes, so that
classes and attributes can be renamed without a change of the corpus.
"""

from collections.abc import Iterator
from enum import Enum
from typing import Any

import msgspec
from msgspec import inspect

from orchidpath.wire.integers import LARGE_INTEGER_PATTERN

RAW_SAMPLE = b'{"kept":[1,2.5,"as it is"]}'
"""Sample of a part of a message that is passed on without being decoded."""

LARGE_NUMBER_SAMPLE = "20261204093000123456"
"""Sample of the digits of an integer above 2**64 - 1."""


class UnsupportedTypeError(Exception):
    """A message contains a type for which no sample is defined."""


def struct_info(struct: type[msgspec.Struct]) -> inspect.StructType:
    """Return the fields of a message type."""
    info = inspect.type_info(struct)
    if not isinstance(info, inspect.StructType) or info.array_like:
        raise UnsupportedTypeError(struct.__qualname__)
    return info


def required_sample(struct: type[msgspec.Struct]) -> dict[str, Any]:
    """Return a message with only its required fields."""
    return {
        field.encode_name: sample(field.type)
        for field in struct_info(struct).fields
        if field.required
    }


def full_sample(struct: type[msgspec.Struct]) -> dict[str, Any]:
    """Return a message in which every field has a value other than its default."""
    return {
        field.encode_name: sample(field.type, field.default) for field in struct_info(struct).fields
    }


def samples(struct: type[msgspec.Struct]) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the samples of a message type, each with its name.

    The samples are a message with only the required fields, a message with every field, and for
    each field a message with each alternative of a union and each value of an enumeration.
    """
    yield "required fields", required_sample(struct)
    full = full_sample(struct)
    yield "every field", full
    for field in struct_info(struct).fields:
        for number, alternative in enumerate(_alternatives(field.type)):
            name = field.encode_name
            yield f"{name}, alternative {number}", {**full, name: alternative}


def sample(kind: inspect.Type, default: object = msgspec.NODEFAULT) -> Any:
    """Return a plain JSON value of a type that differs from its default."""
    match kind:
        case inspect.StructType(cls=struct):
            return full_sample(struct)
        case inspect.EnumType(cls=enumeration):
            values = [member.value for member in enumeration]
            return next((value for value in reversed(values) if value != default), values[0])
        case inspect.UnionType(types=kinds):
            return sample(_first_of(kinds), default)
        case inspect.ListType(item_type=item) | inspect.VarTupleType(item_type=item):
            return [sample(item)]
        case inspect.DictType(key_type=key, value_type=value):
            return {sample(key): sample(value)}
        case inspect.RawType():
            return msgspec.Raw(RAW_SAMPLE)
        case inspect.BoolType():
            return default is not True
        case _:
            return _scalar(kind, default)


def _scalar(kind: inspect.Type, default: object) -> Any:
    match kind:
        case inspect.StrType(pattern=str(pattern)) if pattern == LARGE_INTEGER_PATTERN:
            return LARGE_NUMBER_SAMPLE
        case inspect.StrType():
            return "näme-1" if default != "näme-1" else "näme-2"
        case inspect.IntType():
            return 7 if default != 7 else 8
        case inspect.FloatType():
            return 0.625 if default != 0.625 else 0.375
        case inspect.NoneType():
            return None
        case _:
            raise UnsupportedTypeError(repr(kind))


def _first_of(kinds: tuple[inspect.Type, ...]) -> inspect.Type:
    return next(kind for kind in kinds if not isinstance(kind, inspect.NoneType))


def _alternatives(kind: inspect.Type) -> list[Any]:
    if isinstance(kind, inspect.EnumType):
        return [member.value for member in kind.cls]
    if not isinstance(kind, inspect.UnionType):
        return []
    found: list[Any] = []
    for alternative in kind.types:
        found += _alternatives(alternative) or [sample(alternative)]
    return found


def plain_value(value: Any) -> Any:
    """Return the plain JSON of a decoded value, including the fields that its text omits."""
    if isinstance(value, msgspec.Raw):
        return {"unread": bytes(value).decode()}
    if isinstance(value, msgspec.Struct):
        pairs = [
            (field.encode_name, getattr(value, field.name))
            for field in msgspec.structs.fields(value)
        ]
        return {name: plain_value(item) for name, item in pairs if item is not msgspec.UNSET}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {plain_value(key): plain_value(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [plain_value(item) for item in value]
    if isinstance(value, bytes):
        return {"text": value.decode()}
    return value


def reachable_types(struct: type[msgspec.Struct]) -> set[type[Any]]:
    """Return the message types and enumerations that a message contains, including its own."""
    found: set[type[Any]] = set()
    _collect(inspect.type_info(struct), found)
    return found


def _collect(kind: inspect.Type, found: set[type[Any]]) -> None:
    match kind:
        case inspect.StructType(cls=struct):
            if struct not in found:
                found.add(struct)
                for field in kind.fields:
                    _collect(field.type, found)
        case inspect.EnumType(cls=enumeration):
            found.add(enumeration)
        case inspect.UnionType(types=kinds):
            for alternative in kinds:
                _collect(alternative, found)
        case inspect.ListType(item_type=item) | inspect.VarTupleType(item_type=item):
            _collect(item, found)
        case inspect.DictType(key_type=key, value_type=value):
            _collect(key, found)
            _collect(value, found)
