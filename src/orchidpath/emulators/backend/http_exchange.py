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
"""Limit of a request body; a long prompt is sent in one body."""

DEFAULT_ERROR_STATUS = 409
"""HTTP status of the codes not in ``STATUS_BY_CODE``: the request conflicts with the state."""

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
    """Return the base URL for ``IP:port`` or for an address that already has a scheme."""
    url = address if "://" in address else f"http://{address}"
    return url.rstrip("/")


def json_response(value: object, status: int = 200, attempt_id: str | None = None) -> web.Response:
    """Return a JSON response with an encoded struct.

    The attempt id, if given, is sent in the ``ATTEMPT_HEADER`` header.
    """
    headers = {ATTEMPT_HEADER: attempt_id} if attempt_id else None
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def error_response(error: ErrorBody) -> web.Response:
    """Return the response for an error, in an error envelope."""
    status = STATUS_BY_CODE.get(error.code, DEFAULT_ERROR_STATUS)
    return json_response(ErrorEnvelope(error=error), status, error.attempt_id)


async def read_struct(request: web.Request, kind: type[T]) -> T:
    """Decode the JSON body of a request.

    Parameters
    ----------
    request : web.Request
        The request.
    kind : type
        The struct type to decode.

    Returns
    -------
    T
        The decoded struct.

    Raises
    ------
    web.HTTPBadRequest
        If the body cannot be decoded as this type. The response guarantees ``ran=no``.
    """
    body = await request.read()
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as problem:
        error = ErrorBody(code=ErrorCode.BAD_REQUEST, message=str(problem), ran=Ran.NO)
        text = msgspec.json.encode(ErrorEnvelope(error=error)).decode()
        raise web.HTTPBadRequest(text=text, content_type="application/json") from problem


def abort_connection(request: web.Request) -> None:
    """Abort the connection of a request without a clean close."""
    if request.transport is not None:
        request.transport.abort()


def is_closed(request: web.Request) -> bool:
    """Return whether the connection of a request is closed or closing."""
    return request.transport is None or request.transport.is_closing()
