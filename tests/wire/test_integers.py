"""Integers beyond the range of msgpack keep their value in messages, commands and snapshots."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.common.digits import MAX_DIGITS
from orchidpath.state.commands import (
    SubmitConfiguration,
    configuration_digest,
    decode_command,
    encode_command,
)
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.integers import (
    MAX_BINARY_INTEGER,
    decode_integer,
    encode_integer,
)

LARGE = 20261204093000123456


@settings(deadline=None, derandomize=True, max_examples=200)
@given(st.integers(min_value=-(2**63), max_value=10**40))
def test_every_integer_has_one_encoded_form(value: int) -> None:
    encoded = encode_integer(value)
    assert decode_integer(encoded) == value
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(encoded))
    assert decoded == encoded
    assert isinstance(encoded, int) == (value <= MAX_BINARY_INTEGER)


@pytest.mark.parametrize(
    "label", [0, 2, MAX_BINARY_INTEGER, MAX_BINARY_INTEGER + 1, LARGE, 10 ** (MAX_DIGITS - 1)]
)
def test_a_label_of_any_size_survives_the_log_and_json(label: int) -> None:
    """Guards against a label that passes the checks and ends the leader that encodes it."""
    configuration = Configuration(label=label)
    command = SubmitConfiguration(
        order_id="a",
        base_version=0,
        configuration=configuration,
        digest=configuration_digest(0, configuration),
    )
    assert decode_command(encode_command(command)) == command
    written = msgspec.json.encode(configuration)
    assert msgspec.json.decode(written, type=Configuration) == configuration
    assert configuration.label_number == label


def test_labels_in_the_range_of_msgpack_keep_their_binary_form() -> None:
    assert msgspec.msgpack.encode(Configuration(label=7)).endswith(b"\xa5label\x07")
    assert msgspec.msgpack.encode(Configuration(label=LARGE)).endswith(
        b"\xa5label\xb420261204093000123456"
    )


def test_equal_labels_are_equal_in_every_notation() -> None:
    number = msgspec.json.decode(b'{"label": 20261204093000123456}', type=Configuration)
    text = msgspec.json.decode(b'{"label": "20261204093000123456"}', type=Configuration)
    binary = msgspec.json.decode(b'{"label": "10000000000000000000"}', type=Configuration)
    assert number == text == Configuration(label=LARGE)
    assert binary == Configuration(label=10**19)


@pytest.mark.parametrize("text", ["", "7", "-20261204093000123456", "2" * 20 + "\n", "1_" * 11])
def test_other_text_is_no_label(text: str) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert({"label": text}, Configuration)
