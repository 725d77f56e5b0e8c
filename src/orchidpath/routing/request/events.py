"""Events into and instructions out of the request state machine (:mod:`.request_machine`).

All of them are plain values: the machine decides, the router's shell sends, reads and waits.
"""

from enum import StrEnum

import msgspec

from orchidpath.circuit.classification import AttemptObservation
from orchidpath.wire.backend import CacheHandle, DecodeFrame, ErrorBody, Ran
from orchidpath.wire.configuration import RetryPolicy, Route
from orchidpath.wire.messages import AttemptReport, DecisionReply
from orchidpath.wire.records import Stage


class RequestPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What the machine must know of a request before its first attempt.

    ``streaming`` is false when the caller waits for one JSON body: then nothing reaches the caller
    before the terminal, and that is what commits the response. ``deadline`` is monotonic seconds.
    """

    request_id: str
    route: Route
    retry: RetryPolicy
    is_model: bool
    streaming: bool
    deadline: float


class SendRefusal(StrEnum):
    """Why the shell did not put an order on the wire, checked right before the first byte."""

    NOT_FRESH = "not_fresh"
    WORKER_UNAVAILABLE = "worker_unavailable"


class TimerKind(StrEnum):
    """What a timer waits for."""

    BACKOFF = "backoff"
    CANCEL = "cancel"


class Admitted(msgspec.Struct, frozen=True):
    """Admission let the request in."""


class AdmissionRejected(msgspec.Struct, frozen=True, kw_only=True):
    """Admission shed the request; nothing was sent."""

    error: ErrorBody


class DecisionMade(msgspec.Struct, frozen=True, kw_only=True):
    """Workers were chosen for an attempt, or rejected (from the leader or from the fallback)."""

    attempt_id: str
    reply: DecisionReply


class NoCandidates(msgspec.Struct, frozen=True, kw_only=True):
    """The adopted view holds no worker that could serve a stage of the attempt."""

    attempt_id: str
    reason: str


class SendRefused(msgspec.Struct, frozen=True, kw_only=True):
    """The last check before the first byte failed: nothing of this order left the router."""

    attempt_id: str
    refusal: SendRefusal
    retry_after_seconds: float


class PrefillSucceeded(msgspec.Struct, frozen=True, kw_only=True):
    """The prompt was prefilled; the reply's identifiers have not been checked yet."""

    attempt_id: str
    request_id: str
    handle: CacheHandle


class AttemptFailed(msgspec.Struct, frozen=True, kw_only=True):
    """The exchange of the attempt's current order failed.

    ``dispatch_left`` is false only if no byte of the order left this router. ``error`` is the back
    end's own answer; it is a guarantee only if ``echoed_attempt_id`` is this attempt's.
    """

    attempt_id: str
    observation: AttemptObservation
    reason: str
    dispatch_left: bool
    echoed_attempt_id: str = ""
    error: ErrorBody | None = None


class DecodeFrameReceived(msgspec.Struct, frozen=True, kw_only=True):
    """One frame arrived on the attempt's exchange."""

    attempt_id: str
    frame: DecodeFrame


class DecodeEnded(msgspec.Struct, frozen=True, kw_only=True):
    """The body of the decode stream ended without an error of the transport."""

    attempt_id: str


class CallReplied(msgspec.Struct, frozen=True, kw_only=True):
    """A plain call was answered; the identifiers have not been checked yet."""

    attempt_id: str
    replied_request_id: str
    replied_attempt_id: str
    body: bytes


class CancelAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """A back end answered a cancellation; ``attempt_id`` is the one that its answer names.

    ``is_same_incarnation`` says that the process which answered is the one that got the order: a
    worker that has restarted knows nothing of what it ran before.
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
    """The caller closed its connection, or reads nothing any more."""


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
    """Workers of one stage that this request has used in this pass, or must not use again."""

    stage: Stage
    tried: tuple[str, ...]
    excluded: tuple[str, ...]


class RequestDecision(msgspec.Struct, frozen=True, kw_only=True):
    """List the candidates, ask for fresh circuits, and register the attempt."""

    attempt_id: str
    per_stage: tuple[StageTried, ...]


class SendPrefill(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatch the prefill."""

    worker_id: str
    attempt_id: str


class SendDecode(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatch the decode with the handle that this attempt's prefill gave."""

    worker_id: str
    attempt_id: str
    handle: CacheHandle


class SendCall(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatch the plain call."""

    worker_id: str
    attempt_id: str


class AbortExchange(msgspec.Struct, frozen=True, kw_only=True):
    """Stop reading the attempt's exchange and close its connection."""

    attempt_id: str


class Cancel(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the worker that the attempt is not wanted, within ``timeout_seconds``."""

    worker_id: str
    attempt_id: str
    timeout_seconds: float


class StartTimer(msgspec.Struct, frozen=True, kw_only=True):
    """Send :class:`TimerElapsed` after ``seconds``."""

    kind: TimerKind
    number: int
    seconds: float


class Commit(msgspec.Struct, frozen=True):
    """From here on the response belongs to the caller: no retry can follow."""


class Relay(msgspec.Struct, frozen=True, kw_only=True):
    """Pass frames on to the caller, in this order."""

    frames: tuple[DecodeFrame, ...]


class Finish(msgspec.Struct, frozen=True, kw_only=True):
    """The response is complete; ``body`` is set for a plain call."""

    body: bytes | None = None


class Reject(msgspec.Struct, frozen=True, kw_only=True):
    """Answer with an error; nothing has reached the caller before."""

    error: ErrorBody


class BreakStream(msgspec.Struct, frozen=True, kw_only=True):
    """End a committed stream so that it cannot look complete: error frame, no clean end."""

    error: ErrorBody


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the leader how the attempt ended for one worker; also for the decision trace."""

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
"""Instructions that put a dispatch on the wire."""

TERMINAL_INSTRUCTIONS = (Finish, Reject, BreakStream)
"""Instructions after which the caller gets nothing more."""
