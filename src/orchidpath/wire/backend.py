"""The protocol towards back ends: JSON bodies over HTTP/1.1.

Endpoints of a back end: ``POST /v1/prefill``, ``POST /v1/decode`` (server-sent events),
``POST /v1/call``, ``POST /v1/attempts/{attempt_id}/cancel``, ``POST /v1/orders`` and
``GET /v1/kv/{handle_id}`` between model workers. A back end announces itself with
``POST /v1/workers/announce`` to any router or control process.

A back end that answers with an :class:`ErrorBody` whose ``ran`` is ``no`` promises that the
attempt did not run and never will: it refuses that attempt id from then on.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.records import Stage, WorkerRecord

ATTEMPT_HEADER = "x-orchidpath-attempt"
"""Carries the attempt id in both directions; a different echo means a crossed answer."""


class Ran(StrEnum):
    """Whether a call has run: the honest answer to a caller that did not get a result."""

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
    """Names the KV cache of one prompt read; bound to request, attempt and worker incarnation."""

    handle_id: str
    request_id: str
    attempt_id: str
    worker_id: str
    incarnation: str
    url: str
    prompt_tokens: int
    expires_in_seconds: float


class PrefillRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Orders the prompt read of one attempt. ``prompt`` is the whole text of the messages."""

    request_id: str
    attempt_id: str
    model: str
    prompt: str


class PrefillReply(msgspec.Struct, frozen=True, kw_only=True):
    """The prompt was read; ``cached_tokens`` of it were found in the worker's prefix cache."""

    request_id: str
    attempt_id: str
    handle: CacheHandle
    cached_tokens: int


class DecodeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Orders the decode of one attempt from a handed-over KV cache."""

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

    ``sequence`` starts at 0 and grows by one for every frame; ``DONE`` is the explicit terminal.
    """

    request_id: str
    attempt_id: str
    sequence: int
    kind: FrameKind
    text: str = ""
    completion_tokens: int = 0
    error: ErrorBody | None = None


class CallRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Orders one plain call."""

    request_id: str
    attempt_id: str
    method: str
    path: str
    body: msgspec.Raw = msgspec.Raw(b"null")


class CallReply(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of a plain call."""

    request_id: str
    attempt_id: str
    body: msgspec.Raw = msgspec.Raw(b"null")


class CancelReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a cancellation; ``ran=no`` is the promise that it did not and never will run.

    The promise only counts from the incarnation that got the order: a restarted worker does not
    know what it ran before.
    """

    attempt_id: str
    ran: Ran
    incarnation: str = ""


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's announcement of itself, sent every ``ANNOUNCE_PERIOD_SECONDS``.

    ``record.status`` is READY or DRAINING as the worker sees itself; ``sequence`` grows by one
    with every announcement of an incarnation, so a late one never overrides a newer one. With
    ``leaving`` the incarnation says that it ends: it is gone at once and never comes back.
    """

    record: WorkerRecord
    sequence: int
    leaving: bool = False


ANNOUNCE_PERIOD_SECONDS = 0.5
"""Time between two announcements of a worker that has nothing new to say."""

WORKER_LEASE_SECONDS = 2.0
"""A worker that nobody has heard for this long is gone."""


class AnnouncementReply(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted for forwarding; ``announce_to`` are HTTP addresses that also take announcements."""

    accepted: bool
    announce_to: tuple[str, ...] = ()


class WorkerCommandKind(StrEnum):
    """What an order asks of a worker."""

    SET_STAGE = "set_stage"
    DRAIN = "drain"
    RESUME = "resume"


class WorkerCommand(msgspec.Struct, frozen=True, kw_only=True):
    """A fenced order: a worker refuses one whose ``(term, sequence)`` isn't above its highest."""

    term: int
    sequence: int
    worker_id: str
    incarnation: str
    kind: WorkerCommandKind
    stage: Stage | None = None


class WorkerCommandReply(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the order was obeyed, and the highest fence that the worker has seen."""

    accepted: bool
    highest_term: int
    highest_sequence: int
    reason: str = ""
