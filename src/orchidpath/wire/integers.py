"""Integers of any size in messages and records.

msgpack represents integers from -2**63 to 2**64 - 1. A larger one is encoded as the text of its
decimal digits. Integers in the range of msgpack keep their binary form.
"""

from typing import Annotated

import msgspec

from orchidpath.common.digits import MAX_DIGITS

MAX_BINARY_INTEGER = 2**64 - 1
"""Largest integer that msgpack represents."""

LARGE_INTEGER_PATTERN = r"^[1-9][0-9]{19,}\Z"
"""Decimal digits of an integer; every integer above `MAX_BINARY_INTEGER` has 20 or more."""

LargeIntegerText = Annotated[
    str, msgspec.Meta(pattern=LARGE_INTEGER_PATTERN, max_length=MAX_DIGITS)
]
"""Decimal digits of an integer that may be above `MAX_BINARY_INTEGER`."""

EncodedInteger = int | LargeIntegerText
"""An integer of at least -2**63 in its encoded form; `decode_integer` returns its value."""


def encode_integer(value: int) -> int | str:
    """Return the encoded form of an integer of at least -2**63."""
    return value if value <= MAX_BINARY_INTEGER else str(value)


def decode_integer(encoded: int | str) -> int:
    """Return the integer that an encoded form represents."""
    return int(encoded)
