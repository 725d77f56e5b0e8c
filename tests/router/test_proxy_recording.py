"""The proxy path does in every recorded run what it did when the recording was written."""

import json

import pytest
from proxy_recording import RECORDING, SEEDS, record

RECORDED = json.loads(RECORDING.read_text())


def test_every_seed_is_recorded() -> None:
    assert len(RECORDED) == len(SEEDS)


@pytest.mark.parametrize("first_seed", SEEDS[::50])
def test_a_run_does_what_was_recorded(first_seed: int) -> None:
    for seed in SEEDS[first_seed : first_seed + 50]:
        assert record(seed) == RECORDED[seed], f"seed {seed}"
