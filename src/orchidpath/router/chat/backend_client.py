"""HTTP/1.1 client for back ends; see :mod:`.backend_exchange` for a single exchange.

The client sends dispatches (prefill, decode or plain call of an attempt) and turns the responses
into events. A dispatch is sent at most once: redirects are not followed, and the library never
repeats a POST. An aborted exchange closes its connection; a connection returns to the pool only
after its response was read to the end.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import closing
from typing import TypeVar

import aiohttp
import msgspec

from orchidpath.circuit.classification import AttemptObservation, Observed
from orchidpath.router.chat.backend_exchange import (
    AttemptError,
    CheckedRequest,
    DispatchTarget,
    Emit,
    Exchange,
    SendCheck,
    SendRefusedError,
    current_exchange,
    failed,
    failed_by_exception,
    read_bounded,
    require_echo,
    require_success,
)
from orchidpath.router.chat.event_stream import EventParser, MalformedEventError
from orchidpath.routing.request.events import (
    CallReplied,
    DecodeEnded,
    DecodeFrameReceived,
    PrefillSucceeded,
    RequestEvent,
    SendRefused,
)
from orchidpath.wire.backend import (
    ATTEMPT_HEADER,
    CallReply,
    CallRequest,
    CancelReply,
    DecodeFrame,
    DecodeRequest,
    FrameKind,
    PrefillReply,
    PrefillRequest,
)

CONNECT_TIMEOUT_SECONDS = 1.0
"""A back end that takes longer to accept a connection is considered unreachable."""

IDLE_CONNECTION_SECONDS = 15.0
"""An unused connection to a back end is closed after this long."""

END_OF_BODY_SECONDS = 1.0
"""If the body does not end within this time after the terminal frame, the connection is closed."""

ReplyT = TypeVar("ReplyT")


class BackendClient:
    """Sends dispatches to back ends and emits their responses as events.

    Each back end has its own pool of connections.
    """

    def __init__(self) -> None:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_SECONDS)
        self._session = aiohttp.ClientSession(
            connector=connector,
            request_class=CheckedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
            headers={"accept-encoding": "identity"},
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def prefill(
        self, target: DispatchTarget, request: PrefillRequest, check: SendCheck, emit: Emit
    ) -> None:
        """Dispatch a prefill and emit its result.

        Parameters
        ----------
        target
            Address, identifiers and timeouts.
        request
            Body of the dispatch.
        check
            Called immediately before the first byte is written.
        emit
            Receives exactly one event.
        """

        async def exchange_once(exchange: Exchange) -> RequestEvent:
            reply = await self._unary(exchange, "/v1/prefill", request, PrefillReply)
            require_echo(exchange, reply.request_id, reply.attempt_id)
            return PrefillSucceeded(
                attempt_id=target.attempt_id, request_id=reply.request_id, handle=reply.handle
            )

        await emit(await self._outcome(Exchange(target, check), exchange_once))

    async def call(
        self, target: DispatchTarget, request: CallRequest, check: SendCheck, emit: Emit
    ) -> None:
        """Dispatch a plain call and emit its result; parameters as for :meth:`prefill`."""

        async def exchange_once(exchange: Exchange) -> RequestEvent:
            reply = await self._unary(exchange, "/v1/call", request, CallReply)
            require_echo(exchange, reply.request_id, reply.attempt_id)
            return CallReplied(
                attempt_id=target.attempt_id,
                replied_request_id=reply.request_id,
                replied_attempt_id=reply.attempt_id,
                body=bytes(reply.body),
            )

        await emit(await self._outcome(Exchange(target, check), exchange_once))

    async def decode(
        self, target: DispatchTarget, request: DecodeRequest, check: SendCheck, emit: Emit
    ) -> None:
        """Dispatch a decode; emit every frame as it arrives and then the end of the stream.

        Parameters are as for :meth:`prefill`; ``emit`` receives any number of events.
        """

        async def exchange_once(exchange: Exchange) -> RequestEvent:
            await self._stream(exchange, request, emit)
            return DecodeEnded(attempt_id=target.attempt_id)

        await emit(await self._outcome(Exchange(target, check), exchange_once))

    async def cancel(self, url: str, attempt_id: str, timeout_seconds: float) -> CancelReply | None:
        """Request the cancellation of an attempt from a back end.

        Parameters
        ----------
        url
            Base address of the back end.
        attempt_id
            The attempt.
        timeout_seconds
            Bound on the exchange.

        Returns
        -------
        CancelReply or None
            None when no valid reply arrived in time.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await self._session.post(
                    f"{url}/v1/attempts/{attempt_id}/cancel", allow_redirects=False
                )
                async with response:
                    reply = msgspec.json.decode(await read_bounded(response), type=CancelReply)
        except (
            aiohttp.ClientError,
            OSError,
            msgspec.DecodeError,
            RecursionError,
            AttemptError,
        ):
            return None
        return reply

    async def _outcome(
        self, exchange: Exchange, work: Callable[[Exchange], Awaitable[RequestEvent]]
    ) -> RequestEvent:
        """Run an exchange and return its event, also for every way in which it can fail."""
        token = current_exchange.set(exchange)
        try:
            return await work(exchange)
        except SendRefusedError as refused:
            return SendRefused(
                attempt_id=exchange.target.attempt_id,
                refusal=refused.refusal,
                retry_after_seconds=exchange.target.refused_retry_after_seconds,
            )
        except AttemptError as failure:
            return failed(exchange, failure.observation, str(failure), failure.error)
        except (msgspec.DecodeError, RecursionError, MalformedEventError) as problem:
            return failed_by_exception(exchange, Observed.MALFORMED_PROTOCOL, problem)
        except TimeoutError as problem:
            return failed_by_exception(exchange, Observed.TIMED_OUT, problem)
        except (aiohttp.ClientError, OSError) as problem:
            return failed_by_exception(exchange, Observed.CONNECTION_RESET, problem)
        finally:
            current_exchange.reset(token)

    async def _post(
        self, exchange: Exchange, path: str, request: msgspec.Struct
    ) -> aiohttp.ClientResponse:
        response = await self._session.post(
            exchange.target.url + path,
            data=msgspec.json.encode(request),
            headers={
                ATTEMPT_HEADER: exchange.target.attempt_id,
                "content-type": "application/json",
            },
            allow_redirects=False,
        )
        exchange.echoed_attempt_id = response.headers.get(ATTEMPT_HEADER, "")
        return response

    async def _unary(
        self, exchange: Exchange, path: str, request: msgspec.Struct, kind: type[ReplyT]
    ) -> ReplyT:
        async with asyncio.timeout(exchange.target.first_answer_seconds):
            response = await self._post(exchange, path, request)
            # Closes the connection unless the body was read to the end.
            with closing(response):
                content = await read_bounded(response)
        require_success(exchange, response.status, content)
        return msgspec.json.decode(content, type=kind)

    async def _stream(self, exchange: Exchange, request: DecodeRequest, emit: Emit) -> None:
        loop = asyncio.get_running_loop()
        first_content_by = loop.time() + exchange.target.first_answer_seconds
        async with asyncio.timeout_at(first_content_by):
            response = await self._post(exchange, "/v1/decode", request)
        with closing(response):
            if response.status != 200:
                async with asyncio.timeout_at(first_content_by):
                    content = await read_bounded(response)
                require_success(exchange, response.status, content)
            require_echo(exchange, exchange.target.request_id, exchange.echoed_attempt_id)
            await _FrameReader(exchange, response, emit).read(first_content_by)


