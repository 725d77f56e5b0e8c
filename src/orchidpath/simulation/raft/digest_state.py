"""The state machine that simulated replicas apply their entries to: a digest of all of them."""

import msgspec

from orchidpath.consensus.types import LogEntry, Snapshot
from orchidpath.simulation.raft.invariants import History, InvariantViolationError, next_digest

SNAPSHOT_PADDING_BYTES = 200
"""Makes a snapshot longer than one chunk."""


class DigestSnapshot(msgspec.Struct, frozen=True):
    """The state machine as its snapshots hold it."""

    index: int
    digest: int
    padding: bytes


class DigestState:
    """State of one replica, which reports every change to the history.

    Parameters
    ----------
    identity
        The replica.
    history
        Compares the states of all replicas.
    """

    def __init__(self, identity: str, history: History) -> None:
        self.applied_index = 0
        self._identity = identity
        self._history = history
        self._digest = 0

    def apply(self, entry: LogEntry) -> None:
        """Apply a committed entry.

        Raises
        ------
        InvariantViolationError
            The entry doesn't follow the last one, or another replica's state differs here.
        """
        if entry.index != self.applied_index + 1:
            raise InvariantViolationError(f"{self._identity} applied {entry.index} out of order")
        self.applied_index = entry.index
        self._digest = next_digest(self._digest, entry)
        self._history.record_state(self._identity, entry.index, self._digest)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot.

        Raises
        ------
        InvariantViolationError
            The snapshot is of another index than it says, or older than this state.
        """
        state = msgspec.msgpack.decode(snapshot.data, type=DigestSnapshot)
        if state.index != snapshot.last_index or state.index < self.applied_index:
            raise InvariantViolationError(f"{self._identity} took a wrong snapshot")
        self.applied_index = state.index
        self._digest = state.digest
        self._history.record_state(self._identity, state.index, state.digest)

    def encode(self) -> bytes:
        """Return a snapshot's data."""
        padding = bytes(SNAPSHOT_PADDING_BYTES)
        return msgspec.msgpack.encode(DigestSnapshot(self.applied_index, self._digest, padding))
