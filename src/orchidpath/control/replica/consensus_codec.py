"""Encodes consensus messages as the payload of wire messages."""

import msgspec

from orchidpath.consensus.raft_messages import RaftMessage
from orchidpath.wire.messages import ConsensusMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[RaftMessage] = msgspec.msgpack.Decoder(RaftMessage)


def encode_consensus(message: RaftMessage) -> ConsensusMessage:
    """Return a wire message that contains an encoded consensus message."""
    return ConsensusMessage(payload=_encoder.encode(message))


def decode_consensus(message: ConsensusMessage) -> RaftMessage | None:
    """Return the consensus message in a wire message, or None if its payload is damaged.

    The caller treats a damaged message like a lost one.
    """
    try:
        return _decoder.decode(message.payload)
    except (msgspec.MsgspecError, RecursionError):
        return None
