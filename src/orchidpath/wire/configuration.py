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


class EngineProfile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What an operator knows of the engine of a model service's workers; 0 means unknown.

    Attributes
    ----------
    slots
        Requests that one worker runs at once.
    kv_capacity_tokens
        Tokens that fit into one worker's KV cache.
    kv_token_bytes
        Bytes of KV cache for one token.
    unclaimed_cache_seconds
        How long a worker keeps the KV cache of a prompt read that nobody has taken up.
    stage_switch_seconds
        How long a worker needs to change its part once it is idle.
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
        ``model`` (prompt read and decode on two workers) or ``plain`` (one JSON call).
    models
        Models that a model service serves.
    prefill_workers
        Desired workers for prompt reads; acted on through a confirmed plan only.
    decode_workers
        Desired workers for decodes; acted on through a confirmed plan only.
    max_held_workers
        How many workers a plan holds back at once, at most.
    balanced_decode_share
        Share of the workers that decode, kept by the fleet itself; 0 leaves the split to plans.
    least_decode_workers
        Workers that decode at least, where the fleet keeps the split.
    max_connections
        Connections that one worker accepts from all routers together; 0 for no known bound.
    engine
        What is known of the workers' engine.
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
    """Whether a forwarded request that may have run can be sent again."""

    NEVER = "never"
    """At most one run for each request."""
    WHOLE = "whole"
    """It may run any number of times."""
    RESUMED = "resumed"
    """A stream that another worker can take up after its last event."""


class WeightedService(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One of the services among which a forward route divides its requests.

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
    """Requests that are passed on unread, matched by host and longest path prefix.

    Attributes
    ----------
    name
        Name, unique among the forward routes; metrics bear it.
    host
        Host that it matches, without a port; compared without regard to case.
    path_prefix
        Beginning of the path that it matches; it begins and ends with a slash.
    services
        Services that share its requests.
    streaming
        Whether answers are streams of events.
    repetition
        Whether a request that may have run can be sent again.
    max_attempts
        Workers to which one request may be sent, at most.
    timeout_seconds
        Longest time for a whole request; a caller may ask for less.
    target_latency_seconds
        Time within which an answer, or the first event of a stream, is wanted; 0 for none.
    target_gap_seconds
        Longest pause between two events of a stream that is wanted; 0 for none.
    priority
        Rank among the requests of a service; 0 goes first.
    prefix_affinity
        Whether requests that share the beginning of their prompt go to the same worker.
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
    """What a caller of forward routes may send, and how long it may take.

    Attributes
    ----------
    max_header_bytes
        Bytes of a request's head.
    max_body_bytes
        Bytes of a request's body.
    header_timeout_seconds
        Time from the first byte of a head to its last.
    idle_timeout_seconds
        Time for which a connection may rest between requests, or inside a body.
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
        Name, unique among the routes; metrics bear it.
    service
        Name of the service that answers.
    model
        For a model route: the ``model`` of a chat completion that it matches.
    method
        For a plain route: the HTTP method that it matches.
    path
        For a plain route: the path that it matches; a segment in braces matches any value.
    repeatable
        Whether a call that may have run can be sent again.
    repeat_prompt_read
        Whether the prompt of a call that may not be repeated can be read again, as long as no
        decode of it can have run.
    deadline_seconds
        Longest time for a whole request; a caller may ask for less.
    first_token_timeout_seconds
        Longest wait for a back end's answer, or for the first content of a stream.
    stall_timeout_seconds
        Longest wait for the next frame of a stream that has begun.
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
    """Figures of the circuits (paper, "Circuit breakers and bounded retries"; design page).

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
        First time for which a throttled failure domain is left alone.
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
    """Bounds on what one router takes in at once; beyond them it answers at once.

    Attributes
    ----------
    max_requests_in_flight
        Requests that one router serves at once.
    max_cost_tokens_in_flight
        Their expected tokens together, prompts and answers.
    max_tenant_share
        Share of both bounds that one tenant may take.
    load_bound_factor
        A worker with more than this many times the average load is passed over.
    load_bound_minimum
        A worker may always hold this many requests more than the average.
    direct_prompt_tokens
        Prompts of forwarded requests up to this many tokens are read by the decode worker itself.
    """

    max_requests_in_flight: int = 512
    max_cost_tokens_in_flight: int = 2_000_000
    max_tenant_share: float = 0.5
    load_bound_factor: float = 1.25
    load_bound_minimum: float = 1.0
    direct_prompt_tokens: int = 0


class PlacementPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Mechanisms that place the prompts of forwarded requests.

    Each can be switched off, to measure what it is worth.

    Attributes
    ----------
    prefix_affinity
        Prompts go to workers that hold their shared part, or to which the ring gives it.
    postponement
        A request waits while its shared part is being read by another one.
    direct_reads
        A decode worker reads a prompt itself when it would have done so sooner than a pair.
    near_pairs
        A KV cache is handed over inside a zone where that is not much busier.
    near_requests
        A prompt that a decode worker reads itself goes to one in the router's zone where that is
        not much busier.
    """

    prefix_affinity: bool = True
    postponement: bool = True
    direct_reads: bool = True
    near_pairs: bool = True
    near_requests: bool = True


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A whole configuration.

    Attributes
    ----------
    services
        The services.
    routes
        The routes.
    circuit
        Figures of the circuits.
    retry
        Bounds on retries.
    admission
        Bounds on what a router takes in.
    placement
        Mechanisms that place prompts.
    forward_routes
        Routes whose requests are passed on unread.
    edge_limits
        Bounds on what callers of forward routes send.
    label
        The operator's own number for this configuration; 0 for none. Where it is used it rises.
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
