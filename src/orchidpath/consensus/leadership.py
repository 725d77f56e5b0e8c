"""Leader lease, linearizable reads, and the conditions under which a leader steps down.

Sources: Raft thesis, sections 6.2 (check quorum) and 6.4 (read index, leader lease).
"""

import math

from orchidpath.consensus.errors import NotLeaderError
from orchidpath.consensus.replica import Replica
from orchidpath.consensus.types import Guard, ReadTicket, Role


def observe_clock(replica: Replica, now: float) -> None:
    """Detect a suspended process or a lost quorum before the replica processes an event.

    A leader steps down in either case. Another replica rearms its election timer when the timer
    is long overdue.

    Parameters
    ----------
    replica
        The replica.
    now
        Monotonic clock in seconds.
    """
    idle_seconds = now - replica.last_activity
    replica.last_activity = now
    if replica.role is Role.LEADER:
        _step_down_if_replaceable(replica, idle_seconds, now)
        return
    overdue_seconds = now - replica.election_deadline
    if overdue_seconds > replica.settings.election_timeout_min_seconds:
        # The process was suspended and could not receive messages. The missing heartbeats are
        # therefore no sign of a failed leader.
        replica.arm_election(now)


def _step_down_if_replaceable(replica: Replica, idle_seconds: float, now: float) -> None:
    """Step down after a suspension longer than the lease, or without a quorum.

    During a suspension, another leader may have been elected and may have committed entries; a
    proposal accepted now would only be overwritten. A leader without a quorum must reject its
    callers instead of letting them wait for a commit that cannot happen.
    """
    woke = _woke_without_lease(replica, idle_seconds, now)
    has_lost_quorum = (
        seconds_without_quorum(replica, now) >= replica.settings.election_timeout_max_seconds
    )
    must_step_down = (woke and replica.guarded(Guard.WAKE_STEP_DOWN)) or (
        has_lost_quorum and replica.guarded(Guard.CHECK_QUORUM)
    )
    if must_step_down:
        replica.become_follower(replica.term, None)
        replica.arm_election(now)


def _woke_without_lease(replica: Replica, idle_seconds: float, now: float) -> bool:
    lease_seconds = replica.settings.leader_lease_seconds
    lease_is_over = now - replica.quorum_acked_sent_at(now) > lease_seconds
    return idle_seconds > lease_seconds and lease_is_over


def seconds_without_quorum(replica: Replica, now: float) -> float:
    """Return for how long a leader has had no acknowledgement from a quorum.

    The time is counted from the later of the last acknowledged append and the election.

    Parameters
    ----------
    replica
        The leader.
    now
        Monotonic clock in seconds.

    Returns
    -------
    float
        Seconds; infinite for a replica that has never been the leader.
    """
    since = max(replica.quorum_acked_sent_at(now), replica.became_leader_at)
    return now - since if since > -math.inf else math.inf


def require_leader(replica: Replica) -> None:
    """Reject a call that only the leader may answer.

    Raises
    ------
    NotLeaderError
        The replica is not the leader.
    """
    if replica.role is not Role.LEADER:
        raise NotLeaderError(replica.leader_id)


def has_lease(replica: Replica, now: float) -> bool:
    """Return whether this leader may answer a linearizable read from its applied state.

    While the lease is valid, a quorum has acknowledged an append that was sent within the lease
    duration. Each voter of the quorum refuses votes for longer than that after it received the
    append, so no other replica can have been elected. An entry of the current term must also be
    committed; until then, the leader's commit index may lag behind entries of earlier terms that
    are already committed.

    Parameters
    ----------
    replica
        The replica.
    now
        Monotonic clock in seconds, taken after the read was requested.

    Returns
    -------
    bool
        True while the lease is valid.
    """
    if replica.role is not Role.LEADER or replica.commit_index < replica.term_start_index:
        return False
    age_seconds = now - replica.quorum_acked_sent_at(now)
    return age_seconds < replica.settings.leader_lease_seconds


def issue_read_ticket(replica: Replica, now: float) -> ReadTicket:
    """Start a linearizable read, and make a heartbeat due at once to confirm the leadership.

    Parameters
    ----------
    replica
        The leader.
    now
        Monotonic clock in seconds.

    Returns
    -------
    ReadTicket
        The read index, the term, and the start time of the read.
    """
    replica.heartbeat_due_at = min(replica.heartbeat_due_at, now)
    # Until an entry of this term is committed, the commit index may lag behind entries of earlier
    # terms that are already committed. The read must wait for the first entry of this term.
    index = max(replica.commit_index, replica.term_start_index)
    return ReadTicket(index=index, term=replica.term, issued_at=now)


def read_is_ready(replica: Replica, ticket: ReadTicket, now: float) -> bool:
    """Return whether the read of a ticket may run now on the applied state.

    Parameters
    ----------
    replica
        The replica.
    ticket
        The read.
    now
        Monotonic clock in seconds.

    Returns
    -------
    bool
        True once the read index is committed and a quorum has confirmed the leadership, by a
        valid lease or by acknowledging an append sent after the ticket was issued.

    Raises
    ------
    NotLeaderError
        The replica no longer leads in the term that issued the ticket; start the read again.
    """
    if replica.role is not Role.LEADER or replica.term != ticket.term:
        raise NotLeaderError(replica.leader_id)
    if replica.commit_index < ticket.index:
        return False
    return has_lease(replica, now) or replica.quorum_acked_sent_at(now) >= ticket.issued_at
