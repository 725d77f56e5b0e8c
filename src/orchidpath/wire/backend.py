"""The protocol between the fleet and its back ends (workers): JSON bodies over HTTP/1.1.

A back end serves ``POST /v1/prefill``, ``POST /v1/decode`` (server-sent events),
``POST /v1/call``, ``POST /v1/attempts/{attempt_id}/cancel`` and ``POST /v1/orders``; model workers
also serve ``GET /v1/kv/{handle_id}`` to each other. A back end announces itself with
``POST /v1/workers/announce`` to any router or control process.

A back end that replies with an :class:`ErrorBody` whose ``ran`` is ``no`` guarantees that the
attempt was not executed and never will be: it rejects that attempt id from then on.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.records import Stage, WorkerRecord

ATTEMPT_HEADER = "x-orchidpath-attempt"
"""Header with the attempt id, in requests and responses.

A response with another attempt id belongs to another request.
"""


class Ran(StrEnum):
    """Whether a call was executed, as reported to a caller that received no result."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorCode(StrEnum):
    """Stable error codes, used both in responses to callers and in responses of back ends."""

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
    """Content of every error response.

    ``retry_after_seconds`` is also sent as the ``Retry-After`` header.
    """

    code: ErrorCode
    message: str
    ran: Ran
    request_id: str = ""
    attempt_id: str = ""
    retry_after_seconds: float | None = None


class ErrorEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an error response: ``{"error": {...}}``."""

    error: ErrorBody


class CacheHandle(msgspec.Struct, frozen=True, kw_only=True):
    """Reference to the KV cache of one prefill.

    The handle is valid only for its request and attempt, and only for this incarnation of the
    worker that holds the KV cache.
    """

    handle_id: str
    request_id: str
    attempt_id: str
    worker_id: str
    incarnation: str
    url: str
    prompt_tokens: int
    expires_in_seconds: float


class PrefillRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatches the prefill of one attempt; ``prompt`` is the full text of the messages."""

    request_id: str
    attempt_id: str
    model: str
    prompt: str


class PrefillReply(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a prefill.

    ``cached_tokens`` is the number of prompt tokens that were found in the worker's prefix cache.
    """

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
    """Kind of one frame of a decode stream; only ``CONTENT`` commits a response."""

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
    """Dispatches one call of a plain service."""

    request_id: str
    attempt_id: str
    method: str
    path: str
    body: msgspec.Raw = msgspec.Raw(b"null")


class CallReply(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one call of a plain service."""

    request_id: str
    attempt_id: str
    body: msgspec.Raw = msgspec.Raw(b"null")


class CancelReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a cancellation; ``ran=no`` guarantees that the attempt was not executed.

    The guarantee is valid only if it comes from the incarnation that received the dispatch: a
    restarted worker has no record of what it executed before the restart.
    """

    attempt_id: str
    ran: Ran
    incarnation: str = ""


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's registration and heartbeat, sent every ``ANNOUNCE_PERIOD_SECONDS``.

    ``record.status`` is ``READY`` or ``DRAINING``, as set by the worker itself. ``sequence``
    increases by one with every announcement of an incarnation, so that a late announcement never
    overrides a newer one. If ``leaving`` is set, the incarnation shuts down: it is removed at once
    and never returns.
    """

    record: WorkerRecord
    sequence: int
    leaving: bool = False


ANNOUNCE_PERIOD_SECONDS = 0.5
"""Time between two announcements of a worker whose record has not changed."""

WORKER_LEASE_SECONDS = 2.0
"""A worker without an announcement for this long is removed."""


class AnnouncementReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to an announcement.

    ``accepted`` states whether the announcement is forwarded to the leader; ``announce_to`` lists
    further HTTP addresses that accept announcements.
    """

    accepted: bool
    announce_to: tuple[str, ...] = ()


class WorkerCommandKind(StrEnum):
    """Kind of a command from the leader to a worker."""

    SET_STAGE = "set_stage"
    DRAIN = "drain"
    RESUME = "resume"


class WorkerCommand(msgspec.Struct, frozen=True, kw_only=True):
    """A command from the leader to a worker, with the fencing token ``(term, sequence)``.

    A worker rejects a command whose token is not above the highest token that it has received.
    """

    term: int
    sequence: int
    worker_id: str
    incarnation: str
    kind: WorkerCommandKind
    stage: Stage | None = None


class WorkerCommandReply(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a command was executed, and the highest fencing token that the worker received."""

    accepted: bool
    highest_term: int
    highest_sequence: int
    reason: str = ""
