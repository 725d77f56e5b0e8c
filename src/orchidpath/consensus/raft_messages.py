"""Messages between the replicas of a Raft group.

Each message carries the sender's id and a term. The tags are unique among all messages of the
fleet, so `RaftMessage` can be one part of a larger tagged union.
"""

import msgspec

from orchidpath.consensus.types import LogEntry, Membership


class RequestVote(msgspec.Struct, frozen=True, tag="raft_request_vote"):
    """Request by a candidate for a vote, or for a pre-vote: whether a vote would be granted.

    `term` is the term in which the candidate would lead. A granted pre-vote does not bind the
    voter. `start_id` is the random id of the current run of the candidate's process. `nobody_leads`
    is true if every voter has replied that it does not lead.
    """

    sender: str
    term: int
    pre_vote: bool
    last_index: int
    last_term: int
    start_id: int = 0
    nobody_leads: bool = False


class RequestVoteReply(msgspec.Struct, frozen=True, tag="raft_request_vote_reply"):
    """Reply to `RequestVote`.

    `term` is the requested term if the vote is granted, else the current term of the voter.
    `start_id` repeats the id of a pre-vote request if the voter's recent restart is the only reason
    for the refusal; otherwise it is 0.
    """

    sender: str
    term: int
    pre_vote: bool
    granted: bool
    start_id: int = 0


class AppendEntries(msgspec.Struct, frozen=True, tag="raft_append_entries"):
    """Entries from the leader that follow `prev_index`; without entries, a heartbeat.

    `sent_at` is the send time on the leader's clock. The follower returns it in its reply, and only
    the leader interprets it.
    """

    sender: str
    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    sent_at: float
    entries: list[LogEntry] = []


class AppendEntriesReply(msgspec.Struct, frozen=True, tag="raft_append_entries_reply"):
    """Reply to `AppendEntries`.

    On success, the entries up to `match_index` are durable at the follower. On failure,
    `prev_index` repeats the rejected position, and the conflict fields show up to where the logs
    may still match: `conflict_index` is the first index of `conflict_term` in the follower's log,
    or the index after the follower's last entry if `conflict_term` is 0. Both are 0 if the leader's
    term is outdated.
    """

    sender: str
    term: int
    success: bool
    sent_at: float
    prev_index: int
    match_index: int = 0
    conflict_index: int = 0
    conflict_term: int = 0


class InstallSnapshot(msgspec.Struct, frozen=True, tag="raft_install_snapshot"):
    """One chunk of the leader's snapshot, for a replica that needs entries already compacted."""

    sender: str
    term: int
    last_index: int
    last_term: int
    membership: Membership
    offset: int
    data: bytes
    done: bool
    sent_at: float


class InstallSnapshotReply(msgspec.Struct, frozen=True, tag="raft_install_snapshot_reply"):
    """Reply to `InstallSnapshot`.

    `next_offset` is the offset in bytes of the chunk that the follower expects next; `installed` is
    true once the snapshot is durable at the follower.
    """

    sender: str
    term: int
    last_index: int
    next_offset: int
    installed: bool
    sent_at: float


RaftMessage = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
)
