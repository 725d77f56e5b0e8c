"""The route table: matching of requests to routes."""

import pytest

from orchidpath.routing.route_table import RouteTable
from orchidpath.wire.configuration import Configuration, Route, Service, ServiceKind

WINE = Service(name="wine", kind=ServiceKind.MODEL, models=["wine-1"])
STOCK = Service(name="stock", kind=ServiceKind.PLAIN)


def plain(name: str, method: str, path: str) -> Route:
    return Route(name=name, service="stock", method=method, path=path)


TABLE = RouteTable(
    Configuration(
        services=[WINE, STOCK],
        routes=[
            Route(name="chat", service="wine", model="wine-1"),
            Route(name="chat-again", service="wine", model="wine-1"),
            Route(name="lost", service="missing", model="wine-2"),
            Route(name="wrong-kind", service="stock", model="wine-3"),
            plain("item", "GET", "/stock/{item}"),
            plain("summary", "GET", "/stock/summary"),
            plain("item-price", "GET", "/stock/{item}/price"),
            plain("summary-age", "GET", "/stock/summary/age"),
            plain("order", "post", "/stock/{item}"),
            plain("root", "GET", "/"),
        ],
    )
)


@pytest.mark.parametrize(
    ("model", "expected"),
    [("wine-1", "chat"), ("wine-2", None), ("wine-3", None), ("", None), ("WINE-1", None)],
)
def test_chat_completions_match_by_model(model: str, expected: str | None) -> None:
    match = TABLE.match_chat(model)
    assert (match.route.name if match else None) == expected
    assert match is None or match.service == WINE


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/stock/17", "item"),
        ("get", "/stock/17?x=/y", "item"),
        ("GET", "/stock/summary", "summary"),
        ("GET", "/stock/summary/price", "item-price"),
        ("GET", "/stock/summary/age", "summary-age"),
        ("GET", "/stock/17/age", None),
        ("POST", "/stock/summary", "order"),
        ("GET", "/", "root"),
        ("GET", "/stock", None),
        ("GET", "/stock/", None),
        ("GET", "/stock/17/", None),
        ("PUT", "/stock/17", None),
        ("GET", "/stock/{item}", "item"),
    ],
)
def test_plain_requests_match_by_method_and_path(
    method: str, path: str, expected: str | None
) -> None:
    match = TABLE.match_plain(method, path)
    assert (match.route.name if match else None) == expected


def test_literal_segments_take_precedence_in_any_order_of_the_routes() -> None:
    routes = [plain("literal", "GET", "/a/b"), plain("template", "GET", "/{x}/b")]
    for order in (routes, routes[::-1]):
        match = RouteTable(Configuration(services=[STOCK], routes=order)).match_plain("GET", "/a/b")
        assert match is not None
        assert match.route.name == "literal"
