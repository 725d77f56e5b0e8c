"""Permitted ranges of the numbers in a configuration."""

import msgspec

from orchidpath.state.configuration_checks.validation_problems import Problem, join_path
from orchidpath.wire.configuration import (
    AdmissionPolicy,
    CircuitPolicy,
    EdgeLimits,
    EngineProfile,
    ForwardRoute,
    RetryPolicy,
    Route,
    Service,
    WeightedService,
)

MAX_SECONDS = 86_400.0
"""Maximum duration in a configuration, in seconds (one day)."""

MAX_COUNT = 1_000_000_000
"""Maximum count in a configuration; every count fits into 32 bits."""

MAX_ATTEMPTS = 100
"""Maximum number of attempts of one request."""


class Range(msgspec.Struct, frozen=True, kw_only=True):
    """A closed range; if ``above`` is set, the range excludes its minimum."""

    minimum: float
    maximum: float
    above: bool = False

    def contains(self, value: float) -> bool:
        """Return whether a number is in the range."""
        if self.above and value <= self.minimum:
            return False
        return self.minimum <= value <= self.maximum

    def describe(self) -> str:
        """Return a description of the range for an error message."""
        lower = "above" if self.above else "at least"
        return f"{lower} {self.minimum:g} and at most {self.maximum:g}"


_SECONDS = Range(minimum=0.0, maximum=MAX_SECONDS, above=True)
_SECONDS_OR_NONE = Range(minimum=0.0, maximum=MAX_SECONDS)
_COUNT = Range(minimum=1, maximum=MAX_COUNT)
_COUNT_OR_NONE = Range(minimum=0, maximum=MAX_COUNT)

_RANGES: dict[type[msgspec.Struct], dict[str, Range]] = {
    Service: {
        "prefill_workers": _COUNT_OR_NONE,
        "decode_workers": _COUNT_OR_NONE,
        "max_held_workers": _COUNT,
        "balanced_decode_share": Range(minimum=0.0, maximum=1.0),
        "least_decode_workers": _COUNT,
        "max_connections": _COUNT_OR_NONE,
    },
    EngineProfile: {
        "slots": _COUNT_OR_NONE,
        "kv_capacity_tokens": _COUNT_OR_NONE,
        "kv_token_bytes": _COUNT_OR_NONE,
        "unclaimed_cache_seconds": _SECONDS_OR_NONE,
        "stage_switch_seconds": _SECONDS_OR_NONE,
    },
    WeightedService: {"weight": _COUNT_OR_NONE},
    ForwardRoute: {
        "max_attempts": Range(minimum=1, maximum=MAX_ATTEMPTS),
        "timeout_seconds": _SECONDS,
        "target_latency_seconds": _SECONDS_OR_NONE,
        "target_gap_seconds": _SECONDS_OR_NONE,
        "priority": _COUNT_OR_NONE,
    },
    EdgeLimits: {
        "max_header_bytes": _COUNT,
        "max_body_bytes": _COUNT_OR_NONE,
        "header_timeout_seconds": _SECONDS,
        "idle_timeout_seconds": _SECONDS,
    },
    Route: {
        "deadline_seconds": _SECONDS,
        "first_token_timeout_seconds": _SECONDS,
        "stall_timeout_seconds": _SECONDS,
    },
    CircuitPolicy: {
        "allowed_fails": _COUNT,
        "cooldown_seconds": _SECONDS,
        "max_cooldown_seconds": _SECONDS,
        "half_open_probe_seconds": _SECONDS,
        "configuration_cooldown_seconds": _SECONDS,
        "throttle_cooldown_seconds": _SECONDS,
        "health_window_seconds": _SECONDS,
        "in_flight_ttl_seconds": _SECONDS,
    },
    RetryPolicy: {
        "max_attempts": Range(minimum=1, maximum=MAX_ATTEMPTS),
        "backoff_base_seconds": _SECONDS,
        "backoff_cap_seconds": _SECONDS,
        "budget_ratio": Range(minimum=0.0, maximum=1.0),
        "budget_window_seconds": _SECONDS,
        "budget_minimum_per_second": Range(minimum=0.0, maximum=1000.0),
    },
    AdmissionPolicy: {
        "max_requests_in_flight": _COUNT,
        "max_cost_tokens_in_flight": _COUNT,
        "max_tenant_share": Range(minimum=0.0, maximum=1.0, above=True),
        "load_bound_factor": Range(minimum=1.0, maximum=1000.0),
        "direct_prompt_tokens": _COUNT_OR_NONE,
        "load_bound_minimum": Range(minimum=1.0, maximum=float(MAX_COUNT)),
    },
}


def range_problems(value: msgspec.Struct, path: str) -> list[Problem]:
    """Return a problem for each number of a configuration's struct that is out of range.

    Parameters
    ----------
    value
        A struct of the configuration, such as a service, route or policy.
    path
        Its path in the configuration.
    """
    return [
        Problem(path=join_path(path, name), message=f"must be {allowed.describe()}")
        for name, allowed in _RANGES[type(value)].items()
        if not allowed.contains(getattr(value, name))
    ]
