"""Admission control of one router: bounds on the requests in flight by count, cost and tenant.

Requests are never queued here. Each is either admitted, or rejected at once with a retry-after that
is estimated from the rate at which requests complete. Every admitted request must be released
exactly once, however it ends.
"""

import math
from enum import StrEnum

import msgspec

from orchidpath.wire.configuration import AdmissionPolicy

CROWDED_FRACTION = 0.5
"""The tenant share applies only above this fraction of the request bound or the cost bound."""

INITIAL_DURATION_SECONDS = 1.0
"""Assumed duration of a request until the first one has completed."""

DURATION_WEIGHT = 0.1
"""Weight of the newest completion in the exponential moving average of durations."""

MINIMUM_RETRY_AFTER_SECONDS = 0.1
"""Lower bound of a retry-after, and of the estimated mean duration."""

MAXIMUM_RETRY_AFTER_SECONDS = 30.0
"""Upper bound of a retry-after."""

MAXIMUM_MEAN_DURATIONS_AHEAD = 2
"""Retries are scheduled at most this many mean durations ahead.

By then all requests that are in flight now should have completed.
"""


class RejectionReason(StrEnum):
    """Why a request was rejected."""

    REQUESTS_IN_FLIGHT = "requests_in_flight"
    COST_IN_FLIGHT = "cost_in_flight"
    TENANT_SHARE = "tenant_share"
    TOO_LARGE = "too_large"
    """The request alone costs more than the bound, so a retry can't succeed."""
    DUPLICATE_REQUEST = "duplicate_request"
    """A request with the same id is in flight on this router."""


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """The request was admitted; it must be released when it ends."""

    request_id: str


class Rejected(msgspec.Struct, frozen=True, kw_only=True):
    """The request was rejected; ``retry_after_seconds`` is None if a retry can't succeed."""

    reason: RejectionReason
    retry_after_seconds: float | None


class _Load(msgspec.Struct):
    """Number and cost of the requests in flight, and when the last scheduled retry is due."""

    requests: int = 0
    cost_tokens: int = 0
    last_retry_at: float = -math.inf


class _InFlight(msgspec.Struct, frozen=True):
    """A request that was admitted and has not been released."""

    tenant: str
    cost_tokens: int
    admitted_at: float


class _Durations:
    """Estimates how long a request stays in flight, from completed and from running requests.

    The completion rate of a router that is filling up says little about the rate at which it
    drains once full. By Little's law that rate is the number in flight divided by the mean
    duration. The mean age of the running requests is a lower bound of the mean duration, so that
    the estimate also grows while no request completes.
    """

    def __init__(self) -> None:
        self._completed_seconds: float | None = None
        self._running = 0
        self._sum_of_starts = 0.0

    def start(self, now: float) -> None:
        """Count a request that starts at ``now``, in monotonic seconds."""
        self._running += 1
        self._sum_of_starts += now

    def finish(self, admitted_at: float, now: float) -> None:
        """Count a request that ends, and add its duration to the moving average."""
        self._running -= 1
        self._sum_of_starts = self._sum_of_starts - admitted_at if self._running else 0.0
        duration = now - admitted_at
        if self._completed_seconds is None:
            self._completed_seconds = duration
        self._completed_seconds += DURATION_WEIGHT * (duration - self._completed_seconds)

    def mean_seconds(self, now: float) -> float:
        """Return the estimated mean duration in seconds; always above zero."""
        completed = self._completed_seconds
        estimate = INITIAL_DURATION_SECONDS if completed is None else completed
        mean_age = now - self._sum_of_starts / self._running if self._running else 0.0
        return max(estimate, mean_age, MINIMUM_RETRY_AFTER_SECONDS)


