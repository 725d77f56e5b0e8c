"""What simulated back ends make of orders: what admission sees, answers, streams under way."""

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
    """A stream under way and what is to befall it.

    Parameters
    ----------
    frames
        What is left to send.
    cut, stall
        Faults that end it early, or hold it up.
    """

    def __init__(
        self, frames: Iterator[DecodeFrame], truncation: Fault | None, stall: Fault | None
    ) -> None:
        self.frames = frames
        self.sent = 0
        self._truncation = truncation
        self._stall = stall

    def is_interrupted(self) -> bool:
        """Tell whether the connection is to be cut before the next frame."""
        return self._truncation is not None and self.sent > self._truncation.after_frames

    def stall_seconds(self) -> float:
        """Return how long the next frame is held up."""
        if self._stall is None or self.sent != self._stall.after_frames + 1:
            return 0.0
        return self._stall.seconds


def complete_reply(sender: AttemptDispatch, reply: PrefillReply | CallReply) -> HttpReply:
    """Return a whole answer with its header."""
    return HttpReply(echoed_attempt_id=sender.attempt_id, reply=reply)


def claim_of(order: AttemptDispatch, handle: CacheHandle) -> HandleClaim:
    """Return what a decode worker says of itself when it asks for a KV cache."""
    return HandleClaim(
        handle_id=handle.handle_id,
        request_id=order.request_id,
        attempt_id=order.attempt_id,
        incarnation=handle.incarnation,
    )


def prefill_order(message: PrefillRequest) -> AttemptDispatch:
    """Return what admission looks at in a prefill."""
    return AttemptDispatch(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        phase=Phase.PREFILL_DONE,
        stage=Stage.PREFILL,
        model=message.model,
    )


def decode_order(message: DecodeRequest) -> AttemptDispatch:
    """Return what admission looks at in a decode."""
    return AttemptDispatch(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        phase=Phase.EXECUTION,
        stage=Stage.DECODE,
        model=message.model,
    )


def call_order(message: CallRequest) -> AttemptDispatch:
    """Return what admission looks at in a plain call."""
    return AttemptDispatch(
        request_id=message.request_id,
        attempt_id=message.attempt_id,
        phase=Phase.EXECUTION,
        stage=Stage.PLAIN,
    )
