"""The control membership as a replica sees it, and its changes while it leads; pure."""

from orchidpath.consensus.errors import MembershipChangeError, NotLeaderError
from orchidpath.consensus.types import Membership
from orchidpath.control.leadership.member_manager import MemberManager, MemberPolicy
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.control.replica.replicated_log import ReplicatedLog
from orchidpath.state.commands import RegisterControlMember, RemoveControlMember
from orchidpath.wire.messages import ControlMembers
from orchidpath.wire.records import ControlMember


class MembershipChanges:
    """Answers who the members are, and proposes what the member manager names.

    Parameters
    ----------
    member
        This replica as it registers itself.
    policy
        How many voters to keep.
    log
        The replicated log.
    output
        Where proposals go.
    """

    def __init__(
        self,
        member: ControlMember,
        policy: MemberPolicy,
        log: ReplicatedLog,
        output: ControlOutput,
    ) -> None:
        self._member = member
        self._policy = policy
        self._log = log
        self._output = output
        self._manager = MemberManager(policy, 0.0)

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the newest membership that it knows."""
        return self._member.node_id in self._log.raft.membership.members()

    def control_members(self) -> ControlMembers:
        """Answer who the control members are, as far as this replica knows."""
        raft = self._log.raft
        registered = {member.node_id: member for member in self._log.state.control_members()}
        members = tuple(
            _member_of(node_id, raft.membership, registered.get(node_id))
            for node_id in raft.membership.members()
        )
        return ControlMembers(
            term=raft.term,
            leader_id=raft.leader_id or "",
            members=members,
            may_vote=self._member.may_vote,
        )

    def leadership_started(self, now: float) -> None:
        """Begin to lead: silence counts from now, and this replica registers itself."""
        self._manager = MemberManager(self._policy, now)
        self._output.propose(RegisterControlMember(member=self._member))

    def join_requested(self, member: ControlMember) -> None:
        """Note a replica that wants to become a learner."""
        self._manager.join_requested(member.node_id, member.address)
        self._output.propose(RegisterControlMember(member=member))

    def propose_next(self, now: float) -> None:
        """Propose the next membership change, if there is one and it is safe."""
        change = self._manager.next_change(
            self._member.node_id,
            self._log.raft.membership,
            self._log.raft.last_contact,
            now,
            self._standbys(),
        )
        if change is None:
            self._unregister_removed()
            return
        try:
            self._log.propose_membership(change, now)
        except (MembershipChangeError, NotLeaderError):
            return  # not safe yet; the same change is named again on a later tick

    def _standbys(self) -> frozenset[str]:
        """Return the replicas without a disk, which never vote."""
        members = self._log.state.control_members()
        return frozenset(member.node_id for member in members if not member.may_vote)

    def _unregister_removed(self) -> None:
        """Take replicas that are no longer members off the list that operators see."""
        raft = self._log.raft
        if not raft.membership_committed:
            return
        present = raft.membership.members()
        for member in self._log.state.control_members():
            if member.node_id not in present:
                self._output.propose(RemoveControlMember(node_id=member.node_id))


def _member_of(
    node_id: str, membership: Membership, registered: ControlMember | None
) -> ControlMember:
    """Return a member as the membership has it, with what it registered of itself."""
    return ControlMember(
        node_id=node_id,
        address=membership.addresses.get(node_id, ""),
        http_address=registered.http_address if registered is not None else "",
        voter=node_id in membership.voters,
        may_vote=registered.may_vote if registered is not None else True,
    )
