"""Limits on the attempts of one request: workers already tried, attempts made, waits.

Sources: the design page, and the paper, "Circuit breakers and bounded retries" (each eligible
worker is tried before any is reused, retries use full jitter, and a retry-after is applied only if
it fits the deadline).
"""

from orchidpath.routing.request.events import RequestPlan, StageTried
from orchidpath.routing.request.guards import NO_GUARD_DISABLED, Guard
from orchidpath.wire.messages import AttemptEffect
from orchidpath.wire.records import Stage

MAXIMUM_WAIT_SHARE = 0.5
"""Largest share of the remaining time that may be spent waiting before a retry.

The rest is left for the retry to run.
"""

_NOT_RETRIED = frozenset({AttemptEffect.REQUEST, AttemptEffect.CONFIGURATION})
"""Effects after which a retry on the same worker would have the same result."""


class RetryState:
    """Tracks the attempts made for one request and the workers that it has tried.

    Parameters
    ----------
    plan
        The request.
    disabled_guards
        Safety rules that are not enforced; for tests only.
    """

    def __init__(
        self, plan: RequestPlan, disabled_guards: frozenset[Guard] = NO_GUARD_DISABLED
    ) -> None:
        self._plan = plan
        self._disabled = disabled_guards
        self._tried: dict[Stage, list[str]] = {stage: [] for stage in stages_of(plan)}
        self._excluded: set[str] = set()
        self._not_before: dict[str, float] = {}
        self.attempts_made = 0

    @property
    def stages(self) -> frozenset[Stage]:
        """Stages for which each attempt needs a worker."""
        return frozenset(self._tried)

    def tried_per_stage(self, now: float) -> tuple[StageTried, ...]:
        """Return the tried and the excluded workers of each stage, for the next decision."""
        waiting = {worker_id for worker_id, until in self._not_before.items() if until > now}
        excluded = tuple(sorted(self._excluded | waiting))
        return tuple(
            StageTried(stage=stage, tried=tuple(tried), excluded=excluded)
            for stage, tried in self._tried.items()
        )

    def record_dispatch(self, stage: Stage, worker_id: str) -> None:
        """Record that a dispatch was sent to a worker of a stage."""
        if worker_id not in self._tried[stage]:
            self._tried[stage].append(worker_id)

    def record_attempt_failure(
        self, worker_id: str, effect: AttemptEffect, retry_after_seconds: float | None, now: float
    ) -> None:
        """Record how an attempt failed on a worker, and the worker's retry-after."""
        if effect in _NOT_RETRIED:
            self._excluded.add(worker_id)
        if retry_after_seconds is not None:
            self._not_before[worker_id] = now + retry_after_seconds

    def seconds_until_a_worker_returns(self, now: float) -> float | None:
        """Return the seconds until the first retry-after of a worker elapses; None if none."""
        waits = [
            until - now
            for worker_id, until in self._not_before.items()
            if until > now and worker_id not in self._excluded
        ]
        return min(waits, default=None)

    def has_attempts_left(self) -> bool:
        """Return whether the request is below its maximum number of attempts."""
        return self.attempts_made < self._plan.retry.max_attempts

    def fits_deadline(self, wait_seconds: float, now: float) -> bool:
        """Return whether a wait leaves enough time before the deadline for the retry."""
        if Guard.WAIT_FITS_DEADLINE in self._disabled:
            return True
        remaining_seconds = self._plan.deadline - now
        return remaining_seconds > 0 and wait_seconds <= remaining_seconds * MAXIMUM_WAIT_SHARE


def stages_of(plan: RequestPlan) -> tuple[Stage, ...]:
    """Return the stages that a request needs, in the order of their dispatches."""
    return (Stage.PREFILL, Stage.DECODE) if plan.is_model else (Stage.PLAIN,)
