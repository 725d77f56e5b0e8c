"""Invariants of every history of a replica group, whatever fails meanwhile.

The checks read what replicas send, apply and answer, and compare replicas with each other; no
replica's own view of its state is trusted.
"""

import crc32c
import msgspec

from orchidpath.consensus.types import LogEntry


class InvariantViolationError(Exception):
    """A history broke a safety rule."""


class LeaseView(msgspec.Struct, frozen=True):
    """What one running replica would answer now."""

    node: str
    term: int
    is_leader: bool
    has_lease: bool
    commit_index: int


def next_digest(digest: int, entry: LogEntry) -> int:
    """Return the digest of a state machine after one more entry."""
    return int(crc32c.crc32c(msgspec.msgpack.encode(entry), digest))


class History:
    """The group's history so far, checked as it grows."""

    def __init__(self) -> None:
        self.acknowledged_index = 0
        self.leader_of_term: dict[int, str] = {}
        self._vote_of: dict[tuple[int, str], str] = {}
        self._digest_at: dict[int, int] = {0: 0}

    @property
    def committed_index(self) -> int:
        """Last index that any replica has applied."""
        return len(self._digest_at) - 1

    def record_leader(self, term: int, node: str) -> None:
        """Check that a term has one leader."""
        known = self.leader_of_term.setdefault(term, node)
        if known != node:
            raise InvariantViolationError(f"term {term} has two leaders: {known}, {node}")

    def record_vote(self, term: int, voter: str, candidate: str) -> None:
        """Check that a replica votes once in a term, across its restarts."""
        known = self._vote_of.setdefault((term, voter), candidate)
        if known != candidate:
            raise InvariantViolationError(
                f"{voter} voted for {known} and for {candidate} in term {term}"
            )

    def record_state(self, node: str, index: int, digest: int) -> None:
        """Check that all replicas have the same state after the same index."""
        known = self._digest_at.setdefault(index, digest)
        if known != digest:
            raise InvariantViolationError(f"{node} differs at committed entry {index}")

    def record_acknowledged(self, index: int) -> None:
        """Record that a caller was notified that the entry at `index` is committed."""
        self.acknowledged_index = max(self.acknowledged_index, index)

    def check_read(self, node: str, read_index: int, required_index: int) -> None:
        """Check that a read saw all that was acknowledged before it began."""
        if read_index < required_index:
            raise InvariantViolationError(
                f"{node} read at {read_index}, but {required_index} was acknowledged before"
            )

    def check_leases(self, views: list[LeaseView]) -> None:
        """Check that a lease excludes other leaders of later terms and stale answers."""
        for holder in views:
            if not holder.has_lease:
                continue
            self.check_read(holder.node, holder.commit_index, self.acknowledged_index)
            for other in views:
                if other.is_leader and other.term > holder.term:
                    raise InvariantViolationError(
                        f"{holder.node} has the lease of term {holder.term}, "
                        f"while {other.node} leads term {other.term}"
                    )
