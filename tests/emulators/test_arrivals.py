"""Arrival times of emulated traffic: rate variations, bursts and reproducibility."""

from orchidpath.emulators.client.arrivals import all_arrivals, multiplier_at
from orchidpath.emulators.client.traffic_mix import (
    RatePoint,
    RateVariation,
    RequestBurst,
    TrafficKind,
    TrafficMix,
    TrafficStream,
)

STREAM = TrafficStream(name="wine", kind=TrafficKind.MODEL, rate_per_second=50.0, model="wine")


def test_arrivals_follow_oscillation_and_bursts_and_are_reproducible() -> None:
    points = [RatePoint(at_seconds=0, multiplier=0), RatePoint(at_seconds=100, multiplier=2)]
    assert [multiplier_at(points, at) for at in (-1, 0, 50, 100, 200)] == [0, 0, 1, 2, 2]
    mix = TrafficMix(
        streams=[STREAM],
        swings=[RateVariation(points=points)],
        bursts=[RequestBurst(stream="wine", at_seconds=1.0, requests=500)],
    )
    arrivals = list(all_arrivals(mix, 100.0, seed=7))
    times = [arrival.at_seconds for arrival in arrivals]
    assert times == sorted(times)
    assert sum(1.0 <= at < 1.1 for at in times) >= 500
    assert 4500 < len(times) - 500 < 5500
    assert sum(at < 50 for at in times) - 500 < len(times) / 3
    assert arrivals == list(all_arrivals(mix, 100.0, seed=7))
