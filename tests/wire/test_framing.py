import struct
from random import Random

import msgspec
import pytest
from crc32c import crc32c
from hypothesis import given
from hypothesis import strategies as st

from orchidpath.wire import framing
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.framing import (
    FrameDamagedError,
    FrameDecoder,
    FrameError,
    FrameTooLargeError,
    UnknownMessageError,
    encode_frame,
)
from orchidpath.wire.messages import (
    ConsensusMessage,
    FleetUpdate,
    FleetUpdateRequest,
    Message,
    WhoIsControl,
)
from orchidpath.wire.records import FleetView

MESSAGES: list[Message] = [
    WhoIsControl(),
    FleetUpdateRequest(adopted_revision=7),
    ConsensusMessage(payload=b"\x00\xff" * 300),
    FleetUpdate(
        revision=3,
        configuration_version=2,
        view=FleetView(
            revision=3,
            configuration_version=2,
            configuration=Configuration(services=[Service(name="wine", kind=ServiceKind.MODEL)]),
        ),
    ),
]


def frame(payload: bytes) -> bytes:
    return struct.pack(">II", len(payload), crc32c(payload)) + payload


@given(st.lists(st.integers(1, 40), max_size=100))
def test_any_split_gives_the_same_messages(sizes: list[int]) -> None:
    stream = b"".join(map(encode_frame, MESSAGES * 3))
    decoder = FrameDecoder()
    received: list[Message] = []
    for size in sizes:
        received += decoder.feed(stream[:size])
        stream = stream[size:]
    received += decoder.feed(stream)
    assert received == MESSAGES * 3


@given(st.data())
def test_one_flipped_bit_never_passes_silently(data: st.DataObject) -> None:
    message = data.draw(st.sampled_from(MESSAGES))
    encoded = bytearray(encode_frame(message))
    position = data.draw(st.integers(0, len(encoded) * 8 - 1))
    encoded[position // 8] ^= 1 << (position % 8)
    try:
        received = FrameDecoder().feed(bytes(encoded))
    except FrameError:
        return
    assert received == []  # the length grew: the frame is still incomplete


@given(st.binary(max_size=2000))
def test_random_bytes_give_no_message(noise: bytes) -> None:
    try:
        received = FrameDecoder().feed(noise)
    except FrameError:
        return
    assert received == []


@given(st.binary(max_size=400))
def test_random_payload_with_good_checksum_is_a_typed_error(payload: bytes) -> None:
    with pytest.raises((FrameDamagedError, UnknownMessageError)):
        FrameDecoder().feed(frame(payload))


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers(-5, 5) | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(["type", "payload", "revision"]), inner, max_size=3)
        ),
        max_leaves=8,
    )
)
def test_msgpack_of_another_type_is_an_unknown_message(value: object) -> None:
    with pytest.raises(UnknownMessageError):
        FrameDecoder().feed(frame(msgspec.msgpack.encode(value)))


def test_deeply_nested_payload_is_a_typed_error() -> None:
    with pytest.raises(FrameError):
        FrameDecoder().feed(frame(b"\x81\xa1x" + b"\x91" * 100_000 + b"\x00"))


def test_too_large_frames_are_rejected_on_both_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(framing, "MAX_FRAME_BYTES", 100)
    with pytest.raises(FrameTooLargeError):
        encode_frame(ConsensusMessage(payload=bytes(101)))
    # The header is enough to reject the frame, so that its payload is never buffered.
    with pytest.raises(FrameTooLargeError):
        FrameDecoder().feed(struct.pack(">II", 101, 0))


def test_a_failed_decoder_stays_failed() -> None:
    decoder = FrameDecoder()
    with pytest.raises(FrameDamagedError):
        decoder.feed(struct.pack(">II", 1, 0) + b"\x00")
    with pytest.raises(FrameDamagedError):
        decoder.feed(encode_frame(WhoIsControl()))


def test_unknown_tag_is_reported_as_such() -> None:
    with pytest.raises(UnknownMessageError):
        FrameDecoder().feed(frame(msgspec.msgpack.encode({"type": "message_of_tomorrow"})))


def test_a_large_message_is_encoded_once_and_another_one_separately() -> None:
    """A leader sends one view to hundreds of routers, so the newest large frame is cached.

    The cache is keyed by object identity: another message is encoded separately.
    """
    first, second = (ConsensusMessage(payload=Random(seed).randbytes(5000)) for seed in (1, 2))
    assert encode_frame(first) is encode_frame(first)
    for message in (first, second, first, second):
        assert FrameDecoder().feed(encode_frame(message)) == [message]
