"""The leader's side of replication: appends, acknowledgements, commit (Raft, section 5.3).

Appends are batched and pipelined. Once a follower has confirmed up to which index its log matches,
the leader sends further appends without waiting for replies, up to a window. If a message is lost,
the follower rejects a later append, and the leader returns to probing.
"""

from orchidpath.consensus.raft_messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshotReply,
)
from orchidpath.consensus.replica import Progress, ProgressMode, Replica
from orchidpath.consensus.snapshot_transfer import (
    send_next_chunk,
    send_transfer_heartbeat,
    start_transfer,
)
from orchidpath.consensus.types import Guard, LogEntry, Role


def broadcast_append(replica: Replica, now: float, heartbeat: bool) -> None:
    """Send every other member the entries that it lacks.

    A heartbeat is also sent to members that lack no entries.
    """
    if heartbeat:
        replica.heartbeat_due_at = now + replica.settings.heartbeat_seconds
    for node in list(replica.progress):
        send_append(replica, node, now, heartbeat)


def send_append(replica: Replica, node: str, now: float, heartbeat: bool) -> None:
    """Send one member the entries that it lacks, limited by its window of unacknowledged entries.

    A member that needs entries that are no longer in the log receives the snapshot instead.
    """
    progress = replica.progress[node]
    if progress.mode is ProgressMode.SNAPSHOT:
        if heartbeat:
            send_transfer_heartbeat(replica, node, progress, now)
        return
    if replica.log.term_at(progress.next_index - 1) is None:
        start_transfer(replica, node, progress, now)
        return
    if progress.mode is ProgressMode.PROBE:
        _send_probe(replica, node, progress, now, heartbeat)
        return
    sent = _send_pipelined(replica, node, progress, now)
    if heartbeat and not sent:
        _send_entries(replica, node, progress.next_index - 1, [], now)


def _send_probe(
    replica: Replica, node: str, progress: Progress, now: float, heartbeat: bool
) -> None:
    """Send at most one batch until the follower has confirmed where the logs match."""
    if progress.probe_outstanding:
        if heartbeat:
            _send_entries(replica, node, progress.next_index - 1, [], now)
        return
    limit = replica.settings.max_in_flight_entries
    batch = replica.log.batch_from(progress.next_index, replica.settings.max_batch_bytes, limit)
    if not batch and not heartbeat:
        return
    _send_entries(replica, node, progress.next_index - 1, batch, now)
    progress.probe_outstanding = True


def _send_pipelined(replica: Replica, node: str, progress: Progress, now: float) -> bool:
    sent = False
    window_end = progress.match_index + replica.settings.max_in_flight_entries
    while progress.next_index <= min(replica.log.last_index, window_end):
        window = window_end - progress.next_index + 1
        batch = replica.log.batch_from(
            progress.next_index, replica.settings.max_batch_bytes, window
        )
        _send_entries(replica, node, progress.next_index - 1, batch, now)
        progress.next_index += len(batch)
        sent = True
    return sent


def _send_entries(
    replica: Replica, node: str, prev_index: int, entries: list[LogEntry], now: float
) -> None:
    message = AppendEntries(
        sender=replica.node_id,
        term=replica.term,
        prev_index=prev_index,
        prev_term=replica.log.term_at(prev_index) or 0,
        commit_index=replica.commit_index,
        sent_at=now,
        entries=entries,
    )
    replica.send(node, message)


def on_append_reply(replica: Replica, message: AppendEntriesReply, now: float) -> None:
    """Process an acknowledgement or a rejection of an append."""
    progress = _progress_for_reply(replica, message.sender, message.term)
    if progress is None:
        return
    # A rejection also counts for the lease, because the follower has accepted this leader's term.
    _record_contact(replica, progress, message.sent_at, now)
    if message.success:
        _on_append_success(replica, message, progress, now)
    else:
        _on_append_rejected(replica, message, progress, now)


def _progress_for_reply(replica: Replica, sender: str, term: int) -> Progress | None:
    if term > replica.term:
        replica.become_follower(term, None)
        return None
    # A reply of an earlier term answers an earlier leader, whose log may have differed.
    if replica.role is not Role.LEADER or term < replica.term:
        return None
    return replica.progress.get(sender)


def _record_contact(replica: Replica, progress: Progress, sent_at: float, now: float) -> None:
    if not replica.guarded(Guard.LEASE_FROM_SEND_TIME):
        sent_at = now
    progress.acked_sent_at = max(progress.acked_sent_at, sent_at)


