"""Checks of the forward routes of a configuration and of its limits for client connections."""

from collections.abc import Hashable, Iterator

from orchidpath.state.configuration_checks.names import name_problems
from orchidpath.state.configuration_checks.ranges import range_problems
from orchidpath.state.configuration_checks.validation_problems import Problem
from orchidpath.wire.configuration import Configuration, ForwardRoute


def forward_problems(configuration: Configuration, unreadable: frozenset[str]) -> list[Problem]:
    """Return every problem of the forward routes, the edge limits and the label.

    Parameters
    ----------
    configuration
        The configuration, with placeholders at unreadable paths.
    unreadable
        Paths of values that could not be decoded; checks that depend on them are skipped.
    """
    problems = range_problems(configuration.edge_limits, "edge_limits")
    services = {service.name for service in configuration.services}
    services_known = not {"services", ""} & unreadable
    names: dict[Hashable, int] = {}
    matches: dict[Hashable, int] = {}
    for position, route in enumerate(configuration.forward_routes):
        path = f"forward_routes[{position}]"
        problems += range_problems(route, path)
        problems += name_problems(route.name, f"{path}.name")
        problems += _match_problems(route, path)
        problems += _service_problems(route, path, services if services_known else None)
        problems += _repetition_problems(names, route.name, position, f"{path}.name")
        match = (route.host.lower(), route.path_prefix)
        problems += _repetition_problems(matches, match, position, f"{path}.path_prefix")
    if configuration.label_number < 0:
        problems.append(Problem(path="label", message="must not be negative"))
    return problems


def _match_problems(route: ForwardRoute, path: str) -> Iterator[Problem]:
    if not route.host or not route.host.isprintable() or " " in route.host:
        yield Problem(
            path=f"{path}.host",
            message="must be a host name of printable characters without spaces",
        )
    prefix = route.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        message = "must begin and end with a slash"
        yield Problem(path=f"{path}.path_prefix", message=message)


def _service_problems(
    route: ForwardRoute, path: str, services: set[str] | None
) -> Iterator[Problem]:
    if sum(target.weight for target in route.services) <= 0:
        yield Problem(
            path=f"{path}.services", message="must include a service whose weight is above 0"
        )
    for position, target in enumerate(route.services):
        target_path = f"{path}.services[{position}]"
        yield from range_problems(target, target_path)
        if services is not None and target.service not in services:
            message = f"there is no service {target.service!r}"
            yield Problem(path=f"{target_path}.service", message=message)


def _repetition_problems(
    first: dict[Hashable, int], key: Hashable, position: int, path: str
) -> Iterator[Problem]:
    """Return a problem if an earlier route already has the value ``key``."""
    earlier = first.setdefault(key, position)
    if earlier != position:
        yield Problem(path=path, message=f"repeats forward_routes[{earlier}]: {key!r}")
