"""Exchanges of one forwarded request with workers: one at a time, each operation ends in an event.

A connection whose response was read completely goes back to the pool; one that was left in the
middle of a response, for whatever reason, is closed.
"""

import asyncio

import msgspec

from orchidpath.forwarding.proxy import proxy_effects as effects
from orchidpath.forwarding.proxy import proxy_events as events
from orchidpath.forwarding.proxy.proxy_effects import KvSource
from orchidpath.forwarding.proxy.proxy_events import ProxyEvent
from orchidpath.router.proxy.protocol_mapping import (
    DispatchMetadata,
    RequestMetadata,
    ResponseMetadata,
)
from orchidpath.router.proxy.proxy_attempts import ProxyEnvironment
from orchidpath.router.proxy.proxy_messages import ForwardedRequest, ResponseHead
from orchidpath.router.proxy.response_relay import ResponseRelay
from orchidpath.router.proxy.upstream import (
    BrokenResponseError,
    NoConnectionError,
    UpstreamConnection,
    UpstreamError,
)

MAX_PREFILL_REPLY_BYTES = 65_536
"""A larger answer to a prefill is malformed."""

RELEASE_TIMEOUT_SECONDS = 1.0
"""Bound on freeing a KV cache that no worker fetches; it expires by itself otherwise."""


class _OwnHead(msgspec.Struct, frozen=True):
    """The head of the answer to this request, and what it says."""

    head: ResponseHead
    metadata: ResponseMetadata


