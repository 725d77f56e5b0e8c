"""The configuration that operators send: services, routes and policies.

A configuration is always sent whole (brief, "Who calls"). The structs refuse unknown fields so
that a misspelt setting is an error and not silently ignored. Checks that need more than one field
live in :mod:`orchidpath.state.validation`.
"""

from enum import StrEnum

import msgspec


class ServiceKind(StrEnum):
    """How a service answers."""

    MODEL = "model"
    """Prompt read, KV cache hand-over and a streamed decode on two workers."""
    PLAIN = "plain"
    """One JSON call on one worker."""


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One service: a pool of workers that can answer the same requests.

    ``prefill_workers`` and ``decode_workers`` are the operator's desired counts; they are only
    acted on through a confirmed plan. ``max_held_workers`` bounds how many workers a plan
    holds back at once.
    """

    name: str
    kind: ServiceKind
    models: list[str] = []
    prefill_workers: int = 0
    decode_workers: int = 0
    max_held_workers: int = 1


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Which requests go to which service.

    A model route matches ``model`` of a chat completion; a plain route matches ``method`` and
    ``path`` (a path segment in braces matches any value). ``repeatable`` says whether a call that
    may have run can be sent again. ``repeat_prompt_read`` lets the prompt of a call that may not
    be repeated be read again as long as no decode of it can have run.
    """

    name: str
    service: str
    model: str = ""
    method: str = ""
    path: str = ""
    repeatable: bool = False
    repeat_prompt_read: bool = False
    deadline_seconds: float = 30.0
    first_token_timeout_seconds: float = 10.0
    stall_timeout_seconds: float = 5.0


class CircuitPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Figures of the circuits (paper, "Circuit breakers and bounded retries"; design page)."""

    allowed_fails: int = 3
    cooldown_seconds: float = 10.0
    max_cooldown_seconds: float = 300.0
    half_open_probe_seconds: float = 30.0
    configuration_cooldown_seconds: float = 300.0
    throttle_cooldown_seconds: float = 5.0
    health_window_seconds: float = 600.0
    in_flight_ttl_seconds: float = 120.0


class RetryPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds on retries of one request and of a whole service."""

    max_attempts: int = 4
    backoff_base_seconds: float = 0.05
    backoff_cap_seconds: float = 1.0
    budget_ratio: float = 0.1
    budget_window_seconds: float = 10.0
    budget_minimum_per_second: float = 0.5


class AdmissionPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds on what one router takes in at once; beyond them it answers at once."""

    max_requests_in_flight: int = 512
    max_cost_tokens_in_flight: int = 2_000_000
    max_tenant_share: float = 0.5
    load_bound_factor: float = 1.25


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A whole configuration."""

    services: list[Service] = []
    routes: list[Route] = []
    circuit: CircuitPolicy = CircuitPolicy()
    retry: RetryPolicy = RetryPolicy()
    admission: AdmissionPolicy = AdmissionPolicy()
