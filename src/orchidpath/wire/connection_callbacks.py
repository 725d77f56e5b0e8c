"""What the owner of a connection is called for."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from orchidpath.wire.messages import Message

if TYPE_CHECKING:
    from orchidpath.wire.connection import Connection

MessageHandler = Callable[["Connection", Message], None]
"""Called for each message after Hello, synchronously and in order."""

ConnectionHandler = Callable[["Connection"], None]
"""Called when a connection has exchanged Hello, or when such a connection has closed."""


def ignore_connection(_connection: "Connection") -> None:
    """Do nothing when a connection opens or closes."""


def ignore_message(_connection: "Connection", _message: Message) -> None:
    """Do nothing when a message arrives."""


@dataclass(frozen=True, slots=True)
class ConnectionCallbacks:
    """The three callbacks of a connection; ``on_close`` is called only after ``on_connect``."""

    on_connect: ConnectionHandler = ignore_connection
    on_message: MessageHandler = ignore_message
    on_close: ConnectionHandler = ignore_connection
