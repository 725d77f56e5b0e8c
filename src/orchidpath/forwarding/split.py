"""Divides the requests of a route among its services, by weight; pure.

Each router steps through the weights in a fixed order with a random beginning, so that the shares
of few requests are already close to the weights, over all routers together too.
"""

import random as random_module

from orchidpath.wire.configuration import ForwardRoute

STEP = 0.6180339887498949
"""Distance between two positions: the golden ratio, which spreads any number of them evenly."""

MAX_ROUTES = 4_096
"""Positions that are kept; beyond that all are drawn anew."""


class WeightedSplit:
    """Which service gets the next request of each route.

    Parameters
    ----------
    random
        Source of the first positions.
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
        point = self._next_position(route.name) * sum(one.weight for one in route.services)
        for target in route.services:
            point -= target.weight
            if point < 0:
                return target.service
        return next(one.service for one in reversed(route.services) if one.weight)

    def _next_position(self, route_name: str) -> float:
        position = self._positions.get(route_name)
        if position is None:
            if len(self._positions) >= MAX_ROUTES:
                self._positions.clear()
            position = self._random.random()
        self._positions[route_name] = (position + STEP) % 1.0
        return position
