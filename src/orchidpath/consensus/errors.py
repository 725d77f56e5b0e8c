"""Errors of the consensus package."""

from orchidpath.common.errors import OrchidpathError


class ConsensusError(OrchidpathError):
    """Base of all errors of this package."""


class NotLeaderError(ConsensusError):
    """The replica is not the leader.

    Parameters
    ----------
    leader_id
        The leader it knows, if any.
    """

    def __init__(self, leader_id: str | None) -> None:
        super().__init__(f"not the leader; known leader: {leader_id}")
        self.leader_id = leader_id


class MembershipChangeError(ConsensusError):
    """A membership change was rejected; nothing has changed."""


class MembershipChangePendingError(MembershipChangeError):
    """An earlier change, or the leader's first entry, is not committed yet. Try again later."""


class LearnerNotCaughtUpError(MembershipChangeError):
    """A replica must hold nearly the whole log before it may vote. Try again later."""


class InvalidMembershipError(MembershipChangeError):
    """The proposed membership is incomplete or can't follow the current one in one step."""


class NotBootstrapVoterError(ConsensusError):
    """A replica was to bootstrap a group that does not count it as a voter.

    Parameters
    ----------
    node_id
        The replica.
    """

    def __init__(self, node_id: str) -> None:
        super().__init__(f"{node_id} is no voter of the new group")
        self.node_id = node_id


class InvalidSettingsError(ConsensusError, ValueError):
    """Settings under which the protocol would not be safe.

    Also a ``ValueError``, which is what a decoder of settings turns into its own error.
    """


class CompactionError(ConsensusError):
    """A snapshot was taken at an index that is not applied or already compacted."""


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
        super().__init__(f"entry {index} does not follow {last_index}")
        self.index = index
        self.last_index = last_index


class ProtocolViolationError(ConsensusError):
    """A message contradicts what is already committed; the replica must stop."""


class StorageError(ConsensusError):
    """Base of storage errors."""


class DamagedLogError(StorageError):
    """Durable records are damaged before the tail: the replica must not act as its identity."""


class StorageFullError(StorageError):
    """The disk is full: nothing may be acknowledged."""


class StorageFailedError(StorageError):
    """A write or sync failed: fatal for the replica, never retried."""


class FolderInUseError(StorageError):
    """Another process uses the data folder."""
