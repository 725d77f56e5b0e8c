"""What a leader may rely on: its lease, linearizable reads, and when it must step down.

Sources: Raft thesis, sections 6.2 (check quorum) and 6.4 (read index, leader lease).
"""

import math

from orchidpath.consensus.errors import NotLeaderError
from orchidpath.consensus.replica import Replica
from orchidpath.consensus.types import Guard, ReadTicket, Role


def observe_clock(replica: Replica, now: float) -> None:
    """Compare the clock with the last event, before the replica acts on what it believes.

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
        # The process was frozen: no message could arrive, so nothing is known about the leader.
        replica.arm_election(now)


def _step_down_if_replaceable(replica: Replica, idle_seconds: float, now: float) -> None:
    """Step down after a freeze longer than the lease, or without a quorum.

    After a freeze another leader may have been elected and have committed; a proposal accepted
    now would only be overwritten. A leader without a quorum must reject its callers, rather than
    let them wait for a commit that can't happen.
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
    """Return for how long a leader has had no quorum, counted at most from its election.

    Parameters
    ----------
    replica
        The leader.
    now
        Monotonic clock in seconds.

    Returns
    -------
    float
        Seconds; infinite for a replica that never led.
    """
    since = max(replica.quorum_acked_sent_at(now), replica.became_leader_at)
    return now - since if since > -math.inf else math.inf


def require_leader(replica: Replica) -> None:
    """Reject a call that only the leader may answer.

    Raises
    ------
    NotLeaderError
        The replica doesn't lead.
    """
    if replica.role is not Role.LEADER:
        raise NotLeaderError(replica.leader_id)


def has_lease(replica: Replica, now: float) -> bool:
    """Return whether this leader may answer a linearizable read from its applied state.

    A quorum has acknowledged an append sent within the lease, and each of its voters refuses
    votes for longer than that after it received it: nobody else can have been elected. An entry
    of the current term must be committed, else the leader may not know yet which earlier entries
    are.

    Parameters
    ----------
    replica
        The replica.
    now
        Monotonic clock in seconds, read after the read was requested.

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
    """Start a linearizable read; a heartbeat is due at once to confirm the leadership.

    Parameters
    ----------
    replica
        The leader.
    now
        Monotonic clock in seconds.

    Returns
    -------
    ReadTicket
        The read index, and when the read started.
    """
    replica.heartbeat_due_at = min(replica.heartbeat_due_at, now)
    # Entries of earlier terms may be committed and not known to be, until one of this term is.
    index = max(replica.commit_index, replica.term_start_index)
    return ReadTicket(index=index, term=replica.term, issued_at=now)


def read_is_ready(replica: Replica, ticket: ReadTicket, now: float) -> bool:
    """Return whether the read of a ticket may run now, on the applied state.

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
        True once the read index is applied and the leadership is confirmed since the issue.

    Raises
    ------
    NotLeaderError
        The leadership that issued the ticket is over; start the read again.
    """
    if replica.role is not Role.LEADER or replica.term != ticket.term:
        raise NotLeaderError(replica.leader_id)
    if replica.commit_index < ticket.index:
        return False
    return has_lease(replica, now) or replica.quorum_acked_sent_at(now) >= ticket.issued_at
