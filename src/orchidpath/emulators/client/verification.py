"""What a caller makes of the answer to one request.

Two outcomes are violations: content that is not this request's, and an answer that lacks a part
but looks complete. A visible break or a refusal is an honest answer.
"""

from enum import StrEnum

import msgspec

from orchidpath.emulators.backend.answers import expected_text, is_expected_call_body
from orchidpath.emulators.client.server_sent_events import EventParser, ServerSentEvent

END_OF_STREAM = "[DONE]"
"""Data of the last event of a client's stream."""


class Outcome(StrEnum):
    """How one request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    """No router took the connection, so nothing was sent."""
    ABANDONED = "abandoned"
    """The caller itself went away."""
    WRONG_CONTENT = "wrong_content"
    INCOMPLETE_BUT_CLEAN = "incomplete_but_clean"

    @property
    def is_violation(self) -> bool:
        """Tell whether this must never happen."""
        return self in (Outcome.WRONG_CONTENT, Outcome.INCOMPLETE_BUT_CLEAN)


class ChunkDelta(msgspec.Struct, frozen=True, kw_only=True):
    """What one chunk adds to the answer."""

    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The one choice of a chunk."""

    delta: ChunkDelta = ChunkDelta()
    finish_reason: str | None = None


class CompletionChunk(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a ``chat.completion.chunk`` that callers look at."""

    choices: tuple[ChunkChoice, ...] = ()


class ClientError(msgspec.Struct, frozen=True, kw_only=True):
    """The part of an error that callers look at."""

    code: str = ""
    message: str = ""
    ran: str = ""


class ClientErrorEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    """An error as a caller receives it."""

    error: ClientError


def read_error(body: bytes | str) -> ClientError:
    """Return the error in a body, or an empty one if there is none that can be read."""
    try:
        return msgspec.json.decode(body, type=ClientErrorEnvelope).error
    except msgspec.DecodeError:
        return ClientError()


def judge_call(body: bytes, request_id: str, method: str, path: str) -> Outcome:
    """Judge the body of a successful plain call that ended cleanly."""
    if is_expected_call_body(body, request_id, method, path):
        return Outcome.ANSWERED
    if not body:
        return Outcome.INCOMPLETE_BUT_CLEAN
    return Outcome.WRONG_CONTENT


class StreamVerifier:
    """Follows one client stream and compares it with the answer that it must be.

    Parameters
    ----------
    request_id : str
        The request.
    max_tokens : int
        Length of the whole answer.
    """

    def __init__(self, request_id: str, max_tokens: int) -> None:
        self._expected = expected_text(request_id, max_tokens)
        self._parser = EventParser()
        self._received = 0
        self._wrong = False
        self._finish_reason: str | None = None
        self._done = False
        self.content_chunks = 0
        self.error: ClientError | None = None

    @property
    def done(self) -> bool:
        """Whether the stream has said that it is complete."""
        return self._done

    def feed(self, chunk: bytes) -> int:
        """Take in a piece of the body and return how many content chunks it completed."""
        before = self.content_chunks
        for event in self._parser.feed(chunk):
            self._take_event(event)
        return self.content_chunks - before

    def judge(self, clean_end: bool) -> Outcome:
        """Return the outcome once the body has ended.

        Parameters
        ----------
        clean_end : bool
            Whether the body came to its proper end by the rules of HTTP.

        Returns
        -------
        Outcome
            A stream that said it is complete is judged as complete however the body ended,
            because a client stops reading there.
        """
        if self._wrong:
            return Outcome.WRONG_CONTENT
        is_complete = self._received == len(self._expected) and self._finish_reason == "stop"
        if self._done and is_complete:
            return Outcome.ANSWERED if self.error is None else Outcome.BROKEN
        if self.error is not None and not self._done:
            return Outcome.BROKEN
        if self._done or clean_end:
            return Outcome.INCOMPLETE_BUT_CLEAN
        return Outcome.BROKEN

    def _take_event(self, event: ServerSentEvent) -> None:
        if event.name == "error":
            self.error = read_error(event.data)
        elif event.data == END_OF_STREAM:
            self._done = True
        else:
            self._take_chunk(event.data)

    def _take_chunk(self, data: str) -> None:
        try:
            chunk = msgspec.json.decode(data, type=CompletionChunk)
        except msgspec.DecodeError:
            self._wrong = True
            return
        for choice in chunk.choices:
            if choice.finish_reason is not None:
                self._finish_reason = choice.finish_reason
            if choice.delta.content:
                self._take_content(choice.delta.content)

    def _take_content(self, content: str) -> None:
        if self._done or not self._expected.startswith(content, self._received):
            self._wrong = True
        self._received += len(content)
        self.content_chunks += 1
