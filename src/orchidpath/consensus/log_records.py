"""Records of the log file: a length, a CRC-32C over length and payload, and the payload.

Every record but `SyncedRecord` is synced before the next one is written, so a crash can corrupt
only the tail of the file. An invalid record that is followed by a valid one is therefore damage and
not a torn write, and no record after it can be trusted.
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
    """First record of a file: its format version, and the id of the replica that wrote it."""

    version: int
    identity: str


class HardStateRecord(msgspec.Struct, frozen=True, tag="hard_state"):
    """Term and vote."""

    hard_state: HardState


class EntriesRecord(msgspec.Struct, frozen=True, tag="entries"):
    """Entries to append, after removing those from `truncate_from` on unless it is None."""

    truncate_from: int | None
    entries: list[LogEntry]


class SnapshotRecord(msgspec.Struct, frozen=True, tag="snapshot"):
    """The snapshot from which the log starts."""

    snapshot: Snapshot


class SyncedRecord(msgspec.Struct, frozen=True, tag="synced"):
    """Marker that the preceding record was synced.

    The marker itself is written without a sync. If it survives a crash, damage to the record
    before it can be distinguished from a torn write.
    """


Record = HeaderRecord | HardStateRecord | EntriesRecord | SnapshotRecord | SyncedRecord

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


class FoundRecord(msgspec.Struct, frozen=True):
    """A valid record, and the offset in bytes at which it ends."""

    record: Record
    end: int


def encode_record(record: Record) -> bytes:
    """Return a record in the format of the log file."""
    payload = _encoder.encode(record)
    length = _LENGTH.pack(len(payload))
    checksum = crc32c.crc32c(payload, crc32c.crc32c(length))
    return _HEADER.pack(len(payload), checksum) + payload


def read_records(data: bytes) -> Iterator[FoundRecord]:
    """Yield the records of a file, and stop before a torn tail.

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
            raise DamagedLogError(
                f"unknown record at byte {offset}, although its checksum is valid: {error}"
            ) from error
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
    """Raise `DamagedLogError` if a valid record starts anywhere after an invalid one.

    The length field of the invalid record may be wrong too, so every later offset is tried.
    """
    for offset in range(bad_offset + 1, len(view) - _HEADER.size):
        if _good_record_end(view, offset) is not None:
            raise DamagedLogError(
                f"record at byte {bad_offset} is damaged, but a valid one follows at {offset}"
            )
