"""The registered control replicas."""

from collections.abc import Iterable

from orchidpath.state.outcomes import Effect
from orchidpath.wire.records import ControlMember


class ControlMemberTable:
    """The registered control replicas.

    Parameters
    ----------
    members
        Members to begin with.
    """

    def __init__(self, members: Iterable[ControlMember] = ()) -> None:
        self._members = {member.node_id: member for member in members}

    def records(self) -> tuple[ControlMember, ...]:
        """Return the members, by id."""
        return tuple(self._members[node_id] for node_id in sorted(self._members))

    def register(self, member: ControlMember) -> Effect:
        """Add a member, or change its record."""
        if not member.node_id:
            return Effect.INVALID
        if self._members.get(member.node_id) == member:
            return Effect.UNCHANGED
        self._members[member.node_id] = member
        return Effect.CHANGED

    def remove(self, node_id: str) -> Effect:
        """Remove a member."""
        if self._members.pop(node_id, None) is None:
            return Effect.UNKNOWN
        return Effect.CHANGED
