"""Error responses to callers: HTTP status, ``Retry-After`` header and JSON body."""

import math
from types import MappingProxyType

import msgspec
from aiohttp import web

from orchidpath.router.chat.chat_api import DecisionTrace, ErrorAnswer
from orchidpath.wire.backend import ErrorBody, ErrorCode, Ran

REQUEST_ID_HEADER = "x-request-id"

MINIMUM_RETRY_AFTER_SECONDS = 1
"""``Retry-After`` is in whole seconds; 0 would allow an immediate retry."""

STATUS_BY_CODE = MappingProxyType(
    {
        ErrorCode.BAD_REQUEST: 400,
        ErrorCode.UPSTREAM_REFUSED: 400,
        ErrorCode.UNKNOWN_ROUTE: 404,
        ErrorCode.RATE_LIMITED: 429,
        ErrorCode.INTERNAL: 500,
        ErrorCode.UPSTREAM_FAILED: 502,
        ErrorCode.STREAM_BROKEN: 502,
        ErrorCode.NOT_FRESH: 503,
        ErrorCode.DRAINING: 503,
        ErrorCode.OVERLOADED: 503,
        ErrorCode.ALL_CIRCUITS_OPEN: 503,
        ErrorCode.NO_WORKER: 503,
        ErrorCode.RETRY_BUDGET_SPENT: 503,
        ErrorCode.DEADLINE_EXCEEDED: 504,
    }
)
"""HTTP status of each error code; :func:`error_response` answers any other code with 500."""


def retry_after_header(seconds: float) -> str:
    """Return the header value in whole seconds, rounded up so that no caller retries too early."""
    return str(max(math.ceil(seconds), MINIMUM_RETRY_AFTER_SECONDS))


def error_response(error: ErrorBody, trace: DecisionTrace | None = None) -> web.Response:
    """Return the HTTP response for an error."""
    response = web.Response(
        body=msgspec.json.encode(ErrorAnswer(error=error, orchidpath=trace)),
        status=STATUS_BY_CODE.get(error.code, 500),
        content_type="application/json",
    )
    if error.request_id:
        response.headers[REQUEST_ID_HEADER] = error.request_id
    if error.retry_after_seconds is not None:
        response.headers["Retry-After"] = retry_after_header(error.retry_after_seconds)
    return response


def refusal(
    code: ErrorCode,
    message: str,
    request_id: str,
    *,
    ran: Ran = Ran.NO,
    retry_after_seconds: float | None = None,
) -> ErrorBody:
    """Return the error body for a request that this router rejects."""
    return ErrorBody(
        code=code,
        message=message,
        ran=ran,
        request_id=request_id,
        retry_after_seconds=retry_after_seconds,
    )
