"""Finds the route of a request: by model for chat completions, by method and path otherwise.

Built once for each configuration. Routes that clash are rejected before a configuration is accepted
(:mod:`orchidpath.state.configuration_checks.validation`); should two still match, the first one
listed wins on every router alike.
"""

import msgspec

from orchidpath.wire.configuration import Configuration, Route, Service, ServiceKind


class RouteMatch(msgspec.Struct, frozen=True, kw_only=True):
    """The route of a request and the service that it leads to."""

    route: Route
    service: Service


class _PathNode:
    """One segment of the tree of path templates."""

    __slots__ = ("literals", "match", "template")

    def __init__(self) -> None:
        self.literals: dict[str, _PathNode] = {}
        self.template: _PathNode | None = None
        self.match: RouteMatch | None = None

    def child(self, segment: str) -> "_PathNode":
        """Return the node of a segment of a route's path, made when missing."""
        if not is_template_segment(segment):
            return self.literals.setdefault(segment, _PathNode())
        if self.template is None:
            self.template = _PathNode()
        return self.template

    def find(self, segments: tuple[str, ...]) -> RouteMatch | None:
        """Match the rest of a path; a literal segment is tried before a template."""
        if not segments:
            return self.match
        head, rest = segments[0], segments[1:]
        literal = self.literals.get(head)
        found = literal.find(rest) if literal is not None else None
        if found is None and self.template is not None and head:
            found = self.template.find(rest)
        return found


class RouteTable:
    """The routes of one configuration, indexed.

    Parameters
    ----------
    configuration : Configuration
        A validated configuration. Routes to a service that it lacks, or to one of the other kind,
        match nothing.
    """

    def __init__(self, configuration: Configuration):
        services = {service.name: service for service in configuration.services}
        self._by_model: dict[str, RouteMatch] = {}
        self._by_method: dict[str, _PathNode] = {}
        for route in configuration.routes:
            service = services.get(route.service)
            if service is not None:
                self._add(RouteMatch(route=route, service=service))

    def match_chat(self, model: str) -> RouteMatch | None:
        """Find the route of a chat completion.

        Parameters
        ----------
        model : str
            The model that the caller names.

        Returns
        -------
        RouteMatch or None
            None when no route takes this model.
        """
        return self._by_model.get(model)

    def match_plain(self, method: str, path: str) -> RouteMatch | None:
        """Find the route of a plain request.

        Parameters
        ----------
        method : str
            HTTP method, in any case.
        path : str
            Path of the request; a query string is ignored.

        Returns
        -------
        RouteMatch or None
            None when no route takes this method and path.
        """
        root = self._by_method.get(method.upper())
        if root is None:
            return None
        return root.find(split_path(path))

    def _add(self, match: RouteMatch) -> None:
        route = match.route
        if match.service.kind is ServiceKind.MODEL:
            if route.model:
                self._by_model.setdefault(route.model, match)
            return
        if not (route.method and route.path):
            return
        node = self._by_method.setdefault(route.method.upper(), _PathNode())
        for segment in split_path(route.path):
            node = node.child(segment)
        if node.match is None:
            node.match = match


def is_template_segment(segment: str) -> bool:
    """Say whether a segment of a route's path matches any value.

    Parameters
    ----------
    segment : str
        One segment, without slashes.

    Returns
    -------
    bool
        True for a segment in braces.
    """
    return segment.startswith("{") and segment.endswith("}")


def split_path(path: str) -> tuple[str, ...]:
    """Split a path into its segments, without the query string.

    Parameters
    ----------
    path : str
        A path that starts with a slash.

    Returns
    -------
    tuple[str, ...]
        The segments; a trailing slash gives an empty last one.
    """
    return tuple(path.partition("?")[0].removeprefix("/").split("/"))
