"""The protocol towards back ends: JSON bodies over HTTP/1.1.

Endpoints of a back end: ``POST /v1/prefill``, ``POST /v1/decode`` (server-sent events),
``POST /v1/call``, ``POST /v1/attempts/{attempt_id}/cancel``, ``POST /v1/orders`` and
``GET /v1/kv/{handle_id}`` between model workers. A back end announces itself with
``POST /v1/workers/announce`` to any router or control process.

A back end that answers with an :class:`ErrorBody` whose ``ran`` is ``no`` guarantees that the
attempt was not executed and never will be: it rejects that attempt id from then on.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.records import Stage, WorkerRecord

ATTEMPT_HEADER = "x-orchidpath-attempt"
"""Carries the attempt id both ways; a different echo is an answer to another request."""


class Ran(StrEnum):
    """Whether a call was executed, as reported to a caller that did not get a result."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorCode(StrEnum):
    """Stable error codes, the same towards callers and from back ends."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_ROUTE = "unknown_route"
    NOT_FRESH = "not_fresh"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limit_exceeded"
    ALL_CIRCUITS_OPEN = "deployments_in_cooldown"
    NO_WORKER = "no_worker"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REFUSED = "upstream_refused"
    STREAM_BROKEN = "stream_broken"
    HANDLE_EXPIRED = "handle_lapsed"
    HANDLE_MISMATCH = "handle_mismatch"
    WRONG_MODEL = "wrong_model"
    WRONG_STAGE = "wrong_stage"
    STALE_ORDER = "stale_order"
    ATTEMPT_REFUSED = "attempt_refused"
    INTERNAL = "internal"


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """The one JSON shape of every error; ``retry_after_seconds`` also goes into the header."""

    code: ErrorCode
    message: str
    ran: Ran
    request_id: str = ""
    attempt_id: str = ""
    retry_after_seconds: float | None = None


class ErrorEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    """An error as it is sent: ``{"error": {...}}``."""

    error: ErrorBody


class CacheHandle(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies the KV cache of one prefill; bound to request, attempt and worker incarnation."""

    handle_id: str
    request_id: str
    attempt_id: str
    worker_id: str
    incarnation: str
    url: str
    prompt_tokens: int
    expires_in_seconds: float


class PrefillRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatches the prefill of one attempt. ``prompt`` is the full text of the messages."""

    request_id: str
    attempt_id: str
    model: str
    prompt: str


class PrefillReply(msgspec.Struct, frozen=True, kw_only=True):
    """The prefill is done; ``cached_tokens`` of the prompt hit the worker's prefix cache."""

    request_id: str
    attempt_id: str
    handle: CacheHandle
    cached_tokens: int


class DecodeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatches the decode of one attempt from a transferred KV cache."""

    request_id: str
    attempt_id: str
    model: str
    handle: CacheHandle
    max_tokens: int


class FrameKind(StrEnum):
    """Kind of one frame of a decode stream. Only CONTENT commits a response."""

    ROLE = "role"
    KEEPALIVE = "keepalive"
    CONTENT = "content"
    USAGE = "usage"
    DONE = "done"
    ERROR = "error"


class DecodeFrame(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event of a decode stream.

    ``sequence`` starts at 0 and increases by one with every frame; ``DONE`` is the last one.
    """

    request_id: str
    attempt_id: str
    sequence: int
    kind: FrameKind
    text: str = ""
    completion_tokens: int = 0
    error: ErrorBody | None = None


class CallRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatches one plain call."""

    request_id: str
    attempt_id: str
    method: str
    path: str
    body: msgspec.Raw = msgspec.Raw(b"null")


class CallReply(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a plain call."""

    request_id: str
    attempt_id: str
    body: msgspec.Raw = msgspec.Raw(b"null")


class CancelReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a cancellation; ``ran=no`` is the not-executed guarantee for the attempt.

    It only counts from the incarnation that received the dispatch: a restarted worker does not
    know what it executed before.
    """

    attempt_id: str
    ran: Ran
    incarnation: str = ""


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's announcement of itself, sent every ``ANNOUNCE_PERIOD_SECONDS``.

    ``record.status`` is READY or DRAINING as the worker sees itself; ``sequence`` increases by one
    with every announcement of an incarnation, so a late one never overrides a newer one. With
    ``leaving`` the incarnation shuts down: it is removed at once and never returns.
    """

    record: WorkerRecord
    sequence: int
    leaving: bool = False


ANNOUNCE_PERIOD_SECONDS = 0.5
"""Time between two announcements of a worker whose record has not changed."""

WORKER_LEASE_SECONDS = 2.0
"""A worker without an announcement for this long is removed."""


class AnnouncementReply(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted for forwarding; ``announce_to`` are further HTTP addresses for announcements."""

    accepted: bool
    announce_to: tuple[str, ...] = ()


class WorkerCommandKind(StrEnum):
    """Kind of a command from the leader to a worker."""

    SET_STAGE = "set_stage"
    DRAIN = "drain"
    RESUME = "resume"


class WorkerCommand(msgspec.Struct, frozen=True, kw_only=True):
    """A fenced command: a worker rejects one whose ``(term, sequence)`` isn't above its highest."""

    term: int
    sequence: int
    worker_id: str
    incarnation: str
    kind: WorkerCommandKind
    stage: Stage | None = None


class WorkerCommandReply(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the command was executed, and the highest fencing token that the worker has seen."""

    accepted: bool
    highest_term: int
    highest_sequence: int
    reason: str = ""
