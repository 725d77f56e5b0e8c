"""Finds the route of a request: by model for chat completions, by method and path otherwise.

A table is built once for each configuration. A configuration whose routes conflict is rejected
(:mod:`orchidpath.state.configuration_checks.validation`). If two routes match a request
nevertheless, every router uses the one that is listed first.
"""

import msgspec

from orchidpath.wire.configuration import Configuration, Route, Service, ServiceKind


class RouteMatch(msgspec.Struct, frozen=True, kw_only=True):
    """The route of a request and the service that the route refers to."""

    route: Route
    service: Service


class _PathNode:
    """A node of the tree of path templates; each level of the tree is one path segment."""

    __slots__ = ("literals", "match", "template")

    def __init__(self) -> None:
        self.literals: dict[str, _PathNode] = {}
        self.template: _PathNode | None = None
        self.match: RouteMatch | None = None

    def child(self, segment: str) -> "_PathNode":
        """Return the child node of a segment of a route's path; create it if it is missing."""
        if not is_template_segment(segment):
            return self.literals.setdefault(segment, _PathNode())
        if self.template is None:
            self.template = _PathNode()
        return self.template

    def find(self, segments: tuple[str, ...]) -> RouteMatch | None:
        """Match the remaining segments of a path; a literal segment is tried before a template."""
        if not segments:
            return self.match
        head, rest = segments[0], segments[1:]
        literal = self.literals.get(head)
        found = literal.find(rest) if literal is not None else None
        if found is None and self.template is not None and head:
            found = self.template.find(rest)
        return found


class RouteTable:
    """Index of the routes of one configuration.

    Parameters
    ----------
    configuration : Configuration
        A validated configuration. Routes to a service that it does not contain, or whose kind does
        not fit the route, match no request.
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
            Model name in the request.

        Returns
        -------
        RouteMatch or None
            None if no route matches this model.
        """
        return self._by_model.get(model)

    def match_plain(self, method: str, path: str) -> RouteMatch | None:
        """Find the route of a plain request.

        Parameters
        ----------
        method : str
            HTTP method, in upper or lower case.
        path : str
            Path of the request; a query string is ignored.

        Returns
        -------
        RouteMatch or None
            None if no route matches this method and path.
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
    """Return whether a segment of a route's path is a template that matches any value.

    Parameters
    ----------
    segment : str
        One segment, without slashes.

    Returns
    -------
    bool
        True if the segment is enclosed in braces.
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
        The segments; the last one is empty if the path ends with a slash.
    """
    return tuple(path.partition("?")[0].removeprefix("/").split("/"))
