"""Compression of large msgpack values.

The first byte distinguishes a compressed value from a plain one: every plain value is a msgpack map
or array, and neither begins with the first byte of a zlib stream.
"""

import zlib

from orchidpath.common.errors import OrchidpathError

COMPRESSION_THRESHOLD_BYTES = 4096
"""Smaller values are not compressed: the compression would cost more time than it saves."""

_LEVEL = 1
_ZLIB_FIRST_BYTE = 0x78


class CompressionError(OrchidpathError):
    """A compressed value is damaged, or its decompressed size exceeds the bound."""


def compressed(value: bytes) -> bytes:
    """Return a value, compressed if it has at least :data:`COMPRESSION_THRESHOLD_BYTES`."""
    if len(value) < COMPRESSION_THRESHOLD_BYTES:
        return value
    return zlib.compress(value, _LEVEL)


def decompressed(value: bytes, max_bytes: int) -> bytes:
    """Return a value as it was before :func:`compressed`.

    Raises
    ------
    CompressionError
        The value is damaged, or its decompressed size exceeds ``max_bytes``.
    """
    if not value or value[0] != _ZLIB_FIRST_BYTE:
        return value
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(value, max_bytes)
    except zlib.error as error:
        raise CompressionError(str(error)) from error
    if not decompressor.eof or decompressor.unused_data:
        raise CompressionError(
            f"zlib stream is truncated, followed by other bytes, or larger than {max_bytes} bytes"
        )
    return plain
