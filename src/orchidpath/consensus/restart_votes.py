"""Votes of replicas that have just restarted.

A leader's lease depends on followers that refuse votes for the shortest election timeout after an
append, and a restart loses the time of the last append. So a restarted replica refuses votes for as
long after its start, which delays the first election of a group that restarted together.

The wait ends earlier when nobody can hold a lease: when the candidate, which has received no append
since its start, has a reply of every voter that it does not lead. A leader that is elected after
its reply is safe: it holds a lease only once an entry of its term is on a majority, and the
candidate lacks that entry, so a voter of that majority refuses it.
"""

from orchidpath.consensus.raft_messages import RequestVote
from orchidpath.consensus.replica import Replica
from orchidpath.consensus.types import EntryKind, Guard, Role


def must_wait(replica: Replica, now: float) -> bool:
    """Return whether a promise not to vote, made before the restart, may still hold."""
    window = replica.settings.election_timeout_min_seconds
    return replica.guarded(Guard.RESTART_VOTE_DELAY) and now - replica.started_at < window


def would_grant_without_restart(
    replica: Replica, request: RequestVote, is_up_to_date: bool
) -> bool:
    """Return whether a pre-vote is refused for nothing but the restart."""
    is_newer = request.term > replica.term
    return request.pre_vote and is_newer and is_up_to_date and replica.role is not Role.LEADER


def is_answer_to_this_run(replica: Replica, start_id: int) -> bool:
    """Return whether a voter's reply answers a request of this run, not of one before a restart."""
    return start_id == replica.start_id or not replica.guarded(Guard.START_ID_MATCH)


def nobody_holds_a_lease(replica: Replica) -> bool:
    """Return whether every voter has replied to a pre-vote, and the last leader is among them."""
    if replica.last_leader_contact >= replica.started_at:
        return False
    answered = replica.votes | replica.idle_voters
    if not answered.issuperset(replica.log.membership.voters):
        return False
    return _last_leader_votes(replica) or not replica.guarded(Guard.LAST_LEADER_ANSWERS)


def _last_leader_votes(replica: Replica) -> bool:
    """Return whether the leader of the log's last term is a voter, so that it was queried.

    A leader that has removed itself leads until its removal is committed.
    """
    log = replica.log
    if log.membership_index <= replica.commit_index:
        return True
    first_of_term = log.first_index_of_term(log.last_index)
    [entry] = log.entries_between(first_of_term, first_of_term)
    leader_id = entry.payload.decode() if entry.kind is EntryKind.NOOP else ""
    return leader_id in log.membership.voters
