"""Leader election: pre-votes, votes, and the transition to leader.

Sources: Raft paper, sections 5.2 and 5.4.1; Raft thesis, section 9.6 (pre-vote).
"""

from orchidpath.consensus.raft_messages import RequestVote, RequestVoteReply
from orchidpath.consensus.replica import Progress, Replica
from orchidpath.consensus.replication import advance_commit, broadcast_append
from orchidpath.consensus.restart_votes import (
    is_in_restart_delay,
    is_reply_to_this_run,
    no_replica_holds_lease,
    would_grant_without_restart,
)
from orchidpath.consensus.types import EntryKind, Guard, HardState, LogEntry, Role


def on_election_timeout(replica: Replica, now: float) -> None:
    """Process an election timeout: a voter requests pre-votes, a learner only rearms its timer."""
    if is_in_restart_delay(replica, now):
        replica.arm_first_election(now)
    else:
        replica.arm_election(now)
    if not replica.is_voter:
        return
    if replica.guarded(Guard.PRE_VOTE):
        _start_pre_vote(replica, now)
    else:
        _start_election(replica, now)


def _start_pre_vote(replica: Replica, now: float) -> None:
    """Request pre-votes, which show whether an election could be won, without raising the term.

    Without pre-votes, a partitioned replica would return with a higher term and depose a leader
    that serves a healthy majority (thesis, section 9.6).
    """
    replica.set_role(Role.PRE_CANDIDATE, None)
    replica.votes = {replica.node_id}
    replica.idle_voters = set()
    if _may_start_election(replica, now):
        _start_election(replica, now)
        return
    _request_votes(replica, term=replica.term + 1, pre_vote=True)


def _may_start_election(replica: Replica, now: float) -> bool:
    """Return whether the replies to the pre-vote allow an election."""
    if no_replica_holds_lease(replica):
        return True
    # This replica's own vote counts too, but until the restart delay is over, an append received
    # before the restart may still forbid it to vote.
    return _has_vote_quorum(replica) and not is_in_restart_delay(replica, now)


def _start_election(replica: Replica, now: float) -> None:
    # Effects run in order, so the replica's vote for itself is durable before the first request
    # is sent. After a crash in between, it cannot vote for another candidate in the same term.
    replica.set_hard_state(HardState(term=replica.term + 1, voted_for=replica.node_id))
    replica.set_role(Role.CANDIDATE, None)
    replica.arm_election(now)
    # This check uses the replies to the pre-vote, so it must run before the votes are reset.
    nobody_leads = no_replica_holds_lease(replica)
    replica.votes = {replica.node_id}
    if _has_vote_quorum(replica):
        _become_leader(replica, now)
        return
    _request_votes(replica, term=replica.term, pre_vote=False, nobody_leads=nobody_leads)


def _request_votes(replica: Replica, term: int, pre_vote: bool, nobody_leads: bool = False) -> None:
    request = RequestVote(
        sender=replica.node_id,
        term=term,
        pre_vote=pre_vote,
        last_index=replica.log.last_index,
        last_term=replica.log.last_term,
        start_id=replica.start_id,
        nobody_leads=nobody_leads,
    )
    for node in replica.other_voters:
        replica.send(node, request)


def _has_vote_quorum(replica: Replica) -> bool:
    membership = replica.log.membership
    counted = replica.votes.intersection(membership.voters)
    return len(counted) >= membership.quorum_size()


def on_request_vote(replica: Replica, message: RequestVote, now: float) -> None:
    """Reply to a vote or pre-vote request.

    The replica replies whether or not its own log counts it as a voter: a candidate's log may
    hold a newer membership. The candidate counts only the voters of that membership. Without
    this rule a group that has just grown from one voter to two could never elect again if the
    entry that promoted the second had not reached it.
    """
    if message.term < replica.term or _is_bound_to_leader(replica, now):
        _reply(replica, message, granted=False)
        return
    up_to_date = _is_up_to_date(replica, message)
    if is_in_restart_delay(replica, now) and not message.nobody_leads:
        is_idle = would_grant_without_restart(replica, message, up_to_date)
        _reply(replica, message, granted=False, start_id=message.start_id if is_idle else 0)
        return
    if message.pre_vote:
        _reply(replica, message, granted=up_to_date and message.term > replica.term)
        return
    if message.term > replica.term:
        replica.become_follower(message.term, None)
    may_vote = replica.hard_state.voted_for in (None, message.sender) and replica.leader_id is None
    granted = may_vote and up_to_date
    if granted:
        replica.set_hard_state(HardState(term=replica.term, voted_for=message.sender))
        replica.arm_election(now)
    _reply(replica, message, granted=granted)


def _is_bound_to_leader(replica: Replica, now: float) -> bool:
    """Return whether this replica must refuse votes because a leader may hold a lease.

    A leader's lease depends on followers that refuse votes for the shortest election timeout
    after they received an append. The term of a refused request is not adopted either, because a
    higher term would depose the leader just as a vote would.
    """
    window = replica.settings.election_timeout_min_seconds
    if not replica.guarded(Guard.LEASE_VOTE_REFUSAL):
        return False
    if replica.role is Role.LEADER:
        return now - replica.quorum_acked_sent_at(now) < window
    return now - replica.last_leader_contact < window


def _is_up_to_date(replica: Replica, message: RequestVote) -> bool:
    """Return whether the candidate's log is at least as up-to-date as this replica's log."""
    if not replica.guarded(Guard.LOG_UP_TO_DATE):
        return True
    own = (replica.log.last_term, replica.log.last_index)
    return (message.last_term, message.last_index) >= own


def _reply(replica: Replica, message: RequestVote, granted: bool, start_id: int = 0) -> None:
    reply = RequestVoteReply(
        sender=replica.node_id,
        term=message.term if granted else replica.term,
        pre_vote=message.pre_vote,
        granted=granted,
        start_id=start_id,
    )
    replica.send(message.sender, reply)


def on_request_vote_reply(replica: Replica, message: RequestVoteReply, now: float) -> None:
    """Count a vote, or adopt a newer term."""
    if not message.granted and message.term > replica.term:
        replica.become_follower(message.term, None)
        return
    if message.pre_vote:
        _count_pre_vote(replica, message, now)
        return
    if not message.granted:
        return
    if replica.role is Role.CANDIDATE and message.term == replica.term:
        replica.votes.add(message.sender)
        if _has_vote_quorum(replica):
            _become_leader(replica, now)


def _count_pre_vote(replica: Replica, message: RequestVoteReply, now: float) -> None:
    if replica.role is not Role.PRE_CANDIDATE:
        return
    if message.granted and message.term == replica.term + 1:
        replica.votes.add(message.sender)
    elif message.start_id and is_reply_to_this_run(replica, message.start_id):
        replica.idle_voters.add(message.sender)
    if _may_start_election(replica, now):
        _start_election(replica, now)


def _become_leader(replica: Replica, now: float) -> None:
    """Become the leader, and append a no-op.

    Entries of earlier terms commit only together with an entry of this term, and reads need the
    current commit index. The no-op provides both without waiting for a proposal.
    """
    replica.set_role(Role.LEADER, replica.node_id)
    replica.became_leader_at = now
    next_index = replica.log.last_index + 1
    replica.progress = {
        node: Progress(next_index)
        for node in replica.log.membership.members()
        if node != replica.node_id
    }
    replica.term_start_index = next_index
    payload = replica.node_id.encode()
    replica.append_entries([LogEntry(next_index, replica.term, EntryKind.NOOP, payload)])
    broadcast_append(replica, now, heartbeat=True)
    advance_commit(replica, now)
