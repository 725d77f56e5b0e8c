"""Messages on the simulated exchanges between callers, routers and back ends."""

from enum import StrEnum

import msgspec

from orchidpath.emulators.worker.kv_cache import HandleClaim
from orchidpath.wire.backend import CallReply, CancelReply, DecodeFrame, ErrorBody, PrefillReply


class RequestKind(StrEnum):
    """Kind of a caller's request; each kind has a separate route."""

    CHAT = "chat"
    """A chat request that may be executed more than once."""
    CHAT_ONCE = "chat-once"
    """A chat request that must run at most once, including its prefill."""
    CHAT_PREFILL_REPEATED = "chat-read-again"
    """A chat request that must run at most once; only its prefill may be repeated."""
    LOOKUP = "lookup"
    """A plain call that may be repeated."""
    ORDER = "order"
    """A plain call that must run at most once."""


MODEL_KINDS = frozenset(
    {RequestKind.CHAT, RequestKind.CHAT_ONCE, RequestKind.CHAT_PREFILL_REPEATED}
)
REPEATABLE_KINDS = frozenset({RequestKind.CHAT, RequestKind.LOOKUP})


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request as a caller sends it; ``submission`` numbers its submissions from 1."""

    request_id: str
    submission: int
    kind: RequestKind
    streaming: bool
    max_tokens: int
    deadline_seconds: float
    prompt: str
    tenant: str


class Relayed(msgspec.Struct, frozen=True, kw_only=True):
    """Frames of a stream, relayed to the caller as they arrive."""

    frames: tuple[DecodeFrame, ...]


class Finished(msgspec.Struct, frozen=True, kw_only=True):
    """The complete response, or the regular end of a stream."""

    text: str = ""
    body: bytes | None = None


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """An error reply in place of a response."""

    error: ErrorBody


class Broken(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a stream that fails after content was sent, with an explicit error."""

    error: ErrorBody


class CancelAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """``POST /v1/attempts/{attempt_id}/cancel``."""

    attempt_id: str


class PullCache(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/kv/{handle_id}`` from a decode worker."""

    claim: HandleClaim
    decode_worker: str


class CacheMoved(msgspec.Struct, frozen=True, kw_only=True):
    """The transferred KV cache."""

    claim: HandleClaim


class HttpError(msgspec.Struct, frozen=True, kw_only=True):
    """An error status with its body."""

    echoed_attempt_id: str
    error: ErrorBody


class HttpReply(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response."""

    echoed_attempt_id: str
    reply: PrefillReply | CallReply | CancelReply


class StreamHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a decode stream."""

    echoed_attempt_id: str


class EndOfBody(msgspec.Struct, frozen=True):
    """The end of a response body, without a transport error."""
