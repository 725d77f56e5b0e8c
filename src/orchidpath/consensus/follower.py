"""The follower's side of replication: processes appends and snapshots from a leader."""

from typing import NamedTuple

from orchidpath.consensus.effects import ApplySnapshot, PersistSnapshot
from orchidpath.consensus.errors import ProtocolViolationError
from orchidpath.consensus.raft_messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
)
from orchidpath.consensus.replica import IncomingSnapshot, Replica
from orchidpath.consensus.types import LogEntry, Role, Snapshot


def on_append(replica: Replica, message: AppendEntries, now: float) -> None:
    """Store entries from the leader.

    Effects run in order, so the reply is sent after the entries are durable. The leader counts
    the reply towards a commit, and a commit must survive a crash of this replica.
    """
    if message.term < replica.term:
        # The higher term in the reply makes a deposed leader step down.
        _reject_append(replica, message, conflict_index=0, conflict_term=0)
        return
    _follow(replica, message.sender, message.term, now)
    prev_index, entries = _skip_compacted(replica, message)
    if prev_index > replica.log.last_index:
        _reject_append(replica, message, replica.log.last_index + 1, 0)
        return
    local_term = replica.log.term_at(prev_index)
    if prev_index == message.prev_index and local_term != message.prev_term:
        first = replica.log.first_index_of_term(prev_index)
        _reject_append(replica, message, first, local_term or 0)
        return
    _store_entries(replica, entries)
    match_index = message.prev_index + len(message.entries)
    replica.commit_up_to(min(message.commit_index, max(match_index, prev_index)))
    reply = AppendEntriesReply(
        sender=replica.node_id,
        term=replica.term,
        success=True,
        sent_at=message.sent_at,
        prev_index=message.prev_index,
        match_index=match_index,
    )
    replica.send(message.sender, reply)


def _follow(replica: Replica, leader_id: str, term: int, now: float) -> None:
    if term == replica.term and replica.role is Role.LEADER:
        raise ProtocolViolationError(
            f"two leaders in term {term}: {leader_id} and this replica, {replica.node_id}"
        )
    if term > replica.term or leader_id != replica.leader_id:
        replica.become_follower(term, leader_id)
    replica.last_leader_contact = now
    replica.arm_election(now)


class _NewEntries(NamedTuple):
    """Entries of an append that the snapshot does not cover, and the index that they follow."""

    prev_index: int
    entries: list[LogEntry]


def _skip_compacted(replica: Replica, message: AppendEntries) -> _NewEntries:
    """Skip the entries that the snapshot covers.

    They are committed, so the leader's log and this log match there.
    """
    covered = replica.log.snapshot_index - message.prev_index
    if covered <= 0:
        return _NewEntries(message.prev_index, message.entries)
    return _NewEntries(replica.log.snapshot_index, message.entries[covered:])


def _store_entries(replica: Replica, entries: list[LogEntry]) -> None:
    """Append new entries, and truncate this log only where it conflicts with the leader's.

    An append that arrives late or twice must not truncate entries that a newer append added.
    """
    for position, entry in enumerate(entries):
        local_term = replica.log.term_at(entry.index)
        if local_term == entry.term:
            continue
        truncate_from = None
        if local_term is not None:
            if entry.index <= replica.commit_index:
                raise ProtocolViolationError(
                    f"the leader sent entry {entry.index} with term {entry.term}, but this "
                    f"replica has committed that entry with term {local_term}"
                )
            truncate_from = entry.index
        replica.append_entries(entries[position:], truncate_from)
        replica.refresh_role()
        return


def _reject_append(
    replica: Replica, message: AppendEntries, conflict_index: int, conflict_term: int
) -> None:
    reply = AppendEntriesReply(
        sender=replica.node_id,
        term=replica.term,
        success=False,
        sent_at=message.sent_at,
        prev_index=message.prev_index,
        conflict_index=conflict_index,
        conflict_term=conflict_term,
    )
    replica.send(message.sender, reply)


def on_install_snapshot(replica: Replica, message: InstallSnapshot, now: float) -> None:
    """Collect the chunks of a snapshot and install it when it is complete."""
    if message.term < replica.term:
        _reply_snapshot(replica, message, next_offset=0, installed=False)
        return
    _follow(replica, message.sender, message.term, now)
    if message.last_index <= replica.commit_index:
        _reply_snapshot(replica, message, next_offset=0, installed=True)
        return
    incoming = _incoming_for(replica, message)
    if message.offset != len(incoming.data):
        _reply_snapshot(replica, message, len(incoming.data), installed=False)
        return
    incoming.data.extend(message.data)
    if not message.done:
        _reply_snapshot(replica, message, len(incoming.data), installed=False)
        return
    _install(replica, message, bytes(incoming.data))
    _reply_snapshot(replica, message, next_offset=0, installed=True)


def _incoming_for(replica: Replica, message: InstallSnapshot) -> IncomingSnapshot:
    """Return the chunks received so far.

    Chunks of an earlier leader are discarded, because two leaders may encode the same state
    differently.
    """
    incoming = replica.incoming_snapshot
    if incoming is None or not incoming.matches_chunk(message):
        incoming = IncomingSnapshot(
            message.term, message.last_index, message.last_term, data=bytearray()
        )
        replica.incoming_snapshot = incoming
    return incoming


def _install(replica: Replica, message: InstallSnapshot, data: bytes) -> None:
    snapshot = Snapshot(message.last_index, message.last_term, message.membership, data)
    replica.incoming_snapshot = None
    replica.log.install(snapshot)
    replica.emit(PersistSnapshot(snapshot))
    replica.emit(ApplySnapshot(snapshot))
    replica.commit_index = snapshot.last_index
    replica.refresh_role()


def _reply_snapshot(
    replica: Replica, message: InstallSnapshot, next_offset: int, installed: bool
) -> None:
    reply = InstallSnapshotReply(
        sender=replica.node_id,
        term=replica.term,
        last_index=message.last_index,
        next_offset=next_offset,
        installed=installed,
        sent_at=message.sent_at,
    )
    replica.send(message.sender, reply)
