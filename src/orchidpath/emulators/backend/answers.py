"""Response content of every emulated back end, derived from the request alone.

A caller computes the same content and can therefore detect an incomplete answer or an answer to
another request.
"""

from collections.abc import Iterator

import msgspec
import xxhash

TOKEN_HEX_DIGITS = 7
"""A token is eight characters long, including its trailing space."""


class CallAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The body of every answer of an emulated plain service."""

    request_id: str
    method: str
    path: str
    digest: str


def expected_token(request_id: str, index: int) -> str:
    """Return one token of the answer to a model request.

    Parameters
    ----------
    request_id : str
        The request that is answered.
    index : int
        Index of the token in the answer, from 0.

    Returns
    -------
    str
        A word with a trailing space.
    """
    digest = xxhash.xxh3_64_hexdigest(f"{request_id}:{index}".encode())
    return digest[:TOKEN_HEX_DIGITS] + " "


def answer_tokens(request_id: str, max_tokens: int) -> Iterator[str]:
    """Yield the ``max_tokens`` tokens of the answer in order."""
    for index in range(max_tokens):
        yield expected_token(request_id, index)


def expected_text(request_id: str, max_tokens: int) -> str:
    """Return the complete answer to a model request.

    Parameters
    ----------
    request_id : str
        The request that is answered.
    max_tokens : int
        Length of the answer in tokens.

    Returns
    -------
    str
        The concatenated tokens.
    """
    return "".join(answer_tokens(request_id, max_tokens))


def expected_answer(request_id: str, method: str, path: str) -> CallAnswer:
    """Return the answer to a plain call."""
    digest = xxhash.xxh3_64_hexdigest(f"{request_id} {method} {path}".encode())
    return CallAnswer(request_id=request_id, method=method, path=path, digest=digest)


def expected_call_body(request_id: str, method: str, path: str) -> bytes:
    """Return the JSON body of the answer to a plain call.

    Parameters
    ----------
    request_id : str
        The request that is answered.
    method : str
        HTTP method of the call.
    path : str
        Path of the call as the caller sent it.

    Returns
    -------
    bytes
        The encoded :class:`CallAnswer`.
    """
    return msgspec.json.encode(expected_answer(request_id, method, path))


def is_expected_call_body(body: bytes, request_id: str, method: str, path: str) -> bool:
    """Return whether a body is the complete answer to this call, in any JSON formatting."""
    try:
        answer = msgspec.json.decode(body, type=CallAnswer)
    except msgspec.DecodeError:
        return False
    return answer == expected_answer(request_id, method, path)
