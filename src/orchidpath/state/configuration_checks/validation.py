"""Validation of a complete configuration, which reports every problem with its path.

A configuration is validated before it is proposed to the replicated log. The state machine applies
committed configurations without validating them again, so that replicas of different versions,
whose rules may differ, still reach the same state.
"""

from collections.abc import Iterable

import msgspec

from orchidpath.state.configuration_checks.forward_validation import forward_problems
from orchidpath.state.configuration_checks.names import name_problems
from orchidpath.state.configuration_checks.path_patterns import (
    PatternIndex,
    pattern_problem,
    pattern_segments,
)
from orchidpath.state.configuration_checks.ranges import range_problems
from orchidpath.state.configuration_checks.structure import read_structure
from orchidpath.state.configuration_checks.validation_problems import (
    InvalidConfigurationError,
    Problem,
)
from orchidpath.wire.configuration import Configuration, Route, Service, ServiceKind

MAX_PATH_SEGMENTS = 64
"""Maximum number of segments in the path of a plain route."""

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
"""HTTP methods that a plain route may match."""

__all__ = ["InvalidConfigurationError", "Problem", "parse_configuration", "validate"]


def validate(configuration: Configuration) -> list[Problem]:
    """Return every semantic problem of a configuration, sorted by path; empty if it is valid."""
    return sorted(_find_problems(configuration, frozenset()))


def parse_configuration(raw: bytes) -> Configuration:
    """Return the configuration in a JSON document.

    Parameters
    ----------
    raw
        The document as it was received.

    Raises
    ------
    InvalidConfigurationError
        The document is not a valid configuration; the error lists every problem found.
    """
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        problem = Problem(path="", message=f"is not a JSON document: {error}")
        raise InvalidConfigurationError([problem]) from error
    structure = read_structure(value)
    semantic_problems = _find_problems(structure.configuration, structure.unreadable_paths)
    problems = structure.problems + [
        problem for problem in semantic_problems if problem.path not in structure.unreadable_paths
    ]
    if problems:
        raise InvalidConfigurationError(sorted(problems))
    return structure.configuration


def _find_problems(configuration: Configuration, unreadable: frozenset[str]) -> list[Problem]:
    """Return the semantic problems, without checks that depend on unreadable values."""
    problems: list[Problem] = []
    for position, service in enumerate(configuration.services):
        path = f"services[{position}]"
        problems += range_problems(service, path)
        problems += range_problems(service.engine, f"{path}.engine")
        problems += _service_problems(service, path, kind_known=f"{path}.kind" not in unreadable)
    for position, route in enumerate(configuration.routes):
        path = f"routes[{position}]"
        problems += range_problems(route, path)
        problems += name_problems(route.name, f"{path}.name")
    problems += _duplicates("services", [service.name for service in configuration.services])
    problems += _duplicates("routes", [route.name for route in configuration.routes])
    problems += _reference_problems(configuration, unreadable)
    problems += _model_ambiguities(configuration.routes)
    problems += _path_ambiguities(configuration.routes)
    problems += _policy_problems(configuration)
    problems += forward_problems(configuration, unreadable)
    return problems


def _duplicates(list_path: str, names: list[str], field: str = ".name") -> list[Problem]:
    """Return a problem for each name that repeats an earlier name of the list."""
    first: dict[str, int] = {}
    problems = []
    for position, name in enumerate(names):
        earlier = first.setdefault(name, position)
        if name and earlier != position:
            path = f"{list_path}[{position}]{field}"
            message = f"repeats {list_path}[{earlier}]{field}: {name!r}"
            problems.append(Problem(path=path, message=message))
    return problems


def _service_problems(service: Service, path: str, kind_known: bool) -> list[Problem]:
    problems = name_problems(service.name, f"{path}.name")
    for position, model in enumerate(service.models):
        problems += name_problems(model, f"{path}.models[{position}]")
    problems += _duplicates(f"{path}.models", service.models, field="")
    problems += _count_problems(service, path)
    if not kind_known:
        return problems
    if service.kind is ServiceKind.MODEL and not service.models:
        problems.append(
            Problem(
                path=f"{path}.models",
                message="must list at least one model, because the service is a model service",
            )
        )
    if service.kind is ServiceKind.PLAIN:
        problems += _plain_service_problems(service, path)
    return problems


def _count_problems(service: Service, path: str) -> list[Problem]:
    """Return a problem if only one stage has a desired count: requests need workers of both."""
    message = "must be at least 1 if the count of the other stage is at least 1"
    if service.prefill_workers == 0 < service.decode_workers:
        return [Problem(path=f"{path}.prefill_workers", message=message)]
    if service.decode_workers == 0 < service.prefill_workers:
        return [Problem(path=f"{path}.decode_workers", message=message)]
    return []


