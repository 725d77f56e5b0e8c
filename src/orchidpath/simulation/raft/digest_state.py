"""The state machine of simulated replicas: a digest of all applied entries."""

import msgspec

from orchidpath.consensus.types import LogEntry, Snapshot
from orchidpath.simulation.raft.invariants import History, InvariantViolationError, next_digest

SNAPSHOT_PADDING_BYTES = 200
"""Padding that makes a snapshot longer than one chunk."""


class DigestSnapshot(msgspec.Struct, frozen=True):
    """Content of a snapshot of the state machine."""

    index: int
    digest: int
    padding: bytes


class DigestState:
    """State machine of one replica; it records every change in the history.

    Parameters
    ----------
    identity
        Identity of the replica.
    history
        History that compares the states of all replicas.
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
            The entry is not the next one, or another replica has a different state at this index.
        """
        if entry.index != self.applied_index + 1:
            raise InvariantViolationError(
                f"{self._identity} applied entry {entry.index} out of order: "
                f"the last applied index is {self.applied_index}"
            )
        self.applied_index = entry.index
        self._digest = next_digest(self._digest, entry)
        self._history.record_state(self._identity, entry.index, self._digest)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state with a snapshot.

        Raises
        ------
        InvariantViolationError
            The index in the data differs from the last index of the snapshot, the snapshot is
            older than this state, or another replica has a different state at this index.
        """
        state = msgspec.msgpack.decode(snapshot.data, type=DigestSnapshot)
        if state.index != snapshot.last_index or state.index < self.applied_index:
            raise InvariantViolationError(
                f"{self._identity} received a snapshot whose data has index {state.index}: "
                f"expected {snapshot.last_index}, not below the applied {self.applied_index}"
            )
        self.applied_index = state.index
        self._digest = state.digest
        self._history.record_state(self._identity, state.index, state.digest)

    def encode(self) -> bytes:
        """Return the encoded data of a snapshot of the current state."""
        padding = bytes(SNAPSHOT_PADDING_BYTES)
        return msgspec.msgpack.encode(DigestSnapshot(self.applied_index, self._digest, padding))
