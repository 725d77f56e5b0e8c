"""Sends the large responses of an aiohttp application as fast as their callers read them.

aiohttp writes the body of a response to the transport at once, which copies what the caller does
not read. Here, a large body is written piece by piece, so that a connection holds little besides
the body itself, and the body counts against one memory.
"""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import payload, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_writer import StreamWriter

from orchidpath.common.response_memory import ResponseMemory
from orchidpath.wire.http_metrics import HttpServerMetrics

PIECE_BYTES = 16_384
"""Part of a body that is written at once; a smaller body is written whole."""

UNREAD_RESPONSE_SECONDS = 30.0
"""A caller that takes nothing of a large response for this long is disconnected."""


class LargeResponses:
    """Bounds the large responses of one server.

    Parameters
    ----------
    memory
        Memory for the bodies of all of them.
    unread_seconds
        Time in which a caller must take a piece.
    metrics
        Counts the responses that are broken off; by default, metrics of this object alone.
    """

    def __init__(
        self,
        memory: ResponseMemory,
        unread_seconds: float = UNREAD_RESPONSE_SECONDS,
        metrics: HttpServerMetrics | None = None,
    ) -> None:
        self.memory = memory
        self.unread_seconds = unread_seconds
        self.metrics = metrics or HttpServerMetrics()

    @web.middleware
    async def send_by_pieces(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Let a large body be written piece by piece, once the handler has returned it."""
        response = await handler(request)
        body = response.body if isinstance(response, web.Response) else None
        if isinstance(body, bytes) and len(body) > PIECE_BYTES:
            assert isinstance(response, web.Response)
            response.body = _BodyByPieces(body, self)
        return response


class _BodyByPieces(payload.Payload):
    """The body of a large response; it is held only while it is being written."""

    def __init__(self, body: bytes, responses: LargeResponses) -> None:
        super().__init__(body)
        self._size = len(body)
        self._body = body
        self._responses = responses

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return self._body.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body; a caller that does not read it is disconnected (called by aiohttp)."""
        assert isinstance(writer, StreamWriter)
        transport = writer.transport
        if transport is None:
            return
        transport.set_write_buffer_limits(high=PIECE_BYTES)

        def break_off(reason: str) -> None:
            self._responses.metrics.response_broken_off(reason)
            transport.abort()

        response = self._responses.memory.hold(self._body, lambda: break_off("memory"))
        try:
            await self._write_pieces(writer)
        except TimeoutError:
            break_off("unread")
        finally:
            self._responses.memory.release(response)

    async def _write_pieces(self, writer: StreamWriter) -> None:
        body = memoryview(self._body)
        for start in range(0, len(body), PIECE_BYTES):
            async with asyncio.timeout(self._responses.unread_seconds):
                await writer.write(body[start : start + PIECE_BYTES], drain=False)
                await writer.drain()
