"""How long the emulated work takes, and how much of it fits at once."""

import msgspec


class WorkerTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Speeds and sizes of an emulated model worker.

    ``batch_slowdown`` is the share by which each further stream slows every stream of the batch.
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
    """Return the time of one prefill; tokens found in the cache cost nothing.

    Parameters
    ----------
    timing : WorkerTiming
        The worker's speeds.
    prompt_tokens, cached_tokens : int
        Length of the prompt and of the part of it that is cached.

    Returns
    -------
    float
        Seconds of work.
    """
    uncached = max(0, prompt_tokens - cached_tokens)
    return timing.prefill_overhead_seconds + uncached / timing.prefill_tokens_per_second


def decode_interval_seconds(timing: WorkerTiming, streams: int) -> float:
    """Return the time between two tokens of a stream while ``streams`` of them share the batch."""
    slowdown = 1.0 + timing.batch_slowdown * max(0, streams - 1)
    return slowdown / timing.decode_tokens_per_second


def transfer_bytes(timing: WorkerTiming, prompt_tokens: int) -> int:
    """Return the size of the KV cache of a prompt."""
    return prompt_tokens * timing.kv_bytes_per_token


def transfer_seconds(timing: WorkerTiming, prompt_tokens: int) -> float:
    """Return the time that the KV transfer of a prompt's KV cache takes on an idle link."""
    return transfer_bytes(timing, prompt_tokens) / timing.link_bytes_per_second


class SerialResource:
    """Something that does one piece of work after the other, such as a processor or a link."""

    def __init__(self) -> None:
        self._busy_until = 0.0

    def reserve(self, now: float, seconds: float) -> float:
        """Queue a piece of work and return how long it takes until it is done.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        seconds : float
            Length of the work.

        Returns
        -------
        float
            Seconds from ``now``, waiting included.
        """
        start = max(now, self._busy_until)
        self._busy_until = start + seconds
        return self._busy_until - now


class InFlightLimit:
    """Bounds the attempts that a back end works on at once.

    Parameters
    ----------
    maximum : int
        So many fit.
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.current = 0
        self.highest = 0

    def try_enter(self) -> bool:
        """Take a place, if there is one."""
        if self.current >= self.maximum:
            return False
        self.current += 1
        self.highest = max(self.highest, self.current)
        return True

    def leave(self) -> None:
        """Give a place back."""
        self.current -= 1
