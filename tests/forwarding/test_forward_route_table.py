"""Lookup of forward routes by host and longest path prefix."""

import pytest

from orchidpath.forwarding.forward_route_table import ForwardTable
from orchidpath.wire.configuration import Configuration, ForwardRoute, WeightedService


def route(name: str, host: str, prefix: str, *services: WeightedService) -> ForwardRoute:
    return ForwardRoute(
        name=name,
        host=host,
        path_prefix=prefix,
        services=list(services) or [WeightedService(service="a")],
    )


TABLE = ForwardTable(
    Configuration(
        forward_routes=[
            route("root", "one.example", "/"),
            route("wine", "one.example", "/wine/"),
            route("red", "one.example", "/wine/red/"),
            route("other", "two.example", "/wine/"),
        ]
    )
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("one.example", "/wine/red/1", "red"),
        ("one.example", "/wine/white", "wine"),
        ("ONE.example:8080", "/wine/", "wine"),
        ("one.example", "/wine", "root"),
        ("one.example", "/winery/red/", "root"),
        ("two.example", "/wine/red/", "other"),
        ("two.example", "/", None),
        ("three.example", "/wine/", None),
        ("", "/wine/", None),
        ("one.example", "*", None),
    ],
)
def test_the_longest_prefix_of_the_host_matches(host: str, path: str, name: str | None) -> None:
    found = TABLE.match(host, path)
    assert (found.name if found else None) == name
