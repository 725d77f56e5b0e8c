"""Events and instructions of the request state machine (:mod:`.request_machine`).

Both are plain values. The machine makes the decisions; the router's shell executes the instructions
(sends, reads and waits) and passes the results back as events.
"""

from enum import StrEnum

import msgspec

from orchidpath.circuit.classification import AttemptObservation
from orchidpath.wire.backend import CacheHandle, DecodeFrame, ErrorBody, Ran
from orchidpath.wire.configuration import RetryPolicy, Route
from orchidpath.wire.messages import AttemptReport, DecisionReply
from orchidpath.wire.records import Stage


class RequestPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a request that are fixed before its first attempt.

    ``is_model`` is true for a request that needs a prefill and a decode worker. ``streaming`` is
    false if the caller waits for one JSON body: nothing reaches the caller before the terminal
    frame, which then commits the response. ``deadline`` is in monotonic seconds.
    """

    request_id: str
    route: Route
    retry: RetryPolicy
    is_model: bool
    streaming: bool
    deadline: float


class SendRefusal(StrEnum):
    """Why the shell did not send a dispatch; it checks this immediately before the first byte."""

    NOT_FRESH = "not_fresh"
    WORKER_UNAVAILABLE = "worker_unavailable"


class TimerKind(StrEnum):
    """Purpose of a timer."""

    BACKOFF = "backoff"
    CANCEL = "cancel"


class Admitted(msgspec.Struct, frozen=True):
    """Admission control accepted the request."""


class AdmissionRejected(msgspec.Struct, frozen=True, kw_only=True):
    """Admission control rejected the request; nothing was sent."""

    error: ErrorBody


class DecisionMade(msgspec.Struct, frozen=True, kw_only=True):
    """The leader or the fallback decided an attempt: it chose workers or rejected the attempt."""

    attempt_id: str
    reply: DecisionReply


class NoCandidates(msgspec.Struct, frozen=True, kw_only=True):
    """The router's current view has no worker that can serve one of the attempt's stages."""

    attempt_id: str
    reason: str


class SendRefused(msgspec.Struct, frozen=True, kw_only=True):
    """The check before the first byte failed, so no byte of the dispatch left the router."""

    attempt_id: str
    refusal: SendRefusal
    retry_after_seconds: float


class PrefillSucceeded(msgspec.Struct, frozen=True, kw_only=True):
    """The prefill worker replied with a handle; the reply's ids have not been checked yet."""

    attempt_id: str
    request_id: str
    handle: CacheHandle


class AttemptFailed(msgspec.Struct, frozen=True, kw_only=True):
    """The exchange of the attempt's current dispatch failed.

    ``dispatch_left`` is false only if no byte of the dispatch left this router. ``error`` is the
    worker's own error response. Its statement that the call did not run counts as a guarantee only
    if ``echoed_attempt_id`` is the id of this attempt.
    """

    attempt_id: str
    observation: AttemptObservation
    reason: str
    dispatch_left: bool
    echoed_attempt_id: str = ""
    error: ErrorBody | None = None


class DecodeFrameReceived(msgspec.Struct, frozen=True, kw_only=True):
    """A frame arrived on the attempt's decode stream."""

    attempt_id: str
    frame: DecodeFrame


class DecodeEnded(msgspec.Struct, frozen=True, kw_only=True):
    """The body of the decode stream ended without a transport error."""

    attempt_id: str


class CallReplied(msgspec.Struct, frozen=True, kw_only=True):
    """A worker replied to a plain call; the reply's ids have not been checked yet."""

    attempt_id: str
    replied_request_id: str
    replied_attempt_id: str
    body: bytes


class CancelAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """A worker replied to a cancellation; ``attempt_id`` is the id in its reply.

    ``is_same_incarnation`` is true if the process that replied also received the dispatch. A worker
    that has restarted has no record of what it ran before, so its reply guarantees nothing.
    """

    worker_id: str
    attempt_id: str
    is_same_incarnation: bool
    ran: Ran


class TimerElapsed(msgspec.Struct, frozen=True, kw_only=True):
    """A timer that the machine started has elapsed."""

    kind: TimerKind
    number: int


class DeadlinePassed(msgspec.Struct, frozen=True):
    """The request's deadline has passed."""


class ClientDisconnected(msgspec.Struct, frozen=True):
    """The caller closed its connection or stopped reading from it."""


RequestEvent = (
    Admitted
    | AdmissionRejected
    | DecisionMade
    | NoCandidates
    | SendRefused
    | PrefillSucceeded
    | AttemptFailed
    | DecodeFrameReceived
    | DecodeEnded
    | CallReplied
    | CancelAnswered
    | TimerElapsed
    | DeadlinePassed
    | ClientDisconnected
)


class StageTried(msgspec.Struct, frozen=True, kw_only=True):
    """Workers of one stage that the request has already tried or that it must not use.

    ``tried`` workers are used again only after all others; ``excluded`` workers are not used.
    """

    stage: Stage
    tried: tuple[str, ...]
    excluded: tuple[str, ...]


class RequestDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Request a decision from the leader or the fallback, which registers the attempt.

    The router lists the candidates; ``per_stage`` holds the workers tried and excluded so far.
    """

    attempt_id: str
    per_stage: tuple[StageTried, ...]


class SendPrefill(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatch the prefill to a worker."""

    worker_id: str
    attempt_id: str


class SendDecode(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatch the decode with the KV cache handle returned by this attempt's prefill."""

    worker_id: str
    attempt_id: str
    handle: CacheHandle


class SendCall(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatch the plain call to a worker."""

    worker_id: str
    attempt_id: str


class AbortExchange(msgspec.Struct, frozen=True, kw_only=True):
    """Stop reading the attempt's exchange and close its connection."""

    attempt_id: str


class Cancel(msgspec.Struct, frozen=True, kw_only=True):
    """Cancel the attempt on a worker, waiting at most ``timeout_seconds`` for the reply."""

    worker_id: str
    attempt_id: str
    timeout_seconds: float


class StartTimer(msgspec.Struct, frozen=True, kw_only=True):
    """Pass :class:`TimerElapsed` to the machine after ``seconds``."""

    kind: TimerKind
    number: int
    seconds: float


class Commit(msgspec.Struct, frozen=True):
    """Commit the response to the caller; no retry is possible after this."""


class Relay(msgspec.Struct, frozen=True, kw_only=True):
    """Send frames to the caller, in this order."""

    frames: tuple[DecodeFrame, ...]


class Finish(msgspec.Struct, frozen=True, kw_only=True):
    """Complete the response; ``body`` is set for a plain call."""

    body: bytes | None = None


class Reject(msgspec.Struct, frozen=True, kw_only=True):
    """Reply with an error; nothing has been sent to the caller before."""

    error: ErrorBody


class BreakStream(msgspec.Struct, frozen=True, kw_only=True):
    """End a committed stream with an error frame and without a regular end.

    The caller therefore cannot take the stream for complete.
    """

    error: ErrorBody


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Report to the leader and to the decision trace how an attempt ended for one worker."""

    report: AttemptReport
    stage: Stage
    reason: str


RequestInstruction = (
    RequestDecision
    | SendPrefill
    | SendDecode
    | SendCall
    | AbortExchange
    | Cancel
    | StartTimer
    | Commit
    | Relay
    | Finish
    | Reject
    | BreakStream
    | Report
)

SEND_INSTRUCTIONS = (SendPrefill, SendDecode, SendCall)
"""Instructions that send a dispatch to a worker."""

TERMINAL_INSTRUCTIONS = (Finish, Reject, BreakStream)
"""Instructions after which nothing more is sent to the caller."""
