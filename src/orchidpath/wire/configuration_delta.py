"""Deltas of configurations, so that a small change of a large configuration is a small message.

Only the forward routes can be numerous; the rest of a configuration is always sent in full.
"""

from collections.abc import Iterable

import msgspec

from orchidpath.wire.configuration import Configuration, ForwardRoute


class ConfigurationDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Difference between a configuration and a later one.

    ``rest`` is the later configuration without its forward routes, ``routes`` are the forward
    routes that are new or changed, and ``removed_routes`` are the names of the removed ones.
    """

    rest: Configuration
    routes: tuple[ForwardRoute, ...] = ()
    removed_routes: tuple[str, ...] = ()


def configuration_delta(earlier: Configuration, later: Configuration) -> ConfigurationDelta:
    """Return the delta from ``earlier`` to ``later``; it ignores the order of forward routes."""
    before = {route.name: route for route in earlier.forward_routes}
    after = {route.name: route for route in later.forward_routes}
    changed = tuple(route for name, route in after.items() if before.get(name) != route)
    removed = tuple(name for name in before if name not in after)
    rest = msgspec.structs.replace(later, forward_routes=[])
    return ConfigurationDelta(rest=rest, routes=changed, removed_routes=removed)


def apply_configuration_delta(earlier: Configuration, delta: ConfigurationDelta) -> Configuration:
    """Return the configuration that results from applying a delta to its base."""
    routes = {route.name: route for route in earlier.forward_routes}
    for name in delta.removed_routes:
        routes.pop(name, None)
    routes.update({route.name: route for route in delta.routes})
    return msgspec.structs.replace(delta.rest, forward_routes=list(routes.values()))


def merge_configuration_deltas(deltas: Iterable[ConfigurationDelta]) -> ConfigurationDelta | None:
    """Return one delta with the effect of several, applied in order; None if there are none."""
    merged: ConfigurationDelta | None = None
    for delta in deltas:
        if merged is None:
            merged = delta
            continue
        routes = {route.name: route for route in merged.routes}
        for name in delta.removed_routes:
            routes.pop(name, None)
        routes.update({route.name: route for route in delta.routes})
        removed = {*merged.removed_routes, *delta.removed_routes} - routes.keys()
        merged = ConfigurationDelta(
            rest=delta.rest, routes=tuple(routes.values()), removed_routes=tuple(sorted(removed))
        )
    return merged
