"""Effects: the actions that a replica returns for its shell to execute.

The shell executes the effects of a list strictly in order, and the lists in the order in which the
calls returned them. Every `Persist*` effect is synced to disk before any later effect runs; a
failed sync is fatal for the replica and never retried. This order makes replies safe: a vote or an
acknowledgement is sent only after the record that it confirms is durable.
"""

from typing import NamedTuple

import msgspec

from orchidpath.consensus.raft_messages import RaftMessage
from orchidpath.consensus.types import HardState, LogEntry, Role, Snapshot


class PersistHardState(msgspec.Struct, frozen=True):
    """Write and sync term and vote."""

    hard_state: HardState


class PersistEntries(msgspec.Struct, frozen=True):
    """Truncate the log from `truncate_from` on (unless None), append `entries`, and sync."""

    truncate_from: int | None
    entries: list[LogEntry]


class PersistSnapshot(msgspec.Struct, frozen=True):
    """Replace the snapshot and sync.

    Entries after it are retained only if the log holds its last entry with the same term.
    """

    snapshot: Snapshot


class Send(msgspec.Struct, frozen=True):
    """Send a message to a replica; the message may be lost."""

    to: str
    message: RaftMessage


class Apply(msgspec.Struct, frozen=True):
    """Apply a committed entry to the state machine."""

    entry: LogEntry


class ApplySnapshot(msgspec.Struct, frozen=True):
    """Replace the content of the state machine by a snapshot."""

    snapshot: Snapshot


class LeadershipChanged(msgspec.Struct, frozen=True):
    """Report that the role, the term or the known leader of the replica has changed."""

    role: Role
    term: int
    leader_id: str | None


class Proposal(NamedTuple):
    """Commands that a leader has appended.

    Attributes
    ----------
    indexes
        Index of each command, in the order of the proposal.
    effects
        Effects to execute, in order.
    """

    indexes: list[int]
    effects: list["Effect"]


class ProposedMembership(NamedTuple):
    """A membership change that a leader has appended.

    Attributes
    ----------
    entry_index
        Index of the entry that carries the membership.
    effects
        Effects to execute, in order.
    """

    entry_index: int
    effects: list["Effect"]


Effect = (
    PersistHardState
    | PersistEntries
    | PersistSnapshot
    | Send
    | Apply
    | ApplySnapshot
    | LeadershipChanged
)
