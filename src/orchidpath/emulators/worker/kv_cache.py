"""The emulated KV cache: a prefix cache by blocks, and handles for the KV transfer.

A handle is bound to one request, one attempt and one incarnation of the worker, expires after a
while and can be used once; anything else is refused.
"""

from collections import OrderedDict
from enum import StrEnum

import msgspec
import xxhash

BLOCK_TOKENS = 16
"""Tokens of one cached block; only whole blocks are cached."""


def count_tokens(prompt: str) -> int:
    """Return the length of a prompt in tokens; a token is a word."""
    return len(prompt.split())


def block_keys(prompt: str, block_tokens: int = BLOCK_TOKENS) -> list[int]:
    """Return the keys of a prompt's whole blocks, each depending on all blocks before it.

    Parameters
    ----------
    prompt : str
        The whole text.
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
    """Blocks of prefilled prompts with least-recently-used eviction.

    Parameters
    ----------
    capacity_tokens : int
        Room for so many tokens.
    block_tokens : int
        Tokens of one block.
    """

    def __init__(self, capacity_tokens: int, block_tokens: int = BLOCK_TOKENS) -> None:
        self._capacity_blocks = capacity_tokens // block_tokens
        self._block_tokens = block_tokens
        self._blocks: OrderedDict[int, None] = OrderedDict()

    @property
    def tokens(self) -> int:
        """Tokens held now."""
        return len(self._blocks) * self._block_tokens

    def cached_tokens(self, keys: list[int]) -> int:
        """Return how many tokens at the start of a prompt are held, and mark them as used."""
        hits = 0
        for key in keys:
            if key not in self._blocks:
                break
            hits += 1
        self._mark_used(keys[:hits])
        return hits * self._block_tokens

    def insert(self, keys: list[int]) -> None:
        """Hold a prompt's blocks; blocks beyond the capacity are not held."""
        handle = keys[: self._capacity_blocks]
        for key in handle:
            self._blocks[key] = None
        self._mark_used(handle)
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Forget everything, as a change of stage does."""
        self._blocks.clear()

    def _mark_used(self, keys: list[int]) -> None:
        # The last block first: a block is then never evicted before the blocks that need it.
        for key in reversed(keys):
            self._blocks.move_to_end(key)


class HandleVerdict(StrEnum):
    """Answer to a decode worker that asks for a KV cache."""

    GRANTED = "granted"
    EXPIRED = "lapsed"
    MISMATCH = "mismatch"


class HandleClaim(msgspec.Struct, frozen=True, kw_only=True):
    """What a decode worker says about itself when it asks for a KV cache."""

    handle_id: str
    request_id: str
    attempt_id: str
    incarnation: str


class ClaimAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The verdict on a claim and, if granted, the tokens of the prompt."""

    verdict: HandleVerdict
    prompt_tokens: int = 0


class StoredHandle(msgspec.Struct, frozen=True, kw_only=True):
    """A handle that was given out and not used yet."""

    request_id: str
    attempt_id: str
    prompt_tokens: int
    expires_at: float


class HandleTable:
    """Handles given out by one incarnation of a worker.

    Parameters
    ----------
    incarnation : str
        The worker's incarnation.
    lifetime_seconds : float
        A handle expires after this long.
    """

    def __init__(self, incarnation: str, lifetime_seconds: float) -> None:
        self.incarnation = incarnation
        self.lifetime_seconds = lifetime_seconds
        self._handles: OrderedDict[str, StoredHandle] = OrderedDict()
        self._issued = 0

    def issue(self, request_id: str, attempt_id: str, prompt_tokens: int, now: float) -> str:
        """Give out a handle and return its id."""
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
        """Use a handle up, if the claim names everything that it is bound to.

        Parameters
        ----------
        claim : HandleClaim
            Who asks and for what.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ClaimAnswer
            A mismatch leaves the handle in place for the one it belongs to.
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
        """Drop the handles of a cancelled attempt."""
        cancelled_handles = [
            key for key, handle in self._handles.items() if handle.attempt_id == attempt_id
        ]
        for handle_id in cancelled_handles:
            del self._handles[handle_id]

    def expire_all(self) -> int:
        """Drop every handle and return how many there were."""
        count = len(self._handles)
        self._handles.clear()
        return count

    def outstanding(self, now: float) -> int:
        """Return how many handles are held and not expired."""
        self._drop_expired(now)
        return len(self._handles)

    def _drop_expired(self, now: float) -> None:
        # Every handle lives equally long, so the oldest expires first.
        while self._handles:
            handle_id, handle = next(iter(self._handles.items()))
            if handle.expires_at > now:
                return
            del self._handles[handle_id]
