"""Configurations of a soak: random moves, additions and removals of routes and services."""

import json
from random import Random
from typing import Any, NamedTuple

HOST = "shop.example"
PLAIN_SERVICES = ("plain-0", "plain-1", "plain-2")
MODEL_SERVICES = ("model-0", "model-1", "model-2")
PLAIN_ROUTES = ("stock", "boards")
MODEL_ROUTES = ("advice", "hints")
ROUTES = (*PLAIN_ROUTES, *MODEL_ROUTES)

LARGE_STEP = 10**20
"""Step with which a version leaves the range of 64 bits."""


class Update(NamedTuple):
    """A call that changes the configuration: its method, body and the resulting document."""

    method: str
    body: bytes
    version: int
    base: int
    document: dict[str, Any]

    @property
    def routes(self) -> frozenset[str]:
        """Names of the routes of the resulting document."""
        return frozenset(route["name"] for route in self.document["routes"])


def service_entry(name: str) -> dict[str, Any]:
    """Return a service of a document."""
    entry: dict[str, Any] = {"name": name, "health_path": "/healthz", "max_connections": 300}
    if name in MODEL_SERVICES:
        entry["engine"] = {
            "slots": 64,
            "kv_capacity_tokens": 400_000,
            "kv_token_bytes": 18_432,
            "handle_ttl_s": 5.0,
            "stage_switch_s": 2.3,
            "models": [{"name": "m"}],
        }
    return entry


def route_entry(name: str, random: Random) -> dict[str, Any]:
    """Return a route to one service, or split between two, chosen at random."""
    is_model = name in MODEL_ROUTES
    targets = random.sample(
        MODEL_SERVICES if is_model else PLAIN_SERVICES, random.choice((1, 1, 2))
    )
    entry: dict[str, Any] = {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": "streaming" if is_model else "unsafe",
        "timeout_ms": 4000,
        "target_latency_ms": 600,
        "priority": random.randrange(3),
        "max_attempts": random.choice((1, 2, 3)),
        "sticky_sessions": is_model,
        "resumable": False,
    }
    if len(targets) == 1:
        return {**entry, "service": targets[0]}
    split = [{"service": target, "weight": random.randint(1, 9)} for target in targets]
    return {**entry, "traffic_split": split}


def targets_of(route: dict[str, Any]) -> set[str]:
    """Return the names of the services of a route."""
    if "service" in route:
        return {route["service"]}
    return {target["service"] for target in route["traffic_split"]}


def content_of(document: dict[str, Any]) -> dict[str, Any]:
    """Return a document without the order of its routes and services."""
    return {
        "version": document["version"],
        "routes": {route["name"]: route for route in document["routes"]},
        "services": {service["name"]: service for service in document["services"]},
    }


def _document(version: int, routes: list[dict[str, Any]], services: set[str]) -> dict[str, Any]:
    return {
        "version": version,
        "routes": routes,
        "services": [service_entry(name) for name in sorted(services)],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 65_536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }


class ConfigurationSource:
    """Produces updates, each based on the newest document that was acknowledged."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.document: dict[str, Any] = {"version": 0, "routes": [], "services": []}

    def first(self) -> Update:
        """Return the first configuration, with every route."""
        routes = [route_entry(name, self._random) for name in ROUTES]
        services = set().union(*(targets_of(route) for route in routes))
        return self._replacement(2, routes, services)

    def next(self) -> Update:
        """Return a random change of the acknowledged document, by ``PUT`` or ``PATCH``."""
        random = self._random
        step = LARGE_STEP if random.random() < 0.1 else random.randint(1, 50)
        version = self.document["version"] + step
        routes = {route["name"]: route for route in self.document["routes"]}
        for name in random.sample(ROUTES, random.randint(1, 3)):
            if name in routes and len(routes) > 1 and random.random() < 0.3:
                del routes[name]
            else:
                routes[name] = route_entry(name, random)
        # A service that no route names leaves the list, in most changes at once.
        named = set().union(*(targets_of(route) for route in routes.values()))
        listed = {service["name"] for service in self.document["services"]}
        kept = {name for name in listed - named if random.random() < 0.2}
        if random.random() < 0.5:
            return self._replacement(version, list(routes.values()), named | kept)
        return self._change(version, routes, named | kept)

    def accepted(self, update: Update) -> None:
        """Record that an update was acknowledged."""
        self.document = update.document

    def _replacement(
        self, version: int, routes: list[dict[str, Any]], services: set[str]
    ) -> Update:
        document = _document(version, routes, services)
        body = json.dumps(document).encode()
        return Update("PUT", body, version, self.document["version"], document)

    def _change(
        self, version: int, routes: dict[str, dict[str, Any]], services: set[str]
    ) -> Update:
        before = {route["name"]: route for route in self.document["routes"]}
        listed = {service["name"] for service in self.document["services"]}
        change = {
            "version": version,
            "upsert": {
                "routes": [route for name, route in routes.items() if before.get(name) != route],
                "services": [service_entry(name) for name in sorted(services - listed)],
            },
            "remove": {
                "routes": sorted(before.keys() - routes.keys()),
                "services": sorted(listed - services),
            },
        }
        document = _document(version, list(routes.values()), services)
        body = json.dumps(change).encode()
        return Update("PATCH", body, version, self.document["version"], document)
