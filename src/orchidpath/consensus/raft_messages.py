"""Messages between the replicas of a group.

Each carries the sender's id and its term. The tags are unique among all messages of the fleet,
so `RaftMessage` can be one part of a larger tagged union.
"""

import msgspec

from orchidpath.consensus.types import LogEntry, Membership


class RequestVote(msgspec.Struct, frozen=True, tag="raft_request_vote"):
    """A candidate requests a vote; a pre-vote requests whether a vote would be granted.

    `term` is the term the candidate would lead. A pre-vote binds nobody. `start_id` is the random
    id of the candidate's run. `nobody_leads` says that every voter has replied not to lead.
    """

    sender: str
    term: int
    pre_vote: bool
    last_index: int
    last_term: int
    start_id: int = 0
    nobody_leads: bool = False


class RequestVoteReply(msgspec.Struct, frozen=True, tag="raft_request_vote_reply"):
    """Answer to `RequestVote`.

    `term` is the requested term when granted, else the term of the replica that refuses.
    `start_id` repeats that of a pre-vote which is refused for nothing but the voter's restart.
    """

    sender: str
    term: int
    pre_vote: bool
    granted: bool
    start_id: int = 0


class AppendEntries(msgspec.Struct, frozen=True, tag="raft_append_entries"):
    """A leader sends entries that follow `prev_index`; without entries it is a heartbeat.

    `sent_at` is the leader's own clock. The follower echoes it, and only the leader reads it.
    """

    sender: str
    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    sent_at: float
    entries: list[LogEntry] = []


class AppendEntriesReply(msgspec.Struct, frozen=True, tag="raft_append_entries_reply"):
    """Answer to `AppendEntries`.

    On success `match_index` is durable at the follower. On failure `prev_index` repeats the
    refused position, and the conflict fields say where the logs may still agree:
    `conflict_index` is the first index of `conflict_term` in the follower's log, or the index
    after its last entry when `conflict_term` is 0.
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
    """A leader sends one chunk of its snapshot to a replica that needs dropped entries."""

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
    """Answer to `InstallSnapshot`: the offset expected next, or that the snapshot is durable."""

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
