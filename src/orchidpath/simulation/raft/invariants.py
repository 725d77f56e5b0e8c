"""Safety invariants that every history of a Raft group must satisfy, under any faults.

The checks read what replicas send, apply and reply, and compare replicas with each other. They
don't rely on the state that a single replica reports about itself.
"""

import crc32c
import msgspec

from orchidpath.consensus.types import LogEntry


class InvariantViolationError(Exception):
    """A history violated a safety invariant."""


class LeaseView(msgspec.Struct, frozen=True):
    """Leadership, lease and commit index that a running replica currently reports."""

    node: str
    term: int
    is_leader: bool
    has_lease: bool
    commit_index: int


def next_digest(digest: int, entry: LogEntry) -> int:
    """Return the digest of a state machine after it applied a further entry."""
    return int(crc32c.crc32c(msgspec.msgpack.encode(entry), digest))


class History:
    """History of a group; each event is checked when it is recorded."""

    def __init__(self) -> None:
        self.acknowledged_index = 0
        self.leader_of_term: dict[int, str] = {}
        self._vote_of: dict[tuple[int, str], str] = {}
        self._digest_at: dict[int, int] = {0: 0}

    @property
    def committed_index(self) -> int:
        """Highest index that any replica has applied."""
        return len(self._digest_at) - 1

    def record_leader(self, term: int, node: str) -> None:
        """Record a leader and check that its term has no other leader."""
        recorded = self.leader_of_term.setdefault(term, node)
        if recorded != node:
            raise InvariantViolationError(f"term {term} has two leaders: {recorded}, {node}")

    def record_vote(self, term: int, voter: str, candidate: str) -> None:
        """Record a vote and check that the voter votes once per term, also across restarts."""
        recorded = self._vote_of.setdefault((term, voter), candidate)
        if recorded != candidate:
            raise InvariantViolationError(
                f"{voter} voted for {recorded} and for {candidate} in term {term}"
            )

    def record_state(self, node: str, index: int, digest: int) -> None:
        """Record a state and check that all replicas have the same state at the same index."""
        recorded = self._digest_at.setdefault(index, digest)
        if recorded != digest:
            raise InvariantViolationError(
                f"{node} has a different state at committed entry {index}"
            )

    def record_acknowledged(self, index: int) -> None:
        """Record that a caller was notified that the entry at `index` is committed."""
        self.acknowledged_index = max(self.acknowledged_index, index)

    def check_read(self, node: str, read_index: int, required_index: int) -> None:
        """Check that a read returned all entries that were acknowledged before it began."""
        if read_index < required_index:
            raise InvariantViolationError(
                f"{node} read at {read_index}, but {required_index} was acknowledged before"
            )

    def check_leases(self, views: list[LeaseView]) -> None:
        """Check that no lease holder has stale data or coexists with a leader of a later term."""
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
