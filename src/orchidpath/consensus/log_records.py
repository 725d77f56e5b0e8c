"""Records of the log file: a length, a CRC-32C over length and payload, and the payload.

Every write ends with a sync, so a crash can spoil the last record only. A bad record with a
good one after it is therefore damage, not a torn write, and nothing after it can be trusted.
"""

import struct
from collections.abc import Iterator

import crc32c
import msgspec

from orchidpath.consensus.errors import DamagedLogError
from orchidpath.consensus.types import HardState, LogEntry, Snapshot

FORMAT_VERSION = 1
_HEADER = struct.Struct("<II")
_LENGTH = struct.Struct("<I")


class HeaderRecord(msgspec.Struct, frozen=True, tag="header"):
    """First record of a file: its format, and the replica it belongs to."""

    version: int
    identity: str


class HardStateRecord(msgspec.Struct, frozen=True, tag="hard_state"):
    """Term and vote."""

    hard_state: HardState


class EntriesRecord(msgspec.Struct, frozen=True, tag="entries"):
    """Entries appended after the ones from `truncate_from` on were dropped."""

    truncate_from: int | None
    entries: list[LogEntry]


class SnapshotRecord(msgspec.Struct, frozen=True, tag="snapshot"):
    """The snapshot the log starts from."""

    snapshot: Snapshot


class SyncedRecord(msgspec.Struct, frozen=True, tag="synced"):
    """Says that the record before it was synced.

    Itself written without a sync. Where it survives, damage to the last real record can be
    told from a torn write.
    """


Record = HeaderRecord | HardStateRecord | EntriesRecord | SnapshotRecord | SyncedRecord

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


class FoundRecord(msgspec.Struct, frozen=True):
    """A good record and the offset of the byte after it."""

    record: Record
    end: int


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    payload = _encoder.encode(record)
    length = _LENGTH.pack(len(payload))
    checksum = crc32c.crc32c(payload, crc32c.crc32c(length))
    return _HEADER.pack(len(payload), checksum) + payload


def read_records(data: bytes) -> Iterator[FoundRecord]:
    """Yield the records of a file; stop before a torn tail.

    Raises
    ------
    DamagedLogError
        A record before the tail is damaged.
    """
    view = memoryview(data)
    offset = 0
    while offset < len(data):
        end = _good_record_end(view, offset)
        if end is None:
            _require_torn_tail(view, offset)
            return
        payload = view[offset + _HEADER.size : end]
        try:
            record = _decoder.decode(payload)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise DamagedLogError(f"unknown record at byte {offset}: {error}") from error
        yield FoundRecord(record, end)
        offset = end


def _good_record_end(view: memoryview, offset: int) -> int | None:
    start = offset + _HEADER.size
    if start > len(view):
        return None
    length, checksum = _HEADER.unpack_from(view, offset)
    if length == 0 or start + length > len(view):
        return None
    prefix = crc32c.crc32c(view[offset : offset + _LENGTH.size])
    if crc32c.crc32c(view[start : start + length], prefix) != checksum:
        return None
    return int(start + length)


def _require_torn_tail(view: memoryview, bad_offset: int) -> None:
    """Raise if a good record starts anywhere after a bad one.

    Its length can't be trusted to say where the next one starts, so every offset is tried.
    """
    for offset in range(bad_offset + 1, len(view) - _HEADER.size):
        if _good_record_end(view, offset) is not None:
            raise DamagedLogError(
                f"record at byte {bad_offset} is damaged, but a good one follows at {offset}"
            )
