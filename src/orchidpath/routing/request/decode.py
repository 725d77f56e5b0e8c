"""One attempt's decode stream: its validation, the buffer before the commit, and the commit rule.

Text streams are validated and buffered until the first semantic frame or the terminal; roles,
usage and keepalives do not commit (paper, "Circuit breakers and bounded retries").
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
"""What each way in which a stream can be broken counts as."""

_AFTER_KV_TRANSFER = frozenset({FrameKind.CONTENT, FrameKind.USAGE, FrameKind.DONE})
"""Frames that a decode worker can only send once it holds the KV cache."""


class DecodeProgress:
    """How far one decode stream has come.

    Parameters
    ----------
    request_id, attempt_id
        Whose stream it must be.
    streaming
        Whether content goes to the caller as it comes; otherwise only the terminal commits.
    disabled_guards
        For tests only: safety rules to leave out.
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
        """Judge the next frame; see :class:`~orchidpath.routing.stream.StreamValidator`."""
        return self._validator.check(frame)

    def end(self) -> StreamVerdict:
        """Judge the end of the response body."""
        return self._validator.end()

    def observe(self, frame: DecodeFrame) -> bool:
        """Record what a valid frame proves.

        Returns
        -------
        bool
            Whether it is the first one that proves the KV transfer.
        """
        self.has_content = self.has_content or frame.kind is FrameKind.CONTENT
        if self.is_kv_transferred or frame.kind not in _AFTER_KV_TRANSFER:
            return False
        self.is_kv_transferred = True
        return True

    def frames_to_relay(self, frame: DecodeFrame) -> tuple[DecodeFrame, ...]:
        """Take a valid frame in and return what may reach the caller now, in order."""
        if self.is_committed:
            return (frame,)
        # A keepalive before the commit has no reader, and must not fill the buffer.
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
