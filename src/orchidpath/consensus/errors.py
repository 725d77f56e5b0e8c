"""Errors of the consensus package."""

from orchidpath.common.errors import OrchidpathError


class ConsensusError(OrchidpathError):
    """Base of all errors of this package."""


class NotLeaderError(ConsensusError):
    """The replica is not the leader.

    Parameters
    ----------
    leader_id
        The leader of the current term, or None if unknown.
    """

    def __init__(self, leader_id: str | None) -> None:
        super().__init__(f"not the leader; known leader: {leader_id}")
        self.leader_id = leader_id


class MembershipChangeError(ConsensusError):
    """A membership change was rejected; the membership is unchanged."""


class MembershipChangePendingError(MembershipChangeError):
    """An earlier change, or the leader's first entry, is not committed yet. Try again later."""


class LearnerNotCaughtUpError(MembershipChangeError):
    """A learner lacks too many log entries to become a voter. Try again later."""


class InvalidMembershipError(MembershipChangeError):
    """The proposed membership is incomplete or can't follow the current one in one step."""


class NotBootstrapVoterError(ConsensusError):
    """A replica was given a bootstrap membership in which it is not a voter.

    Parameters
    ----------
    node_id
        The replica.
    """

    def __init__(self, node_id: str) -> None:
        super().__init__(f"{node_id} is not a voter of the membership that bootstraps the group")
        self.node_id = node_id


class InvalidSettingsError(ConsensusError, ValueError):
    """Settings under which the protocol would not be safe.

    It is also a ``ValueError``, because msgspec converts that type to its own validation error when
    it decodes settings.
    """


class CompactionError(ConsensusError):
    """A snapshot was taken at an index that is not applied yet or is already compacted."""


class LogGapError(ConsensusError):
    """Entries do not follow the last entry of the log.

    Parameters
    ----------
    index
        Index of the entry that was to be appended.
    last_index
        Last index of the log.
    """

    def __init__(self, index: int, last_index: int) -> None:
        super().__init__(f"entry {index} does not follow the last entry of the log, {last_index}")
        self.index = index
        self.last_index = last_index


class ProtocolViolationError(ConsensusError):
    """A message contradicts committed entries, or shows a second leader; the replica must stop."""


class StorageError(ConsensusError):
    """Base of storage errors."""


class DamagedLogError(StorageError):
    """The stored files are damaged, incomplete or contradict each other.

    The replica must not run under the identity that they name, because votes or entries that it
    has acknowledged may be lost.
    """


class StorageFullError(StorageError):
    """The disk is full; the replica must not acknowledge anything."""


class StorageFailedError(StorageError):
    """A file operation failed, which is fatal for the replica and never retried."""


class FolderInUseError(StorageError):
    """The data folder can't be locked, usually because another process uses it."""
