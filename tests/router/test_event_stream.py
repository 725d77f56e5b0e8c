"""Parser of server-sent events."""

import pytest

from orchidpath.router.chat.event_stream import (
    MAXIMUM_EVENT_BYTES,
    EventParser,
    MalformedEventError,
)


def test_events_are_parsed_from_chunks_of_any_size() -> None:
    body = b': comment\n\ndata: {"a":1}\n\ndata: two\n\n'
    parser = EventParser()
    events = [event for byte in body for event in parser.feed(bytes([byte]))]
    assert events == [b'{"a":1}', b"two"]
    assert not parser.has_pending


def test_an_incomplete_event_is_pending() -> None:
    parser = EventParser()
    parser.feed(b"data: {")
    assert parser.has_pending


def test_an_event_beyond_the_size_limit_is_malformed() -> None:
    parser = EventParser()
    with pytest.raises(MalformedEventError):
        parser.feed(b"x" * (MAXIMUM_EVENT_BYTES + 1))
