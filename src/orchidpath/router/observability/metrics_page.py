"""Prometheus metrics of a router, and the ``GET /metrics`` page that exposes them."""

from aiohttp import web

from orchidpath.common.metrics import METRICS_CONTENT_TYPE, Metrics

OUTCOME_OK = "ok"
"""Outcome of a request whose response was sent completely; other outcomes are error codes."""

OUTCOME_CLIENT_DISCONNECTED = "client_gone"
"""Outcome of a request whose caller disconnected."""


class RouterMetrics:
    """Metrics of the requests that one router serves."""

    def __init__(self) -> None:
        self._metrics = Metrics()
        self.requests = self._metrics.counter(
            "requests", "Requests by route and outcome.", ("route", "outcome")
        )
        self.retries = self._metrics.counter("retries", "Attempts after the first.", ("route",))
        self.relayed_tokens = self._metrics.counter(
            "relayed_tokens", "Completion tokens passed on to callers.", ("route",)
        )
        self.time_to_first_token = self._metrics.latency(
            "time_to_first_token_seconds", "From the request to its first content.", ("route",)
        )
        self.in_flight = self._metrics.gauge("requests_in_flight", "Requests being served.")

    def page(self) -> web.Response:
        """Return every metric as the response to ``GET /metrics``."""
        return web.Response(
            body=self._metrics.exposition(), headers={"content-type": METRICS_CONTENT_TYPE}
        )
