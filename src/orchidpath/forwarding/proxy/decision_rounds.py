"""The rounds of decisions of one forwarded request; pure."""

from orchidpath.forwarding.proxy.proxy_effects import ChooseWorkers
from orchidpath.forwarding.proxy.proxy_events import ChosenWorker
from orchidpath.routing.request.events import StageTried
from orchidpath.wire.records import Stage

MAX_ROUNDS = 8
"""Rounds for one request, at most: bounds failures before the first byte, which cost nothing."""

MAX_POSTPONED_SECONDS = 2.0
"""The leader may postpone a decision this long, until another request's prefill is cached."""


class DecisionRounds:
    """Counts rounds and attempts, and knows which workers were tried.

    Parameters
    ----------
    request_id
        Id of the request; ids of attempts begin with it.
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
        """Whether this round's decision is about a prefill worker too."""
        return Stage.PREFILL in self._stages

    def begin(self) -> bool:
        """Begin a round; returns whether there may be one more."""
        if self._rounds == MAX_ROUNDS:
            return False
        self._rounds += 1
        return True

    def choose(
        self, stages: tuple[Stage, ...], prefill_worker_id: str, now: float
    ) -> ChooseWorkers:
        """Return the effect that has this round's workers chosen.

        Parameters
        ----------
        stages
            Stages of the attempt.
        prefill_worker_id
            The worker that holds the KV cache of the prompt already; empty for none.
        now
            Monotonic seconds.
        """
        self._stages = stages
        self._prefill_worker_id = prefill_worker_id
        self._postponed_until = now + MAX_POSTPONED_SECONDS
        return self.choose_again(now)

    def choose_again(self, now: float) -> ChooseWorkers:
        """Return the same effect as an attempt of its own, after it was postponed."""
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
        """Prefer other workers from now on."""
        self._tried[chosen.stage].append(chosen.worker.worker_id)
