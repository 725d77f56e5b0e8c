"""Parses a caller's HTTP request into a routed request, or rejects it with an error."""

import math
from random import Random

import msgspec
from aiohttp import web

from orchidpath.common.errors import OrchidpathError
from orchidpath.router.chat.chat_api import CHARACTERS_PER_TOKEN, ChatCompletionRequest
from orchidpath.router.chat.http_errors import REQUEST_ID_HEADER, refusal
from orchidpath.router.chat.request_runner import RoutedRequest
from orchidpath.router.decision_maker import DecisionSubject
from orchidpath.router.routing_state import RoutingState
from orchidpath.routing.admission import Rejected, RejectionReason
from orchidpath.routing.request.events import RequestPlan
from orchidpath.routing.ring import prefix_key
from orchidpath.routing.route_table import RouteMatch
from orchidpath.wire.backend import ErrorBody, ErrorCode, Ran
from orchidpath.wire.configuration import ServiceKind
from orchidpath.wire.http_bodies import read_body

TENANT_HEADER = "x-tenant"
DEADLINE_HEADER = "x-deadline-seconds"
TRACE_HEADER = "x-orchidpath-trace"

MAXIMUM_HEADER_VALUE = 128
"""Maximum length of a request id or tenant, in characters.

A longer request id is replaced by a new one; a longer tenant is truncated.
"""

REQUEST_ID_BITS = 128


MAXIMUM_BODY_BYTES = 32 * 1024 * 1024
"""Maximum size of a request body that is read into memory."""


class RefusedError(OrchidpathError):
    """The request is rejected; ``error`` is the body of the response."""

    def __init__(self, error: ErrorBody) -> None:
        super().__init__(error.message)
        self.error = error


class Intake(msgspec.Struct, frozen=True, kw_only=True):
    """A parsed request with a route, and the values that its admission depends on."""

    routed: RoutedRequest
    tenant: str
    cost_tokens: int
    streaming: bool


def request_id_of(request: web.Request, random: Random) -> str:
    """Return the caller's request id, or a new one if it is missing, too long or not printable."""
    given = request.headers.get(REQUEST_ID_HEADER, "").strip()
    if given and len(given) <= MAXIMUM_HEADER_VALUE and given.isprintable():
        return given
    return f"{random.getrandbits(REQUEST_ID_BITS):032x}"


async def read_request_body(request: web.Request) -> bytes:
    """Return the body of a caller's request, whose time the caller of this function bounds.

    Raises
    ------
    web.HTTPException
        The body is too large (413), or there is no memory for it (503).
    """
    return await read_body(request, MAXIMUM_BODY_BYTES, None)


async def read_chat(
    request: web.Request, request_id: str, state: RoutingState, now: float
) -> Intake:
    """Read and parse a chat completion request.

    Parameters
    ----------
    request
        The HTTP request.
    request_id
        Its id.
    state
        Routes of the adopted view.
    now
        Monotonic seconds; the deadline counts from this time.

    Returns
    -------
    Intake
        The parsed request.

    Raises
    ------
    RefusedError
        If the body is not a chat completion request, no route matches its model, or its deadline
        header is invalid.
    """
    body = _decode_chat(await read_request_body(request), request_id)
    match = state.routes.match_chat(body.model)
    if match is None:
        raise _refused(ErrorCode.UNKNOWN_ROUTE, f"no route for model {body.model!r}", request_id)
    prompt = body.prompt()
    subject = DecisionSubject(
        request_id=request_id,
        service=match.service.name,
        model=body.model,
        is_model=True,
        prefix_key=prefix_key(body.model, prompt),
    )
    routed = RoutedRequest(
        plan=_plan(request, request_id, match, state, now, streaming=body.stream),
        subject=subject,
        prompt=prompt,
        max_tokens=body.token_limit(),
        wants_trace=_wants_trace(request),
    )
    cost_tokens = len(prompt) // CHARACTERS_PER_TOKEN + body.token_limit()
    return Intake(
        routed=routed, tenant=_tenant(request), cost_tokens=cost_tokens, streaming=body.stream
    )


async def read_plain(
    request: web.Request, request_id: str, state: RoutingState, now: float
) -> Intake:
    """Read and parse a plain call; parameters, result and errors as for :func:`read_chat`.

    The route is matched by method and path, and the body must be JSON; an empty body means null.
    """
    match = state.routes.match_plain(request.method, request.path)
    if match is None:
        message = f"no route for {request.method} {request.path}"
        raise _refused(ErrorCode.UNKNOWN_ROUTE, message, request_id)
    body = await read_request_body(request) or b"null"
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as problem:
        raise _refused(ErrorCode.BAD_REQUEST, str(problem), request_id) from problem
    routed = RoutedRequest(
        plan=_plan(request, request_id, match, state, now, streaming=False),
        subject=DecisionSubject(
            request_id=request_id, service=match.service.name, model="", is_model=False
        ),
        method=request.method,
        path=request.path_qs,
        body=body,
        wants_trace=_wants_trace(request),
    )
    return Intake(routed=routed, tenant=_tenant(request), cost_tokens=1, streaming=False)


def admission_error(rejected: Rejected, request_id: str) -> ErrorBody:
    """Return the error body for a request that admission rejected."""
    code = ErrorCode.OVERLOADED
    ran = Ran.NO
    match rejected.reason:
        case RejectionReason.TENANT_SHARE:
            code = ErrorCode.RATE_LIMITED
        case RejectionReason.TOO_LARGE:
            code = ErrorCode.BAD_REQUEST
        case RejectionReason.DUPLICATE_REQUEST:
            # A request with this id is running: the answer must not claim that it did not run.
            code = ErrorCode.RATE_LIMITED
            ran = Ran.UNKNOWN
        case _:
            pass
    return refusal(
        code,
        f"not admitted: {rejected.reason.value}",
        request_id,
        ran=ran,
        retry_after_seconds=rejected.retry_after_seconds,
    )


def _decode_chat(content: bytes, request_id: str) -> ChatCompletionRequest:
    try:
        return msgspec.json.decode(content, type=ChatCompletionRequest)
    except (msgspec.DecodeError, RecursionError) as problem:
        raise _refused(ErrorCode.BAD_REQUEST, str(problem), request_id) from problem


def _plan(
    request: web.Request,
    request_id: str,
    match: RouteMatch,
    state: RoutingState,
    now: float,
    *,
    streaming: bool,
) -> RequestPlan:
    allowed_seconds = match.route.deadline_seconds
    requested_seconds = _requested_deadline_seconds(request, request_id)
    if requested_seconds is not None:
        allowed_seconds = min(allowed_seconds, requested_seconds)
    return RequestPlan(
        request_id=request_id,
        route=match.route,
        retry=state.configuration.retry,
        is_model=match.service.kind is ServiceKind.MODEL,
        streaming=streaming,
        deadline=now + allowed_seconds,
    )


def _requested_deadline_seconds(request: web.Request, request_id: str) -> float | None:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not (math.isfinite(seconds) and seconds > 0):
        message = f"{DEADLINE_HEADER} is not a positive number of seconds"
        raise _refused(ErrorCode.BAD_REQUEST, message, request_id)
    return seconds


def _tenant(request: web.Request) -> str:
    return request.headers.get(TENANT_HEADER, "")[:MAXIMUM_HEADER_VALUE]


def _wants_trace(request: web.Request) -> bool:
    return request.headers.get(TRACE_HEADER, "").lower() == "true"


def _refused(code: ErrorCode, message: str, request_id: str) -> RefusedError:
    return RefusedError(refusal(code, message, request_id))
