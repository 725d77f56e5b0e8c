"""The control members and the current leader that one process has stored; no input or output.

Every process of the fleet, including the seeds, answers queries for the control members, so three
seed addresses are enough to find the leader.
"""

from collections.abc import Sequence

from orchidpath.wire.messages import ControlMembers

LEADER_SILENT_SECONDS = 0.7
"""After this long without a message from the leader, all known processes are queried for it."""

QUERY_PERIOD_SECONDS = 0.25
"""Time between two rounds of queries while the leader is silent."""


class LeaderFinder:
    """Tracks the newest known control members and the leader among them.

    Parameters
    ----------
    seeds
        Wire addresses of three processes of the fleet, of any role.
    now
        Monotonic seconds.
    """

    def __init__(self, seeds: Sequence[str], now: float) -> None:
        self._seeds = tuple(seeds)
        self._members = ControlMembers(term=0, leader_id="", members=())
        self._leader_contact_at = now - LEADER_SILENT_SECONDS
        self._next_query_at = now

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seeds; members found through the former seeds are retained."""
        self._seeds = tuple(seeds)

    @property
    def members(self) -> ControlMembers:
        """The newest known control members, sent as the answer to ``WhoIsControl``."""
        return self._members

    @property
    def leader_address(self) -> str:
        """Wire address of the leader; empty when unknown."""
        for member in self._members.members:
            if member.node_id == self._members.leader_id:
                return member.address
        return ""

    def update_members(self, members: ControlMembers) -> bool:
        """Store the members of an answer.

        An answer is ignored if it has a lower term or no members, or if it names no leader while
        the leader of the same term is known.

        Returns
        -------
        bool
            Whether the stored members changed.
        """
        if not members.members or members.term < self._members.term:
            return False
        lacks_leader = members.term == self._members.term and not members.leader_id
        if lacks_leader and self._members.leader_id:
            return False
        changed = members != self._members
        self._members = members
        return changed

    def record_leader_contact(self, now: float) -> None:
        """Record that a message from the leader arrived."""
        self._leader_contact_at = now

    def is_leader_silent(self, now: float) -> bool:
        """Return whether no message from the leader arrived for ``LEADER_SILENT_SECONDS``."""
        return now - self._leader_contact_at >= LEADER_SILENT_SECONDS

    def should_query(self, now: float) -> bool:
        """Return whether to query all peers for the leader now; True at most once a period."""
        if not self.is_leader_silent(now) or now < self._next_query_at:
            return False
        self._next_query_at = now + QUERY_PERIOD_SECONDS
        return True

    def addresses(self, now: float) -> set[str]:
        """Return the wire addresses to which links are kept open.

        These are all control members, so that a failover needs no new connection, and also the
        seeds while the leader is silent or no member is known.
        """
        addresses = {member.address for member in self._members.members if member.address}
        if self.is_leader_silent(now) or not addresses:
            addresses.update(self._seeds)
        return addresses
