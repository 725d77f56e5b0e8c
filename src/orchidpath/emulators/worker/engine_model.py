"""Durations and concurrency limits of the emulated inference engine."""

import msgspec


class WorkerTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Rates, capacities and time limits of an emulated model worker.

    ``batch_slowdown`` is the fraction by which each additional stream lengthens the token interval
    of every stream in the batch.
    """

    prefill_tokens_per_second: float = 20_000.0
    prefill_overhead_seconds: float = 0.005
    decode_tokens_per_second: float = 60.0
    batch_slowdown: float = 0.03
    kv_bytes_per_token: int = 160_000
    link_bytes_per_second: float = 10e9
    max_in_flight: int = 32
    cache_capacity_tokens: int = 400_000
    handle_lifetime_seconds: float = 5.0
    transfer_timeout_seconds: float = 3.0
    tokens_per_frame: int = 1


def prefill_seconds(timing: WorkerTiming, prompt_tokens: int, cached_tokens: int) -> float:
    """Return the duration of one prefill; cached tokens take no time.

    Parameters
    ----------
    timing : WorkerTiming
        Rates of the worker.
    prompt_tokens, cached_tokens : int
        Length of the prompt and of its cached prefix, in tokens.

    Returns
    -------
    float
        Duration in seconds.
    """
    uncached = max(0, prompt_tokens - cached_tokens)
    return timing.prefill_overhead_seconds + uncached / timing.prefill_tokens_per_second


def decode_interval_seconds(timing: WorkerTiming, streams: int) -> float:
    """Return the seconds between two tokens of a stream in a batch of ``streams`` streams."""
    slowdown = 1.0 + timing.batch_slowdown * max(0, streams - 1)
    return slowdown / timing.decode_tokens_per_second


def transfer_bytes(timing: WorkerTiming, prompt_tokens: int) -> int:
    """Return the size of the KV cache of a prompt in bytes."""
    return prompt_tokens * timing.kv_bytes_per_token


def transfer_seconds(timing: WorkerTiming, prompt_tokens: int) -> float:
    """Return the seconds that the transfer of a prompt's KV cache takes on an idle link."""
    return transfer_bytes(timing, prompt_tokens) / timing.link_bytes_per_second


class SerialResource:
    """A resource that serves one job at a time in FIFO order, such as a processor or a link."""

    def __init__(self) -> None:
        self._busy_until = 0.0

    def reserve(self, now: float, seconds: float) -> float:
        """Queue a job and return the time until its completion.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        seconds : float
            Duration of the job itself.

        Returns
        -------
        float
            Seconds from ``now`` until the job is done, including its waiting time.
        """
        start = max(now, self._busy_until)
        self._busy_until = start + seconds
        return self._busy_until - now


class InFlightLimit:
    """Limits the number of attempts in progress on a back end.

    Parameters
    ----------
    maximum : int
        Maximum number of attempts in progress at once.
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.current = 0
        self.highest = 0

    def try_enter(self) -> bool:
        """Occupy a slot and return True, or return False if all slots are occupied."""
        if self.current >= self.maximum:
            return False
        self.current += 1
        self.highest = max(self.highest, self.current)
        return True

    def leave(self) -> None:
        """Release a slot."""
        self.current -= 1
