"""Reads the bodies of an aiohttp application within a bound on the memory that all of them take.

aiohttp bounds the body of one request. :func:`share_request_memory` gives each request a share of
one memory, which :func:`read_body` charges with the bytes that arrive.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from aiohttp import web

from orchidpath.common.event_loop_turns import EventLoopTurns
from orchidpath.common.request_memory import RequestMemory, RequestShare

NO_MEMORY_RETRY_SECONDS = 1
"""``Retry-After`` of a request that is refused because other requests take the memory."""

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class SharedBodies:
    """The bodies that an application reads, and the connections that they arrive on.

    Parameters
    ----------
    memory
        Memory for the bodies of all requests, each of which is held until its request is answered.
    """

    def __init__(self, memory: RequestMemory) -> None:
        self.memory = memory
        self.turns = EventLoopTurns()
        self.request_rejected: Callable[[int], None] = lambda _status: None
        self._arriving: set[web.RequestHandler] = set()

    def is_arriving(self, connection: web.RequestHandler) -> bool:
        """Whether a body is arriving on a connection, so that nothing of its request has begun."""
        return connection in self._arriving

    @contextmanager
    def arriving(self, request: web.Request) -> Iterator[None]:
        """Record that the body of a request arrives while the context is open."""
        self._arriving.add(request.protocol)
        try:
            yield
        finally:
            self._arriving.discard(request.protocol)

    @web.middleware
    async def share_memory(self, request: web.Request, handler: _Handler) -> web.StreamResponse:
        """Let the handler use :func:`read_body`."""
        body_share = _BodyShare(self)
        request[_SHARE] = body_share
        try:
            return await handler(request)
        finally:
            body_share.release()


SHARED_BODIES = web.AppKey("shared_bodies", SharedBodies)
"""The bodies of an application, for the server that bounds its connections."""


def share_request_memory(app: web.Application, memory: RequestMemory) -> None:
    """Let the handlers of an application read bodies with :func:`read_body`.

    Parameters
    ----------
    app
        The application, which has not started.
    memory
        Memory for the bodies of all requests.
    """
    bodies = SharedBodies(memory)
    app[SHARED_BODIES] = bodies
    app.middlewares.append(bodies.share_memory)


async def read_body(request: web.Request, max_bytes: int, timeout_seconds: float | None) -> bytes:
    """Return the body of a request; ``timeout_seconds`` bounds its arrival, if it is not None.

    Raises
    ------
    web.HTTPException
        The caller closes the connection (400), the body is too large (413) or too slow (408), or
        there is no memory for it (503).
    """
    body_share = request[_SHARE]
    try:
        return await body_share.read(request, max_bytes, timeout_seconds)
    except web.HTTPException as error:
        body_share.bodies.request_rejected(error.status)
        raise


class _BodyShare:
    """Share of the server's memory that the body of one request takes."""

    def __init__(self, bodies: SharedBodies) -> None:
        self.bodies = bodies
        self._share: RequestShare = bodies.memory.new_share(self._shed)
        self._is_shed = False
        self._timeout: asyncio.Timeout | None = None

    def release(self) -> None:
        """Give the memory back."""
        self._share.release()

    async def read(
        self, request: web.Request, max_bytes: int, timeout_seconds: float | None
    ) -> bytes:
        """Read a body, see :func:`read_body`."""
        announced_bytes = request.content_length or 0
        if announced_bytes > max_bytes:
            raise web.HTTPRequestEntityTooLarge(max_bytes, announced_bytes)
        try:
            with self.bodies.arriving(request):
                async with asyncio.timeout(timeout_seconds) as self._timeout:
                    body = await self._collect(request, max_bytes)
        except TimeoutError as error:
            if self._is_shed:
                raise _no_memory() from error
            raise web.HTTPRequestTimeout from error
        except ConnectionError as error:
            raise web.HTTPBadRequest(reason="the connection closed within the body") from error
        finally:
            self._timeout = None
        if self._is_shed or not self._share.try_complete():
            raise _no_memory()
        return body

    async def _collect(self, request: web.Request, max_bytes: int) -> bytes:
        """Collect the parts of a body.

        The connection receives, and parses, more of the body once a part is taken. A part may be
        thousands of chunks, so that each one after the first waits for a turn.
        """
        body = bytearray()
        while part := await request.content.readany():
            body += part
            if len(body) > max_bytes:
                raise web.HTTPRequestEntityTooLarge(max_bytes, len(body))
            self._share.resize(len(body))
            if self._is_shed:
                break
            if not request.content.at_eof():
                await self.bodies.turns.next_turn()
        return bytes(body)

    def _shed(self) -> None:
        """End the read at once: it then refuses the request."""
        self._is_shed = True
        if self._timeout is not None:
            self._timeout.reschedule(asyncio.get_running_loop().time())


_SHARE = web.RequestKey("request_share", _BodyShare)


def _no_memory() -> web.HTTPServiceUnavailable:
    return web.HTTPServiceUnavailable(headers={"Retry-After": str(NO_MEMORY_RETRY_SECONDS)})