def _on_append_success(
    replica: Replica, message: AppendEntriesReply, progress: Progress, now: float
) -> None:
    progress.match_index = max(progress.match_index, message.match_index)
    if progress.mode is ProgressMode.SNAPSHOT:
        if progress.snapshot and progress.match_index < progress.snapshot.last_index:
            return
        progress.snapshot = None
    if progress.mode is not ProgressMode.REPLICATE:
        progress.mode = ProgressMode.REPLICATE
        progress.next_index = progress.match_index + 1
        progress.probe_outstanding = False
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    advance_commit(replica, now)
    if message.sender in replica.progress:
        send_append(replica, message.sender, now, heartbeat=False)


def _on_append_rejected(
    replica: Replica, message: AppendEntriesReply, progress: Progress, now: float
) -> None:
    """Move `next_index` back to where the logs may match, by one term per round trip.

    Moving back by one entry per round trip would take far longer when many entries differ.
    """
    if progress.mode is ProgressMode.SNAPSHOT or message.prev_index <= progress.match_index:
        return
    if progress.mode is ProgressMode.PROBE and message.prev_index != progress.next_index - 1:
        return
    next_index = message.conflict_index
    if message.conflict_term > 0:
        # Entries of a later term than the follower's conflicting entry cannot match; entries of
        # the same or an earlier term may.
        last = min(message.prev_index, replica.log.last_index)
        shared = replica.log.last_index_at_most_term(last, message.conflict_term)
        if replica.log.term_at(shared) == message.conflict_term:
            next_index = shared + 1
    progress.next_index = max(progress.match_index + 1, min(next_index, message.prev_index))
    progress.mode = ProgressMode.PROBE
    progress.probe_outstanding = False
    send_append(replica, message.sender, now, heartbeat=True)


def on_snapshot_reply(replica: Replica, message: InstallSnapshotReply, now: float) -> None:
    """Send the next chunk, or resume sending entries once the follower's snapshot is durable."""
    progress = _progress_for_reply(replica, message.sender, message.term)
    if progress is None:
        return
    _record_contact(replica, progress, message.sent_at, now)
    snapshot = progress.snapshot
    if snapshot is None or snapshot.last_index != message.last_index:
        return
    if not message.installed:
        send_next_chunk(replica, message.sender, progress, message.next_offset, now)
        return
    progress.snapshot = None
    progress.match_index = max(progress.match_index, message.last_index)
    progress.next_index = progress.match_index + 1
    progress.mode = ProgressMode.REPLICATE
    progress.probe_outstanding = False
    advance_commit(replica, now)
    if message.sender in replica.progress:
        send_append(replica, message.sender, now, heartbeat=True)


def advance_commit(replica: Replica, now: float) -> None:
    """Commit the entries that are durable on a majority of the voters.

    The leader's own entries count at once: their `PersistEntries` effect runs before the sends,
    so any acknowledgement arrives after the entries are durable at the leader. Only an entry of
    the current term is committed by counting replicas, and it commits all earlier entries with it.
    An entry of an earlier term can be on a majority and still be overwritten by a leader whose last
    term is later (Raft, section 5.4.2).
    """
    membership = replica.log.membership
    matches = [_durable_index(replica, node) for node in membership.voters]
    if not matches:
        return
    matches.sort(reverse=True)
    index = matches[membership.quorum_size() - 1]
    if index <= replica.commit_index:
        return
    term_matches = replica.log.term_at(index) == replica.term
    if replica.guarded(Guard.COMMIT_ONLY_CURRENT_TERM) and not term_matches:
        return
    replica.commit_up_to(index)
    _step_down_if_removed(replica, now)


def _durable_index(replica: Replica, node: str) -> int:
    if node == replica.node_id:
        return replica.log.last_index
    progress = replica.progress.get(node)
    return progress.match_index if progress else 0


def _step_down_if_removed(replica: Replica, now: float) -> None:
    """Step down once the membership without this leader is committed, and not before.

    Until then the leader must replicate the entry, because other members may not have it yet. It
    does not count itself towards the majority.
    """
    if replica.is_voter or replica.log.membership_index > replica.commit_index:
        return
    broadcast_append(replica, now, heartbeat=True)
    replica.become_follower(replica.term, None)
