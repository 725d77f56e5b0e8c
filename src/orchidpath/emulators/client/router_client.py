"""Sending of one request to one router, with verification of the answer."""

import asyncio

import aiohttp
import msgspec

from orchidpath.emulators.client.caller_report import RequestResult, TimeRecorder, result_of
from orchidpath.emulators.client.request_plan import PlannedRequest
from orchidpath.emulators.client.traffic_mix import TrafficKind
from orchidpath.emulators.client.verification import (
    Outcome,
    StreamVerifier,
    judge_call,
    read_error,
)

CONNECT_TIMEOUT_SECONDS = 2.0
"""A router that does not accept a connection within this time counts as unreachable."""

READ_BUFFER_BYTES = 4096
"""Small, so that a slow reader causes backpressure at the router."""


class RouterUnreachableError(Exception):
    """The router accepted no connection, so no part of the request was sent."""


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat completion."""

    role: str
    content: str


class ChatCompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a model request."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    stream: bool = True


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from resending a GET or PUT after a lost connection.

    It is then unknown whether the first request ran, and only the caller may decide on a retry.
    The error is converted into a type for which aiohttp does not retry.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(str(error)) from error


def make_session() -> aiohttp.ClientSession:
    """Return a session that sends each request exactly once, on its own connection."""
    return aiohttp.ClientSession(
        middlewares=(_send_once,),
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
        read_bufsize=READ_BUFFER_BYTES,
    )


class RouterClient:
    """Sends requests and records the times of their tokens.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session created by :func:`make_session`.
    first_token, between_tokens : TimeRecorder
        Histograms for the token times of model requests.
    timeout_seconds : float
        Timeout of one request, including its complete answer.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        first_token: TimeRecorder,
        between_tokens: TimeRecorder,
        timeout_seconds: float,
    ) -> None:
        self._session = session
        self._first_token = first_token
        self._between_tokens = between_tokens
        self._timeout_seconds = timeout_seconds

    async def send(self, request: PlannedRequest, router: str, due_at: float) -> RequestResult:
        """Send a request once.

        Parameters
        ----------
        request : PlannedRequest
            The request.
        router : str
            Base URL of the router.
        due_at : float
            Time of the event loop, in seconds, at which the request was due.

        Returns
        -------
        RequestResult
            Result of the request.

        Raises
        ------
        RouterUnreachableError
            If no connection was established, so nothing was sent.
        """
        try:
            async with asyncio.timeout(self._timeout_seconds):
                result = await self._exchange(request, router, due_at)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as problem:
            raise RouterUnreachableError(router) from problem
        except TimeoutError:
            result = result_of(request, Outcome.TIMED_OUT, router)
        except (aiohttp.ClientError, OSError) as problem:
            broken = result_of(request, Outcome.BROKEN, router)
            result = msgspec.structs.replace(broken, detail=type(problem).__name__)
        seconds = asyncio.get_running_loop().time() - due_at
        return msgspec.structs.replace(result, total_seconds=seconds)

    async def _exchange(self, request: PlannedRequest, router: str, due_at: float) -> RequestResult:
        headers = {"x-request-id": request.request_id, "x-tenant": request.tenant}
        method, path, body = "POST", "/v1/chat/completions", encode_chat(request)
        if request.kind is TrafficKind.PLAIN:
            method, path, body = request.method, request.path, b""
        if body:
            headers["content-type"] = "application/json"
        async with self._session.request(
            method, router + path, data=body or None, headers=headers
        ) as response:
            if response.status != 200:
                return await _read_refusal(request, router, response)
            if request.kind is TrafficKind.PLAIN:
                content = await response.read()
                outcome = judge_call(content, request.request_id, request.method, request.path)
                return result_of(request, outcome, router)
            return await self._read_stream(request, router, response, due_at)

    async def _read_stream(
        self,
        request: PlannedRequest,
        router: str,
        response: aiohttp.ClientResponse,
        due_at: float,
    ) -> RequestResult:
        verifier = StreamVerifier(request.request_id, request.max_tokens)
        clock = TokenClock(self._first_token, self._between_tokens, due_at)
        clean_end = True
        try:
            async for chunk in response.content.iter_any():
                chunks = verifier.feed(chunk)
                clock.on_content(chunks, is_slow_reader=request.pause_per_chunk_seconds > 0)
                if _disconnects_now(request, verifier):
                    response.close()
                    return result_of(request, Outcome.ABANDONED, router)
                if request.pause_per_chunk_seconds:
                    await asyncio.sleep(request.pause_per_chunk_seconds)
        except (aiohttp.ClientError, OSError):
            clean_end = False
        result = result_of(request, verifier.judge(clean_end), router)
        error = verifier.error
        return msgspec.structs.replace(
            result,
            status=response.status,
            first_token_seconds=clock.first_token_seconds,
            code=error.code if error else "",
            ran=error.ran if error else "",
            detail=f"{verifier.content_chunks} content chunks, clean end: {clean_end}",
        )


class TokenClock:
    """Records the arrival times of the content of one stream.

    Parameters
    ----------
    first_token, between_tokens : TimeRecorder
        Histograms for the times.
    due_at : float
        Time of the event loop, in seconds, at which the request was due.
    """

    def __init__(
        self, first_token: TimeRecorder, between_tokens: TimeRecorder, due_at: float
    ) -> None:
        self._first_token = first_token
        self._between_tokens = between_tokens
        self._due_at = due_at
        self._last_at: float | None = None
        self.first_token_seconds: float | None = None

    def on_content(self, chunks: int, is_slow_reader: bool) -> None:
        """Record content chunks that arrived together.

        The intervals of a slow reader are not recorded, because they include its own pauses.
        """
        now = asyncio.get_running_loop().time()
        for _ in range(chunks):
            if self._last_at is None:
                self.first_token_seconds = now - self._due_at
                self._first_token.record(self.first_token_seconds)
            elif not is_slow_reader:
                self._between_tokens.record(now - self._last_at)
            self._last_at = now


def encode_chat(request: PlannedRequest) -> bytes:
    """Return the encoded body of a model request."""
    message = ChatMessage(role="user", content=request.prompt)
    return msgspec.json.encode(
        ChatCompletionRequest(
            model=request.model, messages=(message,), max_tokens=request.max_tokens
        )
    )


def read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    """Return the Retry-After header in seconds, or None if it is absent or not a number."""
    try:
        return max(0.0, float(response.headers["retry-after"]))
    except (KeyError, ValueError):
        return None


def _disconnects_now(request: PlannedRequest, verifier: StreamVerifier) -> bool:
    chunk_limit = request.disconnect_after_chunks
    return chunk_limit is not None and verifier.content_chunks >= chunk_limit


async def _read_refusal(
    request: PlannedRequest, router: str, response: aiohttp.ClientResponse
) -> RequestResult:
    error = read_error(await response.read())
    return msgspec.structs.replace(
        result_of(request, Outcome.REFUSED, router),
        status=response.status,
        code=error.code,
        ran=error.ran,
        retry_after_seconds=read_retry_after(response),
        detail=error.message,
    )
