"""Lookup of the forward route of a request by host and path; does no input or output."""

from orchidpath.wire.configuration import Configuration, ForwardRoute


class ForwardTable:
    """Lookup table of the forward routes of one configuration.

    Parameters
    ----------
    configuration
        A valid configuration.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._by_host: dict[str, dict[str, ForwardRoute]] = {}
        for route in configuration.forward_routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route

    def match(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route of the host whose path prefix is the longest that matches.

        Parameters
        ----------
        host
            Value of the ``Host`` header; a port is ignored.
        path
            Path of the request without its query.

        Returns
        -------
        ForwardRoute or None
            None if the host has no route, or none of its prefixes matches.
        """
        routes = self._by_host.get(_without_port(host).lower())
        if routes is None:
            return None
        # Every path prefix ends with a slash, so only parts of the path up to a slash can match.
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
