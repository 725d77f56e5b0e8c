"""Creates a value of a type, with its optional fields at their defaults or all of them set.

Only the script that writes the corpus uses this module; the tests read the files.
"""

import itertools
from enum import Enum
from typing import Annotated, Any, get_args, get_origin

import msgspec
from binary_corpus import FORMAT_FIELD, is_union, reachable_types

ITEMS_IN_COLLECTION = 2
UNLIMITED_DEPTH = 100
"""A depth that exceeds that of every type of the corpus."""


class ValueMaker:
    """Creates values whose leaves all differ, so that a swap of two fields is detected.

    Parameters
    ----------
    set_depth
        Number of levels of structs with all optional fields set; structs at deeper levels have
        their defaults.
    variant
        Index of the enum value and of the union member that is used first.
    """

    def __init__(self, *, set_depth: int = UNLIMITED_DEPTH, variant: int = 0) -> None:
        self._set_depth = set_depth
        self._depth = 0
        self._variant = variant
        self._numbers = itertools.count(1)

    def make(self, expected: Any, offset: int = 0, default: object = msgspec.NODEFAULT) -> Any:
        """Return a value of a type.

        Parameters
        ----------
        expected
            Type annotation.
        offset
            Position among equal siblings; it selects another enum value or union member.
        default
            A value that must not be returned.
        """
        if is_union(expected):
            members = [member for member in get_args(expected) if member is not type(None)]
            return self.make(members[(self._variant + offset) % len(members)], offset, default)
        origin = get_origin(expected)
        if origin in (list, tuple):
            item_type = get_args(expected)[0]
            count = ITEMS_IN_COLLECTION if self._depth <= self._set_depth else 1
            return origin(self.make(item_type, offset + index) for index in range(count))
        if origin is Annotated:
            return 1 / next(self._numbers)  # annotated fields are bounded by 0 and 1, or by 0 only
        if origin is dict:
            _, value_type = get_args(expected)
            return {f"key-{next(self._numbers)}": self.make(value_type) for _ in range(2)}
        if issubclass(expected, msgspec.Struct):
            return self._make_struct(expected, offset)
        if issubclass(expected, Enum):
            values = [value for value in expected if value is not default]
            return values[(self._variant + offset) % len(values)]
        return self._make_leaf(expected, default)

    def _make_struct(self, expected: type[msgspec.Struct], offset: int) -> msgspec.Struct:
        values: dict[str, Any] = {}
        self._depth += 1
        for field in msgspec.structs.fields(expected):
            if field.name == FORMAT_FIELD:
                continue
            if field.required or self._depth <= self._set_depth:
                values[field.name] = self.make(field.type, offset, field.default)
        self._depth -= 1
        return expected(**values)

    def _make_leaf(self, expected: type, default: object) -> Any:
        number = next(self._numbers)
        if expected is bool:
            return default is not True
        if expected is msgspec.Raw:
            return msgspec.Raw(b'{"number":%d}' % number)
        makers: dict[type, Any] = {
            str: f"text-{number} \N{LATIN SMALL LETTER E WITH ACUTE}",
            int: number * 1000,
            float: number + 0.25,
            bytes: b"\x00\xff%d" % number,
        }
        return makers[expected]


def variant_count(expected: type) -> int:
    """Return the number of variants needed to cover every enum value and union member of a type."""
    sizes = [1]
    for found in reachable_types([expected]):
        if issubclass(found, Enum):
            sizes.append(len(found))
        elif issubclass(found, msgspec.Struct):
            types = [field.type for field in msgspec.structs.fields(found)]
            sizes.extend(len(get_args(each)) for each in types if is_union(each))
    return max(sizes)
