"""Validates one decode stream: the identity and sequence of its frames, and its DONE frame.

A caller must never receive the response of another request, a stream with a gap, or a truncated
stream that looks complete (brief, "What must never happen"). The frames of a stream have sequence
numbers from 0, and the last one is a DONE frame (design page: a stream without its DONE frame is a
transient failure).
"""

from enum import StrEnum

from orchidpath.wire.backend import DecodeFrame, FrameKind


class StreamVerdict(StrEnum):
    """Result of the validation of a frame, or of the end of the stream."""

    ACCEPTED = "accepted"
    """The frame is the next one of the stream."""
    COMPLETE = "complete"
    """The DONE frame has arrived."""
    CROSSED = "crossed"
    """The frame belongs to another request or attempt."""
    GAP = "gap"
    """The sequence number of the frame is not the next one."""
    AFTER_TERMINAL = "after_terminal"
    """A frame arrived after the DONE frame."""
    MISSING_TERMINAL = "missing_terminal"
    """The stream ended without a DONE frame."""

    @property
    def is_broken(self) -> bool:
        """Whether the stream is invalid, so that no more of it may be relayed to the caller."""
        return self not in {StreamVerdict.ACCEPTED, StreamVerdict.COMPLETE}


class StreamValidator:
    """Checks the frames of one attempt's decode stream in the order in which they arrive.

    Parameters
    ----------
    request_id
        Request id that every frame must carry.
    attempt_id
        Attempt id that every frame must carry.
    """

    def __init__(self, request_id: str, attempt_id: str) -> None:
        self._request_id = request_id
        self._attempt_id = attempt_id
        self._next_sequence = 0
        self._broken: StreamVerdict | None = None
        self.is_complete = False

    def check(self, frame: DecodeFrame) -> StreamVerdict:
        """Validate the next frame; a stream that was invalid once remains invalid.

        Parameters
        ----------
        frame
            The frame that arrived.

        Returns
        -------
        StreamVerdict
            ACCEPTED, COMPLETE for the DONE frame, or the reason why the stream is invalid.
        """
        if self._broken is None:
            verdict = self._validate(frame)
            if not verdict.is_broken:
                return verdict
            self._broken = verdict
        return self._broken

    def end(self) -> StreamVerdict:
        """Return the verdict at the end of the response body: COMPLETE only after a DONE frame."""
        if self._broken is not None:
            return self._broken
        return StreamVerdict.COMPLETE if self.is_complete else StreamVerdict.MISSING_TERMINAL

    def _validate(self, frame: DecodeFrame) -> StreamVerdict:
        # The ids are checked first, because the sequence number of a frame that belongs to another
        # stream is meaningless in this one.
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