class AdmissionController:
    """Tracks the requests in flight on one router and admits only what the policy allows.

    Parameters
    ----------
    policy : AdmissionPolicy
        Bounds on the requests in flight.
    """

    def __init__(self, policy: AdmissionPolicy):
        self._policy = policy
        self._in_flight: dict[str, _InFlight] = {}
        self._total = _Load()
        self._tenants: dict[str, _Load] = {}
        self._durations = _Durations()

    @property
    def requests_in_flight(self) -> int:
        """Number of requests that were admitted and have not been released."""
        return self._total.requests

    @property
    def cost_tokens_in_flight(self) -> int:
        """Total cost in tokens of the requests in flight."""
        return self._total.cost_tokens

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Apply new bounds to later requests; requests already in flight continue.

        Parameters
        ----------
        policy : AdmissionPolicy
            Bounds on the requests in flight.
        """
        self._policy = policy

    def admit(
        self, request_id: str, tenant: str, cost_tokens: int, now: float
    ) -> Admitted | Rejected:
        """Admit a request, or reject it with a reason and a time to retry after.

        Parameters
        ----------
        request_id : str
            Identifier of the request.
        tenant : str
            Tenant whose share the request counts against.
        cost_tokens : int
            Prompt tokens plus expected output tokens; counted as at least one.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Admitted or Rejected
            An admitted request must be released; a rejected one must not.
        """
        cost_tokens = max(cost_tokens, 1)
        if request_id in self._in_flight:
            wait = _bounded_retry_after(self._durations.mean_seconds(now))
            return Rejected(reason=RejectionReason.DUPLICATE_REQUEST, retry_after_seconds=wait)
        if cost_tokens > self._policy.max_cost_tokens_in_flight:
            return Rejected(reason=RejectionReason.TOO_LARGE, retry_after_seconds=None)
        rejected = self._check_bounds(cost_tokens, now) or self._check_tenant(
            tenant, cost_tokens, now
        )
        if rejected is not None:
            return rejected
        self._record_admitted(request_id, tenant, cost_tokens, now)
        return Admitted(request_id=request_id)

    def release(self, request_id: str, now: float) -> bool:
        """Release a request that ended; releasing it again has no effect.

        Parameters
        ----------
        request_id : str
            Identifier of an admitted request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the request was in flight.
        """
        entry = self._in_flight.pop(request_id, None)
        if entry is None:
            return False
        self._total.requests -= 1
        self._total.cost_tokens -= entry.cost_tokens
        load = self._tenants[entry.tenant]
        load.requests -= 1
        load.cost_tokens -= entry.cost_tokens
        if load.requests == 0:
            # Callers choose the tenant names: keeping idle tenants would let memory grow.
            del self._tenants[entry.tenant]
        self._durations.finish(entry.admitted_at, now)
        return True

    def _record_admitted(self, request_id: str, tenant: str, cost_tokens: int, now: float) -> None:
        self._in_flight[request_id] = _InFlight(tenant, cost_tokens, now)
        self._durations.start(now)
        load = self._tenants.setdefault(tenant, _Load())
        for counted in (self._total, load):
            counted.requests += 1
            counted.cost_tokens += cost_tokens

    def _check_bounds(self, cost_tokens: int, now: float) -> Rejected | None:
        policy, total = self._policy, self._total
        excess_requests = total.requests + 1 - policy.max_requests_in_flight
        if excess_requests > 0:
            return self._reject(RejectionReason.REQUESTS_IN_FLIGHT, excess_requests, total, now)
        excess_tokens = total.cost_tokens + cost_tokens - policy.max_cost_tokens_in_flight
        if excess_tokens > 0:
            completions = _completions_for(excess_tokens, total)
            return self._reject(RejectionReason.COST_IN_FLIGHT, completions, total, now)
        return None

    def _check_tenant(self, tenant: str, cost_tokens: int, now: float) -> Rejected | None:
        load = self._tenants.get(tenant)
        # The share never rejects the only request of a tenant, however small the share is.
        if load is None or not self._is_crowded_with(cost_tokens):
            return None
        policy = self._policy
        share = policy.max_tenant_share
        excess_requests = load.requests + 1 - share * policy.max_requests_in_flight
        excess_tokens = load.cost_tokens + cost_tokens - share * policy.max_cost_tokens_in_flight
        if excess_requests <= 0 and excess_tokens <= 0:
            return None
        # Only completions of this tenant's own requests bring it below its share.
        completions = max(excess_requests, _completions_for(excess_tokens, load))
        return self._reject(RejectionReason.TENANT_SHARE, completions, load, now)

    def _is_crowded_with(self, cost_tokens: int) -> bool:
        policy = self._policy
        crowded_requests = CROWDED_FRACTION * policy.max_requests_in_flight
        crowded_tokens = CROWDED_FRACTION * policy.max_cost_tokens_in_flight
        return (
            self._total.requests + 1 > crowded_requests
            or self._total.cost_tokens + cost_tokens > crowded_tokens
        )

    def _reject(
        self, reason: RejectionReason, completions: float, load: _Load, now: float
    ) -> Rejected:
        """Reject a request and schedule its retry after earlier ones, which spreads the retries."""
        duration = self._durations.mean_seconds(now)
        wait = max(completions, 1.0) * duration / max(load.requests, 1)
        last_retry_at = max(load.last_retry_at, now) + wait
        # Bounded, so that one caller that retries too often can't delay the retries of the others
        # for long.
        latest = now + max(MAXIMUM_MEAN_DURATIONS_AHEAD * duration, wait)
        load.last_retry_at = min(last_retry_at, latest)
        retry_after = _bounded_retry_after(load.last_retry_at - now)
        return Rejected(reason=reason, retry_after_seconds=retry_after)


def _bounded_retry_after(seconds: float) -> float:
    return min(max(seconds, MINIMUM_RETRY_AFTER_SECONDS), MAXIMUM_RETRY_AFTER_SECONDS)


def _completions_for(excess_tokens: float, load: _Load) -> float:
    """Return how many completions of average cost it takes to free ``excess_tokens``."""
    if load.requests == 0:
        return 1.0
    return max(excess_tokens, 0) * load.requests / load.cost_tokens
