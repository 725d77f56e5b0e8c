"""Admission: what one router has in flight at once, by count, by cost and by tenant.

Nothing queues here. A request is either admitted or rejected at once with a retry-after, estimated
from the rate at which requests complete. Every admitted request
is released exactly once, whatever its end.
"""

import math
from enum import StrEnum

import msgspec

from orchidpath.wire.configuration import AdmissionPolicy

CROWDED_SHARE = 0.5
"""The tenant share binds only while the router would be fuller than this share of a bound."""

INITIAL_DURATION_SECONDS = 1.0
"""Assumed duration of a request before one has completed."""

DURATION_WEIGHT = 0.1
"""Weight of the newest completion in the moving average of durations."""

MINIMUM_RETRY_AFTER_SECONDS = 0.1
"""Shortest retry-after."""

MAXIMUM_RETRY_AFTER_SECONDS = 30.0
"""Longest retry-after."""

MAX_QUEUE_TURNOVERS = 2
"""Places are reserved at most this many mean durations ahead: by then all have been freed."""


class RejectionReason(StrEnum):
    """Why a request was rejected."""

    REQUESTS_IN_FLIGHT = "requests_in_flight"
    COST_IN_FLIGHT = "cost_in_flight"
    TENANT_SHARE = "tenant_share"
    TOO_LARGE = "too_large"
    """The request alone costs more than the bound: a retry can not help."""
    DUPLICATE_REQUEST = "duplicate_request"
    """A request with the same id is in flight on this router."""


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """The request was admitted; it must be released when it ends."""

    request_id: str


class Rejected(msgspec.Struct, frozen=True, kw_only=True):
    """The request was rejected; ``retry_after_seconds`` is None when a retry can't help."""

    reason: RejectionReason
    retry_after_seconds: float | None


class _Load(msgspec.Struct):
    """Requests in flight, what they cost, and until when their places are reserved."""

    requests: int = 0
    cost_tokens: int = 0
    reserved_until: float = -math.inf


class _InFlight(msgspec.Struct, frozen=True):
    """One admitted request."""

    tenant: str
    cost_tokens: int
    admitted_at: float


class _Durations:
    """How long requests stay in flight: those that completed and those still running.

    The completion rate of a router that is filling up says little about the rate at which it
    drains once full. By Little's law that rate is the number in flight over the mean duration.
    The mean age of what is in flight bounds the duration from below, so that the estimate also
    grows when nothing completes any more.
    """

    def __init__(self) -> None:
        self._completed_seconds: float | None = None
        self._running = 0
        self._sum_of_starts = 0.0

    def start(self, now: float) -> None:
        """Count a request that begins."""
        self._running += 1
        self._sum_of_starts += now

    def finish(self, admitted_at: float, now: float) -> None:
        """Count a request that ends."""
        self._running -= 1
        self._sum_of_starts = self._sum_of_starts - admitted_at if self._running else 0.0
        duration = now - admitted_at
        if self._completed_seconds is None:
            self._completed_seconds = duration
        self._completed_seconds += DURATION_WEIGHT * (duration - self._completed_seconds)

    def mean_seconds(self, now: float) -> float:
        """Return the estimate of the mean duration; always above zero."""
        completed = self._completed_seconds
        estimate = INITIAL_DURATION_SECONDS if completed is None else completed
        mean_age = now - self._sum_of_starts / self._running if self._running else 0.0
        return max(estimate, mean_age, MINIMUM_RETRY_AFTER_SECONDS)


class AdmissionController:
    """Counts what is in flight on one router and admits no more than its policy allows.

    Parameters
    ----------
    policy : AdmissionPolicy
        The bounds.
    """

    def __init__(self, policy: AdmissionPolicy):
        self._policy = policy
        self._in_flight: dict[str, _InFlight] = {}
        self._total = _Load()
        self._tenants: dict[str, _Load] = {}
        self._durations = _Durations()

    @property
    def requests_in_flight(self) -> int:
        """Number of requests admitted and not released."""
        return self._total.requests

    @property
    def cost_tokens_in_flight(self) -> int:
        """Cost of the requests admitted and not released."""
        return self._total.cost_tokens

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Apply other bounds from now on; requests already in flight stay.

        Parameters
        ----------
        policy : AdmissionPolicy
            The new bounds.
        """
        self._policy = policy

    def admit(
        self, request_id: str, tenant: str, cost_tokens: int, now: float
    ) -> Admitted | Rejected:
        """Admit a request, or say why not and when to retry.

        Parameters
        ----------
        request_id : str
            Identifier of the request.
        tenant : str
            Whom the request is counted for.
        cost_tokens : int
            Prompt tokens and expected output tokens; at least one is counted.
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
        self._take(request_id, tenant, cost_tokens, now)
        return Admitted(request_id=request_id)

    def release(self, request_id: str, now: float) -> bool:
        """Free what a request held; releasing it again changes nothing.

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
            # Tenants are named by callers: an idle one must not stay in memory.
            del self._tenants[entry.tenant]
        self._durations.finish(entry.admitted_at, now)
        return True

    def _take(self, request_id: str, tenant: str, cost_tokens: int, now: float) -> None:
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
        # A tenant with nothing in flight may always have one request, however small its share.
        if load is None or not self._is_crowded_with(cost_tokens):
            return None
        policy = self._policy
        share = policy.max_tenant_share
        excess_requests = load.requests + 1 - share * policy.max_requests_in_flight
        excess_tokens = load.cost_tokens + cost_tokens - share * policy.max_cost_tokens_in_flight
        if excess_requests <= 0 and excess_tokens <= 0:
            return None
        # Only this tenant's own completions make room for it.
        completions = max(excess_requests, _completions_for(excess_tokens, load))
        return self._reject(RejectionReason.TENANT_SHARE, completions, load, now)

    def _is_crowded_with(self, cost_tokens: int) -> bool:
        policy = self._policy
        crowded_requests = CROWDED_SHARE * policy.max_requests_in_flight
        crowded_tokens = CROWDED_SHARE * policy.max_cost_tokens_in_flight
        return (
            self._total.requests + 1 > crowded_requests
            or self._total.cost_tokens + cost_tokens > crowded_tokens
        )

    def _reject(
        self, reason: RejectionReason, completions: float, load: _Load, now: float
    ) -> Rejected:
        """Reserve the next free places in turn, so that rejected callers retry spread out."""
        duration = self._durations.mean_seconds(now)
        wait = max(completions, 1.0) * duration / max(load.requests, 1)
        reserved_until = max(load.reserved_until, now) + wait
        # Bounded, so that one caller who asks too often can't push the others' time out for long.
        latest = now + max(MAX_QUEUE_TURNOVERS * duration, wait)
        load.reserved_until = min(reserved_until, latest)
        retry_after = _bounded_retry_after(load.reserved_until - now)
        return Rejected(reason=reason, retry_after_seconds=retry_after)


def _bounded_retry_after(seconds: float) -> float:
    return min(max(seconds, MINIMUM_RETRY_AFTER_SECONDS), MAXIMUM_RETRY_AFTER_SECONDS)


def _completions_for(excess_tokens: float, load: _Load) -> float:
    """Return how many completions of average cost free that many tokens."""
    if load.requests == 0:
        return 1.0
    return max(excess_tokens, 0) * load.requests / load.cost_tokens
