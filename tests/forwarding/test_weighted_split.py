"""Division of a route's requests among its services by weight."""

from collections import Counter
from random import Random

import pytest

from orchidpath.forwarding.split import MAX_ROUTES, WeightedSplit
from orchidpath.wire.configuration import ForwardRoute, WeightedService


def route(name: str, **weights: int) -> ForwardRoute:
    services = [
        WeightedService(service=service, weight=weight) for service, weight in weights.items()
    ]
    return ForwardRoute(name=name, host="h", path_prefix="/", services=services)


SPLIT = route("split", a=90, b=10, never=0)


@pytest.mark.parametrize("seed", range(40))
def test_one_router_follows_the_weights_within_a_few_requests(seed: int) -> None:
    split = WeightedSplit(Random(seed))
    chosen = Counter(split.next_service(SPLIT) for _ in range(200))
    assert set(chosen) == {"a", "b"}
    assert abs(chosen["b"] - 20) <= 2


@pytest.mark.parametrize("seed", range(20))
def test_many_routers_with_few_requests_follow_the_weights_together(seed: int) -> None:
    random = Random(seed)
    routers = [WeightedSplit(random) for _ in range(77)]
    chosen = Counter(router.next_service(SPLIT) for router in routers for _ in range(5))
    assert abs(chosen["b"] / (77 * 5) - 0.1) < 0.05


def test_each_route_has_its_own_sequence_and_a_single_service_needs_none() -> None:
    split = WeightedSplit(Random(1))
    first = [split.next_service(SPLIT) for _ in range(50)]
    other = WeightedSplit(Random(1))
    interleaved = []
    for _ in range(50):
        interleaved.append(other.next_service(SPLIT))
        other.next_service(route("another", x=1, y=1))
        assert other.next_service(route("single", z=1)) == "z"
    assert interleaved == first


def test_changed_weights_apply_to_the_next_request() -> None:
    split = WeightedSplit(Random(1))
    for _ in range(30):
        split.next_service(SPLIT)
    changed = route("split", a=0, b=10)
    assert {split.next_service(changed) for _ in range(30)} == {"b"}


def test_memory_for_routes_is_bounded() -> None:
    split = WeightedSplit(Random(1))
    for number in range(2 * MAX_ROUTES):
        split.next_service(route(f"r{number}", a=1, b=1))
    assert len(split._positions) <= MAX_ROUTES
