"""Conversions from requests to attempt dispatches, and state of response streams."""

from collections.abc import Iterator

from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.backend_core import AttemptDispatch
from orchidpath.emulators.backend.injected_faults import Fault
from orchidpath.emulators.worker.kv_cache import HandleClaim
from orchidpath.simulation.requests.exchange_messages import HttpReply
from orchidpath.wire.backend import (
    CacheHandle,
    CallReply,
    CallRequest,
    DecodeFrame,
    DecodeRequest,
    PrefillReply,
    PrefillRequest,
)
from orchidpath.wire.records import Stage


class StreamProgress:
    """Progress of one decode stream, with the faults to inject into it.

    Parameters
    ----------
    frames
        Frames that are still to be sent.
    truncation, stall
        Faults that end the stream early or delay a frame; None for no fault.
    """

    def __init__(
        self, frames: Iterator[DecodeFrame], truncation: Fault | None, stall: Fault | None
    ) -> None:
        self.frames = frames
        self.sent = 0
        self._truncation = truncation
        self._stall = stall

    def is_interrupted(self) -> bool:
        """Return whether the connection must be closed before the next frame."""
        return self._truncation is not None and self.sent > self._truncation.after_frames

    def stall_seconds(self) -> float:
        """Return the injected delay of the next frame, in seconds."""
        if self._stall is None or self.sent != self._stall.after_frames + 1:
            return 0.0
        return self._stall.seconds


def complete_reply(sender: AttemptDispatch, reply: PrefillReply | CallReply) -> HttpReply:
    """Return a complete response with the attempt id of its header."""
    return HttpReply(echoed_attempt_id=sender.attempt_id, reply=reply)


def claim_of(dispatch: AttemptDispatch, handle: CacheHandle) -> HandleClaim:
    """Return the claim that a decode worker presents to pull a KV cache."""
    return HandleClaim(
        handle_id=handle.handle_id,
        request_id=dispatch.request_id,
        attempt_id=dispatch.attempt_id,
        incarnation=handle.incarnation,
    )


def prefill_dispatch(message: PrefillRequest) -> AttemptDispatch:
    """Return the dispatch that admission evaluates for a prefill request."""
    return AttemptDispatch(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        phase=Phase.PREFILL_DONE,
        stage=Stage.PREFILL,
        model=message.model,
    )


def decode_dispatch(message: DecodeRequest) -> AttemptDispatch:
    """Return the dispatch that admission evaluates for a decode request."""
    return AttemptDispatch(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        phase=Phase.EXECUTION,
        stage=Stage.DECODE,
        model=message.model,
    )


def call_dispatch(message: CallRequest) -> AttemptDispatch:
    """Return the dispatch that admission evaluates for a plain call."""
    return AttemptDispatch(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        phase=Phase.EXECUTION,
        stage=Stage.PLAIN,
    )
