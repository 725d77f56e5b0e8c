"""Streams that another worker takes up after their last whole event."""

from random import Random

import pytest

from orchidpath.forwarding.resumable_stream import (
    MAX_EVENT_BYTES,
    ResumableStream,
    StitchedStreamError,
)


def event(number: int) -> bytes:
    return f"id: {number}\ndata: word {number}\n\n".encode()


WHOLE = b"".join(event(number) for number in range(12))


def test_only_whole_events_are_passed_on() -> None:
    stream = ResumableStream()
    assert stream.take(event(0) + b"id: 1\nda") == event(0)
    assert stream.last_event_id == "0"
    assert stream.take(b"ta: word 1\n") == b""
    assert stream.take(b"\n") == event(1)
    assert stream.end() == b""


@pytest.mark.parametrize("seed", range(60))
def test_a_stream_cut_anywhere_and_taken_up_is_whole_and_has_nothing_twice(seed: int) -> None:
    random = Random(seed)
    stream = ResumableStream()
    passed = b""
    for _ in range(4):
        done = int(stream.last_event_id) + 1 if stream.last_event_id else 0
        rest = b"".join(event(number) for number in range(done, 12))
        cut = random.randrange(len(rest) + 1)
        while rest[:cut]:
            size = random.randrange(1, 20)
            passed += stream.take(rest[: min(size, cut)])
            rest, cut = rest[size:], max(cut - size, 0)
        stream.broke_off()
        assert stream.can_be_resumed
        assert WHOLE.startswith(passed)
    done = int(stream.last_event_id) + 1 if stream.last_event_id else 0
    passed += stream.take(b"".join(event(number) for number in range(done, 12)))
    assert passed + stream.end() == WHOLE


@pytest.mark.parametrize("number", [0, 1, 2])
def test_a_worker_that_begins_anew_is_noticed(number: int) -> None:
    stream = ResumableStream()
    stream.take(event(0) + event(1) + event(2))
    stream.broke_off()
    with pytest.raises(StitchedStreamError):
        stream.take(event(number))


def test_events_that_bear_no_number_cannot_be_taken_up() -> None:
    for data in (b"data: word\n\n", b"id: a\ndata: word\n\n"):
        stream = ResumableStream()
        assert stream.can_be_resumed
        stream.take(data)
        assert not stream.can_be_resumed


def test_other_line_ends_and_an_unended_last_event() -> None:
    stream = ResumableStream()
    assert stream.take(b"id: 4\r\ndata: x\r\n\r\nid: 5") == b"id: 4\r\ndata: x\r\n\r\n"
    assert stream.last_event_id == "4"
    assert stream.end() == b"id: 5"


def test_an_event_without_end_takes_bounded_memory() -> None:
    stream = ResumableStream()
    assert len(stream.take(b"x" * (MAX_EVENT_BYTES + 1))) == MAX_EVENT_BYTES + 1
    assert not stream.can_be_resumed
