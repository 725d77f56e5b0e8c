"""Tests of the estimate of the prefixes that a worker has cached."""

from orchidpath.placement.cached_prefixes import MAX_CACHED_PREFIXES, CachedPrefixes


def test_the_prefixes_used_least_recently_are_evicted_above_the_capacity() -> None:
    cached = CachedPrefixes()
    for key in (1, 2):
        cached.use(key, 40, capacity_tokens=100)
    cached.use(1, 40, capacity_tokens=100)
    cached.use(3, 40, capacity_tokens=100)
    assert [key in cached for key in (1, 2, 3)] == [True, False, True]


def test_the_number_of_short_prefixes_is_bounded() -> None:
    """Guards against a leader whose memory grows with every prefix that callers make up."""
    cached = CachedPrefixes()
    for key in range(MAX_CACHED_PREFIXES + 1):
        cached.use(key, 1, capacity_tokens=10**9)
    assert 0 not in cached
    assert all(key in cached for key in range(1, MAX_CACHED_PREFIXES + 1))
