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


@pytest.mark.parametrize(
    ("raw", "field"),
    [
        (changed(url="http://" + "1" * 200), "record.url"),
        (changed(zone="z" * 201), "record.zone"),
        (changed(failure_domain="d" * 201), "record.failure_domain"),
        (changed(models=tuple(str(number) for number in range(33))), "record.models"),
        (changed(models=("m" * 1025, "n" * 1024)), "record.models"),
    ],
)
def test_texts_that_every_process_would_store_have_a_bound(raw: bytes, field: str) -> None:
    """Guards against processes that run out of memory over the texts of a worker."""
    with pytest.raises(InvalidAnnouncementError, match=field):
        decode_announcement(raw)


def test_a_worker_with_the_longest_texts_is_accepted() -> None:
    models = tuple(f"{number:02}" + "m" * 62 for number in range(32))
    raw = changed(zone="z" * 200, failure_domain="d" * 200, models=models)
    assert decode_announcement(raw).record.models == models


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_only_the_typed_error(raw: bytes) -> None:
    with pytest.raises(InvalidAnnouncementError):
        decode_announcement(raw)
