"""Compression of large msgpack values, distinguished from plain ones by their first byte.

A value that this project encodes is a map or an array; the first byte of a zlib stream begins
neither.
"""

import zlib

from orchidpath.common.errors import OrchidpathError

COMPRESSION_THRESHOLD_BYTES = 4096
"""Smaller values are not compressed: it would cost more time than it saves."""

_LEVEL = 1
_ZLIB_FIRST_BYTE = 0x78


class CompressionError(OrchidpathError):
    """A compressed value is damaged, or larger than allowed."""


def compressed(value: bytes) -> bytes:
    """Return a value, compressed if it has :data:`COMPRESSION_THRESHOLD_BYTES` or more."""
    if len(value) < COMPRESSION_THRESHOLD_BYTES:
        return value
    return zlib.compress(value, _LEVEL)


def decompressed(value: bytes, max_bytes: int) -> bytes:
    """Return a value as it was before :func:`compressed`.

    Raises
    ------
    CompressionError
        It is damaged, or has more than ``max_bytes``.
    """
    if not value or value[0] != _ZLIB_FIRST_BYTE:
        return value
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(value, max_bytes)
    except zlib.error as error:
        raise CompressionError(str(error)) from error
    if not decompressor.eof or decompressor.unused_data:
        raise CompressionError("it is truncated, too large, or followed by other bytes")
    return plain
