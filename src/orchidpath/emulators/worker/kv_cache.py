"""The emulated KV cache: a prefix cache of blocks, and handles for the KV transfer.

A handle is bound to one request, one attempt and one incarnation of the worker. It expires after a
fixed lifetime and can be used once; every other claim is refused.
"""

from collections import OrderedDict
from enum import StrEnum

import msgspec
import xxhash

BLOCK_TOKENS = 16
"""Tokens per cached block; only full blocks are cached."""


def count_tokens(prompt: str) -> int:
    """Return the length of a prompt in tokens; a token is a whitespace-separated word."""
    return len(prompt.split())


def block_keys(prompt: str, block_tokens: int = BLOCK_TOKENS) -> list[int]:
    """Return the keys of a prompt's full blocks; each key depends on all preceding blocks.

    Parameters
    ----------
    prompt : str
        The complete prompt.
    block_tokens : int
        Tokens of one block.

    Returns
    -------
    list[int]
        Two prompts share their first ``n`` keys exactly if they share their first ``n`` blocks.
    """
    words = prompt.split()
    keys: list[int] = []
    previous = 0
    for start in range(0, len(words) - block_tokens + 1, block_tokens):
        text = " ".join(words[start : start + block_tokens])
        previous = xxhash.xxh3_64_intdigest(text.encode(), seed=previous)
        keys.append(previous)
    return keys


class PrefixCache:
    """Cache of the blocks of prefilled prompts, with least-recently-used eviction.

    Parameters
    ----------
    capacity_tokens : int
        Capacity in tokens, rounded down to full blocks.
    block_tokens : int
        Tokens of one block.
    """

    def __init__(self, capacity_tokens: int, block_tokens: int = BLOCK_TOKENS) -> None:
        self._capacity_blocks = capacity_tokens // block_tokens
        self._block_tokens = block_tokens
        self._blocks: OrderedDict[int, None] = OrderedDict()

    @property
    def tokens(self) -> int:
        """Number of cached tokens."""
        return len(self._blocks) * self._block_tokens

    def cached_tokens(self, keys: list[int]) -> int:
        """Return the number of cached tokens of a prompt's prefix, and mark its blocks as used."""
        hits = 0
        for key in keys:
            if key not in self._blocks:
                break
            hits += 1
        self._mark_used(keys[:hits])
        return hits * self._block_tokens

    def insert(self, keys: list[int]) -> None:
        """Cache the blocks of a prompt, except those beyond the capacity."""
        handle = keys[: self._capacity_blocks]
        for key in handle:
            self._blocks[key] = None
        self._mark_used(handle)
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Remove every block; used when the worker changes its stage."""
        self._blocks.clear()

    def _mark_used(self, keys: list[int]) -> None:
        # The last block is marked first, so that a block is never evicted before the later blocks
        # of the prompt, which are useless without it.
        for key in reversed(keys):
            self._blocks.move_to_end(key)


class HandleVerdict(StrEnum):
    """Decision on a decode worker's claim of a KV cache."""

    GRANTED = "granted"
    EXPIRED = "lapsed"
    MISMATCH = "mismatch"


class HandleClaim(msgspec.Struct, frozen=True, kw_only=True):
    """The claim of a decode worker that requests a KV cache.

    ``incarnation`` is that of the prefill worker for which the handle was issued.
    """

    handle_id: str
    request_id: str
    attempt_id: str
    incarnation: str


class ClaimAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The verdict on a claim and, if it is granted, the length of the prompt in tokens."""

    verdict: HandleVerdict
    prompt_tokens: int = 0


class StoredHandle(msgspec.Struct, frozen=True, kw_only=True):
    """A handle that was issued and not used yet."""

    request_id: str
    attempt_id: str
    prompt_tokens: int
    expires_at: float


class HandleTable:
    """Handles issued by one incarnation of a worker.

    Parameters
    ----------
    incarnation : str
        The worker's incarnation.
    lifetime_seconds : float
        Time in seconds after which a handle expires.
    """

    def __init__(self, incarnation: str, lifetime_seconds: float) -> None:
        self.incarnation = incarnation
        self.lifetime_seconds = lifetime_seconds
        self._handles: OrderedDict[str, StoredHandle] = OrderedDict()
        self._issued = 0

    def issue(self, request_id: str, attempt_id: str, prompt_tokens: int, now: float) -> str:
        """Issue a handle and return its id."""
        self._drop_expired(now)
        self._issued += 1
        handle_id = f"{self.incarnation}-{self._issued}"
        self._handles[handle_id] = StoredHandle(
            request_id=request_id,
            attempt_id=attempt_id,
            prompt_tokens=prompt_tokens,
            expires_at=now + self.lifetime_seconds,
        )
        return handle_id

    def take(self, claim: HandleClaim, now: float) -> ClaimAnswer:
        """Consume a handle if the claim matches its request, attempt and incarnation.

        Parameters
        ----------
        claim : HandleClaim
            The claim of the decode worker.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ClaimAnswer
            GRANTED removes the handle. After MISMATCH the handle stays valid for its attempt.
        """
        self._drop_expired(now)
        if claim.incarnation != self.incarnation:
            return ClaimAnswer(verdict=HandleVerdict.MISMATCH)
        handle = self._handles.get(claim.handle_id)
        if handle is None:
            return ClaimAnswer(verdict=HandleVerdict.EXPIRED)
        if (handle.request_id, handle.attempt_id) != (claim.request_id, claim.attempt_id):
            return ClaimAnswer(verdict=HandleVerdict.MISMATCH)
        del self._handles[claim.handle_id]
        return ClaimAnswer(verdict=HandleVerdict.GRANTED, prompt_tokens=handle.prompt_tokens)

    def release(self, attempt_id: str) -> None:
        """Remove the handles of a cancelled attempt."""
        cancelled_handles = [
            key for key, handle in self._handles.items() if handle.attempt_id == attempt_id
        ]
        for handle_id in cancelled_handles:
            del self._handles[handle_id]

    def expire_all(self) -> int:
        """Remove every handle and return how many were removed."""
        count = len(self._handles)
        self._handles.clear()
        return count

    def outstanding(self, now: float) -> int:
        """Return the number of unused handles that have not expired."""
        self._drop_expired(now)
        return len(self._handles)

    def _drop_expired(self, now: float) -> None:
        # Every handle has the same lifetime, so handles expire in the order of their issue.
        while self._handles:
            handle_id, handle = next(iter(self._handles.items()))
            if handle.expires_at > now:
                return
            del self._handles[handle_id]
