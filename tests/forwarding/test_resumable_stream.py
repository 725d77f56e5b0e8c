"""Event streams that another worker resumes after the last complete event."""

from random import Random

import pytest

from orchidpath.forwarding.resumable_stream import (
    MAX_EVENT_BYTES,
    DiscontinuousStreamError,
    ResumableStream,
)


def event(number: int) -> bytes:
    return f"id: {number}\ndata: word {number}\n\n".encode()


COMPLETE_STREAM = b"".join(event(number) for number in range(12))


def test_only_complete_events_are_relayed() -> None:
    stream = ResumableStream()
    assert stream.feed(event(0) + b"id: 1\nda") == event(0)
    assert stream.last_event_id == "0"
    assert stream.feed(b"ta: word 1\n") == b""
    assert stream.feed(b"\n") == event(1)
    assert stream.end() == b""


@pytest.mark.parametrize("seed", range(60))
def test_a_stream_interrupted_anywhere_and_resumed_is_complete_without_duplicates(
    seed: int,
) -> None:
    random = Random(seed)
    stream = ResumableStream()
    relayed = b""
    for _ in range(4):
        first = int(stream.last_event_id) + 1 if stream.last_event_id else 0
        rest = b"".join(event(number) for number in range(first, 12))
        interruption = random.randrange(len(rest) + 1)
        while rest[:interruption]:
            size = random.randrange(1, 20)
            relayed += stream.feed(rest[: min(size, interruption)])
            rest, interruption = rest[size:], max(interruption - size, 0)
        stream.record_interruption()
        assert stream.is_resumable
        assert COMPLETE_STREAM.startswith(relayed)
    first = int(stream.last_event_id) + 1 if stream.last_event_id else 0
    relayed += stream.feed(b"".join(event(number) for number in range(first, 12)))
    assert relayed + stream.end() == COMPLETE_STREAM


@pytest.mark.parametrize("number", [0, 1, 2])
def test_a_worker_that_restarts_the_stream_is_detected(number: int) -> None:
    stream = ResumableStream()
    stream.feed(event(0) + event(1) + event(2))
    stream.record_interruption()
    with pytest.raises(DiscontinuousStreamError):
        stream.feed(event(number))


def test_a_stream_of_events_without_numeric_ids_cannot_be_resumed() -> None:
    for data in (b"data: word\n\n", b"id: a\ndata: word\n\n"):
        stream = ResumableStream()
        assert stream.is_resumable
        stream.feed(data)
        assert not stream.is_resumable


def test_crlf_line_ends_and_an_incomplete_last_event_are_relayed() -> None:
    stream = ResumableStream()
    assert stream.feed(b"id: 4\r\ndata: x\r\n\r\nid: 5") == b"id: 4\r\ndata: x\r\n\r\n"
    assert stream.last_event_id == "4"
    assert stream.end() == b"id: 5"


def test_memory_for_an_event_without_end_is_bounded() -> None:
    stream = ResumableStream()
    assert len(stream.feed(b"x" * (MAX_EVENT_BYTES + 1))) == MAX_EVENT_BYTES + 1
    assert not stream.is_resumable
