"""Exchange of Hello at the beginning of a connection."""

import asyncio
from collections.abc import Callable

from orchidpath.wire.errors import FleetMismatchError, HelloError
from orchidpath.wire.messages import Message
from orchidpath.wire.messages.membership_messages import Hello

HELLO_TIMEOUT_SECONDS = 2.0
"""A connection on which no Hello came within this time is closed."""


class Handshake:
    """State of the exchange: this end's Hello, the other end's, and the timeout.

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
        """Call ``on_timeout`` unless the exchange completes or is cancelled in time."""
        error = HelloError(f"no Hello within {HELLO_TIMEOUT_SECONDS} s")
        self._timer = loop.call_later(HELLO_TIMEOUT_SECONDS, on_timeout, error)

    def check(self, message: Message) -> Hello:
        """Return the other end's Hello, if the first message is one of this fleet.

        Raises
        ------
        HelloError
            The message is no Hello.
        FleetMismatchError
            The other end belongs to a fleet of another name.
        """
        if not isinstance(message, Hello):
            raise HelloError(f"first message is {type(message).__name__}, not Hello")
        if message.fleet != self.local.fleet:
            mismatch = f"other end is of fleet {message.fleet!r}, not {self.local.fleet!r}"
            raise FleetMismatchError(mismatch)
        return message

    def complete(self, remote: Hello) -> None:
        """Record the other end's Hello."""
        self.cancel_timeout()
        self.remote = remote

    def cancel_timeout(self) -> None:
        """Stop waiting; safe to call twice."""
        if self._timer is not None:
            self._timer.cancel()