class _FrameReader:
    """Reads and emits the frames of one decode stream."""

    def __init__(self, exchange: Exchange, response: aiohttp.ClientResponse, emit: Emit) -> None:
        self._target = exchange.target
        self._response = response
        self._emit = emit
        self._parser = EventParser()
        self._has_content = False
        self._is_complete = False

    async def read(self, first_content_by: float) -> None:
        """Emit every frame until the body ends.

        Parameters
        ----------
        first_content_by
            Time of the event loop's clock, in seconds, by which content must have arrived.

        Raises
        ------
        AttemptError
            If the first content, the next bytes or the end of the body do not arrive in time.
        MalformedEventError
            If an event is too large or incomplete at the end of the body.
        msgspec.DecodeError
            If an event is not a frame.
        """
        loop = asyncio.get_running_loop()
        while True:
            deadline = loop.time() + self._target.stall_seconds
            if not self._has_content:
                deadline = first_content_by
            if self._is_complete:
                deadline = loop.time() + END_OF_BODY_SECONDS
            chunk = await self._next_chunk(deadline)
            if not chunk:
                break
            for data in self._parser.feed(chunk):
                await self._emit_frame(msgspec.json.decode(data, type=DecodeFrame))
        if self._parser.has_pending:
            raise MalformedEventError("the body ended inside an event")

    async def _next_chunk(self, deadline: float) -> bytes:
        try:
            async with asyncio.timeout_at(deadline):
                return await self._response.content.readany()
        except TimeoutError as problem:
            observed = Observed.STALLED if self._has_content else Observed.TIMED_OUT
            raise AttemptError(AttemptObservation(observed=observed), observed.value) from problem

    async def _emit_frame(self, frame: DecodeFrame) -> None:
        # Only content ends the wait for the first token: role, usage and keepalive frames do not.
        self._has_content = self._has_content or frame.kind is FrameKind.CONTENT
        self._is_complete = self._is_complete or frame.kind is FrameKind.DONE
        await self._emit(DecodeFrameReceived(attempt_id=self._target.attempt_id, frame=frame))
