"""Membership changes: one voter at a time (Raft thesis, section 4.1, and its later correction)."""

from orchidpath.consensus.errors import (
    InvalidMembershipError,
    LearnerNotCaughtUpError,
    MembershipChangePendingError,
)
from orchidpath.consensus.log import encode_membership
from orchidpath.consensus.replica import Progress, Replica
from orchidpath.consensus.types import EntryKind, Guard, LogEntry, Membership


def append_membership(replica: Replica, proposed: Membership) -> int:
    """Check a change and append it; it is in force from its append on.

    Parameters
    ----------
    replica
        The leader.
    proposed
        The complete new membership.

    Returns
    -------
    int
        Index of the entry.

    Raises
    ------
    MembershipChangePendingError, LearnerNotCaughtUpError, InvalidMembershipError
        The change is rejected and nothing has changed.
    """
    _check_complete(proposed)
    if replica.guarded(Guard.SINGLE_MEMBERSHIP_CHANGE):
        _check_nothing_pending(replica)
        _check_one_voter_differs(replica.log.membership, proposed)
    _check_new_voters_caught_up(replica, proposed)
    index = replica.log.last_index + 1
    payload = encode_membership(proposed)
    replica.append_entries([LogEntry(index, replica.term, EntryKind.MEMBERSHIP, payload)])
    _adjust_progress(replica)
    return index


def _check_complete(proposed: Membership) -> None:
    members = proposed.members()
    if not proposed.voters:
        raise InvalidMembershipError("a group needs a voter")
    if len(set(members)) != len(members):
        raise InvalidMembershipError("a replica is listed twice")
    missing = [node for node in members if node not in proposed.addresses]
    if missing:
        raise InvalidMembershipError(f"no address for {', '.join(missing)}")


def _check_nothing_pending(replica: Replica) -> None:
    """Reject while an earlier change, or every entry of this term, is uncommitted.

    Two pending changes could give two majorities with no common voter. A change that an
    earlier leader left uncommitted is pending too, and only a committed entry of this leader's
    own term rules out that it is replicated again.
    """
    if replica.commit_index < replica.term_start_index:
        raise MembershipChangePendingError("no entry of this term is committed yet")
    if replica.log.membership_index > replica.commit_index:
        raise MembershipChangePendingError("an earlier change is not committed yet")


def _check_one_voter_differs(current: Membership, proposed: Membership) -> None:
    """Allow one voter more or less: any two majorities then share a voter."""
    if len(set(current.voters) ^ set(proposed.voters)) > 1:
        raise InvalidMembershipError("more than one voter differs; change one at a time")


def _check_new_voters_caught_up(replica: Replica, proposed: Membership) -> None:
    """Promote a learner only when it lacks few entries.

    A voter without the log would raise the quorum without being able to help it commit.
    """
    current = replica.log.membership
    limit = replica.settings.catch_up_max_lag_entries
    for node in set(proposed.voters) - set(current.voters):
        if node not in current.learners:
            raise InvalidMembershipError(f"{node} must be a learner before it votes")
        progress = replica.progress.get(node)
        match_index = progress.match_index if progress else 0
        lacks_committed = match_index < replica.term_start_index
        if lacks_committed or replica.log.last_index - match_index > limit:
            raise LearnerNotCaughtUpError(f"{node} has entries up to {match_index} only")


def _adjust_progress(replica: Replica) -> None:
    members = set(replica.log.membership.members()) - {replica.node_id}
    for node in sorted(members - set(replica.progress)):
        replica.progress[node] = Progress(replica.log.last_index)
    for node in set(replica.progress) - members:
        del replica.progress[node]
