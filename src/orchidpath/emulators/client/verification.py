"""Verification of the answer to one request.

Two outcomes are violations: content that does not belong to the request, and an incomplete answer
that looks complete. A refusal or a visibly aborted answer is no violation.
"""

from enum import StrEnum

import msgspec

from orchidpath.emulators.backend.answers import expected_text, is_expected_call_body
from orchidpath.emulators.client.server_sent_events import EventParser, ServerSentEvent

END_OF_STREAM = "[DONE]"
"""Data of the last event of a complete stream."""


class Outcome(StrEnum):
    """Outcome of one request for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    """No router accepted a connection, so nothing was sent."""
    ABANDONED = "abandoned"
    """The caller itself closed the connection."""
    WRONG_CONTENT = "wrong_content"
    INCOMPLETE_BUT_CLEAN = "incomplete_but_clean"

    @property
    def is_violation(self) -> bool:
        """Whether this outcome violates the guarantees of the fleet and must never occur."""
        return self in (Outcome.WRONG_CONTENT, Outcome.INCOMPLETE_BUT_CLEAN)


class ChunkDelta(msgspec.Struct, frozen=True, kw_only=True):
    """The text that one chunk appends to the answer."""

    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True, kw_only=True):
    """One completion choice of a chunk."""

    delta: ChunkDelta = ChunkDelta()
    finish_reason: str | None = None


class CompletionChunk(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a ``chat.completion.chunk`` that callers read."""

    choices: tuple[ChunkChoice, ...] = ()


class ClientError(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of an error that callers read."""

    code: str = ""
    message: str = ""
    ran: str = ""


class ClientErrorEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    """The error envelope that a caller receives."""

    error: ClientError


def read_error(body: bytes | str) -> ClientError:
    """Return the error in a body, or an empty error if the body cannot be decoded."""
    try:
        return msgspec.json.decode(body, type=ClientErrorEnvelope).error
    except msgspec.DecodeError:
        return ClientError()


def judge_call(body: bytes, request_id: str, method: str, path: str) -> Outcome:
    """Return the outcome of a plain call with status 200 whose body ended cleanly."""
    if is_expected_call_body(body, request_id, method, path):
        return Outcome.ANSWERED
    if not body:
        return Outcome.INCOMPLETE_BUT_CLEAN
    return Outcome.WRONG_CONTENT


class StreamVerifier:
    """Compares the stream of one model request with the expected answer.

    Parameters
    ----------
    request_id : str
        Id of the request.
    max_tokens : int
        Length of the complete answer in tokens.
    """

    def __init__(self, request_id: str, max_tokens: int) -> None:
        self._expected = expected_text(request_id, max_tokens)
        self._parser = EventParser()
        self._received = 0
        self._has_wrong_content = False
        self._finish_reason: str | None = None
        self._done = False
        self.content_chunks = 0
        self.error: ClientError | None = None

    @property
    def done(self) -> bool:
        """Whether the stream has sent its end marker, :data:`END_OF_STREAM`."""
        return self._done

    def feed(self, chunk: bytes) -> int:
        """Process the next bytes of the body and return the number of content chunks completed."""
        before = self.content_chunks
        for event in self._parser.feed(chunk):
            self._process_event(event)
        return self.content_chunks - before

    def judge(self, clean_end: bool) -> Outcome:
        """Return the outcome once the body has ended.

        Parameters
        ----------
        clean_end : bool
            Whether the HTTP body ended properly.

        Returns
        -------
        Outcome
            A stream that has sent its end marker is judged as ended, regardless of how the body
            ended, because a client stops reading at the marker.
        """
        if self._has_wrong_content:
            return Outcome.WRONG_CONTENT
        is_complete = self._received == len(self._expected) and self._finish_reason == "stop"
        if self._done and is_complete:
            return Outcome.ANSWERED if self.error is None else Outcome.BROKEN
        if self.error is not None and not self._done:
            return Outcome.BROKEN
        if self._done or clean_end:
            return Outcome.INCOMPLETE_BUT_CLEAN
        return Outcome.BROKEN

    def _process_event(self, event: ServerSentEvent) -> None:
        if event.name == "error":
            self.error = read_error(event.data)
        elif event.data == END_OF_STREAM:
            self._done = True
        else:
            self._process_chunk(event.data)

    def _process_chunk(self, data: str) -> None:
        try:
            chunk = msgspec.json.decode(data, type=CompletionChunk)
        except msgspec.DecodeError:
            self._has_wrong_content = True
            return
        for choice in chunk.choices:
            if choice.finish_reason is not None:
                self._finish_reason = choice.finish_reason
            if choice.delta.content:
                self._process_content(choice.delta.content)

    def _process_content(self, content: str) -> None:
        if self._done or not self._expected.startswith(content, self._received):
            self._has_wrong_content = True
        self._received += len(content)
        self.content_chunks += 1
