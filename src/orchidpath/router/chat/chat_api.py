"""Shapes of the OpenAI-compatible chat completions towards callers."""

import msgspec

from orchidpath.wire.backend import ErrorBody
from orchidpath.wire.messages import AttemptEffect
from orchidpath.wire.records import Stage

DEFAULT_MAX_TOKENS = 256
"""Expected length of an answer when the caller names none."""

CHARACTERS_PER_TOKEN = 4
"""Estimate by which a prompt's cost is counted before any worker has read it."""


class ContentPart(msgspec.Struct, frozen=True, kw_only=True):
    """One part of a message's content; only text counts."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a conversation."""

    role: str
    content: str | tuple[ContentPart, ...] | None = None

    def text(self) -> str:
        """Return the whole text of the message."""
        if self.content is None:
            return ""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ChatCompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/chat/completions``; unknown fields are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    def prompt(self) -> str:
        """Return the whole text of the messages, which is what the prefix cache holds."""
        return "\n".join(f"{message.role}: {message.text()}" for message in self.messages)

    def token_limit(self) -> int:
        """Return the longest answer asked for."""
        limit = self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        return max(limit, 1)


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What one chunk adds."""

    role: str | None = None
    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a chunk."""

    index: int = 0
    delta: Delta = Delta()
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a completion."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class TraceEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One worker's part in one attempt, for the decision trace."""

    attempt_id: str
    stage: Stage
    worker_id: str
    effect: AttemptEffect
    reason: str
    latency_seconds: float


class DecisionTrace(msgspec.Struct, frozen=True, kw_only=True):
    """What the router decided for a request (paper, "Observing a routing decision")."""

    request_id: str
    attempts: tuple[TraceEntry, ...]


class ChatChunk(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One ``chat.completion.chunk``."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None
    orchidpath: DecisionTrace | None = None


class AssistantMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The whole answer."""

    role: str
    content: str


class CompletionChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a completion."""

    index: int
    message: AssistantMessage
    finish_reason: str


class ChatCompletion(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A whole ``chat.completion``."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[CompletionChoice, ...]
    usage: Usage
    orchidpath: DecisionTrace | None = None


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An error towards a caller, with the decision trace if it was asked for."""

    error: ErrorBody
    orchidpath: DecisionTrace | None = None
