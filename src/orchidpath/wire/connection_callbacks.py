"""Callbacks by which a connection notifies its owner."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from orchidpath.wire.messages import Message

if TYPE_CHECKING:
    from orchidpath.wire.connection import Connection

MessageHandler = Callable[["Connection", Message], None]
"""Called for each message after Hello, synchronously and in order."""

ConnectionHandler = Callable[["Connection"], None]
"""Called when the exchange of Hello is complete, or when a connection closes after that."""


def ignore_connection(_connection: "Connection") -> None:
    """Ignore that a connection opened or closed; the default ``on_connect`` and ``on_close``."""


def ignore_message(_connection: "Connection", _message: Message) -> None:
    """Ignore a received message; the default ``on_message``."""


@dataclass(frozen=True, slots=True)
class ConnectionCallbacks:
    """The three callbacks of a connection; ``on_close`` is called only after ``on_connect``."""

    on_connect: ConnectionHandler = ignore_connection
    on_message: MessageHandler = ignore_message
    on_close: ConnectionHandler = ignore_connection
