"""Values of the consensus protocol: log entries, membership, durable state, settings.

Every type here is immutable, so one object can be shared by the log in memory, the messages
in flight and the records on disk without being copied.
"""

import enum

import msgspec

from orchidpath.consensus.errors import InvalidSettingsError


class EntryKind(enum.Enum):
    """What a log entry carries."""

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
    """Safety rules that a test can turn off to prove that the checkers detect it.

    A deployed replica runs with all of them.
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
        What the payload means.
    payload
        The command, or an encoded `Membership`, or for a no-op the id of the leader.
    """

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class Membership(msgspec.Struct, frozen=True):
    """The replicas of the group.

    Parameters
    ----------
    voters
        Replicas that vote and count towards a majority.
    learners
        Replicas that receive the log but count for nothing.
    addresses
        Network address by replica id, for voters and learners.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    addresses: dict[str, str] = {}

    def quorum_size(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1

    def members(self) -> tuple[str, ...]:
        """Return voters and learners."""
        return self.voters + self.learners


class HardState(msgspec.Struct, frozen=True):
    """Term and vote, durable so that a replica votes at most once in a term across restarts."""

    term: int = 0
    voted_for: str | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """The state machine after the entry at `last_index`, and the membership then."""

    last_index: int
    last_term: int
    membership: Membership
    data: bytes


class RestoredState(msgspec.Struct, frozen=True):
    """Everything that a replica reads back from its disk when it starts."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = []


class RaftSettings(msgspec.Struct, frozen=True):
    """Times and limits of the protocol.

    Parameters
    ----------
    heartbeat_seconds
        Time between two appends to a follower that has nothing new to receive.
    election_timeout_min_seconds, election_timeout_max_seconds
        A follower starts an election after a random time without a leader's message, between the
        two. The shorter one is also how long it refuses votes after a leader's message.
    restart_election_seconds
        A voter that has just started requests pre-votes after a random time between this and its
        double, and again until it has been up for the shortest election timeout.
    leader_lease_seconds
        How long after the send time of an acknowledged append a leader may serve reads alone.
        Must be below `election_timeout_min_seconds` by `clock_drift_margin`.
    clock_drift_margin
        Share by which two monotonic clocks may run at different rates.
    max_batch_bytes
        Payload bytes in one append message (one entry always fits).
    max_in_flight_entries
        Entries sent to one follower ahead of its last acknowledgement.
    snapshot_threshold_entries
        Entries after the last snapshot at which the shell should compact the log.
    snapshot_threshold_bytes
        Payload bytes after the last snapshot at which the shell should compact the log.
    snapshot_chunk_bytes
        Snapshot bytes in one message.
    catch_up_max_lag_entries
        A learner may become a voter when it lacks at most this many entries.
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
        """Reject settings under which a lease could outlive the promises not to vote.

        Raises
        ------
        InvalidSettingsError
            Another leader could be elected while a lease is valid, or a lease could expire between
            two heartbeats.
        """
        margin = 1.0 + self.clock_drift_margin
        if self.leader_lease_seconds * margin >= self.election_timeout_min_seconds:
            raise InvalidSettingsError(
                "leader_lease_seconds must be below election_timeout_min_seconds"
            )
        if self.election_timeout_min_seconds > self.election_timeout_max_seconds:
            raise InvalidSettingsError("election_timeout_min_seconds is above the maximum")
        if self.heartbeat_seconds * 2 > self.leader_lease_seconds:
            raise InvalidSettingsError("heartbeat_seconds must fit twice into leader_lease_seconds")


class ReadTicket(msgspec.Struct, frozen=True):
    """A linearizable read that waits for its leader to be confirmed.

    Parameters
    ----------
    index
        The read may run on the state after this entry, or later.
    term
        Term of the leader that issued the ticket.
    issued_at
        Leader's clock at the issue; a majority must acknowledge an append sent since.
    """

    index: int
    term: int
    issued_at: float
