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
    """A change of the membership was refused; nothing has changed."""


class MembershipChangePendingError(MembershipChangeError):
    """An earlier change, or the leader's first entry, is not committed yet. Try again later."""


class LearnerNotCaughtUpError(MembershipChangeError):
    """A replica must hold nearly the whole log before it may vote. Try again later."""


class InvalidMembershipError(MembershipChangeError):
    """The wanted membership can't follow the current one in one step."""


class CompactionError(ConsensusError):
    """A snapshot was taken at an index that is not applied or already compacted."""


class ProtocolViolationError(ConsensusError):
    """A message contradicts what the protocol has already committed; the replica must stop."""


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