class WorkerExchange:
    """The exchange with the worker that was dispatched to last.

    Parameters
    ----------
    environment
        What all runners share.
    request
        The request.
    request_metadata
        What its headers say.
    service
        Name of the service that answers it.
    """

    def __init__(
        self,
        environment: ProxyEnvironment,
        request: ForwardedRequest,
        request_metadata: RequestMetadata,
        service: str,
    ) -> None:
        self._environment = environment
        self._request = request
        self._request_metadata = request_metadata
        self._service = service
        self._address = ""
        self._connection: UpstreamConnection | None = None
        self._own: _OwnHead | None = None
        self._first: bytes | None = None

    async def dispatch(self, dispatch: effects.Dispatch) -> ProxyEvent:
        """Connect to a worker, check whether it may be sent to, and send the request."""
        environment = self._environment
        chosen = dispatch.target
        worker = chosen.worker
        self._address = chosen.address
        self._connection = None
        try:
            async with asyncio.timeout_at(dispatch.timeout_at):
                connection = await environment.pool.connection(
                    chosen.address, environment.state.connection_limit(self._service)
                )
            refusal = environment.state.send_refusal(
                worker.worker_id, worker.incarnation, chosen.stage, environment.clock()
            )
            if refusal is not None:
                environment.pool.release_unused(chosen.address, connection)
                return events.SendRefused(refusal)
            self._write(connection, dispatch)
        except NoConnectionError:
            return events.ConnectFailed()
        except TimeoutError:
            return events.ExchangeTimedOut()
        self._connection = connection
        return events.Dispatched()

    async def await_prefill(self, timeout_at: float) -> ProxyEvent:
        """Read the answer to a prefill, until a monotonic time at the latest."""
        connection = self._current()
        try:
            async with asyncio.timeout_at(timeout_at):
                own = await self._own_head(connection)
                body = await _full_body(connection)
        except BrokenResponseError:
            connection.close()
            return events.ExchangeBroken()
        except TimeoutError:
            connection.close()
            return events.ExchangeTimedOut()
        except BaseException:
            connection.close()
            raise
        self._environment.pool.release(self._address, connection)
        result = None
        if own.head.status == 200:
            result = self._environment.protocol_mapping.read_prefill_result(body)
        if result is None:
            return events.PrefillRejected(own.head.status, own.metadata.guarantees_not_executed)
        return events.PrefillSucceeded(result.handle, result.version)

    async def await_head(self, timeout_seconds: float) -> ProxyEvent:
        """Read the head of the answer and the first bytes of its body."""
        connection = self._current()
        try:
            async with asyncio.timeout(timeout_seconds):
                self._own = await self._own_head(connection)
                self._first = await connection.read_body()
        except BrokenResponseError:
            connection.close()
            return events.ExchangeBroken()
        except TimeoutError:
            connection.close()
            return events.ExchangeTimedOut()
        except BaseException:
            connection.close()
            raise
        metadata = self._own.metadata
        return events.HeadReceived(
            status=self._own.head.status,
            guarantees_not_executed=metadata.guarantees_not_executed,
            is_signed=metadata.is_signed,
            is_encoded=metadata.is_encoded,
            is_full=metadata.load is not None and metadata.load.is_full,
            weights_version=metadata.weights_version,
        )

    async def drain_refusal(self) -> ProxyEvent:
        """Read a refusal's body to its end, so that its connection can be used again."""
        connection = self._current()
        try:
            part = self._first
            while part is not None:
                part = await connection.read_body()
        except UpstreamError:
            connection.close()
            return events.RefusalDrained()
        except BaseException:
            connection.close()
            raise
        self._environment.pool.release(self._address, connection)
        return events.RefusalDrained()

    async def relay(self, answer: ResponseRelay) -> ProxyEvent:
        """Pass the answer on as it comes; from here on nothing else can be answered."""
        connection = self._current()
        assert self._own is not None
        head = self._own.head
        mapping = self._environment.protocol_mapping
        headers = mapping.response_headers(head.headers, keep_signature=True)
        try:
            answer.begin(head.status, tuple(headers))
            part = self._first
            while part is not None:
                answer.pass_on(part)
                part = await connection.read_body()
            answer.end()
        except BrokenResponseError:
            connection.close()
            is_resumable = answer.broke_off()
            return events.StreamBroken(is_resumable, answer.last_event_id)
        except BaseException:
            connection.close()
            raise
        self._environment.pool.release(self._address, connection)
        return events.ResponseCompleted()

    def abort(self) -> None:
        """Close the connection of the last dispatch, if it had one."""
        if self._connection is not None:
            self._connection.close()

    def _current(self) -> UpstreamConnection:
        assert self._connection is not None
        return self._connection

    def _write(self, connection: UpstreamConnection, dispatch: effects.Dispatch) -> None:
        request = self._request
        mapping = self._environment.protocol_mapping
        source = dispatch.kv_source
        metadata = DispatchMetadata(
            worker_id=dispatch.target.worker.worker_id,
            deadline_seconds=dispatch.deadline_seconds,
            priority=dispatch.priority,
            is_prefill=dispatch.is_prefill,
            cache_source=mapping.cache_source(source.address, source.handle) if source else "",
            expected_version=dispatch.expected_version,
            last_event_id=dispatch.last_event_id,
        )
        headers = mapping.dispatch_headers(request.headers, metadata)
        headers = [one for one in headers if one[0] != b"content-length"]
        if request.body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        connection.send(request.method, request.target, headers, request.body)

    async def _own_head(self, connection: UpstreamConnection) -> _OwnHead:
        """Return the head of the answer that belongs to this request, skipping foreign ones."""
        while True:
            head = await connection.read_head()
            response_metadata = self._environment.protocol_mapping.read_response(
                head.status, head.headers
            )
            if response_metadata.request_id in {"", self._request_metadata.request_id}:
                return _OwnHead(head, response_metadata)
            while await connection.read_body() is not None:
                pass
            connection.skip_foreign_response()


async def release_handle(environment: ProxyEnvironment, source: KvSource) -> None:
    """Free a KV cache at the worker that holds it; a failure is left to its expiry.

    Parameters
    ----------
    environment
        What all runners share.
    source
        The KV cache.
    """
    target = environment.protocol_mapping.release_target(source.handle)
    try:
        async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
            connection = await environment.pool.connection(source.address, 0)
            connection.send(b"DELETE", target, [(b"host", source.address.encode())], b"")
            await connection.read_head()
            await _full_body(connection)
    except (UpstreamError, TimeoutError):
        return
    environment.pool.release(source.address, connection)


async def _full_body(connection: UpstreamConnection) -> bytes:
    body = bytearray()
    while (part := await connection.read_body()) is not None:
        body += part
        if len(body) > MAX_PREFILL_REPLY_BYTES:
            raise BrokenResponseError("the answer is too large")
    return bytes(body)
