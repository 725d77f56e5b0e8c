"""Decoding and validation of traffic mixes."""

import pytest

from orchidpath.emulators.client.traffic_mix import TrafficMixError, decode_traffic_mix


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (b"{", "truncated"),
        (b'{"streams": [], "strems": 1}', "strems"),
        (b'{"streams": [{"name": "a", "kind": "model", "rate_per_second": 1}]}', "model"),
        (b'{"streams": [], "bursts": [{"stream":"x","at_seconds":1,"requests":1}]}', "'x'"),
        (b'{"streams": [], "swings": [{"points": []}]}', "points"),
    ],
)
def test_an_invalid_mix_is_reported(content: bytes, message: str) -> None:
    with pytest.raises(TrafficMixError, match=message):
        decode_traffic_mix(content, is_toml=False)


def test_a_toml_mix_is_decoded() -> None:
    content = b'[[streams]]\nname="s"\nkind="plain"\nrate_per_second=3\npath="/stock/{}"\n'
    assert decode_traffic_mix(content, is_toml=True).streams[0].path == "/stock/{}"
