"""Bound on the memory that the requests of all callers of a process take together.

Limits on a single request don't bound what many of them take at once. Each request has a share that
grows with the bytes received for it. When all shares together exceed the limit, incomplete requests
are shed, the oldest first: an ordinary request is complete within moments, so the oldest ones are
those whose callers have stopped. A complete request can't be shed, since it may be executed; large
ones are admitted only up to a part of the limit, so that small ones still find room. The module
does no input or output.
"""

from collections.abc import Callable

MEBIBYTE = 1024 * 1024

DEFAULT_REQUEST_MEMORY_BYTES = 48 * MEBIBYTE
"""Default limit on the bytes that are received and held for all requests of a process."""

COMPLETE_LARGE_PART = 0.75
"""Part of the limit that complete requests may take before further large ones are refused."""

SMALL_REQUEST_BYTES = 65_536
"""A complete request of at most this size is admitted up to the whole limit."""


class RequestMemory:
    """Memory that a process has for the requests of its callers.

    Parameters
    ----------
    limit_bytes
        Bound on the bytes of all shares.
    """

    def __init__(self, limit_bytes: int = DEFAULT_REQUEST_MEMORY_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._largest_request_bytes = 0
        self._incomplete: dict[RequestShare, None] = {}
        self.held_bytes = 0
        self.complete_bytes = 0
        self.shed_count = 0

    @property
    def limit_bytes(self) -> int:
        """The limit; it has room for a second request of the largest permitted size."""
        return max(self._limit_bytes, 2 * self._largest_request_bytes)

    def permit(self, largest_request_bytes: int) -> None:
        """Set the size of the largest request that a caller may send, in bytes."""
        self._largest_request_bytes = largest_request_bytes

    def new_share(self, shed: Callable[[], None]) -> "RequestShare":
        """Return the share of a request of which no byte has arrived yet.

        Parameters
        ----------
        shed
            Called when the request has to go; it refuses the request or closes its connection. The
            share is empty by then.
        """
        return RequestShare(self, shed)

    def resized(self, share: "RequestShare", change_bytes: int) -> None:
        """Record that a share has changed (called by the share), and shed requests if needed."""
        self.held_bytes += change_bytes
        if share.is_complete:
            self.complete_bytes += change_bytes
        elif share.size_bytes:
            self._incomplete.setdefault(share)
        if change_bytes > 0 and self.held_bytes > self.limit_bytes:
            self._shed_until_within_limit(share)

    def may_complete(self, share: "RequestShare") -> bool:
        """Return whether there is room for a request that has arrived completely."""
        if not self.complete_bytes:
            return True
        part = 1.0 if share.size_bytes <= SMALL_REQUEST_BYTES else COMPLETE_LARGE_PART
        return self.complete_bytes + share.size_bytes <= part * self.limit_bytes

    def completed(self, share: "RequestShare") -> None:
        """Record that a request has arrived completely (called by the share)."""
        self._incomplete.pop(share, None)
        self.complete_bytes += share.size_bytes

    def released(self, share: "RequestShare") -> None:
        """Take back a share (called by the share)."""
        self._incomplete.pop(share, None)
        self.held_bytes -= share.size_bytes
        if share.is_complete:
            self.complete_bytes -= share.size_bytes

    def _shed_until_within_limit(self, growing: "RequestShare") -> None:
        while self.held_bytes > self.limit_bytes and self._incomplete:
            self._shed(next(iter(self._incomplete)))
        if self.held_bytes > self.limit_bytes and growing.is_complete:
            # Only complete requests are left, and the caller of this one sends more all the same.
            self._shed(growing)

    def _shed(self, share: "RequestShare") -> None:
        self.shed_count += 1
        share.release()
        share.shed()


class RequestShare:
    """Memory of one request, from its first byte until it is answered.

    Parameters
    ----------
    memory
        Memory that the share is taken from.
    shed
        Called when the request has to go.
    """

    def __init__(self, memory: RequestMemory, shed: Callable[[], None]) -> None:
        self._memory = memory
        self.shed = shed
        self.size_bytes = 0
        self.is_complete = False

    def resize(self, size_bytes: int) -> None:
        """Set the number of bytes held; this may shed requests, this one among them."""
        change_bytes = size_bytes - self.size_bytes
        if change_bytes:
            self.size_bytes = size_bytes
            self._memory.resized(self, change_bytes)

    def try_complete(self) -> bool:
        """Record that the request has arrived completely; return False if it must be refused."""
        if not self._memory.may_complete(self):
            return False
        self._memory.completed(self)
        self.is_complete = True
        return True

    def release(self) -> None:
        """Give the memory back; the share can be used for a next request."""
        self._memory.released(self)
        self.size_bytes = 0
        self.is_complete = False
