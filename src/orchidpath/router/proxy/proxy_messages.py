"""Requests and heads of responses on forward routes, as the router holds them in memory."""

import msgspec

from orchidpath.router.proxy.protocol_mapping import Header


class ForwardedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request, with its complete body.

    ``received_at`` is the monotonic time, in seconds, at which the head was complete.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    received_at: float

    @property
    def path(self) -> str:
        """Path of the request target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Value of the ``Host`` header; empty if the header is missing."""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1")
        return ""


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a response."""

    status: int
    headers: tuple[Header, ...]

    @property
    def ends_with_connection(self) -> bool:
        """Whether a worker's response has neither a length nor chunks.

        Its body then ends when the worker closes the connection.
        """
        framing_names = {b"content-length", b"transfer-encoding"}
        return not any(name in framing_names for name, _ in self.headers)
