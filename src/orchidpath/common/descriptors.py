"""Number of connections that a process may accept, from its limit on open descriptors."""

import resource


def connections_within(maximum: int, part: float) -> int:
    """Return how many connections a listener may have open.

    Parameters
    ----------
    maximum
        Largest number, whatever the limit of the process.
    part
        Part of the process's descriptors that the listener may use.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return maximum
    return max(1, min(maximum, int(soft_limit * part)))
