"""The leader's side of a snapshot transfer to a follower that needs compacted entries.

The snapshot is sent in chunks (Raft, section 7). Only one chunk is in flight at a time, and a chunk
that stays unanswered is sent again.
"""

from orchidpath.consensus.raft_messages import AppendEntries, InstallSnapshot
from orchidpath.consensus.replica import Progress, ProgressMode, Replica


def start_transfer(replica: Replica, node: str, progress: Progress, now: float) -> None:
    """Start to send the snapshot, because the log no longer has the entries a follower needs."""
    progress.mode = ProgressMode.SNAPSHOT
    progress.snapshot = replica.log.snapshot
    progress.snapshot_offset = 0
    _send_chunk(replica, node, progress, now)


def send_transfer_heartbeat(replica: Replica, node: str, progress: Progress, now: float) -> None:
    """Send a heartbeat during a transfer, and repeat the chunk if it stayed unanswered.

    The heartbeat is an empty append at index 0, where all logs match. The follower's log may not
    reach any later index that the leader's log still contains.
    """
    heartbeat = AppendEntries(
        sender=replica.node_id,
        term=replica.term,
        prev_index=0,
        prev_term=0,
        commit_index=0,
        sent_at=now,
    )
    replica.send(node, heartbeat)
    if now - progress.snapshot_sent_at >= replica.settings.election_timeout_min_seconds:
        _send_chunk(replica, node, progress, now)


def send_next_chunk(
    replica: Replica, node: str, progress: Progress, next_offset: int, now: float
) -> None:
    """Send the chunk that the follower expects next."""
    # A repeated reply requests a chunk that is already in flight, which must not be sent twice.
    if progress.snapshot is None or (next_offset == progress.snapshot_offset and next_offset > 0):
        return
    progress.snapshot_offset = min(next_offset, len(progress.snapshot.data))
    _send_chunk(replica, node, progress, now)


def _send_chunk(replica: Replica, node: str, progress: Progress, now: float) -> None:
    snapshot = progress.snapshot
    if snapshot is None:
        return
    end = progress.snapshot_offset + replica.settings.snapshot_chunk_bytes
    progress.snapshot_sent_at = now
    message = InstallSnapshot(
        sender=replica.node_id,
        term=replica.term,
        last_index=snapshot.last_index,
        last_term=snapshot.last_term,
        membership=snapshot.membership,
        offset=progress.snapshot_offset,
        data=snapshot.data[progress.snapshot_offset : end],
        done=end >= len(snapshot.data),
        sent_at=now,
    )
    replica.send(node, message)
