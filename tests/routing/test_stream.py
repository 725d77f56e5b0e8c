"""Validation of the frames of a decode stream."""

import pytest

from orchidpath.routing.stream import StreamValidator, StreamVerdict
from orchidpath.wire.backend import DecodeFrame, FrameKind


def frame(
    sequence: int, kind: FrameKind = FrameKind.CONTENT, request_id: str = "r", attempt_id: str = "a"
) -> DecodeFrame:
    return DecodeFrame(request_id=request_id, attempt_id=attempt_id, sequence=sequence, kind=kind)


def test_stream_is_complete_only_with_its_terminal() -> None:
    validator = StreamValidator("r", "a")
    assert validator.check(frame(0, FrameKind.ROLE)) is StreamVerdict.ACCEPTED
    assert validator.check(frame(1)) is StreamVerdict.ACCEPTED
    assert validator.end() is StreamVerdict.MISSING_TERMINAL
    assert validator.check(frame(2, FrameKind.DONE)) is StreamVerdict.COMPLETE
    assert validator.end() is StreamVerdict.COMPLETE


@pytest.mark.parametrize("sequence", [0, 2, -1])
def test_repeated_or_missing_frame_is_a_gap_permanently(sequence: int) -> None:
    validator = StreamValidator("r", "a")
    validator.check(frame(0))
    assert validator.check(frame(sequence)) is StreamVerdict.GAP
    assert validator.check(frame(1)) is StreamVerdict.GAP
    assert validator.end() is StreamVerdict.GAP


def test_stream_starts_at_zero() -> None:
    assert StreamValidator("r", "a").check(frame(1)) is StreamVerdict.GAP


@pytest.mark.parametrize(("request_id", "attempt_id"), [("x", "a"), ("r", "x"), ("", "")])
def test_frame_of_another_attempt_is_crossed(request_id: str, attempt_id: str) -> None:
    crossed = frame(0, request_id=request_id, attempt_id=attempt_id)
    assert StreamValidator("r", "a").check(crossed) is StreamVerdict.CROSSED


def test_nothing_may_follow_the_terminal() -> None:
    validator = StreamValidator("r", "a")
    validator.check(frame(0, FrameKind.DONE))
    assert validator.check(frame(1)) is StreamVerdict.AFTER_TERMINAL
    assert validator.end().is_broken
