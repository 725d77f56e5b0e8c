"""Rounds of worker selection for one forwarded request; does no input or output."""

from orchidpath.forwarding.proxy.proxy_effects import ChooseWorkers
from orchidpath.forwarding.proxy.proxy_events import ChosenWorker
from orchidpath.routing.request.events import StageTried
from orchidpath.wire.records import Stage

MAX_ROUNDS = 8
"""Maximum number of rounds for one request.

It bounds failures before the first byte, which are not charged to the retry budget.
"""

MAX_POSTPONED_SECONDS = 2.0
"""Maximum time in seconds for which the leader may postpone a decision.

The leader postpones a decision until the prefill of another request is cached.
"""


class DecisionRounds:
    """Counts the rounds and attempts of one request, and tracks the workers that were tried.

    Parameters
    ----------
    request_id
        Id of the request, which is the prefix of its attempt ids.
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._rounds = 0
        self._attempts = 0
        self._tried: dict[Stage, list[str]] = {stage: [] for stage in Stage}
        self._stages: tuple[Stage, ...] = ()
        self._prefill_worker_id = ""
        self._postponed_until = 0.0

    @property
    def includes_prefill(self) -> bool:
        """Whether the current round selects a prefill worker too."""
        return Stage.PREFILL in self._stages

    def begin(self) -> bool:
        """Begin a round, and return whether the maximum number of rounds allows it."""
        if self._rounds == MAX_ROUNDS:
            return False
        self._rounds += 1
        return True

    def choose(
        self, stages: tuple[Stage, ...], prefill_worker_id: str, now: float
    ) -> ChooseWorkers:
        """Return the effect that requests the workers of this round.

        Parameters
        ----------
        stages
            Stages of the attempt.
        prefill_worker_id
            Id of the worker that already holds the KV cache of the prompt; empty for none.
        now
            Monotonic seconds.
        """
        self._stages = stages
        self._prefill_worker_id = prefill_worker_id
        self._postponed_until = now + MAX_POSTPONED_SECONDS
        return self.choose_again(now)

    def choose_again(self, now: float) -> ChooseWorkers:
        """Return the same effect under a new attempt id, after the decision was postponed."""
        self._attempts += 1
        return ChooseWorkers(
            attempt_id=f"{self._request_id}.{self._attempts}",
            per_stage=tuple(
                StageTried(stage=stage, tried=tuple(self._tried[stage]), excluded=())
                for stage in self._stages
            ),
            prefill_worker_id=self._prefill_worker_id,
            may_wait=now < self._postponed_until,
        )

    def record_tried(self, chosen: ChosenWorker) -> None:
        """Record that a worker was tried, so that other workers are preferred from now on."""
        self._tried[chosen.stage].append(chosen.worker.worker_id)
