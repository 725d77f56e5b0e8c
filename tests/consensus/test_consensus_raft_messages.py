"""Encoding of the messages between replicas."""

import msgspec

from orchidpath.consensus.raft_messages import (
    AppendEntries,
    RaftMessage,
)
from orchidpath.consensus.types import (
    EntryKind,
    LogEntry,
)


def test_messages_are_one_tagged_union() -> None:
    decoder: msgspec.msgpack.Decoder[RaftMessage] = msgspec.msgpack.Decoder(RaftMessage)
    entry = LogEntry(1, 1, EntryKind.MEMBERSHIP, b"x")
    message = AppendEntries("a", 1, 0, 0, 0, 1.5, [entry])
    assert decoder.decode(msgspec.msgpack.encode(message)) == message
