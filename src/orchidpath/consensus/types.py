"""Data types of the consensus protocol: log entries, membership, durable state, settings.

Every type here is immutable, so the log in memory, the messages and the records of the log file can
share one object without copying it.
"""

import enum

import msgspec

from orchidpath.consensus.errors import InvalidSettingsError


class EntryKind(enum.Enum):
    """Kind of a log entry, which determines the meaning of its payload."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"


class Guard(enum.Enum):
    """Safety rules that a test can disable, to prove that the checkers detect the violation.

    A deployed replica runs with all rules enabled.
    """

    VOTE_PERSISTENCE = "vote_persistence"
    PRE_VOTE = "pre_vote"
    COMMIT_ONLY_CURRENT_TERM = "commit_only_current_term"
    RESTART_VOTE_DELAY = "restart_vote_delay"
    START_ID_MATCH = "start_id_match"
    LAST_LEADER_ANSWERS = "last_leader_answers"
    LEASE_VOTE_REFUSAL = "lease_vote_refusal"
    LEASE_FROM_SEND_TIME = "lease_from_send_time"
    CHECK_QUORUM = "check_quorum"
    WAKE_STEP_DOWN = "wake_step_down"
    LOG_UP_TO_DATE = "log_up_to_date"
    SINGLE_MEMBERSHIP_CHANGE = "single_membership_change"


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Parameters
    ----------
    index
        Position in the log, from 1.
    term
        Term of the leader that created the entry.
    kind
        Kind of the entry.
    payload
        The command, an encoded `Membership`, or, for a no-op, the id of the leader.
    """

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class Membership(msgspec.Struct, frozen=True):
    """The replicas of a Raft group.

    Parameters
    ----------
    voters
        Replicas that vote and count towards a majority.
    learners
        Replicas that receive the log but neither vote nor count towards a majority.
    addresses
        Network address by replica id, for voters and learners.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    addresses: dict[str, str] = {}

    def quorum_size(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def members(self) -> tuple[str, ...]:
        """Return the ids of the voters, followed by those of the learners."""
        return self.voters + self.learners


class HardState(msgspec.Struct, frozen=True):
    """Term and vote, stored durably so that a replica votes at most once per term."""

    term: int = 0
    voted_for: str | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """The encoded state machine after the entry at `last_index`, and the membership there."""

    last_index: int
    last_term: int
    membership: Membership
    data: bytes


class RestoredState(msgspec.Struct, frozen=True):
    """The state that a replica reads from its disk at its start."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = []


class RaftSettings(msgspec.Struct, frozen=True):
    """Times and limits of the protocol.

    Parameters
    ----------
    heartbeat_seconds
        Interval of heartbeats to a follower for which there are no new entries.
    election_timeout_min_seconds, election_timeout_max_seconds
        Bounds of the random time without a message of a leader after which a follower starts an
        election. The lower bound is also the time for which a follower refuses votes after a
        message of a leader.
    restart_election_seconds
        A voter that has just started requests pre-votes after a random time between this value and
        twice this value, and repeats this until the shortest election timeout since its start has
        passed.
    leader_lease_seconds
        How long after the send time of an append that a quorum has acknowledged a leader may serve
        reads without a further round of messages. Times 1 + `clock_drift_margin`, it must be below
        `election_timeout_min_seconds`.
    clock_drift_margin
        Fraction by which the rates of two monotonic clocks may differ.
    max_batch_bytes
        Maximum payload bytes in one append message; a single larger entry is still sent.
    max_in_flight_entries
        Maximum number of entries sent to one follower beyond its last acknowledgement.
    snapshot_threshold_entries
        Number of applied entries after the last snapshot at which the log should be compacted.
    snapshot_threshold_bytes
        Payload bytes of the entries after the last snapshot at which the log should be compacted.
    snapshot_chunk_bytes
        Maximum snapshot bytes in one message.
    catch_up_max_lag_entries
        Maximum number of entries that a learner may lack when it becomes a voter.
    """

    heartbeat_seconds: float = 0.1
    election_timeout_min_seconds: float = 0.6
    election_timeout_max_seconds: float = 1.0
    restart_election_seconds: float = 0.08
    leader_lease_seconds: float = 0.5
    clock_drift_margin: float = 0.05
    max_batch_bytes: int = 1_048_576
    max_in_flight_entries: int = 4096
    snapshot_threshold_entries: int = 10_000
    snapshot_threshold_bytes: int = 4_194_304
    snapshot_chunk_bytes: int = 262_144
    catch_up_max_lag_entries: int = 64

    def __post_init__(self) -> None:
        """Reject settings that could make a lease outlast the time for which voters refuse votes.

        Raises
        ------
        InvalidSettingsError
            Another leader could be elected while a lease is valid, a lease could expire between
            two heartbeats, or the bounds of the election timeout are reversed.
        """
        margin = 1.0 + self.clock_drift_margin
        if self.leader_lease_seconds * margin >= self.election_timeout_min_seconds:
            raise InvalidSettingsError(
                f"leader_lease_seconds ({self.leader_lease_seconds}) times {margin} for clock "
                "drift must be below election_timeout_min_seconds "
                f"({self.election_timeout_min_seconds})"
            )
        if self.election_timeout_min_seconds > self.election_timeout_max_seconds:
            raise InvalidSettingsError(
                f"election_timeout_min_seconds ({self.election_timeout_min_seconds}) must be at "
                f"most election_timeout_max_seconds ({self.election_timeout_max_seconds})"
            )
        if self.heartbeat_seconds * 2 > self.leader_lease_seconds:
            raise InvalidSettingsError(
                f"heartbeat_seconds ({self.heartbeat_seconds}) must be at most half of "
                f"leader_lease_seconds ({self.leader_lease_seconds})"
            )


class ReadTicket(msgspec.Struct, frozen=True):
    """A linearizable read that waits until the leadership is confirmed.

    Parameters
    ----------
    index
        Read index: the read may run once the entry at this index is applied.
    term
        Term of the leader that issued the ticket.
    issued_at
        Leader's clock, in seconds, when the ticket was issued. A majority must acknowledge an
        append that was sent at this time or later.
    """

    index: int
    term: int
    issued_at: float
