"""The configuration that operators send: services, routes and policies.

A configuration is always sent in full. The structs reject unknown fields, so that a misspelt
setting is an error and not silently ignored. Checks beyond the types are in
:mod:`orchidpath.state.configuration_checks.validation`.
"""

from enum import StrEnum

import msgspec


class ServiceKind(StrEnum):
    """How a service answers."""

    MODEL = "model"
    """Prefill, KV transfer and a streamed decode on two workers."""
    PLAIN = "plain"
    """One JSON call on one worker."""


class EngineProfile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Engine of a model service's workers, as far as the operator knows it; 0 means unknown.

    Attributes
    ----------
    slots
        Requests that one worker executes concurrently.
    kv_capacity_tokens
        Tokens that fit into one worker's KV cache.
    kv_token_bytes
        Bytes of KV cache for one token.
    unclaimed_cache_seconds
        How long a worker retains the KV cache of a prefill that no decode worker has fetched.
    stage_switch_seconds
        How long a worker needs to switch its stage once it is idle.
    """

    slots: int = 0
    kv_capacity_tokens: int = 0
    kv_token_bytes: int = 0
    unclaimed_cache_seconds: float = 0.0
    stage_switch_seconds: float = 0.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One service: a pool of workers that can answer the same requests.

    Attributes
    ----------
    name
        Name, unique among the services; workers announce it.
    kind
        ``model`` (prefill and decode on two workers) or ``plain`` (one JSON call).
    models
        Models that a model service serves.
    prefill_workers
        Desired prefill workers; applied through a confirmed plan only.
    decode_workers
        Desired decode workers; applied through a confirmed plan only.
    max_held_workers
        Largest number of workers that a plan cordons at once.
    balanced_decode_share
        Share of decode workers that the leader maintains; 0 leaves the allocation to plans.
    least_decode_workers
        Least number of decode workers, where the leader maintains the allocation.
    max_connections
        Connections that one worker accepts from all routers together; 0 if the bound is unknown.
    engine
        Engine of the workers.
    """

    name: str
    kind: ServiceKind
    models: list[str] = []
    prefill_workers: int = 0
    decode_workers: int = 0
    max_held_workers: int = 1
    balanced_decode_share: float = 0.0
    least_decode_workers: int = 1
    max_connections: int = 0
    engine: EngineProfile = EngineProfile()


class Repetition(StrEnum):
    """Whether a proxied request that may have been executed can be retried."""

    NEVER = "never"
    """Each request is executed at most once."""
    WHOLE = "whole"
    """The request is idempotent."""
    RESUMED = "resumed"
    """Another worker can resume the stream after its last event."""


