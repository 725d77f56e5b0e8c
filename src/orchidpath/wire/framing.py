"""Frames of the fleet's own transport: length, checksum, one msgpack message.

A frame is a 4-byte big-endian length of the payload, the 4-byte CRC32C of the payload and the
payload itself: one :data:`orchidpath.wire.messages.Message`, compressed if it is large. This module
performs no I/O.
"""

import struct

import msgspec
from crc32c import crc32c

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.compression import CompressionError, compressed, decompressed
from orchidpath.wire.messages import Message

MAX_FRAME_BYTES = 32 * 1024 * 1024
"""Largest payload of one frame, compressed or not; sender and receiver reject a larger one."""

LARGE_FRAME_BYTES = 2048
"""Smallest size of a frame that is cached, in case the same message is sent to other peers."""

_HEADER = struct.Struct(">II")
_COMPACT_THRESHOLD_BYTES = 64 * 1024

_encoder = msgspec.msgpack.Encoder()


class _LastLargeFrame:
    """Cache of the newest large frame: a leader sends the same view to hundreds of routers.

    Messages are immutable, so that the same message object always encodes to the same frame.
    """

    def __init__(self) -> None:
        self.message: Message | None = None
        self.frame = b""


_last_large = _LastLargeFrame()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class FrameError(OrchidpathError):
    """Base class of the errors of a stream of frames; the stream is unusable after such an error.

    Encoding raises only :class:`FrameTooLargeError` and :class:`MessageEncodeError`, after which
    the stream stays usable.
    """


class FrameTooLargeError(FrameError):
    """A message or its frame is longer than :data:`MAX_FRAME_BYTES`."""


class MessageEncodeError(FrameError):
    """A message contains a value that msgpack can't represent."""


class FrameDamagedError(FrameError):
    """A frame's checksum does not match or its payload is not msgpack."""


class UnknownMessageError(FrameError):
    """A frame is intact, but its payload is not a message that this version defines."""


def encode_frame(message: Message) -> bytes:
    """Encode one message as one frame.

    Raises
    ------
    FrameTooLargeError
        The encoded message is longer than :data:`MAX_FRAME_BYTES` before its compression.
    MessageEncodeError
        The message contains a value that msgpack can't represent.
    """
    if message is _last_large.message:
        return _last_large.frame
    try:
        encoded = _encoder.encode(message)
    except (OverflowError, UnicodeEncodeError) as error:
        raise MessageEncodeError(f"{type(message).__name__}: {error}") from error
    if len(encoded) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(
            f"message of {len(encoded)} bytes exceeds the frame limit of {MAX_FRAME_BYTES} bytes"
        )
    payload = compressed(encoded)
    frame = _HEADER.pack(len(payload), crc32c(payload)) + payload
    if len(frame) >= LARGE_FRAME_BYTES:
        _last_large.message, _last_large.frame = message, frame
    return frame


class FrameDecoder:
    """Decodes a stream of bytes into messages, whatever the sizes of the received chunks.

    Parameters
    ----------
    max_first_frame_bytes
        Largest payload of the first frame; None for that of every frame.
    """

    def __init__(self, max_first_frame_bytes: int | None = None) -> None:
        self._max_first_frame_bytes = max_first_frame_bytes
        self._buffer = bytearray()
        self._start = 0
        self._error: FrameError | None = None

    def feed(self, received: bytes) -> list[Message]:
        """Consume received bytes and return every message that is now complete, in order.

        Parameters
        ----------
        received
            The next bytes of the stream, in a chunk of any size.

        Returns
        -------
        list of Message
            The messages that are now complete.

        Raises
        ------
        FrameTooLargeError, FrameDamagedError, UnknownMessageError
            The stream is unusable; every later call raises the same error. Messages that the same
            call completed before the error are dropped: the caller closes the link and tolerates
            their loss.
        """
        if self._error is not None:
            raise self._error
        self._buffer += received
        messages: list[Message] = []
        try:
            while (message := self._next_message()) is not None:
                messages.append(message)
        except FrameError as error:
            self._error = error
            self._buffer.clear()
            raise
        self._compact()
        return messages

    def _next_message(self) -> Message | None:
        payload_start = self._start + _HEADER.size
        if len(self._buffer) < payload_start:
            return None
        length, checksum = _HEADER.unpack_from(self._buffer, self._start)
        limit = self._max_first_frame_bytes or MAX_FRAME_BYTES
        if length > limit:
            raise FrameTooLargeError(f"frame of {length} bytes exceeds the limit of {limit} bytes")
        payload_end = payload_start + length
        if len(self._buffer) < payload_end:
            return None
        payload = bytes(memoryview(self._buffer)[payload_start:payload_end])
        self._start = payload_end
        self._max_first_frame_bytes = None
        return _decode_payload(payload, checksum)

    def _compact(self) -> None:
        # Deleting the consumed bytes on every call would copy a partially received large frame
        # again and again. They are deleted once they are many or nothing else is buffered.
        if self._start == len(self._buffer):
            self._buffer.clear()
            self._start = 0
        elif self._start >= _COMPACT_THRESHOLD_BYTES:
            del self._buffer[: self._start]
            self._start = 0


def _decode_payload(payload: bytes, checksum: int) -> Message:
    if crc32c(payload) != checksum:
        raise FrameDamagedError(f"checksum of a frame of {len(payload)} bytes does not match")
    try:
        return _decoder.decode(decompressed(payload, MAX_FRAME_BYTES))
    except CompressionError as error:
        raise FrameDamagedError(f"payload of a frame can't be decompressed: {error}") from error
    except msgspec.ValidationError as error:
        raise UnknownMessageError(f"payload of a frame is not a known message: {error}") from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameDamagedError(f"payload of a frame is not valid msgpack: {error}") from error
