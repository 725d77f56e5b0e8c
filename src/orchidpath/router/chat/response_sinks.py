"""Response sinks, which write the response of a request to its caller.

The response is a stream of events, one completion or a JSON body. A stream that fails after its
commit must not look complete (brief, "What must never happen"): it ends with an error event,
without ``[DONE]``, and its connection is closed without the chunk that ends a chunked body.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec
from aiohttp import web

from orchidpath.router.chat.chat_api import (
    AssistantMessage,
    ChatChunk,
    ChatCompletion,
    ChunkChoice,
    CompletionChoice,
    DecisionTrace,
    Delta,
    ErrorAnswer,
    Usage,
)
from orchidpath.router.chat.http_errors import REQUEST_ID_HEADER, error_response
from orchidpath.wire.backend import DecodeFrame, ErrorBody, FrameKind

CLIENT_STALL_SECONDS = 30.0
"""A caller that reads nothing for this long is treated as disconnected."""

_KEEPALIVE = b": keepalive\n\n"
_DONE = b"data: [DONE]\n\n"


class ClientStalledError(ConnectionError):
    """The caller did not read its response for ``CLIENT_STALL_SECONDS``."""


class ResponseSink(ABC):
    """Writes the response of one request; nothing of a success is sent before :meth:`commit`."""

    def __init__(self) -> None:
        self.response: web.StreamResponse | None = None
        self.prompt_tokens = 0
        self.completion_tokens = 0

    @abstractmethod
    async def commit(self) -> None:
        """Start a successful response; only :meth:`break_stream` can report an error after it."""

    @abstractmethod
    async def relay(self, frames: Sequence[DecodeFrame]) -> None:
        """Relay frames to the caller; returns once the caller's buffer has space for more."""

    @abstractmethod
    async def finish(self, body: bytes | None, trace: DecisionTrace | None) -> None:
        """End a successful response."""

    @abstractmethod
    async def break_stream(self, error: ErrorBody, trace: DecisionTrace | None) -> None:
        """End a committed response so that it cannot look complete."""

    async def reject(self, error: ErrorBody, trace: DecisionTrace | None) -> None:
        """Respond with an error; call only while nothing has been sent."""
        self.response = error_response(error, trace)


class ChatIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that every chunk of a completion repeats; ``created`` is a Unix time in seconds."""

    request_id: str
    model: str
    created: int

    @property
    def completion_id(self) -> str:
        """Identifier of the completion."""
        return f"chatcmpl-{self.request_id}"


class StreamSink(ResponseSink):
    """Sink that sends ``chat.completion.chunk`` as server-sent events, ended by ``[DONE]``."""

    def __init__(self, request: web.Request, identity: ChatIdentity) -> None:
        super().__init__()
        self._request = request
        self._identity = identity
        self._stream = web.StreamResponse(
            headers={
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                REQUEST_ID_HEADER: identity.request_id,
            }
        )

    async def commit(self) -> None:
        """Send the status and the headers."""
        self.response = self._stream
        self._stream.enable_chunked_encoding()
        await self._stream.prepare(self._request)

    async def relay(self, frames: Sequence[DecodeFrame]) -> None:
        """Send a chunk for every frame."""
        for frame in frames:
            self.completion_tokens = max(self.completion_tokens, frame.completion_tokens)
            await self._write(self._encode(frame))

    async def finish(self, body: bytes | None, trace: DecisionTrace | None) -> None:
        """Send the last chunk, ``[DONE]`` and the end of the body."""
        choice = ChunkChoice(finish_reason="stop")
        await self._write(_event(self._chunk((choice,), trace=trace)) + _DONE)
        await self._stream.write_eof()

    async def break_stream(self, error: ErrorBody, trace: DecisionTrace | None) -> None:
        """Send the error event and close the connection without the end of the body."""
        await self._write(_event(ErrorAnswer(error=error, orchidpath=trace)))
        close_uncleanly(self._request)

    def _encode(self, frame: DecodeFrame) -> bytes:
        match frame.kind:
            case FrameKind.ROLE:
                return _event(self._chunk((ChunkChoice(delta=Delta(role="assistant")),)))
            case FrameKind.CONTENT:
                return _event(self._chunk((ChunkChoice(delta=Delta(content=frame.text)),)))
            case FrameKind.USAGE:
                return _event(self._chunk((), usage=usage_of(self)))
            case FrameKind.KEEPALIVE:
                return _KEEPALIVE
            case _:
                return b""

    def _chunk(
        self,
        choices: tuple[ChunkChoice, ...],
        *,
        usage: Usage | None = None,
        trace: DecisionTrace | None = None,
    ) -> ChatChunk:
        return ChatChunk(
            id=self._identity.completion_id,
            object="chat.completion.chunk",
            created=self._identity.created,
            model=self._identity.model,
            choices=choices,
            usage=usage,
            orchidpath=trace,
        )

    async def _write(self, content: bytes) -> None:
        if not content:
            return
        try:
            # Waits while the caller's buffer is full: a slow reader applies backpressure to the
            # back end instead of filling the router's memory.
            async with asyncio.timeout(CLIENT_STALL_SECONDS):
                await self._stream.write(content)
        except TimeoutError as problem:
            if self._request.transport is not None:
                self._request.transport.abort()
            raise ClientStalledError(
                f"the caller read nothing for {CLIENT_STALL_SECONDS:g} s"
            ) from problem


class CompletionSink(ResponseSink):
    """Sink that sends one ``chat.completion`` once the completion is finished."""

    def __init__(self, identity: ChatIdentity) -> None:
        super().__init__()
        self._identity = identity
        self._texts: list[str] = []

    async def commit(self) -> None:
        """Do nothing; the response is sent only at the end."""

    async def relay(self, frames: Sequence[DecodeFrame]) -> None:
        """Collect the text and the number of completion tokens."""
        for frame in frames:
            self.completion_tokens = max(self.completion_tokens, frame.completion_tokens)
            if frame.kind is FrameKind.CONTENT:
                self._texts.append(frame.text)

    async def finish(self, body: bytes | None, trace: DecisionTrace | None) -> None:
        """Set the response to the completion."""
        message = AssistantMessage(role="assistant", content="".join(self._texts))
        completion = ChatCompletion(
            id=self._identity.completion_id,
            object="chat.completion",
            created=self._identity.created,
            model=self._identity.model,
            choices=(CompletionChoice(index=0, message=message, finish_reason="stop"),),
            usage=usage_of(self),
            orchidpath=trace,
        )
        self.response = json_response(msgspec.json.encode(completion), self._identity.request_id)

    async def break_stream(self, error: ErrorBody, trace: DecisionTrace | None) -> None:
        """Respond with the error, which is possible because nothing has been sent."""
        await self.reject(error, trace)


class PlainSink(ResponseSink):
    """Sink that sends the JSON body of a plain call."""

    def __init__(self, request_id: str) -> None:
        super().__init__()
        self._request_id = request_id

    async def commit(self) -> None:
        """Do nothing; the response is sent only at the end."""

    async def relay(self, frames: Sequence[DecodeFrame]) -> None:
        """Do nothing; a plain call has no frames."""

    async def finish(self, body: bytes | None, trace: DecisionTrace | None) -> None:
        """Set the response to the worker's unchanged body; the trace is sent in a header."""
        self.response = json_response(body or b"null", self._request_id)
        if trace is not None:
            encoded = msgspec.json.encode(trace).decode("ascii", "replace")
            self.response.headers["x-orchidpath-trace"] = encoded

    async def break_stream(self, error: ErrorBody, trace: DecisionTrace | None) -> None:
        """Respond with the error, which is possible because nothing has been sent."""
        await self.reject(error, trace)


def usage_of(sink: ResponseSink) -> Usage:
    """Return the token counts of a sink."""
    total = sink.prompt_tokens + sink.completion_tokens
    return Usage(
        prompt_tokens=sink.prompt_tokens,
        completion_tokens=sink.completion_tokens,
        total_tokens=total,
    )


def json_response(body: bytes, request_id: str) -> web.Response:
    """Return a successful JSON response."""
    headers = {REQUEST_ID_HEADER: request_id}
    return web.Response(body=body, headers=headers, content_type="application/json")


def close_uncleanly(request: web.Request) -> None:
    """Close the caller's connection after the written data is sent, without the end of the body."""
    if request.transport is not None:
        request.transport.close()


def _event(value: msgspec.Struct) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"
