"""Weighted split of the requests of a route among its services; does no input or output.

Each router steps through the weights in a fixed sequence with a random start. The shares are
therefore close to the weights even after few requests, both at one router and over all routers.
"""

import random as random_module

from orchidpath.wire.configuration import ForwardRoute

STEP = 0.6180339887498949
"""Step between two positions: the golden ratio, which spreads any number of positions evenly."""

MAX_ROUTES = 4_096
"""Maximum number of stored positions; when it is reached, all are discarded and sampled anew."""


class WeightedSplit:
    """Selects the service for the next request of each route.

    Parameters
    ----------
    random
        Random generator from which the initial positions are sampled.
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._positions: dict[str, float] = {}

    def next_service(self, route: ForwardRoute) -> str:
        """Return the service for a route's next request.

        Parameters
        ----------
        route
            A valid route: its weights do not sum to 0.
        """
        if len(route.services) == 1:
            return route.services[0].service
        point = self._next_position(route.name) * sum(target.weight for target in route.services)
        for target in route.services:
            point -= target.weight
            if point < 0:
                return target.service
        return next(target.service for target in reversed(route.services) if target.weight)

    def _next_position(self, route_name: str) -> float:
        position = self._positions.get(route_name)
        if position is None:
            if len(self._positions) >= MAX_ROUTES:
                self._positions.clear()
            position = self._random.random()
        self._positions[route_name] = (position + STEP) % 1.0
        return position
