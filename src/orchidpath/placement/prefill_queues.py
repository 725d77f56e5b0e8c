"""The prefills queued at every worker, and the pace of each worker; an estimate, pure.

A worker prefills its prompts one after the other, so a prefill starts when the one before it ends.
The pace of each worker follows from when its prefills start and end: workers of one service differ,
and a slow one must get fewer prompts. Times are those at which the leader is told, which lag a
little.
"""

from statistics import median

import msgspec

PREFILL_TTL_SECONDS = 8.0
"""A prefill without a report counts as queued for this long."""

DEFAULT_SECONDS_PER_TOKEN = 1 / 40_000
"""Pace of a worker before any has been measured."""

MIN_SECONDS_PER_TOKEN = 1 / 1_000_000
"""Lower bound on a measured pace, against several ends that are heard in one moment."""

PACE_WINDOW_TOKENS = 150_000.0
"""The pace is measured over about this many tokens that a worker prefilled last."""

MIN_MEASURED_TOKENS = 10_000.0
"""A worker that has prefilled fewer tokens is assumed to have the median pace."""


class _Prefill(msgspec.Struct, frozen=True):
    worker_id: str
    tokens: int
    started_at: float
    expected_end: float
    measures_pace: bool


class _Worker(msgspec.Struct):
    """One worker: tokens queued there, and tokens prefilled over the seconds that it took."""

    waiting_tokens: int = 0
    prefill_started_at: float = 0.0
    prefilled_tokens: float = 0.0
    prefill_seconds: float = 0.0

    @property
    def seconds_per_token(self) -> float:
        """Pace, bounded below."""
        return max(self.prefill_seconds / self.prefilled_tokens, MIN_SECONDS_PER_TOKEN)

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Add a completed prefill to the measured pace."""
        retained_share = max(0.0, 1.0 - tokens / PACE_WINDOW_TOKENS)
        self.prefilled_tokens = self.prefilled_tokens * retained_share + tokens
        self.prefill_seconds = self.prefill_seconds * retained_share + seconds


class PrefillQueues:
    """Prefills in flight, by worker."""

    def __init__(self) -> None:
        self._prefills: dict[str, _Prefill] = {}
        self._workers: dict[str, _Worker] = {}

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._prefills

    def set_workers(self, worker_ids: frozenset[str]) -> None:
        """Forget workers that were removed."""
        for worker_id in self._workers.keys() - worker_ids:
            del self._workers[worker_id]

    def begin(
        self, attempt_id: str, worker_id: str, tokens: int, now: float, *, measures_pace: bool
    ) -> float:
        """Record a dispatched prefill; returns the seconds until it is expected to end.

        Parameters
        ----------
        attempt_id
            The attempt.
        worker_id
            Its worker.
        tokens
            Tokens that the worker does not have cached yet.
        now
            Monotonic seconds.
        shows_pace
            Whether the worker does nothing else meanwhile, so that its pace can be measured.
        """
        wait_seconds = self.wait_seconds(worker_id, now)
        worker = self._workers.setdefault(worker_id, _Worker())
        if worker.waiting_tokens <= 0:
            worker.prefill_started_at = now
        worker.waiting_tokens += tokens
        expected_seconds = wait_seconds + tokens * self.seconds_per_token(worker_id)
        expected_end = now + expected_seconds
        self._prefills[attempt_id] = _Prefill(worker_id, tokens, now, expected_end, measures_pace)
        return expected_seconds

    def expected_end(self, attempt_id: str) -> float | None:
        """Return when a prefill is expected to end, monotonic seconds; None when not in flight."""
        prefill = self._prefills.get(attempt_id)
        return prefill.expected_end if prefill is not None else None

    def end(self, attempt_id: str, worker_id: str, now: float, *, was_completed: bool) -> None:
        """Record the end of a prefill, completed or failed."""
        prefill = self._prefills.get(attempt_id)
        if prefill is None or prefill.worker_id != worker_id:
            return
        del self._prefills[attempt_id]
        worker = self._workers.get(worker_id)
        if worker is None:
            return
        if was_completed and prefill.measures_pace:
            worker.record_prefill(
                prefill.tokens, now - max(worker.prefill_started_at, prefill.started_at)
            )
        worker.waiting_tokens = max(worker.waiting_tokens - prefill.tokens, 0)
        worker.prefill_started_at = now

    def expire(self, now: float) -> None:
        """End prefills without a report for ``PREFILL_TTL_SECONDS``."""
        for attempt_id, prefill in list(self._prefills.items()):
            if now - prefill.started_at < PREFILL_TTL_SECONDS:
                # The oldest come first.
                return
            self.end(attempt_id, prefill.worker_id, now, was_completed=False)

    def waiting_tokens(self, worker_id: str) -> int:
        """Return the tokens queued at a worker."""
        worker = self._workers.get(worker_id)
        return worker.waiting_tokens if worker else 0

    def wait_seconds(self, worker_id: str, now: float) -> float:
        """Return how many seconds a further prompt would wait at a worker."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.waiting_tokens <= 0:
            return 0.0
        seconds = worker.waiting_tokens * self.seconds_per_token(worker_id)
        return max(seconds - (now - worker.prefill_started_at), 0.0)

    def seconds_per_token(self, worker_id: str) -> float:
        """Return the pace of a worker; the median pace while too little was measured."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.prefilled_tokens < MIN_MEASURED_TOKENS:
            return self.typical_seconds_per_token()
        return worker.seconds_per_token

    def typical_seconds_per_token(self) -> float:
        """Return the median pace of all measured workers."""
        paces = [
            worker.seconds_per_token
            for worker in self._workers.values()
            if worker.prefilled_tokens >= MIN_MEASURED_TOKENS
        ]
        return median(paces) if paces else DEFAULT_SECONDS_PER_TOKEN
