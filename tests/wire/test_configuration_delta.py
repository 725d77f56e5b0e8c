"""Tests of configuration deltas, applied one by one and merged, and of compression."""

import itertools
from random import Random

import pytest

from orchidpath.wire.compression import CompressionError, compressed, decompressed
from orchidpath.wire.configuration import Configuration, ForwardRoute, WeightedService
from orchidpath.wire.configuration_delta import (
    apply_configuration_delta,
    configuration_delta,
    merge_configuration_deltas,
)


def configuration(random: Random, label: int) -> Configuration:
    names = random.sample(range(12), random.randint(0, 10))
    routes = [
        ForwardRoute(
            name=f"r{name}",
            host="h",
            path_prefix=f"/{name}/",
            services=[WeightedService(service="s")],
            timeout_seconds=float(random.randint(1, 3)),
        )
        for name in names
    ]
    return Configuration(label=label, forward_routes=routes)


def content(value: Configuration) -> tuple[int, dict[str, ForwardRoute]]:
    return value.label_number, {route.name: route for route in value.forward_routes}


@pytest.mark.parametrize("seed", range(20))
def test_a_chain_of_changes_alone_and_merged(seed: int) -> None:
    random = Random(seed)
    chain = [configuration(random, label) for label in range(6)]
    deltas = [configuration_delta(earlier, later) for earlier, later in itertools.pairwise(chain)]
    current = chain[0]
    for delta, later in zip(deltas, chain[1:], strict=True):
        current = apply_configuration_delta(current, delta)
        assert content(current) == content(later)
    merged = merge_configuration_deltas(deltas)
    assert merged is not None
    assert content(apply_configuration_delta(chain[0], merged)) == content(chain[-1])


def test_no_deltas_merge_into_none() -> None:
    assert merge_configuration_deltas([]) is None


def test_a_small_change_of_a_large_configuration_is_small() -> None:
    routes = [
        ForwardRoute(
            name=f"r{number}",
            host="h",
            path_prefix=f"/{number}/",
            services=[WeightedService(service="s")],
        )
        for number in range(1500)
    ]
    before = Configuration(forward_routes=routes)
    after = Configuration(forward_routes=routes[1:])
    delta = configuration_delta(before, after)
    assert delta.routes == ()
    assert delta.removed_routes == ("r0",)


def test_values_are_decoded_as_they_were_encoded() -> None:
    for size in (0, 1, 100, 5_000, 300_000):
        value = b"\x85" + b"abc" * size
        assert decompressed(compressed(value), 10_000_000) == value


def test_damaged_and_oversized_values_are_rejected() -> None:
    packed = compressed(b"\x85" + b"a" * 100_000)
    with pytest.raises(CompressionError):
        decompressed(packed, 1000)
    with pytest.raises(CompressionError):
        decompressed(packed[:-5], 10_000_000)
    with pytest.raises(CompressionError):
        decompressed(packed + b"x", 10_000_000)
    with pytest.raises(CompressionError):
        decompressed(b"\x78" + packed[5:], 10_000_000)
