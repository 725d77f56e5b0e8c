"""Waiting time before a retry: exponential with full jitter (paper, "Circuit breakers...")."""

from random import Random

from orchidpath.wire.configuration import RetryPolicy

MAXIMUM_DOUBLINGS = 32
"""Doublings after which the ceiling grows no further, so that no power overflows."""


def full_jitter(attempt_number: int, policy: RetryPolicy, random: Random) -> float:
    """Return how long to wait before a retry.

    The wait is uniform between zero and a ceiling that doubles with every retry: routers that saw
    the same failure at the same moment then do not come back at the same moment.

    Parameters
    ----------
    attempt_number : int
        1 for the first retry of a request, 2 for the second, and so on.
    policy : RetryPolicy
        Base and cap of the ceiling.
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
        raise ValueError("attempt numbers start at one")
    doublings = min(attempt_number - 1, MAXIMUM_DOUBLINGS)
    ceiling_seconds = min(policy.backoff_cap_seconds, policy.backoff_base_seconds * 2.0**doublings)
    return random.uniform(0.0, max(ceiling_seconds, 0.0))
