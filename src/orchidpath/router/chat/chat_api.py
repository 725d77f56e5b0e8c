"""Request and response bodies of the OpenAI-compatible chat completions API."""

import msgspec

from orchidpath.wire.backend import ErrorBody
from orchidpath.wire.messages import AttemptEffect
from orchidpath.wire.records import Stage

DEFAULT_MAX_TOKENS = 256
"""Maximum length of a completion, in tokens, when the caller sets none."""

CHARACTERS_PER_TOKEN = 4
"""Estimate for the cost of a prompt before a worker has tokenized it."""


class ContentPart(msgspec.Struct, frozen=True, kw_only=True):
    """One part of a message's content; only its text is used."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a conversation."""

    role: str
    content: str | tuple[ContentPart, ...] | None = None

    def text(self) -> str:
        """Return the complete text of the message."""
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
        """Return the text of all messages with their roles, as the prefix cache holds it."""
        return "\n".join(f"{message.role}: {message.text()}" for message in self.messages)

    def token_limit(self) -> int:
        """Return the maximum number of completion tokens, at least 1."""
        limit = self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        return max(limit, 1)


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Content that one chunk adds to the message."""

    role: str | None = None
    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a chunk."""

    index: int = 0
    delta: Delta = Delta()
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of a completion."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class TraceEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the decision trace: the part of one worker in one attempt."""

    attempt_id: str
    stage: Stage
    worker_id: str
    effect: AttemptEffect
    reason: str
    latency_seconds: float


class DecisionTrace(msgspec.Struct, frozen=True, kw_only=True):
    """Routing decisions for one request (paper, "Observing a routing decision")."""

    request_id: str
    attempts: tuple[TraceEntry, ...]


class ChatChunk(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A ``chat.completion.chunk``, one event of a streamed completion."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None
    orchidpath: DecisionTrace | None = None


class AssistantMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The complete message of the assistant."""

    role: str
    content: str


class CompletionChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a completion."""

    index: int
    message: AssistantMessage
    finish_reason: str


class ChatCompletion(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A ``chat.completion``, the body of a completion that is not streamed."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[CompletionChoice, ...]
    usage: Usage
    orchidpath: DecisionTrace | None = None


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Error body of a response, with the decision trace if the caller requested it."""

    error: ErrorBody
    orchidpath: DecisionTrace | None = None
