"""Helpers that read requests and write responses, shared by the operators' API and its plan API."""

import math
from collections.abc import Awaitable, Callable

import msgspec
import structlog
from aiohttp import web

from orchidpath.common.event_loop_turns import EventLoopTurns
from orchidpath.control.api.control_access import UnavailableError
from orchidpath.control.api.operator_bodies import (
    Accepted,
    MalformedRequestError,
    OperatorError,
    OperatorErrorBody,
    OperatorErrorCode,
)
from orchidpath.wire.http_bodies import read_body as read_bounded_body

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Upper bound on the body of a request; a configuration is sent as one body."""

MAX_ANNOUNCEMENT_BYTES = 256 * 1024
"""Upper bound on the body of a worker's announcement."""

REQUEST_MEMORY_BYTES = 32 * 1024 * 1024
"""Bound on the bodies that a control process holds for all requests together.

A configuration takes several times its size while it is decoded and committed.
"""

BODY_TIMEOUT_SECONDS = 10.0
"""Bound on the arrival of a request's body; a slower request gets status 408."""

RESPONSE_TURNS = web.AppKey("response_turns", EventLoopTurns)
"""Turns in which an application makes large responses."""

_log = structlog.get_logger(__name__)
_CODES_BY_HTTP_STATUS = {
    404: OperatorErrorCode.NOT_FOUND,
    405: OperatorErrorCode.METHOD_NOT_ALLOWED,
    408: OperatorErrorCode.TIMEOUT,
    413: OperatorErrorCode.TOO_LARGE,
}


@web.middleware
async def answer_errors(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Turn every exception of a handler into an error response in the common JSON form."""
    try:
        return await handler(request)
    except MalformedRequestError as error:
        return error_response(400, OperatorErrorCode.MALFORMED, str(error))
    except UnavailableError as error:
        return error_response(
            503,
            OperatorErrorCode.NO_LEADER,
            str(error),
            retry_after_seconds=error.retry_after_seconds,
        )
    except web.HTTPException as error:
        code = _CODES_BY_HTTP_STATUS.get(error.status, OperatorErrorCode.REFUSED)
        response = error_response(error.status, code, error.reason)
        for name in ("Allow", "Retry-After"):
            if name in error.headers:
                response.headers[name] = error.headers[name]
        return response
    except Exception as error:  # noqa: BLE001 - the outermost handler of a request
        _log.exception("request_failed", path=request.path, error=str(error))
        return error_response(
            500, OperatorErrorCode.INTERNAL, "the request failed inside the server"
        )


async def read_body(request: web.Request, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the body of a request.

    Raises
    ------
    web.HTTPException
        The body is too large (413), did not arrive within `BODY_TIMEOUT_SECONDS` (408), or there
        is no memory for it (503).
    """
    return await read_bounded_body(request, max_bytes, BODY_TIMEOUT_SECONDS)


def error_response(
    status: int,
    code: OperatorErrorCode,
    message: str,
    *,
    accepted: Accepted | msgspec.UnsetType = msgspec.UNSET,
    order_id: str | msgspec.UnsetType = msgspec.UNSET,
    current_version: int | msgspec.UnsetType = msgspec.UNSET,
    retry_after_seconds: float | None = None,
) -> web.Response:
    """Return an error response; ``Retry-After`` is rounded up to whole seconds, at least 1."""
    body = OperatorErrorBody(
        error=OperatorError(code=code, message=message, accepted=accepted),
        order_id=order_id,
        current_version=current_version,
    )
    response = json_response(body, status=status)
    if retry_after_seconds is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(retry_after_seconds)))
    return response


async def large_json_response(
    request: web.Request, make_body: Callable[[], msgspec.Struct]
) -> web.Response:
    """Return a response with a body that may be large.

    Such bodies are made one after another, and each is being sent before the next one is made, so
    that the memory for responses bounds all of them.
    """
    await request.app[RESPONSE_TURNS].next_turn()
    return json_response(make_body())


def json_response(body: msgspec.Struct, status: int = 200) -> web.Response:
    """Return a response with the body encoded as JSON."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )
