"""What every worker still has to read, and how fast it reads; an estimate, pure.

A worker reads its prompts one after the other, so a read has begun when the one before it ended.
From when reads begin and end the pace of each worker follows; workers of one service differ, and a
slow one must get fewer prompts. Times are those at which the leader hears, which lag a little.
"""

from statistics import median

import msgspec

READ_TTL_SECONDS = 8.0
"""A prompt read without a report counts as waiting for this long."""

DEFAULT_SECONDS_PER_TOKEN = 1 / 40_000
"""Pace of a worker while nothing is known of any."""

LEAST_SECONDS_PER_TOKEN = 1 / 1_000_000
"""No worker is taken to be faster."""

MEMORY_TOKENS = 150_000.0
"""The pace is that of about the last so many tokens that a worker has read."""

LEAST_KNOWN_TOKENS = 10_000.0
"""With less than this read, a worker is taken to be as fast as most."""


class _Read(msgspec.Struct, frozen=True):
    worker_id: str
    tokens: int
    since: float
    expected_end: float
    shows_pace: bool


class _Worker(msgspec.Struct):
    """One worker: what waits there, and what it has read in which time."""

    waiting_tokens: int = 0
    reading_since: float = 0.0
    read_tokens: float = 0.0
    read_seconds: float = 0.0

    @property
    def seconds_per_token(self) -> float:
        """Pace; bounded, as several ends may be heard in one moment."""
        return max(self.read_seconds / self.read_tokens, LEAST_SECONDS_PER_TOKEN)

    def learn(self, tokens: int, seconds: float) -> None:
        """Take a read that has ended into the pace."""
        kept = max(0.0, 1.0 - tokens / MEMORY_TOKENS)
        self.read_tokens = self.read_tokens * kept + tokens
        self.read_seconds = self.read_seconds * kept + seconds


class PrefillQueues:
    """Prompt reads under way, by worker."""

    def __init__(self) -> None:
        self._reads: dict[str, _Read] = {}
        self._workers: dict[str, _Worker] = {}

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._reads

    def set_workers(self, worker_ids: frozenset[str]) -> None:
        """Forget workers that are gone."""
        for worker_id in self._workers.keys() - worker_ids:
            del self._workers[worker_id]

    def begin(
        self, attempt_id: str, worker_id: str, tokens: int, now: float, *, shows_pace: bool
    ) -> float:
        """Note a read that was ordered; returns the seconds until it is expected to end.

        Parameters
        ----------
        attempt_id
            The attempt.
        worker_id
            Its worker.
        tokens
            Tokens that the worker does not hold yet.
        now
            Monotonic seconds.
        shows_pace
            Whether the worker does nothing else meanwhile, so that its pace can be learned.
        """
        wait_seconds = self.wait_seconds(worker_id, now)
        worker = self._workers.setdefault(worker_id, _Worker())
        if worker.waiting_tokens <= 0:
            worker.reading_since = now
        worker.waiting_tokens += tokens
        expected_seconds = wait_seconds + tokens * self.seconds_per_token(worker_id)
        expected_end = now + expected_seconds
        self._reads[attempt_id] = _Read(worker_id, tokens, now, expected_end, shows_pace)
        return expected_seconds

    def expected_end(self, attempt_id: str) -> float | None:
        """Return when a read is expected to end; None when it is not under way."""
        read = self._reads.get(attempt_id)
        return read.expected_end if read is not None else None

    def end(self, attempt_id: str, worker_id: str, now: float, *, was_read: bool) -> None:
        """Note the end of a read, whether or not the prompt was read."""
        read = self._reads.get(attempt_id)
        if read is None or read.worker_id != worker_id:
            return
        del self._reads[attempt_id]
        worker = self._workers.get(worker_id)
        if worker is None:
            return
        if was_read and read.shows_pace:
            worker.learn(read.tokens, now - max(worker.reading_since, read.since))
        worker.waiting_tokens = max(worker.waiting_tokens - read.tokens, 0)
        worker.reading_since = now

    def expire(self, now: float) -> None:
        """End reads of which nothing was heard for too long."""
        for attempt_id, read in list(self._reads.items()):
            if now - read.since < READ_TTL_SECONDS:
                # The oldest come first.
                return
            self.end(attempt_id, read.worker_id, now, was_read=False)

    def waiting_tokens(self, worker_id: str) -> int:
        """Return the tokens that a worker still has to read."""
        worker = self._workers.get(worker_id)
        return worker.waiting_tokens if worker else 0

    def wait_seconds(self, worker_id: str, now: float) -> float:
        """Return how long a further prompt would wait at a worker."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.waiting_tokens <= 0:
            return 0.0
        seconds = worker.waiting_tokens * self.seconds_per_token(worker_id)
        return max(seconds - (now - worker.reading_since), 0.0)

    def seconds_per_token(self, worker_id: str) -> float:
        """Return the pace of a worker; that of most while it is not known."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.read_tokens < LEAST_KNOWN_TOKENS:
            return self.typical_seconds_per_token()
        return worker.seconds_per_token

    def typical_seconds_per_token(self) -> float:
        """Return the pace of most workers."""
        paces = [
            worker.seconds_per_token
            for worker in self._workers.values()
            if worker.read_tokens >= LEAST_KNOWN_TOKENS
        ]
        return median(paces) if paces else DEFAULT_SECONDS_PER_TOKEN
