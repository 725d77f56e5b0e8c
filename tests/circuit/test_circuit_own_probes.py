"""Probes that are run by a router's own attempts."""

import pytest

from orchidpath.circuit.in_flight import InFlightRegister, Registration
from orchidpath.circuit.own_probes import OwnProbes


@pytest.fixture
def in_flight() -> InFlightRegister:
    """Return a register in which attempt "a" occupies worker "w" for ten seconds."""
    register = InFlightRegister(10.0)
    register.register("r", "a", (Registration(worker_id="w", generation=3),), 0.0)
    return register


def test_a_probe_is_in_flight_until_its_attempt_expires(in_flight: InFlightRegister) -> None:
    probes = OwnProbes(in_flight)
    assert not probes.is_in_flight("w")
    probes.start("w", "a", 3)
    assert probes.is_in_flight("w")
    in_flight.expire(10.0)
    assert not probes.is_in_flight("w")


def test_only_the_attempt_that_runs_a_probe_ends_it(in_flight: InFlightRegister) -> None:
    probes = OwnProbes(in_flight)
    probes.start("w", "a", 3)
    assert probes.end("w", "other") is None
    assert probes.end("other", "a") is None
    assert probes.end("w", "a") == 3
    assert probes.end("w", "a") is None
