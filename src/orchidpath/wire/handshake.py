"""Handshake of a connection: each end sends a Hello as its first message."""

import asyncio
from collections.abc import Callable

from orchidpath.wire.errors import FleetMismatchError, HelloError
from orchidpath.wire.messages import Message
from orchidpath.wire.messages.membership_messages import Hello

HELLO_TIMEOUT_SECONDS = 2.0
"""A connection on which no Hello was received within this time is closed."""

MAX_HELLO_BYTES = 4096
"""Largest payload of a Hello; anyone can connect, and nothing larger is held for a stranger."""


class Handshake:
    """State of a handshake: the Hello of this end, the Hello of the other end, and the timeout.

    Parameters
    ----------
    local
        Hello of this end.
    """

    def __init__(self, local: Hello) -> None:
        self.local = local
        self.remote: Hello | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start_timeout(
        self, loop: asyncio.AbstractEventLoop, on_timeout: Callable[[HelloError], None]
    ) -> None:
        """Call ``on_timeout`` after the timeout, unless the handshake completes before."""
        error = HelloError(f"no Hello within {HELLO_TIMEOUT_SECONDS} s")
        self._timer = loop.call_later(HELLO_TIMEOUT_SECONDS, on_timeout, error)

    def check(self, message: Message) -> Hello:
        """Return the first message of the other end if it is a Hello of this fleet.

        Raises
        ------
        HelloError
            The message is not a Hello.
        FleetMismatchError
            The other end belongs to another fleet.
        """
        if not isinstance(message, Hello):
            raise HelloError(f"first message is {type(message).__name__}, not Hello")
        if message.fleet != self.local.fleet:
            mismatch = f"other end belongs to fleet {message.fleet!r}, not {self.local.fleet!r}"
            raise FleetMismatchError(mismatch)
        return message

    def complete(self, remote: Hello) -> None:
        """Record the Hello of the other end and cancel the timeout."""
        self.cancel_timeout()
        self.remote = remote

    def cancel_timeout(self) -> None:
        """Cancel the timeout; idempotent."""
        if self._timer is not None:
            self._timer.cancel()
