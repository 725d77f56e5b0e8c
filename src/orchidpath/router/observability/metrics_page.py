"""The router's metrics and the page that shows them."""

from aiohttp import web

from orchidpath.common.metrics import METRICS_CONTENT_TYPE, Metrics

OUTCOME_OK = "ok"
"""Outcome of a request that got its whole answer; any other outcome is an error code."""

OUTCOME_CLIENT_DISCONNECTED = "client_gone"
"""Outcome of a request whose caller left."""


class RouterMetrics:
    """Counters of one router."""

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
        """Return every metric as the answer to ``GET /metrics``."""
        return web.Response(
            body=self._metrics.exposition(), headers={"content-type": METRICS_CONTENT_TYPE}
        )
