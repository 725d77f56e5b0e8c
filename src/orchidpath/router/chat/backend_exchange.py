"""One exchange with a back end: a dispatch and the response to it.

This module checks right before the first byte whether the dispatch may still be sent, checks that
the response echoes its identifiers, and turns failures into events. When an exchange fails before
the first byte is written, nothing of the dispatch has left this router. A response that names
another attempt closes its connection, so that no later dispatch reads the rest of it.
"""

from collections.abc import Awaitable, Callable
from contextvars import ContextVar

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientResponse
from aiohttp.connector import Connection

from orchidpath.circuit.classification import AttemptObservation, Observed
from orchidpath.common.errors import OrchidpathError
from orchidpath.routing.request.events import AttemptFailed, RequestEvent, SendRefusal
from orchidpath.wire.backend import ErrorBody, ErrorEnvelope

MAXIMUM_REPLY_BYTES = 16 * 1024 * 1024
"""A larger reply is malformed; the limit keeps a back end from exhausting the router's memory."""

Emit = Callable[[RequestEvent], Awaitable[None]]
"""Receives an event; waits while the queue of events is full."""

SendCheck = Callable[[], SendRefusal | None]
"""Returns why a dispatch may not be sent, or None; called right before the first byte."""


class DispatchTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Address, identifiers and timeouts of a dispatch."""

    url: str
    request_id: str
    attempt_id: str
    first_answer_seconds: float
    stall_seconds: float
    refused_retry_after_seconds: float


class SendRefusedError(OrchidpathError):
    """The check before the first byte refused the dispatch; ``refusal`` is the reason."""

    def __init__(self, refusal: SendRefusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal


class AttemptError(OrchidpathError):
    """The exchange failed; ``observation`` classifies the failure.

    ``error`` is the error body of the back end, if it sent one.
    """

    def __init__(
        self, observation: AttemptObservation, reason: str, error: ErrorBody | None = None
    ) -> None:
        super().__init__(reason)
        self.observation = observation
        self.error = error


class Exchange:
    """State of one exchange while it runs."""

    def __init__(self, target: DispatchTarget, check: SendCheck) -> None:
        self.target = target
        self.check = check
        self.dispatch_left = False
        self.echoed_attempt_id = ""
        self.protocol: ResponseHandler | None = None

    def close_connection(self) -> None:
        """Close the connection, even if the library has already returned it to its pool."""
        if self.protocol is not None:
            self.protocol.close()


current_exchange: ContextVar[Exchange | None] = ContextVar("exchange", default=None)


class CheckedRequest(aiohttp.ClientRequest):
    """HTTP request that runs the check of its exchange between connecting and the first byte."""

    async def send(self, conn: Connection) -> ClientResponse:
        """Write the request on an established connection, if the check allows it."""
        exchange = current_exchange.get()
        if exchange is not None:
            refusal = exchange.check()
            if refusal is not None:
                raise SendRefusedError(refusal)
            exchange.protocol = conn.protocol
            exchange.dispatch_left = True
        return await super().send(conn)


async def read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Read a body to its end; raise :class:`AttemptError` above ``MAXIMUM_REPLY_BYTES``."""
    content = bytearray()
    async for chunk in response.content.iter_any():
        content += chunk
        if len(content) > MAXIMUM_REPLY_BYTES:
            observation = AttemptObservation(observed=Observed.MALFORMED_PROTOCOL)
            raise AttemptError(observation, "the reply is too large")
    return bytes(content)


def require_success(exchange: Exchange, status: int, content: bytes) -> None:
    """Raise :class:`AttemptError` unless the status is 200.

    An error body that belongs to another attempt also closes the connection.
    """
    if status == 200:
        return
    try:
        error = msgspec.json.decode(content, type=ErrorEnvelope).error
    except (msgspec.DecodeError, RecursionError):
        observation = AttemptObservation(observed=Observed.HTTP_STATUS, http_status=status)
        raise AttemptError(observation, f"HTTP status {status}") from None
    if exchange.echoed_attempt_id not in {"", exchange.target.attempt_id}:
        exchange.close_connection()
        raise _wrong_attempt_error()
    observation = AttemptObservation(observed=Observed.REFUSED, error_code=error.code)
    raise AttemptError(observation, f"{error.code}: {error.message}", error)


def require_echo(exchange: Exchange, request_id: str, attempt_id: str) -> None:
    """Close the connection and raise AttemptError unless a response names this attempt."""
    target = exchange.target
    echoes = {attempt_id, exchange.echoed_attempt_id}
    if request_id == target.request_id and echoes == {target.attempt_id}:
        return
    # Closed first: the next dispatch must not read the response to another.
    exchange.close_connection()
    raise _wrong_attempt_error()


def _wrong_attempt_error() -> AttemptError:
    observation = AttemptObservation(observed=Observed.WRONG_ATTEMPT_ECHO)
    return AttemptError(observation, "the answer belongs to another attempt")


def failed_by_exception(
    exchange: Exchange, observed: Observed, problem: Exception
) -> AttemptFailed:
    """Return the event of an exchange that an exception ended.

    If nothing was sent, the observation is ``CONNECT_FAILED`` instead of ``observed``.
    """
    if not exchange.dispatch_left:
        observed = Observed.CONNECT_FAILED
    reason = f"{observed.value}: {type(problem).__name__}"
    return failed(exchange, AttemptObservation(observed=observed), reason, None)


def failed(
    exchange: Exchange, observation: AttemptObservation, reason: str, error: ErrorBody | None
) -> AttemptFailed:
    """Return the event of a failed exchange."""
    return AttemptFailed(
        attempt_id=exchange.target.attempt_id,
        observation=observation,
        reason=reason,
        dispatch_left=exchange.dispatch_left,
        echoed_attempt_id=exchange.echoed_attempt_id,
        error=error,
    )
