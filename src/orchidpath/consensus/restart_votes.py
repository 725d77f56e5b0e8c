"""Rules for the votes of replicas that have just restarted.

A leader's lease depends on followers that refuse votes for the shortest election timeout after an
append, and a restart loses the time of the last append. A restarted replica therefore refuses votes
for the same time after its start, which delays the first election of a group whose replicas
restarted together.

This delay ends earlier if no replica can hold a lease. That is so if the candidate has received no
append since its start, and every voter has replied to it that the voter does not lead. A leader
that is elected after such a reply is safe: it holds a lease only once an entry of its term is on a
majority, and the candidate lacks that entry, so a voter of that majority refuses to vote for the
candidate.
"""

from orchidpath.consensus.raft_messages import RequestVote
from orchidpath.consensus.replica import Replica
from orchidpath.consensus.types import EntryKind, Guard, Role


def is_in_restart_delay(replica: Replica, now: float) -> bool:
    """Return whether an append from before the restart may still forbid this replica to vote."""
    window = replica.settings.election_timeout_min_seconds
    return replica.guarded(Guard.RESTART_VOTE_DELAY) and now - replica.started_at < window


def would_grant_without_restart(
    replica: Replica, request: RequestVote, is_up_to_date: bool
) -> bool:
    """Return whether the recent restart is the only reason to refuse a pre-vote."""
    is_newer = request.term > replica.term
    return request.pre_vote and is_newer and is_up_to_date and replica.role is not Role.LEADER


def is_reply_to_this_run(replica: Replica, start_id: int) -> bool:
    """Return whether a voter's reply answers a request that was sent after the last restart."""
    return start_id == replica.start_id or not replica.guarded(Guard.START_ID_MATCH)


def no_replica_holds_lease(replica: Replica) -> bool:
    """Return whether no replica can hold a leader lease.

    That is so if this replica has received no append since its start, every voter has replied to
    its pre-vote, and the last leader is one of these voters.
    """
    if replica.last_leader_contact >= replica.started_at:
        return False
    answered = replica.votes | replica.idle_voters
    if not answered.issuperset(replica.log.membership.voters):
        return False
    return _last_leader_votes(replica) or not replica.guarded(Guard.LAST_LEADER_ANSWERS)


def _last_leader_votes(replica: Replica) -> bool:
    """Return whether the leader of the log's last term is a voter, and so received the pre-vote.

    A leader that has removed itself from the voters still leads until its removal is committed.
    """
    log = replica.log
    if log.membership_index <= replica.commit_index:
        return True
    first_of_term = log.first_index_of_term(log.last_index)
    [entry] = log.entries_between(first_of_term, first_of_term)
    leader_id = entry.payload.decode() if entry.kind is EntryKind.NOOP else ""
    return leader_id in log.membership.voters
