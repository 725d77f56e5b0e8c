"""Reports the control membership and, on a leader, proposes changes to it; performs no I/O."""

from orchidpath.consensus.errors import MembershipChangeError, NotLeaderError
from orchidpath.consensus.types import Membership
from orchidpath.control.leadership.member_manager import MemberManager, MemberPolicy
from orchidpath.control.replica.control_effects import LearnerRemoved
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.control.replica.replicated_log import ReplicatedLog
from orchidpath.state.commands import RegisterControlMember, RemoveControlMember
from orchidpath.wire.messages import ControlMembers
from orchidpath.wire.records import ControlMember


class MembershipChanges:
    """Reports the control members and proposes the changes that the member manager chooses.

    Parameters
    ----------
    member
        The record with which this replica registers itself.
    policy
        Number of voters to keep, and time-outs.
    log
        The replicated log.
    output
        Collects the proposals.
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
        """Whether this replica is in the newest membership that it has received."""
        return self._member.node_id in self._log.raft.membership.members()

    def control_members(self) -> ControlMembers:
        """Return the control members and the leader in the newest membership received here."""
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
        """Restart all time-outs and register this replica, at the start of its leadership."""
        self._manager = MemberManager(self._policy, now)
        self._output.propose(RegisterControlMember(member=self._member))

    def join_requested(self, member: ControlMember) -> None:
        """Record that a replica requests to join as a learner, and register it."""
        self._manager.join_requested(member.node_id, member.address)
        self._output.propose(RegisterControlMember(member=member))

    def propose_next(self, now: float) -> None:
        """Propose the next membership change if one is necessary and safe."""
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
        learners = self._log.raft.membership.learners
        try:
            self._log.propose_membership(change, now)
        except (MembershipChangeError, NotLeaderError):
            return  # The change is not safe yet; a later tick proposes it again.
        for node_id in learners:
            if node_id not in change.members():
                self._output.emit(LearnerRemoved(node_id))

    def missing_voters(self, now: float) -> int:
        """Return how many voters are missing or lost; for a leader only."""
        raft = self._log.raft
        return self._manager.missing_voters(
            self._member.node_id, raft.membership, raft.last_contact, now
        )

    def _standbys(self) -> frozenset[str]:
        """Return the node ids of the replicas without a disk, which never vote."""
        members = self._log.state.control_members()
        return frozenset(member.node_id for member in members if not member.may_vote)

    def _unregister_removed(self) -> None:
        """Unregister replicas that are no longer members, so that operators do not see them."""
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
    """Return a member of the membership, completed from its registration."""
    return ControlMember(
        node_id=node_id,
        address=membership.addresses.get(node_id, ""),
        http_address=registered.http_address if registered is not None else "",
        voter=node_id in membership.voters,
        may_vote=registered.may_vote if registered is not None else True,
    )
