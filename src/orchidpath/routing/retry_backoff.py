"""Delay before a retry: exponential backoff with full jitter (paper, "Circuit breakers...")."""

from random import Random

from orchidpath.wire.configuration import RetryPolicy

MAXIMUM_DOUBLINGS = 32
"""Maximum number of doublings of the ceiling, so that the power of two can't overflow."""


def full_jitter(attempt_number: int, policy: RetryPolicy, random: Random) -> float:
    """Return the time to wait before a retry.

    The wait is uniformly distributed between zero and a ceiling that doubles with every retry, so
    that routers that observed the same failure at the same time do not retry at the same time.

    Parameters
    ----------
    attempt_number : int
        1 for the first retry of a request, 2 for the second, and so on.
    policy : RetryPolicy
        Base and upper bound of the ceiling.
    random : Random
        Source of randomness.

    Returns
    -------
    float
        Seconds to wait, at most ``backoff_cap_seconds``.

    Raises
    ------
    ValueError
        If ``attempt_number`` is below one.
    """
    if attempt_number < 1:
        raise ValueError("attempt_number must be at least 1: retries are counted from one")
    doublings = min(attempt_number - 1, MAXIMUM_DOUBLINGS)
    ceiling_seconds = min(policy.backoff_cap_seconds, policy.backoff_base_seconds * 2.0**doublings)
    return random.uniform(0.0, max(ceiling_seconds, 0.0))
