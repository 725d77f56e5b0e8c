"""Table of the registered control replicas."""

from collections.abc import Iterable

from orchidpath.state.outcomes import Effect
from orchidpath.wire.records import ControlMember


class ControlMemberTable:
    """The registered control replicas.

    Parameters
    ----------
    members
        Control replicas that are registered initially.
    """

    def __init__(self, members: Iterable[ControlMember] = ()) -> None:
        self._members = {member.node_id: member for member in members}

    def records(self) -> tuple[ControlMember, ...]:
        """Return the registered control replicas, sorted by id."""
        return tuple(self._members[node_id] for node_id in sorted(self._members))

    def register(self, member: ControlMember) -> Effect:
        """Add a control replica or change its record; one without an id is invalid."""
        if not member.node_id:
            return Effect.INVALID
        if self._members.get(member.node_id) == member:
            return Effect.UNCHANGED
        self._members[member.node_id] = member
        return Effect.CHANGED

    def remove(self, node_id: str) -> Effect:
        """Remove a control replica; the effect is ``UNKNOWN`` if it is not registered."""
        if self._members.pop(node_id, None) is None:
            return Effect.UNKNOWN
        return Effect.CHANGED
