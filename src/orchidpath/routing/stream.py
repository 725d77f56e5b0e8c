"""Validation of one decode stream: whose frame it is, its place, and the explicit terminal.

A caller must never get another request's answer, a gapped stream, or a cut one that looks complete
(brief, "What must never happen"). Streams carry sequence numbers from 0 and end with a DONE frame
(design page: a stream that misses its terminal is a transient failure).
"""

from enum import StrEnum

from orchidpath.wire.backend import DecodeFrame, FrameKind


class StreamVerdict(StrEnum):
    """What the validator says about a frame, or about the end of the stream."""

    ACCEPTED = "accepted"
    COMPLETE = "complete"
    CROSSED = "crossed"
    GAP = "gap"
    AFTER_TERMINAL = "after_terminal"
    MISSING_TERMINAL = "missing_terminal"

    @property
    def is_broken(self) -> bool:
        """Whether nothing of this stream may be relayed from now on."""
        return self not in {StreamVerdict.ACCEPTED, StreamVerdict.COMPLETE}


class StreamValidator:
    """Checks the frames of one attempt's decode stream in the order in which they arrive.

    Parameters
    ----------
    request_id
        The request that the stream must echo.
    attempt_id
        The attempt that the stream must echo.
    """

    def __init__(self, request_id: str, attempt_id: str) -> None:
        self._request_id = request_id
        self._attempt_id = attempt_id
        self._next_sequence = 0
        self._broken: StreamVerdict | None = None
        self.is_complete = False

    def check(self, frame: DecodeFrame) -> StreamVerdict:
        """Judge the next frame; once a stream is broken it stays so.

        Parameters
        ----------
        frame
            The frame as it arrived.

        Returns
        -------
        StreamVerdict
            ACCEPTED, COMPLETE for the terminal, or why the stream is broken.
        """
        if self._broken is None:
            verdict = self._judge(frame)
            if not verdict.is_broken:
                return verdict
            self._broken = verdict
        return self._broken

    def end(self) -> StreamVerdict:
        """Judge the end of the response body: complete only after the explicit terminal."""
        if self._broken is not None:
            return self._broken
        return StreamVerdict.COMPLETE if self.is_complete else StreamVerdict.MISSING_TERMINAL

    def _judge(self, frame: DecodeFrame) -> StreamVerdict:
        # Identity first: a crossed frame's sequence says nothing about this stream.
        if (frame.request_id, frame.attempt_id) != (self._request_id, self._attempt_id):
            return StreamVerdict.CROSSED
        if self.is_complete:
            return StreamVerdict.AFTER_TERMINAL
        if frame.sequence != self._next_sequence:
            return StreamVerdict.GAP
        self._next_sequence += 1
        if frame.kind is FrameKind.DONE:
            self.is_complete = True
            return StreamVerdict.COMPLETE
        return StreamVerdict.ACCEPTED
