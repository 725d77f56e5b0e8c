"""Encoding and decoding of the lines of a decision log."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.routing.decision_log import (
    MAX_LINE_BYTES,
    DamagedLineError,
    DecidedBy,
    DecisionLine,
    DroppedLine,
    LogLine,
    PolicyLine,
    ReportLine,
    decode_line,
    encode_line,
)
from orchidpath.wire.configuration import CircuitPolicy
from orchidpath.wire.messages import AttemptEffect, CandidateState, Choice, StageCandidates
from orchidpath.wire.records import Stage

LINES: list[LogLine] = [
    PolicyLine(
        time="2030-01-01T00:00:00+00:00",
        at_seconds=1.0,
        router_id="router-1",
        incarnation="a",
        configuration_version=3,
        circuit=CircuitPolicy(allowed_fails=2),
        load_bound_factor=1.5,
    ),
    DecisionLine(
        time="2030-01-01T00:00:01+00:00",
        at_seconds=2.0,
        request_id="r",
        attempt_id="r-1",
        service="stock",
        configuration_version=3,
        per_stage=(StageCandidates(stage=Stage.PLAIN, candidates=("s1", "s2"), tried=("s2",)),),
        decided_by=DecidedBy.LEADER,
        term=4,
        states=(CandidateState(worker_id="s1", status="available", health=0.5, in_flight=2),),
        choices=(Choice(stage=Stage.PLAIN, worker_id="s1", probe_generation=7),),
    ),
    ReportLine(
        time="2030-01-01T00:00:02+00:00",
        at_seconds=3.0,
        request_id="r",
        attempt_id="r-1",
        worker_id="s1",
        stage=Stage.PLAIN,
        effect=AttemptEffect.TRANSIENT,
        reason="timed out",
        latency_seconds=0.5,
    ),
    DroppedLine(count=5),
]

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


@pytest.mark.parametrize("line", LINES, ids=lambda line: type(line).__name__)
def test_a_line_is_decoded_as_it_was_encoded(line: LogLine) -> None:
    encoded = encode_line(line)
    assert encoded.count(b"\n") == 1
    assert encoded.endswith(b"\n")
    assert decode_line(encoded) == line


@settings(deadline=None, derandomize=True)
@given(st.binary(max_size=300))
def test_random_bytes_are_reported_as_damage(noise: bytes) -> None:
    with pytest.raises(DamagedLineError):
        decode_line(noise)


@settings(deadline=None, derandomize=True)
@given(line=st.sampled_from(LINES), cut=st.integers(1, 60))
def test_a_truncated_line_is_reported_as_damage(line: LogLine, cut: int) -> None:
    with pytest.raises(DamagedLineError):
        decode_line(encode_line(line).rstrip()[:-cut])


@settings(deadline=None, derandomize=True)
@given(line=st.sampled_from(LINES), value=JSON_VALUES, data=st.data())
def test_a_wrong_value_is_reported_as_damage_or_decoded_unchanged(
    line: LogLine, value: object, data: st.DataObject
) -> None:
    table = json.loads(encode_line(line))
    field = data.draw(st.sampled_from(sorted(table)))
    table[field] = value
    try:
        decoded = decode_line(json.dumps(table).encode())
    except DamagedLineError:
        return
    if field == "type":
        return
    info = next(info for info in msgspec.structs.fields(type(decoded)) if info.encode_name == field)
    assert getattr(decoded, info.name) == msgspec.convert(value, info.type)


def test_deep_nesting_and_length_are_reported_as_damage() -> None:
    with pytest.raises(DamagedLineError, match="nested"):
        decode_line(b'{"type":"dropped","count":1,"x":' + b"[" * 100_000)
    with pytest.raises(DamagedLineError, match="longer"):
        decode_line(b" " * (MAX_LINE_BYTES + 1))
