"""Validation, buffering and commit of one attempt's decode stream.

Frames are validated, and buffered until the first content frame or the terminal frame commits the
response. Role, usage and keepalive frames do not commit it (paper, "Circuit breakers and bounded
retries").
"""

from types import MappingProxyType

from orchidpath.circuit.classification import Observed
from orchidpath.routing.request.guards import NO_GUARD_DISABLED, Guard
from orchidpath.routing.stream import StreamValidator, StreamVerdict
from orchidpath.wire.backend import DecodeFrame, FrameKind

OBSERVED_BY_VERDICT = MappingProxyType(
    {
        StreamVerdict.CROSSED: Observed.WRONG_ATTEMPT_ECHO,
        StreamVerdict.GAP: Observed.SEQUENCE_GAP,
        StreamVerdict.AFTER_TERMINAL: Observed.MALFORMED_PROTOCOL,
        StreamVerdict.MISSING_TERMINAL: Observed.MISSING_TERMINAL,
    }
)
"""Observation that is classified for each kind of broken stream."""

_AFTER_KV_TRANSFER = frozenset({FrameKind.CONTENT, FrameKind.USAGE, FrameKind.DONE})
"""Frames that a decode worker can send only after it has received the KV cache."""


class DecodeProgress:
    """Progress of one decode stream.

    Parameters
    ----------
    request_id, attempt_id
        Ids that every frame of the stream must carry.
    streaming
        Whether content is sent to the caller as it arrives. If not, only the terminal frame commits
        the response.
    disabled_guards
        Safety rules that are not enforced; for tests only.
    """

    def __init__(
        self,
        request_id: str,
        attempt_id: str,
        streaming: bool,
        disabled_guards: frozenset[Guard] = NO_GUARD_DISABLED,
    ) -> None:
        self._validator = StreamValidator(request_id, attempt_id)
        self._streaming = streaming
        self._disabled = disabled_guards
        self._buffer: list[DecodeFrame] = []
        self.is_committed = False
        self.is_kv_transferred = False
        self.has_content = False

    def check(self, frame: DecodeFrame) -> StreamVerdict:
        """Validate the next frame; see :class:`~orchidpath.routing.stream.StreamValidator`."""
        return self._validator.check(frame)

    def end(self) -> StreamVerdict:
        """Validate the end of the response body."""
        return self._validator.end()

    def observe(self, frame: DecodeFrame) -> bool:
        """Record whether a valid frame has content and whether it proves the KV transfer.

        Returns
        -------
        bool
            Whether the frame is the first of the stream that proves the KV transfer.
        """
        self.has_content = self.has_content or frame.kind is FrameKind.CONTENT
        if self.is_kv_transferred or frame.kind not in _AFTER_KV_TRANSFER:
            return False
        self.is_kv_transferred = True
        return True

    def frames_to_relay(self, frame: DecodeFrame) -> tuple[DecodeFrame, ...]:
        """Add a valid frame, and return the frames to send to the caller now, in order."""
        if self.is_committed:
            return (frame,)
        # Nothing reaches the caller before the commit, so keepalives would only fill the buffer.
        if frame.kind is not FrameKind.KEEPALIVE:
            self._buffer.append(frame)
        if not self._commits(frame):
            return ()
        self.is_committed = True
        frames = tuple(self._buffer)
        self._buffer.clear()
        return frames

    def _commits(self, frame: DecodeFrame) -> bool:
        if Guard.ONLY_CONTENT_COMMITS in self._disabled:
            return True
        if frame.kind is FrameKind.DONE:
            return True
        return self._streaming and frame.kind is FrameKind.CONTENT
