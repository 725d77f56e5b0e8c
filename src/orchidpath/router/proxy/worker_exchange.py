"""HTTP exchanges of one forwarded request with workers, one at a time.

Each operation returns the event that it ends in. A connection whose response was read completely
returns to the pool. A connection that is abandoned in the middle of a response is always closed.
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
from orchidpath.wire.configuration import Service

MAX_PREFILL_REPLY_BYTES = 65_536
"""Upper bound on the body of a response to a prefill; a larger body is malformed."""

RELEASE_TIMEOUT_SECONDS = 1.0
"""Time-out for freeing a KV cache that no worker fetches; otherwise the worker expires it."""


class _MatchedHead(msgspec.Struct, frozen=True):
    """The head of a response that belongs to this request, with its metadata."""

    head: ResponseHead
    metadata: ResponseMetadata


class WorkerExchange:
    """Exchanges a request and its response with one worker after another.

    Only the last dispatch has a current connection, which the other operations use.

    Parameters
    ----------
    environment
        Dependencies that all runners share.
    request
        The request, with its complete body.
    request_metadata
        Metadata from the headers of the request.
    service
        Service that the request was routed to.
    """

    def __init__(
        self,
        environment: ProxyEnvironment,
        request: ForwardedRequest,
        request_metadata: RequestMetadata,
        service: Service,
    ) -> None:
        self._environment = environment
        self._request = request
        self._request_metadata = request_metadata
        self._service = service
        self._address = ""
        self._connection: UpstreamConnection | None = None
        self._used: list[UpstreamConnection] = []
        self._matched: _MatchedHead | None = None
        self._first_part: bytes | None = None

    async def dispatch(self, dispatch: effects.Dispatch) -> ProxyEvent:
        """Connect to a worker, check that it may still receive the request, and send it.

        A connection is used once for a request: a worker may send an answer twice, and the copy
        has the same request id as the answer to a repeat.
        """
        environment = self._environment
        chosen = dispatch.target
        worker = chosen.worker
        self._address = chosen.address
        self._connection = None
        try:
            async with asyncio.timeout_at(dispatch.timeout_at):
                connection = await environment.pool.connection(
                    chosen.address,
                    environment.state.connection_limit(self._service),
                    self._used,
                )
        except NoConnectionError:
            return events.ConnectFailed()
        except TimeoutError:
            return events.ExchangeTimedOut()
        # From here on, the connection is closed if an operation fails.
        self._connection = connection
        refusal = environment.state.send_refusal(
            worker.worker_id, worker.incarnation, chosen.stage, environment.clock()
        )
        if refusal is not None:
            self._connection = None
            environment.pool.release_unused(chosen.address, connection)
            return events.SendRefused(refusal)
        self._used.append(connection)
        try:
            self._write(connection, dispatch)
        except NoConnectionError:
            return events.ConnectFailed()
        return events.Dispatched()

    async def await_prefill(self, timeout_at: float) -> ProxyEvent:
        """Read the response to a prefill, with a time-out at a monotonic time in seconds."""
        connection = self._current()
        try:
            async with asyncio.timeout_at(timeout_at):
                matched = await self._read_matched_head(connection)
                body = await _read_full_body(connection)
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
        if matched.head.status == 200:
            result = self._environment.protocol_mapping.read_prefill_result(body)
        if result is None or not result.is_usable:
            return events.PrefillRejected(
                matched.head.status, matched.metadata.guarantees_not_executed
            )
        return events.PrefillSucceeded(result.handle, result.version)

    async def await_head(self, timeout_seconds: float) -> ProxyEvent:
        """Read the head of the response and the first bytes of its body."""
        connection = self._current()
        try:
            async with asyncio.timeout(timeout_seconds):
                self._matched = await self._read_matched_head(connection)
                self._first_part = await connection.read_body()
        except BrokenResponseError:
            connection.close()
            return events.ExchangeBroken()
        except TimeoutError:
            connection.close()
            return events.ExchangeTimedOut()
        except BaseException:
            connection.close()
            raise
        metadata = self._matched.metadata
        return events.HeadReceived(
            status=self._matched.head.status,
            guarantees_not_executed=metadata.guarantees_not_executed,
            is_signed=metadata.is_signed,
            is_encoded=metadata.is_encoded,
            is_full=metadata.load is not None and metadata.load.is_full,
            weights_version=metadata.weights_version,
        )

    async def drain_refusal(self) -> ProxyEvent:
        """Read the body of a rejection to its end, so that the connection can be reused."""
        connection = self._current()
        try:
            part = self._first_part
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

    async def relay(self, response: ResponseRelay) -> ProxyEvent:
        """Relay the response as it arrives; no other response can be sent after its head."""
        connection = self._current()
        assert self._matched is not None
        head = self._matched.head
        mapping = self._environment.protocol_mapping
        headers = mapping.response_headers(head.headers, keep_signature=True)
        try:
            response.begin(head.status, tuple(headers))
            part = self._first_part
            while part is not None:
                response.write_part(part)
                await response.wait_until_writable()
                part = await connection.read_body()
            response.end(ends_with_connection=head.ends_with_connection)
        except BrokenResponseError:
            connection.close()
            is_resumable = response.record_interruption()
            return events.StreamBroken(is_resumable, response.last_event_id)
        except BaseException:
            connection.close()
            raise
        self._environment.pool.release(self._address, connection)
        return events.ResponseCompleted()

    def abort(self) -> None:
        """Close the connection of the last dispatch, if it was established."""
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
        headers = [header for header in headers if header[0] != b"content-length"]
        if request.body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        connection.send(request.method, request.target, headers, request.body)

    async def _read_matched_head(self, connection: UpstreamConnection) -> _MatchedHead:
        """Return the head of the response to this request; discard responses to other requests."""
        while True:
            head = await connection.read_head()
            response_metadata = self._environment.protocol_mapping.read_response(
                head.status, head.headers
            )
            if response_metadata.request_id in {"", self._request_metadata.request_id}:
                return _MatchedHead(head, response_metadata)
            while await connection.read_body() is not None:
                pass
            connection.skip_foreign_response()


async def release_handle(environment: ProxyEnvironment, source: KvSource) -> None:
    """Free a KV cache at the worker that holds it; if that fails, the KV cache expires there.

    The connection is closed afterwards: the answer has no request id, so a second copy of it could
    not be told from the answer to a later request.

    Parameters
    ----------
    environment
        Dependencies that all runners share.
    source
        Address of the worker and handle of the KV cache.
    """
    target = environment.protocol_mapping.release_target(source.handle)
    try:
        async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
            connection = await environment.pool.connection(source.address, 0)
            connection.send(b"DELETE", target, [(b"host", source.address.encode())], b"")
            try:
                await connection.read_head()
                await _read_full_body(connection)
            finally:
                connection.close()
    except (UpstreamError, TimeoutError):
        return


async def _read_full_body(connection: UpstreamConnection) -> bytes:
    body = bytearray()
    while (part := await connection.read_body()) is not None:
        body += part
        if len(body) > MAX_PREFILL_REPLY_BYTES:
            raise BrokenResponseError("the response body exceeds MAX_PREFILL_REPLY_BYTES")
    return bytes(body)
