"""When requests arrive: an open loop that never waits for answers.

Arrivals are a Poisson process whose rate follows the swings, made by thinning a process of the
highest rate, plus the bursts of crowds at their times.
"""

import random
from collections.abc import Iterator
from heapq import merge
from itertools import pairwise

import msgspec

from orchidpath.emulators.client.traffic_mix import RatePoint, Swing, TrafficMix, TrafficStream


class Arrival(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One request is due; ``at_seconds`` counts from the start of the run."""

    at_seconds: float
    stream: str


def multiplier_at(points: list[RatePoint], seconds: float) -> float:
    """Return the multiplier at a time, even between points and constant outside them.

    Parameters
    ----------
    points : list[RatePoint]
        In the order of their times.
    seconds : float
        Time since the start of the run.

    Returns
    -------
    float
        The multiplier.
    """
    if seconds <= points[0].at_seconds:
        return points[0].multiplier
    for earlier, later in pairwise(points):
        if seconds < later.at_seconds:
            share = (seconds - earlier.at_seconds) / (later.at_seconds - earlier.at_seconds)
            return earlier.multiplier + share * (later.multiplier - earlier.multiplier)
    return points[-1].multiplier


def swings_of(mix: TrafficMix, stream: TrafficStream) -> list[Swing]:
    """Return the swings that concern a stream."""
    return [swing for swing in mix.swings if not swing.streams or stream.name in swing.streams]


def rate_at(stream: TrafficStream, swings: list[Swing], seconds: float) -> float:
    """Return the rate of a stream at a time, in requests a second."""
    rate = stream.rate_per_second
    for swing in swings:
        rate *= multiplier_at(swing.points, seconds)
    return rate


def stream_arrivals(
    stream: TrafficStream, swings: list[Swing], for_seconds: float, generator: random.Random
) -> Iterator[Arrival]:
    """Yield the arrivals of one stream until ``for_seconds``."""
    highest_rate = stream.rate_per_second
    for swing in swings:
        highest_rate *= max(point.multiplier for point in swing.points)
    if highest_rate <= 0:
        return
    seconds = generator.expovariate(highest_rate)
    while seconds < for_seconds:
        if generator.random() * highest_rate < rate_at(stream, swings, seconds):
            yield Arrival(at_seconds=seconds, stream=stream.name)
        seconds += generator.expovariate(highest_rate)


def burst_arrivals(mix: TrafficMix, for_seconds: float) -> list[Arrival]:
    """Return the arrivals of all crowds before ``for_seconds``, in order."""
    arrivals = [
        Arrival(
            at_seconds=burst.at_seconds + burst.over_seconds * number / burst.requests,
            stream=burst.stream,
        )
        for burst in mix.bursts
        for number in range(burst.requests)
    ]
    return sorted(arrival for arrival in arrivals if arrival.at_seconds < for_seconds)


def all_arrivals(mix: TrafficMix, for_seconds: float, seed: int) -> Iterator[Arrival]:
    """Yield every arrival of a run in order; the same seed yields the same ones.

    Parameters
    ----------
    mix : TrafficMix
        The mix.
    for_seconds : float
        Length of the run.
    seed : int
        Seed of the randomness.

    Yields
    ------
    Arrival
        In the order of their times.
    """
    sources = [
        stream_arrivals(
            stream, swings_of(mix, stream), for_seconds, random.Random(f"{seed}:{stream.name}")
        )
        for stream in mix.streams
    ]
    yield from merge(*sources, burst_arrivals(mix, for_seconds))
