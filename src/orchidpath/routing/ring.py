"""The hash ring: which workers a key prefers, and how much of the key space a change moves.

Every worker holds several virtual nodes on a ring of 64-bit positions (brief, "The product"). A
key belongs to the first virtual node at or after its hash, clockwise. Positions depend on the
worker's name only, so every router builds the same ring from the same workers, in any process.
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
"""Prompts are compared in whole blocks of this many characters."""

PREFIX_BLOCKS = 4
"""Leading blocks of a prompt that make its affinity key: 1024 characters."""

CACHED_WORKER_POSITIONS = 4096
"""Workers whose virtual nodes are kept, so that a membership change only sorts again."""

_FIELD_SEPARATOR = "\x00"


def prefix_key(model: str, prompt: str) -> int:
    """Hash the leading blocks of a prompt: requests that share them share the key.

    The key covers the first ``PREFIX_BLOCKS`` blocks, rounded down to whole blocks, so a different
    ending does not change it; a prompt shorter than one block is taken whole. The length is a
    trade-off. A longer key separates prompts that share only a short preamble, which spreads them
    better, but sends two prompts that differ within its length to different caches. A shorter key
    gathers everything behind a common preamble on one worker; the load bound of
    :mod:`orchidpath.routing.pairing` then moves the excess along the ring.

    Parameters
    ----------
    model : str
        Model of the request: caches of different models have nothing in common.
    prompt : str
        The whole prompt.

    Returns
    -------
    int
        A 64-bit key.
    """
    full_blocks = min(len(prompt) // PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCKS)
    prefix = prompt[: full_blocks * PREFIX_BLOCK_CHARACTERS] if full_blocks else prompt
    return _hash_text(model + _FIELD_SEPARATOR + prefix)


def request_key(request_id: str) -> int:
    """Hash a request id: spreads requests evenly, the same for every attempt of a request.

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
    """An immutable ring of virtual nodes; build it with :meth:`build`.

    Parameters
    ----------
    positions : list[int]
        Positions of the virtual nodes in ascending order.
    owners : list[str]
        The worker of each virtual node, in the same order.
    worker_ids : tuple[str, ...]
        The distinct workers on the ring, sorted.
    """

    __slots__ = ("_owners", "_positions", "worker_ids")

    def __init__(self, positions: list[int], owners: list[str], worker_ids: tuple[str, ...]):
        self._positions = positions
        self._owners = owners
        self.worker_ids = worker_ids

    @classmethod
    def build(cls, worker_ids: Iterable[str], virtual_nodes: int = VIRTUAL_NODES) -> "HashRing":
        """Build the ring of some workers; their order does not matter.

        Parameters
        ----------
        worker_ids : Iterable[str]
            Names of the workers; repeated names count once.
        virtual_nodes : int
            Virtual nodes of each worker.

        Returns
        -------
        HashRing
            The ring.

        Raises
        ------
        ValueError
            If ``virtual_nodes`` is below one.
        """
        if virtual_nodes < 1:
            raise ValueError("a worker needs at least one virtual node")
        distinct = tuple(sorted(set(worker_ids)))
        owner_of: dict[int, str] = {}
        # Backwards, so that the first name gets a position that two workers share.
        for worker_id in reversed(distinct):
            owner_of.update(dict.fromkeys(_worker_positions(worker_id, virtual_nodes), worker_id))
        positions = sorted(owner_of)
        owners = [owner_of[position] for position in positions]
        return cls(positions, owners, distinct)

    def walk(self, key_hash: int) -> Iterator[str]:
        """Yield the distinct workers clockwise from a key, the owner first.

        Parameters
        ----------
        key_hash : int
            A 64-bit key.

        Yields
        ------
        str
            The next worker that was not yielded before.
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
            At most this many workers.

        Returns
        -------
        tuple[str, ...]
            Distinct workers, the key's owner first.
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
            The owner; None on an empty ring.
        """
        return next(self.walk(key_hash), None)

    def boundaries(self) -> list[int]:
        """Return the positions after which the owner may change, ascending.

        Returns
        -------
        list[int]
            Positions of the virtual nodes.
        """
        return list(self._positions)


def moved_share(old: HashRing, new: HashRing) -> float:
    """Return the share of the key space whose owner differs between two rings.

    The lengths of the arcs are summed as whole numbers, so the share is exact up to the final
    division.

    Parameters
    ----------
    old : HashRing
        Ring before the change.
    new : HashRing
        Ring after the change.

    Returns
    -------
    float
        Between 0 (nothing moves) and 1 (every key moves).
    """
    boundaries = sorted({*old.boundaries(), *new.boundaries()})
    if not boundaries:
        return 0.0
    moved = 0
    # The first arc reaches from the last boundary over the origin.
    previous = boundaries[-1] - RING_SIZE
    for boundary in boundaries:
        # No virtual node lies inside an arc, so its last key speaks for all of its keys.
        if old.owner(boundary) != new.owner(boundary):
            moved += boundary - previous
        previous = boundary
    return moved / RING_SIZE


def _hash_text(text: str) -> int:
    # A caller's JSON may hold lone surrogates, which strict UTF-8 refuses to encode.
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))


@lru_cache(maxsize=CACHED_WORKER_POSITIONS)
def _worker_positions(worker_id: str, virtual_nodes: int) -> tuple[int, ...]:
    return tuple(
        _hash_text(worker_id + _FIELD_SEPARATOR + str(number)) for number in range(virtual_nodes)
    )