class WeightedService(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One of the services that share the requests of a forward route.

    Attributes
    ----------
    service
        Name of the service.
    weight
        Its share, relative to the other services of the route.
    """

    service: str
    weight: int = 1


class ForwardRoute(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Requests that are proxied unchanged, matched by host and longest path prefix.

    Attributes
    ----------
    name
        Name, unique among the forward routes; a label of metrics.
    host
        Host that it matches, without a port; compared without regard to case.
    path_prefix
        Prefix of the path that it matches; it begins and ends with a slash.
    services
        Services that share its requests.
    streaming
        Whether answers are streams of events.
    repetition
        Whether a request that may have been executed can be retried.
    max_attempts
        Largest number of workers to which one request may be sent.
    timeout_seconds
        Timeout of a request as a whole; a caller may ask for less.
    target_latency_seconds
        Latency target (SLO) for the response, or for the first event of a stream; 0 for none.
    target_gap_seconds
        Target (SLO) for the longest gap between two events of a stream; 0 for none.
    priority
        Priority among the requests of a service; 0 is served first.
    prefix_affinity
        Whether requests that share a prefix of their prompt are sent to the same worker.
    """

    name: str
    host: str
    path_prefix: str
    services: list[WeightedService]
    streaming: bool = False
    repetition: Repetition = Repetition.NEVER
    max_attempts: int = 1
    timeout_seconds: float = 30.0
    target_latency_seconds: float = 0.0
    target_gap_seconds: float = 0.0
    priority: int = 0
    prefix_affinity: bool = False


class EdgeLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds on what a caller of forward routes may send, and on its time.

    Attributes
    ----------
    max_header_bytes
        Largest head of a request.
    max_body_bytes
        Largest body of a request.
    header_timeout_seconds
        Time from the first byte of a head to its last.
    idle_timeout_seconds
        Time for which a connection may be idle between requests, or inside a body.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 33_554_432
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Which requests go to which service.

    Attributes
    ----------
    name
        Name, unique among the routes; a label of metrics.
    service
        Name of the service that answers.
    model
        For a model route: the ``model`` of a chat completion that it matches.
    method
        For a plain route: the HTTP method that it matches.
    path
        For a plain route: the path that it matches; a segment in braces matches any value.
    repeatable
        Whether a call that may have been executed can be retried.
    repeat_prompt_read
        Whether the prefill of a call that may not be retried can be repeated, as long as no
        decode of it can have been executed.
    deadline_seconds
        Timeout of a request as a whole; a caller may ask for less.
    first_token_timeout_seconds
        Timeout of a back end's response, or of the first content of a stream.
    stall_timeout_seconds
        Timeout of the next frame of a stream that has started.
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
    """Parameters of the circuits (paper, "Circuit breakers and bounded retries").

    Attributes
    ----------
    allowed_fails
        Transient failures in a row that open a worker's circuit.
    cooldown_seconds
        First cooldown of an opened circuit; each failed probe doubles it, with jitter.
    max_cooldown_seconds
        Longest cooldown, also of a capacity circuit.
    half_open_probe_seconds
        How long one attempt owns a worker's probe.
    configuration_cooldown_seconds
        How long a worker with a configuration failure is quarantined.
    throttle_cooldown_seconds
        First cooldown of a throttled failure domain.
    health_window_seconds
        Window over which a worker's health is counted.
    in_flight_ttl_seconds
        After this long without a report an attempt no longer counts as in flight.
    """

    allowed_fails: int = 3
    cooldown_seconds: float = 10.0
    max_cooldown_seconds: float = 300.0
    half_open_probe_seconds: float = 30.0
    configuration_cooldown_seconds: float = 300.0
    throttle_cooldown_seconds: float = 5.0
    health_window_seconds: float = 600.0
    in_flight_ttl_seconds: float = 120.0


class RetryPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds on retries of one request and of a whole service.

    Attributes
    ----------
    max_attempts
        Attempts of one request, the first included.
    backoff_base_seconds
        Upper end of the first random wait before a retry; each retry doubles it.
    backoff_cap_seconds
        Upper end of any random wait before a retry.
    budget_ratio
        Retries of a service as a share of its requests, at most.
    budget_window_seconds
        Window over which that share is counted.
    budget_minimum_per_second
        Retries a second that a service may make whatever its traffic, over all routers.
    """

    max_attempts: int = 4
    backoff_base_seconds: float = 0.05
    backoff_cap_seconds: float = 1.0
    budget_ratio: float = 0.1
    budget_window_seconds: float = 10.0
    budget_minimum_per_second: float = 0.5


class AdmissionPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds on what one router admits concurrently; beyond them it rejects requests at once.

    Attributes
    ----------
    max_requests_in_flight
        Requests that one router serves concurrently.
    max_cost_tokens_in_flight
        Sum of their expected tokens, of prompts and of completions.
    max_tenant_share
        Share of both bounds that one tenant may use.
    load_bound_factor
        A worker with more than this many times the average load is skipped.
    load_bound_minimum
        A worker may always have this many requests in flight more than the average.
    direct_prompt_tokens
        Prompts of proxied requests up to this many tokens are prefilled by the decode worker.
    """

    max_requests_in_flight: int = 512
    max_cost_tokens_in_flight: int = 2_000_000
    max_tenant_share: float = 0.5
    load_bound_factor: float = 1.25
    load_bound_minimum: float = 1.0
    direct_prompt_tokens: int = 0


class PlacementPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Mechanisms that place the prompts of proxied requests.

    Each can be disabled, to measure its effect.

    Attributes
    ----------
    prefix_affinity
        Prompts go to workers that have cached their shared prefix, or to its owner on the ring.
    postponement
        A request is postponed while its shared prefix is being prefilled by another one.
    direct_reads
        A decode worker prefills a prompt itself where it would finish sooner than a pair.
    near_pairs
        A KV transfer stays inside a zone unless the zone is much busier.
    near_requests
        A prompt that a decode worker prefills itself goes to one in the router's zone unless it
        is much busier.
    """

    prefix_affinity: bool = True
    postponement: bool = True
    direct_reads: bool = True
    near_pairs: bool = True
    near_requests: bool = True


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A complete configuration.

    Attributes
    ----------
    services
        The services.
    routes
        The routes.
    circuit
        Parameters of the circuits.
    retry
        Bounds on retries.
    admission
        Bounds on what a router admits.
    placement
        Mechanisms that place prompts.
    forward_routes
        Routes whose requests are proxied unchanged.
    edge_limits
        Bounds on what callers of forward routes send.
    label
        The operator's own number for this configuration, 0 for none; it increases where it is used.
    """

    services: list[Service] = []
    routes: list[Route] = []
    circuit: CircuitPolicy = CircuitPolicy()
    retry: RetryPolicy = RetryPolicy()
    admission: AdmissionPolicy = AdmissionPolicy()
    placement: PlacementPolicy = PlacementPolicy()
    forward_routes: list[ForwardRoute] = []
    edge_limits: EdgeLimits = EdgeLimits()
    label: int = 0
