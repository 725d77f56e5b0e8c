"""Bounds on the attempts of one request: which workers were tried, how often, how long to wait.

Sources: paper, "Circuit breakers and bounded retries" (a first pass over the eligible workers
before any reuse, full jitter, a retry time honoured only when it fits the deadline); design page.
"""

from orchidpath.routing.request.events import RequestPlan, StageTried
from orchidpath.routing.request.guards import NO_GUARD_DISABLED, Guard
from orchidpath.wire.messages import AttemptEffect
from orchidpath.wire.records import Stage

MAXIMUM_WAIT_SHARE = 0.5
"""A wait before a retry must fit into this share of the time left, so the retry has time to run."""

_NOT_RETRIED = frozenset({AttemptEffect.REQUEST, AttemptEffect.CONFIGURATION})
"""After these a worker would answer the same again."""


class RetryState:
    """What the attempts of one request have used up.

    Parameters
    ----------
    plan
        The request.
    disabled_guards
        For tests only: safety rules to leave out.
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
        """Stages for which every attempt needs a worker."""
        return frozenset(self._tried)

    def tried_per_stage(self, now: float) -> tuple[StageTried, ...]:
        """Return what a decision must know of the attempts so far."""
        waiting = {worker_id for worker_id, until in self._not_before.items() if until > now}
        excluded = tuple(sorted(self._excluded | waiting))
        return tuple(
            StageTried(stage=stage, tried=tuple(tried), excluded=excluded)
            for stage, tried in self._tried.items()
        )

    def record_dispatch(self, stage: Stage, worker_id: str) -> None:
        """Record that a worker was sent a dispatch."""
        if worker_id not in self._tried[stage]:
            self._tried[stage].append(worker_id)

    def record_attempt_failure(
        self, worker_id: str, effect: AttemptEffect, retry_after_seconds: float | None, now: float
    ) -> None:
        """Record how a worker failed, and its retry-after."""
        if effect in _NOT_RETRIED:
            self._excluded.add(worker_id)
        if retry_after_seconds is not None:
            self._not_before[worker_id] = now + retry_after_seconds

    def seconds_until_a_worker_returns(self, now: float) -> float | None:
        """Return the seconds until the first worker with a retry-after may be tried again."""
        waits = [
            until - now
            for worker_id, until in self._not_before.items()
            if until > now and worker_id not in self._excluded
        ]
        return min(waits, default=None)

    def attempts_left(self) -> bool:
        """Whether the request may have a further attempt."""
        return self.attempts_made < self._plan.retry.max_attempts

    def fits_deadline(self, wait_seconds: float, now: float) -> bool:
        """Whether a wait leaves enough of the deadline for the retry."""
        if Guard.WAIT_FITS_DEADLINE in self._disabled:
            return True
        remaining_seconds = self._plan.deadline - now
        return remaining_seconds > 0 and wait_seconds <= remaining_seconds * MAXIMUM_WAIT_SHARE


def stages_of(plan: RequestPlan) -> tuple[Stage, ...]:
    """Return the stages that a request needs, in the order in which they get their orders."""
    return (Stage.PREFILL, Stage.DECODE) if plan.is_model else (Stage.PLAIN,)
