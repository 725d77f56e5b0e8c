"""JSON bodies and errors of the emulated back ends over aiohttp."""

from typing import TypeVar

import msgspec
from aiohttp import web

from orchidpath.wire.backend import (
    ATTEMPT_HEADER,
    ErrorBody,
    ErrorCode,
    ErrorEnvelope,
    Ran,
)

T = TypeVar("T")

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Long prompts are sent whole."""

DEFAULT_ERROR_STATUS = 409
"""Status of a refusal that has no status of its own: the order conflicts with the state."""

STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.WRONG_MODEL: 404,
    ErrorCode.HANDLE_EXPIRED: 410,
    ErrorCode.INTERNAL: 500,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.DRAINING: 503,
}


def base_url(address: str) -> str:
    """Return the base address of ``IP:port`` or of an address that has its scheme already."""
    url = address if "://" in address else f"http://{address}"
    return url.rstrip("/")


def json_response(value: object, status: int = 200, attempt_id: str | None = None) -> web.Response:
    """Answer with an encoded struct, echoing the attempt id if there is one."""
    headers = {ATTEMPT_HEADER: attempt_id} if attempt_id else None
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def error_response(error: ErrorBody) -> web.Response:
    """Answer with an error in its envelope."""
    status = STATUS_BY_CODE.get(error.code, DEFAULT_ERROR_STATUS)
    return json_response(ErrorEnvelope(error=error), status, error.attempt_id)


async def read_struct(request: web.Request, kind: type[T]) -> T:
    """Decode a request's body.

    Parameters
    ----------
    request : web.Request
        The request.
    kind : type
        The struct that its body must be.

    Returns
    -------
    T
        The decoded struct.

    Raises
    ------
    web.HTTPBadRequest
        If the body is anything else; nothing was run then.
    """
    body = await request.read()
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as problem:
        error = ErrorBody(code=ErrorCode.BAD_REQUEST, message=str(problem), ran=Ran.NO)
        text = msgspec.json.encode(ErrorEnvelope(error=error)).decode()
        raise web.HTTPBadRequest(text=text, content_type="application/json") from problem


def abort_connection(request: web.Request) -> None:
    """Cut the connection under a request without any clean end."""
    if request.transport is not None:
        request.transport.abort()


def is_closed(request: web.Request) -> bool:
    """Tell whether the peer of a request has gone."""
    return request.transport is None or request.transport.is_closing()
