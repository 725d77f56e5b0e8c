"""Estimate of the shared prefixes in the KV cache of one worker; performs no I/O."""

from collections import OrderedDict

MAX_CACHED_PREFIXES = 4_096
"""Upper bound on the shared prefixes that are tracked for one worker, however short they are."""


class CachedPrefixes:
    """LRU estimate of the shared prefixes that one worker has cached."""

    def __init__(self) -> None:
        self._tokens: OrderedDict[int, int] = OrderedDict()
        self._total = 0

    def __contains__(self, prefix_key: int) -> bool:
        return prefix_key in self._tokens

    def use(self, prefix_key: int, tokens: int, capacity_tokens: int) -> None:
        """Mark a prefix as most recently used, and evict others while over capacity."""
        self._total += tokens - self._tokens.pop(prefix_key, 0)
        self._tokens[prefix_key] = tokens
        while self._is_over(capacity_tokens) and len(self._tokens) > 1:
            self._total -= self._tokens.popitem(last=False)[1]

    def _is_over(self, capacity_tokens: int) -> bool:
        return self._total > capacity_tokens or len(self._tokens) > MAX_CACHED_PREFIXES
