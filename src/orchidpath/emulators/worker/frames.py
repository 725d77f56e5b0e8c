"""Frames of an emulated decode stream, with optional injected faults."""

from collections.abc import Iterator

import msgspec

from orchidpath.emulators.backend.answers import expected_token
from orchidpath.wire.backend import DecodeFrame, FrameKind


class StreamPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Content of one decode stream and the faults injected into it.

    ``lost_frame`` is the index of a content frame, from 0, that uses up its sequence number but is
    not sent. ``without_terminal`` omits the USAGE and DONE frames.
    """

    request_id: str
    attempt_id: str
    max_tokens: int
    tokens_per_frame: int = 1
    lost_frame: int | None = None
    without_terminal: bool = False


def content_pieces(plan: StreamPlan) -> Iterator[str]:
    """Yield the text of each content frame, at most ``tokens_per_frame`` tokens long."""
    for start in range(0, plan.max_tokens, plan.tokens_per_frame):
        end = min(start + plan.tokens_per_frame, plan.max_tokens)
        text = "".join(expected_token(plan.request_id, index) for index in range(start, end))
        yield text


def decode_frames(plan: StreamPlan) -> Iterator[DecodeFrame]:
    """Yield the frames of a stream: ROLE, any number of CONTENT frames, USAGE, DONE.

    Parameters
    ----------
    plan : StreamPlan
        Content and faults of the stream.

    Yields
    ------
    DecodeFrame
        Frames in sending order.
    """
    yield _frame(plan, 0, FrameKind.ROLE)
    sequence = 0
    for number, text in enumerate(content_pieces(plan)):
        sequence += 1
        if number != plan.lost_frame:
            yield _frame(plan, sequence, FrameKind.CONTENT, text=text)
    if plan.without_terminal:
        return
    yield _frame(plan, sequence + 1, FrameKind.USAGE, completion_tokens=plan.max_tokens)
    yield _frame(plan, sequence + 2, FrameKind.DONE, completion_tokens=plan.max_tokens)


def _frame(
    plan: StreamPlan, sequence: int, kind: FrameKind, text: str = "", completion_tokens: int = 0
) -> DecodeFrame:
    return DecodeFrame(
        request_id=plan.request_id,
        attempt_id=plan.attempt_id,
        sequence=sequence,
        kind=kind,
        text=text,
        completion_tokens=completion_tokens,
    )
