"""Short soaks of real processes; ``configuration_soak.py`` runs longer ones by hand."""

from pathlib import Path

import pytest
from configuration_soak import run_soak
from soak_checks import summary

SECONDS = 15.0
MACHINES = 3


@pytest.mark.parametrize("seed", range(4))
def test_no_rule_breaks_while_configurations_signals_restarts_and_crowds_overlap(
    seed: int, tmp_path: Path
) -> None:
    """Guards against requests, orders and processes that are lost around planned changes.

    Services and routes move, come and go; versions leave the range of 64 bits.
    """
    observations = run_soak(seed, SECONDS, MACHINES, tmp_path)
    assert observations.check() == []
    counts = summary(observations)
    assert counts["statuses"]["200"] > 100
    assert counts["acknowledged"] > 5
    assert counts["crowds"] > 0
