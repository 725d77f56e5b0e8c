"""Fuzz tests of the decoders of configuration updates and worker announcements."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.control.api.operator_bodies import (
    MalformedRequestError,
    decode_announcement,
    decode_submit,
)

FUZZ = settings(deadline=None, derandomize=True, max_examples=200)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)
SUBMIT = {"order_id": "o1", "base_version": 3, "configuration": {}}
RECORD = {
    "worker_id": "w1",
    "incarnation": "1",
    "service": "wine",
    "stage": "prefill",
    "url": "http://10.0.0.1:1",
}
ANNOUNCEMENT = {"record": RECORD, "sequence": 1}


@FUZZ
@given(st.binary(max_size=200))
def test_random_bytes_are_rejected(content: bytes) -> None:
    for decode in (decode_submit, decode_announcement):
        with pytest.raises(MalformedRequestError):
            decode(content)


@pytest.mark.parametrize("decode", [decode_submit, decode_announcement])
@pytest.mark.parametrize(
    "content", [b"[" * 100_000, b'{"x":' * 100_000, b'"\xff"', b"", b"9" * 9999]
)
def test_pathological_bytes_are_rejected(decode: object, content: bytes) -> None:
    assert callable(decode)
    with pytest.raises(MalformedRequestError):
        decode(content)


@FUZZ
@given(field=st.sampled_from(sorted(SUBMIT)), value=JSON_VALUES)
def test_an_update_with_any_field_is_rejected_or_decoded_unchanged(
    field: str, value: object
) -> None:
    content = json.dumps({**SUBMIT, field: value}).encode()
    try:
        body = decode_submit(content)
    except MalformedRequestError:
        return
    if field != "configuration":
        assert getattr(body, field) == value
    assert body.order_id.isprintable()
    assert body.order_id


@FUZZ
@given(field=st.sampled_from([*RECORD, "status", "models", "held"]), value=JSON_VALUES)
def test_an_announcement_with_any_field_is_rejected_or_decoded_unchanged(
    field: str, value: object
) -> None:
    content = json.dumps({**ANNOUNCEMENT, "record": {**RECORD, field: value}}).encode()
    try:
        body = decode_announcement(content)
    except MalformedRequestError:
        return
    assert msgspec.to_builtins(body.record)[field] in (
        value,
        tuple(value or ()) if isinstance(value, list) else value,
    )
    assert body.record.url.startswith("http://")
    assert body.record.status.value in {"ready", "draining"}
