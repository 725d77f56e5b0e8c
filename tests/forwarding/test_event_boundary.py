"""The end of an event stream whose response has no length."""

import pytest

from orchidpath.forwarding.event_boundary import EventBoundary


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("size", [1, 2, 3, 100])
def test_only_an_empty_line_ends_an_event(line_end: bytes, size: int) -> None:
    """Guards against a stream cut off inside an event that is taken for a complete one."""
    event = b"id: 1" + line_end + b"data: word" + line_end + line_end
    for end in range(len(event) + 1):
        boundary = EventBoundary()
        sent = event + event[:end]
        for start in range(0, len(sent), size):
            boundary.feed(sent[start : start + size])
        assert boundary.is_between_events == (end in {0, len(event)})


def test_before_the_first_event_no_event_is_complete() -> None:
    boundary = EventBoundary()
    assert not boundary.is_between_events
    boundary.feed(b"data: word\n\n")
    assert boundary.is_between_events
    boundary.restart()
    assert not boundary.is_between_events
