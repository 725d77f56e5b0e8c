"""Estimates of the prefills queued at every worker and of the pace of each worker.

A worker prefills its prompts one after the other, so a prefill starts when the previous one ends.
The pace of a worker is the time per prefilled token, computed from the start and end times of its
prefills. It is measured for each worker because workers of one service differ, and a slow worker
must get fewer prompts. Times are those at which the leader makes a decision or receives a report,
so an end is recorded slightly late. The module does no input or output; callers pass in the time.
"""

from statistics import median

import msgspec

PREFILL_TTL_SECONDS = 8.0
"""Time after which a prefill without a report no longer counts as queued."""

DEFAULT_SECONDS_PER_TOKEN = 1 / 40_000
"""Assumed pace of a worker until the pace of at least one worker has been measured."""

MIN_SECONDS_PER_TOKEN = 1 / 1_000_000
"""Lower bound on a measured pace.

Several reports that arrive together would otherwise give a pace of almost zero seconds.
"""

PACE_WINDOW_TOKENS = 150_000.0
"""The pace is averaged over approximately this many of the most recently prefilled tokens."""

MIN_MEASURED_TOKENS = 10_000.0
"""Measured tokens below which a worker is assumed to have the median pace."""


class _Prefill(msgspec.Struct, frozen=True):
    worker_id: str
    tokens: int
    started_at: float
    expected_end: float
    measures_pace: bool


class _Worker(msgspec.Struct):
    """Prefill state of one worker: its queued tokens and its measured pace.

    ``prefilled_tokens`` and ``prefill_seconds`` are decaying sums over completed prefills.
    """

    waiting_tokens: int = 0
    prefill_started_at: float = 0.0
    prefilled_tokens: float = 0.0
    prefill_seconds: float = 0.0

    @property
    def seconds_per_token(self) -> float:
        """Measured pace, at least ``MIN_SECONDS_PER_TOKEN``."""
        return max(self.prefill_seconds / self.prefilled_tokens, MIN_SECONDS_PER_TOKEN)

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Include a completed prefill in the measured pace."""
        retained_share = max(0.0, 1.0 - tokens / PACE_WINDOW_TOKENS)
        self.prefilled_tokens = self.prefilled_tokens * retained_share + tokens
        self.prefill_seconds = self.prefill_seconds * retained_share + seconds


class PrefillQueues:
    """Tracks the prefills in flight on each worker and estimates when they end."""

    def __init__(self) -> None:
        self._prefills: dict[str, _Prefill] = {}
        self._workers: dict[str, _Worker] = {}

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._prefills

    def set_workers(self, worker_ids: frozenset[str]) -> None:
        """Discard the state of workers that were removed."""
        for worker_id in self._workers.keys() - worker_ids:
            del self._workers[worker_id]

    def begin(
        self, attempt_id: str, worker_id: str, tokens: int, now: float, *, measures_pace: bool
    ) -> float:
        """Record a dispatched prefill, and return the seconds until it is expected to end.

        Parameters
        ----------
        attempt_id
            Id of the attempt that the prefill belongs to.
        worker_id
            Worker that prefills the prompt.
        tokens
            Prompt tokens that the worker does not have cached yet.
        now
            Monotonic seconds.
        measures_pace
            Whether the worker does nothing else during the prefill, so that its duration is a
            valid measurement of the worker's pace.
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
        """Return the expected end of a prefill in monotonic seconds; None if not in flight."""
        prefill = self._prefills.get(attempt_id)
        return prefill.expected_end if prefill is not None else None

    def end(self, attempt_id: str, worker_id: str, now: float, *, was_completed: bool) -> None:
        """Record that a prefill completed or failed; ignored if not in flight on this worker."""
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
        """Remove prefills that were not reported within ``PREFILL_TTL_SECONDS``."""
        for attempt_id, prefill in list(self._prefills.items()):
            if now - prefill.started_at < PREFILL_TTL_SECONDS:
                # Prefills are in the order of their start, so all that follow are younger.
                return
            self.end(attempt_id, prefill.worker_id, now, was_completed=False)

    def waiting_tokens(self, worker_id: str) -> int:
        """Return the number of tokens queued for prefill on a worker."""
        worker = self._workers.get(worker_id)
        return worker.waiting_tokens if worker else 0

    def wait_seconds(self, worker_id: str, now: float) -> float:
        """Return the seconds that a further prompt would wait before its prefill starts."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.waiting_tokens <= 0:
            return 0.0
        seconds = worker.waiting_tokens * self.seconds_per_token(worker_id)
        return max(seconds - (now - worker.prefill_started_at), 0.0)

    def seconds_per_token(self, worker_id: str) -> float:
        """Return the pace of a worker, or the median pace if too few tokens were measured."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.prefilled_tokens < MIN_MEASURED_TOKENS:
            return self.typical_seconds_per_token()
        return worker.seconds_per_token

    def typical_seconds_per_token(self) -> float:
        """Return the median pace, in seconds per token, of the workers with a measured pace."""
        paces = [
            worker.seconds_per_token
            for worker in self._workers.values()
            if worker.prefilled_tokens >= MIN_MEASURED_TOKENS
        ]
        return median(paces) if paces else DEFAULT_SECONDS_PER_TOKEN
