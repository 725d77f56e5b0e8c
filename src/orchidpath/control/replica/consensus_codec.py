"""Consensus messages inside wire messages."""

import msgspec

from orchidpath.consensus.raft_messages import RaftMessage
from orchidpath.wire.messages import ConsensusMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[RaftMessage] = msgspec.msgpack.Decoder(RaftMessage)


def encode_consensus(message: RaftMessage) -> ConsensusMessage:
    """Wrap a consensus message for the wire."""
    return ConsensusMessage(payload=_encoder.encode(message))


def decode_consensus(message: ConsensusMessage) -> RaftMessage | None:
    """Unwrap a consensus message; None if its payload is damaged, which is like a lost one."""
    try:
        return _decoder.decode(message.payload)
    except (msgspec.MsgspecError, RecursionError):
        return None
