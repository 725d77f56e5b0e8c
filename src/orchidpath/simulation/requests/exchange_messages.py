"""What travels on the simulated exchanges between callers, routers and back ends."""

from enum import StrEnum

import msgspec

from orchidpath.emulators.worker.kv_cache import HandleClaim
from orchidpath.wire.backend import CallReply, CancelReply, DecodeFrame, ErrorBody, PrefillReply


class RequestKind(StrEnum):
    """What a caller asks for; each has a route of its own."""

    CHAT = "chat"
    """May be repeated."""
    CHAT_ONCE = "chat-once"
    """Must run at most once, its prefill included."""
    CHAT_PREFILL_REPEATED = "chat-read-again"
    """Must run at most once; its prompt may be read again."""
    LOOKUP = "lookup"
    """A plain call that may be repeated."""
    ORDER = "order"
    """A plain call that must run at most once."""


MODEL_KINDS = frozenset(
    {RequestKind.CHAT, RequestKind.CHAT_ONCE, RequestKind.CHAT_PREFILL_REPEATED}
)
REPEATABLE_KINDS = frozenset({RequestKind.CHAT, RequestKind.LOOKUP})


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request as a caller sends it; ``submission`` counts its tries over all routers."""

    request_id: str
    submission: int
    kind: RequestKind
    streaming: bool
    max_tokens: int
    deadline_seconds: float
    prompt: str
    tenant: str


class Relayed(msgspec.Struct, frozen=True, kw_only=True):
    """Frames that reach the caller as they come."""

    frames: tuple[DecodeFrame, ...]


class Finished(msgspec.Struct, frozen=True, kw_only=True):
    """The whole answer, or the clean end of a stream."""

    text: str = ""
    body: bytes | None = None


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """An error instead of an answer."""

    error: ErrorBody


class Broken(msgspec.Struct, frozen=True, kw_only=True):
    """A stream that has begun and ends visibly broken."""

    error: ErrorBody


class CancelOrder(msgspec.Struct, frozen=True, kw_only=True):
    """``POST /v1/attempts/{attempt_id}/cancel``."""

    attempt_id: str


class PullCache(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/kv/{handle_id}`` from a decode worker."""

    claim: HandleClaim
    decode_worker: str


class CacheMoved(msgspec.Struct, frozen=True, kw_only=True):
    """The KV cache itself."""

    claim: HandleClaim


class HttpError(msgspec.Struct, frozen=True, kw_only=True):
    """An error status with its body."""

    echoed_attempt_id: str
    error: ErrorBody


class HttpReply(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    echoed_attempt_id: str
    reply: PrefillReply | CallReply | CancelReply


class StreamHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a decode stream."""

    echoed_attempt_id: str


class EndOfBody(msgspec.Struct, frozen=True):
    """The response body ended without an error of the transport."""
