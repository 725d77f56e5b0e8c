"""Consistent hash ring: ranks the workers for a key, and measures how much a change moves.

Every worker has several virtual nodes on a ring of 64-bit positions (brief, "The product"). A key
belongs to the first virtual node at or after its hash, clockwise. The positions depend only on the
id of the worker, so every router process builds the same ring from the same workers.
"""

from bisect import bisect_left
from collections.abc import Iterable, Iterator
from functools import lru_cache
from itertools import islice

import xxhash

VIRTUAL_NODES = 128
"""Virtual nodes of one worker: its share of the keys varies by about 1/sqrt(128), or 9 %."""

RING_SIZE = 1 << 64
"""Number of positions on the ring."""

PREFIX_BLOCK_CHARACTERS = 256
"""Length of a block; prompts are compared in whole blocks."""

PREFIX_BLOCKS = 4
"""Leading blocks of a prompt that its prefix key covers: 1024 characters in total."""

CACHED_WORKER_POSITIONS = 4096
"""Workers whose positions are cached, so that a membership change only has to sort them."""

_FIELD_SEPARATOR = "\x00"


def prefix_key(model: str, prompt: str) -> int:
    """Return the hash of a prompt's leading blocks, which requests with the same prefix share.

    The hash covers at most the first ``PREFIX_BLOCKS`` blocks, rounded down to whole blocks, so a
    different ending of the prompt does not change it. A prompt shorter than one block is hashed in
    full. The length is a trade-off. A longer prefix distinguishes prompts that share only a short
    preamble, which spreads them better over the workers, but two prompts that differ within that
    length then use different prefix caches. A shorter prefix assigns all prompts with a common
    preamble to one worker; the load bound of :mod:`orchidpath.routing.pairing` then moves the
    excess along the ring.

    Parameters
    ----------
    model : str
        Model of the request; prefix caches of different models share nothing.
    prompt : str
        The complete prompt.

    Returns
    -------
    int
        A 64-bit key.
    """
    full_blocks = min(len(prompt) // PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCKS)
    prefix = prompt[: full_blocks * PREFIX_BLOCK_CHARACTERS] if full_blocks else prompt
    return _hash_text(model + _FIELD_SEPARATOR + prefix)


def request_key(request_id: str) -> int:
    """Return the hash of a request id, which spreads requests evenly over the ring.

    Every attempt of a request has the same key.

    Parameters
    ----------
    request_id : str
        Identifier of the request.

    Returns
    -------
    int
        A 64-bit key.
    """
    return _hash_text(request_id)


class HashRing:
    """An immutable consistent hash ring; create it with :meth:`build`.

    Parameters
    ----------
    positions : list[int]
        Positions of the virtual nodes in ascending order.
    owners : list[str]
        Worker id of each virtual node, in the same order.
    worker_ids : tuple[str, ...]
        Ids of the distinct workers on the ring, sorted.
    """

    __slots__ = ("_owners", "_positions", "worker_ids")

    def __init__(self, positions: list[int], owners: list[str], worker_ids: tuple[str, ...]):
        self._positions = positions
        self._owners = owners
        self.worker_ids = worker_ids

    @classmethod
    def build(cls, worker_ids: Iterable[str], virtual_nodes: int = VIRTUAL_NODES) -> "HashRing":
        """Build the ring of the given workers, in any order.

        Parameters
        ----------
        worker_ids : Iterable[str]
            Ids of the workers; duplicates are ignored.
        virtual_nodes : int
            Number of virtual nodes of each worker.

        Returns
        -------
        HashRing
            The ring of these workers.

        Raises
        ------
        ValueError
            If ``virtual_nodes`` is below one.
        """
        if virtual_nodes < 1:
            raise ValueError("virtual_nodes must be at least 1: every worker needs a virtual node")
        distinct = tuple(sorted(set(worker_ids)))
        owner_of: dict[int, str] = {}
        # In reverse order, so that a position shared by two workers belongs to the first sorted id.
        for worker_id in reversed(distinct):
            owner_of.update(dict.fromkeys(_worker_positions(worker_id, virtual_nodes), worker_id))
        positions = sorted(owner_of)
        owners = [owner_of[position] for position in positions]
        return cls(positions, owners, distinct)

    def walk(self, key_hash: int) -> Iterator[str]:
        """Yield each worker once, clockwise from a key, starting with the key's owner.

        Parameters
        ----------
        key_hash : int
            A 64-bit key.

        Yields
        ------
        str
            Id of the next worker.
        """
        seen: set[str] = set()
        start = bisect_left(self._positions, key_hash)
        for offset in range(len(self._owners)):
            if len(seen) == len(self.worker_ids):
                return
            owner = self._owners[(start + offset) % len(self._owners)]
            if owner not in seen:
                seen.add(owner)
                yield owner

    def preference(self, key_hash: int, limit: int) -> tuple[str, ...]:
        """Return the first distinct workers clockwise from a key.

        Parameters
        ----------
        key_hash : int
            A 64-bit key.
        limit : int
            Maximum number of workers; a negative value counts as 0.

        Returns
        -------
        tuple[str, ...]
            Ids of distinct workers, the key's owner first.
        """
        return tuple(islice(self.walk(key_hash), max(limit, 0)))

    def owner(self, key_hash: int) -> str | None:
        """Return the worker that a key belongs to.

        Parameters
        ----------
        key_hash : int
            A 64-bit key.

        Returns
        -------
        str or None
            Id of the owner; None if the ring is empty.
        """
        return next(self.walk(key_hash), None)

    def boundaries(self) -> list[int]:
        """Return the positions after which the owner of a key may change.

        Returns
        -------
        list[int]
            Positions of the virtual nodes, ascending.
        """
        return list(self._positions)


def moved_share(old: HashRing, new: HashRing) -> float:
    """Return the share of the key space whose owner differs between two rings.

    The lengths of the arcs are summed as integers, so only the final division rounds.

    Parameters
    ----------
    old : HashRing
        The ring before the change.
    new : HashRing
        The ring after the change.

    Returns
    -------
    float
        Between 0 (nothing moves) and 1 (every key moves).
    """
    boundaries = sorted({*old.boundaries(), *new.boundaries()})
    if not boundaries:
        return 0.0
    moved = 0
    # The first arc starts at the last boundary and crosses the origin of the ring.
    previous = boundaries[-1] - RING_SIZE
    for boundary in boundaries:
        # No virtual node lies inside an arc, so all of its keys have the owner of the last one.
        if old.owner(boundary) != new.owner(boundary):
            moved += boundary - previous
        previous = boundary
    return moved / RING_SIZE


def _hash_text(text: str) -> int:
    # A caller's JSON may contain lone surrogates, which strict UTF-8 can't encode.
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))


@lru_cache(maxsize=CACHED_WORKER_POSITIONS)
def _worker_positions(worker_id: str, virtual_nodes: int) -> tuple[int, ...]:
    return tuple(
        _hash_text(worker_id + _FIELD_SEPARATOR + str(number)) for number in range(virtual_nodes)
    )
