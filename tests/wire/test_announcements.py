"""Tests of the decoding of announcements, which every receiving process uses."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidpath.wire.announcements import InvalidAnnouncementError, decode_announcement
from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

RECORD = WorkerRecord(
    worker_id="w", incarnation="i", service="s", stage=Stage.DECODE, url="http://127.0.0.1:1"
)
GOOD = Announcement(record=RECORD, sequence=1)


def changed(**fields: object) -> bytes:
    record = msgspec.structs.replace(RECORD, **fields)
    return msgspec.json.encode(Announcement(record=record, sequence=1))


def test_a_valid_announcement_is_decoded_as_it_was_encoded() -> None:
    assert decode_announcement(msgspec.json.encode(GOOD)) == GOOD


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"{}",
        b"[" * 100_000,
        changed(url="ftp://host"),
        changed(url="http://\x00"),
        changed(status=WorkerStatus.GONE),
        changed(worker_id=""),
        changed(incarnation="\n"),
        changed(service="s" * 201),
        msgspec.json.encode(Announcement(record=RECORD, sequence=-5)),
    ],
)
def test_invalid_announcements_are_rejected(raw: bytes) -> None:
    with pytest.raises(InvalidAnnouncementError):
        decode_announcement(raw)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_only_the_typed_error(raw: bytes) -> None:
    with pytest.raises(InvalidAnnouncementError):
        decode_announcement(raw)
