"""Announcements are read the same by every process that takes them."""

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


def test_a_good_announcement_is_read_back() -> None:
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
def test_others_are_refused(raw: bytes) -> None:
    with pytest.raises(InvalidAnnouncementError):
        decode_announcement(raw)


@given(st.binary(max_size=300))
def test_no_bytes_end_in_another_error(raw: bytes) -> None:
    with pytest.raises(InvalidAnnouncementError):
        decode_announcement(raw)
