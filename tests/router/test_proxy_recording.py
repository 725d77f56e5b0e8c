"""Each seeded run of the proxy path has the externally visible actions in the recording."""

import json

import pytest
from proxy_recording import RECORDING, SEEDS, record

RECORDED = json.loads(RECORDING.read_text())


def test_every_seed_is_recorded() -> None:
    assert len(RECORDED) == len(SEEDS)


@pytest.mark.parametrize("first_seed", SEEDS[::50])
def test_each_run_matches_the_recording(first_seed: int) -> None:
    for seed in SEEDS[first_seed : first_seed + 50]:
        assert record(seed) == RECORDED[seed], f"seed {seed}"