def _plain_service_problems(service: Service, path: str) -> list[Problem]:
    message = "must be left out of a plain service"
    fields = (
        ("models", bool(service.models)),
        ("prefill_workers", service.prefill_workers > 0),
        ("decode_workers", service.decode_workers > 0),
    )
    return [Problem(path=f"{path}.{name}", message=message) for name, used in fields if used]


def _reference_problems(configuration: Configuration, unreadable: frozenset[str]) -> list[Problem]:
    """Return the problems of routes that name an unknown service or do not match its kind."""
    if "services" in unreadable or "" in unreadable:
        return []
    positions = {service.name: index for index, service in enumerate(configuration.services)}
    problems: list[Problem] = []
    for position, route in enumerate(configuration.routes):
        path = f"routes[{position}]"
        if route.service not in positions:
            message = f"there is no service {route.service!r}"
            problems.append(Problem(path=f"{path}.service", message=message))
            continue
        service_path = f"services[{positions[route.service]}]"
        if f"{service_path}.kind" in unreadable:
            continue
        service = configuration.services[positions[route.service]]
        if service.kind is ServiceKind.MODEL:
            models_known = not any(item.startswith(f"{service_path}.models") for item in unreadable)
            problems += _model_route_problems(route, path, service if models_known else None)
        else:
            problems += _plain_route_problems(route, path)
    return problems


def _model_route_problems(route: Route, path: str, service: Service | None) -> list[Problem]:
    """Return the problems of a route to a model service.

    ``service`` is None if the models of the service could not be decoded.
    """
    problems = [
        Problem(path=f"{path}.{name}", message="must be left out of a route to a model service")
        for name in ("method", "path")
        if getattr(route, name)
    ]
    if not route.model:
        problems.append(
            Problem(
                path=f"{path}.model", message="must be set, because the service is a model service"
            )
        )
    elif service is not None and route.model not in service.models:
        message = f"the service {service.name!r} does not serve {route.model!r}"
        problems.append(Problem(path=f"{path}.model", message=message))
    return problems


def _plain_route_problems(route: Route, path: str) -> list[Problem]:
    problems = []
    if route.model:
        message = "must be left out of a route to a plain service"
        problems.append(Problem(path=f"{path}.model", message=message))
    if route.repeat_prompt_read:
        message = "must be false for a route to a plain service"
        problems.append(Problem(path=f"{path}.repeat_prompt_read", message=message))
    if route.method not in METHODS:
        message = f"must be one of {', '.join(METHODS)}"
        problems.append(Problem(path=f"{path}.method", message=message))
    message = pattern_problem(route.path)
    if not message and route.path.count("/") > MAX_PATH_SEGMENTS:
        message = f"has more than {MAX_PATH_SEGMENTS} segments"
    if message:
        problems.append(Problem(path=f"{path}.path", message=message))
    return problems


def _model_ambiguities(routes: Iterable[Route]) -> list[Problem]:
    """Return a problem for each route whose model an earlier route already matches."""
    return _duplicates("routes", [route.model for route in routes], field=".model")


def _path_ambiguities(routes: Iterable[Route]) -> list[Problem]:
    """Return a problem for each plain route that can match the same request as an earlier route."""
    indexes: dict[str, PatternIndex] = {}
    problems = []
    for position, route in enumerate(routes):
        is_valid = route.method in METHODS and not pattern_problem(route.path)
        if not is_valid or route.path.count("/") > MAX_PATH_SEGMENTS:
            continue
        index = indexes.setdefault(route.method, PatternIndex())
        segments = pattern_segments(route.path)
        earlier = index.overlapping(segments)
        if earlier is not None:
            message = f"can match the same request as routes[{earlier}]"
            problems.append(Problem(path=f"routes[{position}].path", message=message))
        index.add(segments, position)
    return problems


def _policy_problems(configuration: Configuration) -> list[Problem]:
    circuit = configuration.circuit
    retry = configuration.retry
    problems = range_problems(circuit, "circuit")
    problems += range_problems(retry, "retry")
    problems += range_problems(configuration.admission, "admission")
    if circuit.max_cooldown_seconds < circuit.cooldown_seconds:
        message = "must not be below cooldown_seconds"
        problems.append(Problem(path="circuit.max_cooldown_seconds", message=message))
    if retry.backoff_cap_seconds < retry.backoff_base_seconds:
        message = "must not be below backoff_base_seconds"
        problems.append(Problem(path="retry.backoff_cap_seconds", message=message))
    return problems
