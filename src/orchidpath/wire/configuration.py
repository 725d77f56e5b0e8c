"""The configuration that operators send: services, routes and policies.

Operators always send a complete configuration. The structs reject unknown fields, so that a
misspelt setting is an error and is not silently ignored. Checks beyond the types are in
:mod:`orchidpath.state.configuration_checks.validation`.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.integers import EncodedInteger, decode_integer, encode_integer


class ServiceKind(StrEnum):
    """Kind of request that a service executes."""

    MODEL = "model"
    """A prefill, a KV transfer and a streamed decode, on two workers."""
    PLAIN = "plain"
    """A JSON call on one worker."""


class EngineProfile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Parameters of the inference engine of a model service's workers; 0 means unknown.

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
        Desired number of prefill workers; applied only through a confirmed plan.
    decode_workers
        Desired number of decode workers; applied only through a confirmed plan.
    max_held_workers
        Largest number of workers that a plan cordons at once.
    balanced_decode_share
        Share of decode workers that the leader maintains; 0 leaves the allocation to plans.
    least_decode_workers
        Least number of decode workers if the leader maintains the allocation.
    max_connections
        Connections that one worker accepts from all routers together; 0 if the bound is unknown.
    engine
        Parameters of the workers' inference engine.
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
    """Another worker can resume the stream after its last event.

    On a route whose responses are no streams this is the same as `NEVER`.
    """


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
        Host that the route matches, without a port; compared without regard to case.
    path_prefix
        Prefix of the paths that the route matches; begins and ends with a slash.
    services
        Services that share the requests of the route.
    streaming
        Whether responses are streams of events.
    repetition
        Whether a request that may have been executed can be retried.
    max_attempts
        Largest number of workers to which one request may be sent.
    timeout_seconds
        Timeout of the complete request; a caller may set a shorter one.
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

    @property
    def may_resume(self) -> bool:
        """Whether another worker may resume a stream; no other response can be resumed."""
        return self.streaming and self.repetition is Repetition.RESUMED

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have been executed may be sent to a worker again."""
        return self.may_resume or self.repetition is Repetition.WHOLE


class EdgeLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits on the size and the duration of what a caller of forward routes sends.

    Attributes
    ----------
    max_header_bytes
        Largest size of a request's head: request line and headers.
    max_body_bytes
        Largest size of a request's body.
    header_timeout_seconds
        Longest time from the first byte of a request's head to its last byte.
    idle_timeout_seconds
        Longest time for which a connection may be idle between requests or within a body.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 33_554_432
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Requests of one kind, and the service that answers them.

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
        decode of the call can have been executed.
    deadline_seconds
        Timeout of the complete request; a caller may set a shorter one.
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
        Number of consecutive transient failures that opens a worker's circuit.
    cooldown_seconds
        First cooldown of an opened circuit; each failed probe doubles it, with jitter.
    max_cooldown_seconds
        Longest cooldown, also of a capacity circuit.
    half_open_probe_seconds
        How long one attempt owns the probe of a worker's half-open circuit.
    configuration_cooldown_seconds
        How long a worker with a configuration failure is quarantined.
    throttle_cooldown_seconds
        First cooldown of a throttled failure domain.
    health_window_seconds
        Window over which the successes and failures of a worker are counted.
    in_flight_ttl_seconds
        Time without a report after which an attempt no longer counts as in flight.
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
    """Bounds on the retries of each request and of each service.

    Attributes
    ----------
    max_attempts
        Largest number of attempts of one request, including the first.
    backoff_base_seconds
        Upper bound of the first random delay before a retry; each retry doubles it.
    backoff_cap_seconds
        Upper bound of every random delay before a retry.
    budget_ratio
        Largest number of retries of a service, as a share of its requests.
    budget_window_seconds
        Window over which that share is counted.
    budget_minimum_per_second
        Retries per second, over all routers, that a service may make in addition to that share,
        whatever its traffic.
    """

    max_attempts: int = 4
    backoff_base_seconds: float = 0.05
    backoff_cap_seconds: float = 1.0
    budget_ratio: float = 0.1
    budget_window_seconds: float = 10.0
    budget_minimum_per_second: float = 0.5


class AdmissionPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds on the requests that one router admits concurrently; it rejects others at once.

    Attributes
    ----------
    max_requests_in_flight
        Largest number of requests that one router serves concurrently.
    max_cost_tokens_in_flight
        Largest sum of the expected prompt and completion tokens of these requests.
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
    """Mechanisms that choose the workers for the prompts of proxied requests.

    Each mechanism can be disabled, to measure its effect.

    Attributes
    ----------
    prefix_affinity
        Prompts go to workers that have cached their shared prefix, or to its owner on the ring.
    postponement
        A request is postponed while another request prefills the shared prefix of its prompt.
    direct_reads
        A decode worker prefills a prompt itself if the estimated cost is below that of a prefill
        on another worker and a KV transfer.
    near_pairs
        A KV transfer stays within a zone unless the decode workers there are much more loaded.
    near_requests
        A prompt that a decode worker prefills itself goes to a worker in the router's zone, unless
        the workers there are much more loaded.
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
        Services of the fleet.
    routes
        Routes of model and plain services.
    circuit
        Parameters of the circuits.
    retry
        Bounds on retries.
    admission
        Bounds on the requests that a router admits.
    placement
        Mechanisms that choose the workers for prompts.
    forward_routes
        Routes whose requests are proxied unchanged.
    edge_limits
        Limits on what callers of forward routes send.
    label
        Number that the operator assigns to this configuration, 0 for none; if labels are used, each
        new configuration has a larger one. A label above 2**64 - 1 is written as the text of its
        digits.
    """

    services: list[Service] = []
    routes: list[Route] = []
    circuit: CircuitPolicy = CircuitPolicy()
    retry: RetryPolicy = RetryPolicy()
    admission: AdmissionPolicy = AdmissionPolicy()
    placement: PlacementPolicy = PlacementPolicy()
    forward_routes: list[ForwardRoute] = []
    edge_limits: EdgeLimits = EdgeLimits()
    label: EncodedInteger = 0

    def __post_init__(self) -> None:
        """Bring the label into its encoded form, so that equal labels are equal values."""
        encoded = encode_integer(self.label_number)
        if encoded != self.label:
            msgspec.structs.force_setattr(self, "label", encoded)

    @property
    def label_number(self) -> int:
        """The label as an integer."""
        return decode_integer(self.label)
