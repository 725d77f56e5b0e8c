"""One exchange with a back end: the check before its first byte, its echo, and how it failed.

Whatever fails before the first byte is known never to have left this router. An answer that names
another attempt closes its connection, so that no later order reads what is left of it.
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
"""A larger reply is taken as malformed, so that a back end can't fill the memory."""

Emit = Callable[[RequestEvent], Awaitable[None]]
"""Takes an event; waits while the reader of events is behind."""

SendCheck = Callable[[], SendRefusal | None]
"""Says, right before the first byte, why an order may not be sent; None when it may."""


class OrderTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Where an order goes and how long its parts may take."""

    url: str
    request_id: str
    attempt_id: str
    first_answer_seconds: float
    stall_seconds: float
    refused_retry_after_seconds: float


class SendRefusedError(OrchidpathError):
    """The check before the first byte said no."""

    def __init__(self, refusal: SendRefusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal


class AttemptError(OrchidpathError):
    """The exchange failed in a way that the back end's answer shows."""

    def __init__(
        self, observation: AttemptObservation, reason: str, error: ErrorBody | None = None
    ) -> None:
        super().__init__(reason)
        self.observation = observation
        self.error = error


class Exchange:
    """What is known of one order while its exchange runs."""

    def __init__(self, target: OrderTarget, check: SendCheck) -> None:
        self.target = target
        self.check = check
        self.dispatch_left = False
        self.echoed_attempt_id = ""
        self.protocol: ResponseHandler | None = None

    def close_connection(self) -> None:
        """Close the connection, also if the library already took it back for reuse."""
        if self.protocol is not None:
            self.protocol.close()


current_exchange: ContextVar[Exchange | None] = ContextVar("exchange", default=None)


class CheckedRequest(aiohttp.ClientRequest):
    """Runs the exchange's check between connecting and the first byte."""

    async def send(self, conn: Connection) -> ClientResponse:
        """Write the request on a standing connection, if the check lets it."""
        exchange = current_exchange.get()
        if exchange is not None:
            refusal = exchange.check()
            if refusal is not None:
                raise SendRefusedError(refusal)
            exchange.protocol = conn.protocol
            exchange.dispatch_left = True
        return await super().send(conn)


async def read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Read a body to its end; raises :class:`AttemptError` if it is too large."""
    content = bytearray()
    async for chunk in response.content.iter_any():
        content += chunk
        if len(content) > MAXIMUM_REPLY_BYTES:
            observation = AttemptObservation(observed=Observed.MALFORMED_PROTOCOL)
            raise AttemptError(observation, "the reply is too large")
    return bytes(content)


def require_success(exchange: Exchange, status: int, content: bytes) -> None:
    """Raise the failure that an error status stands for."""
    if status == 200:
        return
    try:
        error = msgspec.json.decode(content, type=ErrorEnvelope).error
    except (msgspec.DecodeError, RecursionError):
        observation = AttemptObservation(observed=Observed.HTTP_STATUS, http_status=status)
        raise AttemptError(observation, f"HTTP status {status}") from None
    if exchange.echoed_attempt_id not in {"", exchange.target.attempt_id}:
        exchange.close_connection()
        raise _crossed()
    observation = AttemptObservation(observed=Observed.REFUSED, error_code=error.code)
    raise AttemptError(observation, f"{error.code}: {error.message}", error)


def require_echo(exchange: Exchange, request_id: str, attempt_id: str) -> None:
    """Raise, and close the connection, unless an answer names this very attempt."""
    target = exchange.target
    echoes = {attempt_id, exchange.echoed_attempt_id}
    if request_id == target.request_id and echoes == {target.attempt_id}:
        return
    # Closed before anything else happens: the next order must not read another one's answer.
    exchange.close_connection()
    raise _crossed()


def _crossed() -> AttemptError:
    observation = AttemptObservation(observed=Observed.WRONG_ATTEMPT_ECHO)
    return AttemptError(observation, "the answer belongs to another attempt")


def failed_by_exception(
    exchange: Exchange, observed: Observed, problem: Exception
) -> AttemptFailed:
    """Return the event of an exchange that an exception ended."""
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
