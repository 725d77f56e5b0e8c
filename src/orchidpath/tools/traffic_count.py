"""Counts the bytes and messages of all connections of this process, for measurements.

The counter wraps methods of :class:`~orchidpath.wire.connection.Connection`, so that the measured
code contains no counting of its own.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from orchidpath.wire.connection import Connection
from orchidpath.wire.messages import Message


class TrafficCount(msgspec.Struct):
    """Bytes and messages of all connections since the start of the count."""

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0
    received_by_kind: Counter[str] = msgspec.field(default_factory=Counter)

    def copy(self) -> "TrafficCount":
        """Return a copy of the current counts."""
        return TrafficCount(
            self.bytes_sent,
            self.bytes_received,
            self.messages_sent,
            self.messages_received,
            Counter(self.received_by_kind),
        )


@contextmanager
def count_traffic() -> Iterator[TrafficCount]:
    """Count traffic until the context ends; only one count may run at a time."""
    count = TrafficCount()
    enqueue = Connection._enqueue
    data_received = Connection.data_received
    receive = Connection._receive

    def counted_enqueue(self: Connection, frame: bytes) -> bool:
        count.bytes_sent += len(frame)
        count.messages_sent += 1
        return enqueue(self, frame)

    def counted_data_received(self: Connection, data: bytes) -> None:
        count.bytes_received += len(data)
        data_received(self, data)

    def counted_receive(self: Connection, message: Message) -> None:
        count.messages_received += 1
        count.received_by_kind[type(message).__name__] += 1
        receive(self, message)

    Connection._enqueue = counted_enqueue  # type: ignore[method-assign]
    Connection.data_received = counted_data_received  # type: ignore[method-assign]
    Connection._receive = counted_receive  # type: ignore[method-assign]
    try:
        yield count
    finally:
        Connection._enqueue = enqueue  # type: ignore[method-assign]
        Connection.data_received = data_received  # type: ignore[method-assign]
        Connection._receive = receive  # type: ignore[method-assign]
