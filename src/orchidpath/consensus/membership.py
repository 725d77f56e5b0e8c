"""Membership changes by one voter at a time.

Source: Raft thesis, section 4.1, and its later correction.
"""

from orchidpath.consensus.errors import (
    InvalidMembershipError,
    LearnerNotCaughtUpError,
    MembershipChangePendingError,
)
from orchidpath.consensus.log import encode_membership
from orchidpath.consensus.replica import Progress, Replica
from orchidpath.consensus.types import EntryKind, Guard, LogEntry, Membership


def append_membership(replica: Replica, proposed: Membership) -> int:
    """Check a membership change and append it to the log.

    The new membership is effective as soon as it is appended, before it is committed.

    Parameters
    ----------
    replica
        The leader.
    proposed
        The complete new membership.

    Returns
    -------
    int
        Index of the entry that carries the membership.

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
        raise InvalidMembershipError("the proposed membership has no voter, expected at least one")
    if len(set(members)) != len(members):
        raise InvalidMembershipError(
            f"a replica is listed more than once: voters {', '.join(proposed.voters)}; "
            f"learners {', '.join(proposed.learners)}"
        )
    missing = [node for node in members if node not in proposed.addresses]
    if missing:
        raise InvalidMembershipError(
            f"no address for {', '.join(missing)}, expected one for every voter and learner"
        )


def _check_nothing_pending(replica: Replica) -> None:
    """Reject a change while an earlier one is uncommitted, or no entry of this term is committed.

    With two pending changes, two majorities could exist that have no voter in common. A change
    that an earlier leader left uncommitted is pending too, and only a committed entry of this
    leader's own term rules out that the earlier change is replicated again.
    """
    if replica.commit_index < replica.term_start_index:
        raise MembershipChangePendingError(
            f"no entry of term {replica.term} is committed yet: the commit index is "
            f"{replica.commit_index}, expected at least {replica.term_start_index}"
        )
    if replica.log.membership_index > replica.commit_index:
        raise MembershipChangePendingError(
            f"the membership change at index {replica.log.membership_index} is not committed yet: "
            f"the commit index is {replica.commit_index}"
        )


def _check_one_voter_differs(current: Membership, proposed: Membership) -> None:
    """Reject a change by more than one voter.

    If at most one voter is added or removed, any majority of the current voters and any majority
    of the proposed voters have a voter in common.
    """
    if len(set(current.voters) ^ set(proposed.voters)) > 1:
        raise InvalidMembershipError(
            "more than one voter differs, expected at most one added or removed: "
            f"current voters {', '.join(current.voters)}; "
            f"proposed voters {', '.join(proposed.voters)}"
        )


def _check_new_voters_caught_up(replica: Replica, proposed: Membership) -> None:
    """Reject a new voter that is not a learner or lacks too many entries.

    A voter that lacks most of the log would raise the quorum size without being able to
    acknowledge new entries.
    """
    current = replica.log.membership
    limit = replica.settings.catch_up_max_lag_entries
    for node in set(proposed.voters) - set(current.voters):
        if node not in current.learners:
            raise InvalidMembershipError(
                f"{node} is not a learner, expected it to join as a learner before it votes"
            )
        progress = replica.progress.get(node)
        match_index = progress.match_index if progress else 0
        lacks_committed = match_index < replica.term_start_index
        if lacks_committed or replica.log.last_index - match_index > limit:
            raise LearnerNotCaughtUpError(
                f"{node} has entries up to index {match_index}, expected at least "
                f"{max(replica.term_start_index, replica.log.last_index - limit)}"
            )


def _adjust_progress(replica: Replica) -> None:
    members = set(replica.log.membership.members()) - {replica.node_id}
    for node in sorted(members - set(replica.progress)):
        replica.progress[node] = Progress(replica.log.last_index)
    for node in set(replica.progress) - members:
        del replica.progress[node]
