"""Frames of an emulated decode stream."""

from hypothesis import given
from hypothesis import strategies as st

from orchidpath.emulators.backend.answers import expected_text
from orchidpath.emulators.worker.frames import StreamPlan, decode_frames
from orchidpath.wire.backend import FrameKind


@given(st.integers(0, 30), st.integers(1, 5))
def test_a_stream_without_faults_is_complete(max_tokens: int, tokens_per_frame: int) -> None:
    plan = StreamPlan(
        request_id="r", attempt_id="a", max_tokens=max_tokens, tokens_per_frame=tokens_per_frame
    )
    frames = list(decode_frames(plan))
    assert [frame.sequence for frame in frames] == list(range(len(frames)))
    assert "".join(frame.text for frame in frames) == expected_text("r", max_tokens)
    kinds = [frame.kind for frame in frames if frame.kind is not FrameKind.CONTENT]
    assert kinds == [FrameKind.ROLE, FrameKind.USAGE, FrameKind.DONE]
