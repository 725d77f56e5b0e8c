"""Which control processes there are and which one leads, as one process has learned it; pure.

Built from the answers of any processes, seeds included, so that three seed addresses are enough.
"""

from collections.abc import Sequence

from orchidpath.wire.messages import ControlMembers

LEADER_SILENT_SECONDS = 0.7
"""Without a word of the leader for this long, every known process is asked who leads."""

QUERY_PERIOD_SECONDS = 0.25
"""Time between two rounds of asking while no leader is heard."""


class LeaderFinder:
    """The newest known control members.

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
        """Take other seeds; what was learned through the earlier ones stays."""
        self._seeds = tuple(seeds)

    @property
    def members(self) -> ControlMembers:
        """What this process answers to ``WhoIsControl``."""
        return self._members

    @property
    def leader_address(self) -> str:
        """Wire address of the leader; empty when unknown."""
        for member in self._members.members:
            if member.node_id == self._members.leader_id:
                return member.address
        return ""

    def update_members(self, members: ControlMembers) -> bool:
        """Take an answer; one of a lower term, or that knows less, is ignored.

        Returns
        -------
        bool
            Whether anything changed.
        """
        if not members.members or members.term < self._members.term:
            return False
        knows_less = members.term == self._members.term and not members.leader_id
        if knows_less and self._members.leader_id:
            return False
        changed = members != self._members
        self._members = members
        return changed

    def record_leader_contact(self, now: float) -> None:
        """Record a word of the leader."""
        self._leader_contact_at = now

    def is_leader_silent(self, now: float) -> bool:
        """Whether the leader was not heard lately."""
        return now - self._leader_contact_at >= LEADER_SILENT_SECONDS

    def should_query(self, now: float) -> bool:
        """Whether to ask everyone now who leads; at most once a period."""
        if not self.is_leader_silent(now) or now < self._next_query_at:
            return False
        self._next_query_at = now + QUERY_PERIOD_SECONDS
        return True

    def addresses(self, now: float) -> set[str]:
        """Return the wire addresses to keep links to.

        All control members, so that a fail-over needs no new connection; the seeds as well while
        no leader is heard.
        """
        addresses = {member.address for member in self._members.members if member.address}
        if self.is_leader_silent(now) or not addresses:
            addresses.update(self._seeds)
        return addresses
