"""The replicated log of one replica: consensus, the state it is applied to, and its effects; pure.

Effects of the consensus core leave in the order in which it gave them: what must be synced before
a message comes before it (:mod:`orchidpath.consensus.effects`).
"""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from orchidpath.consensus.effects import (
    Apply,
    ApplySnapshot,
    Effect,
    LeadershipChanged,
    PersistEntries,
    PersistHardState,
    PersistSnapshot,
    Send,
)
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.types import EntryKind, LogEntry, Membership
from orchidpath.control.replica.consensus_codec import decode_consensus, encode_consensus
from orchidpath.control.replica.control_effects import SendToMember
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import Command, encode_command
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import Outcome
from orchidpath.wire.messages import ConsensusMessage


class AppliedCommand(msgspec.Struct, frozen=True):
    """A command that the state has applied, and the state's revision before it."""

    entry: LogEntry
    outcome: Outcome
    previous_revision: int


class LogListener(Protocol):
    """Told what the log brings, in its order."""

    def command_applied(self, applied: AppliedCommand, now: float) -> None:
        """Follow a command that the state has just applied."""

    def leadership_changed(self, change: LeadershipChanged, now: float) -> None:
        """Follow a change of this replica's role or of the leader it knows."""


class Proposal(msgspec.Struct, frozen=True):
    """A command appended to the leader's log, whose effects have not been run yet."""

    index: int
    term: int
    effects: Sequence[Effect]


class ReplicatedLog:
    """Runs the consensus core and applies what it commits.

    Parameters
    ----------
    raft
        The consensus core, already restored from disk.
    output
        Where effects go.
    listener
        Told of applied commands and of leadership.
    """

    def __init__(self, raft: RaftCore, output: ControlOutput, listener: LogListener) -> None:
        self.raft = raft
        self.state = FleetState()
        self._output = output
        self._listener = listener

    def tick(self, now: float) -> None:
        """Let time pass for the consensus core."""
        self.run(self.raft.tick(now), now)

    def receive(self, message: ConsensusMessage, now: float) -> None:
        """Take another replica's consensus message; a damaged one is like a lost one."""
        decoded = decode_consensus(message)
        if decoded is not None:
            self.run(self.raft.receive(decoded, now), now)

    def append(self, command: Command, now: float) -> Proposal:
        """Append one command; the caller runs the proposal's effects once it follows the index.

        A fleet of a single voter commits and applies the command while the effects run.

        Raises
        ------
        NotLeaderError
            This replica does not lead.
        """
        indexes, effects = self.raft.propose([encode_command(command)], now)
        return Proposal(indexes[0], self.raft.term, effects)

    def propose(self, commands: Sequence[Command], now: float) -> None:
        """Append commands whose outcome nobody waits for.

        Raises
        ------
        NotLeaderError
            This replica does not lead.
        """
        payloads = [encode_command(command) for command in commands]
        _, effects = self.raft.propose(payloads, now)
        self.run(effects, now)

    def propose_membership(self, membership: Membership, now: float) -> None:
        """Append a membership change.

        Raises
        ------
        MembershipChangeError
            The change is not safe yet.
        NotLeaderError
            This replica does not lead.
        """
        _, effects = self.raft.propose_membership(membership, now)
        self.run(effects, now)

    def compact(self, now: float) -> None:
        """Replace the log's beginning by a snapshot of the state, if that is due."""
        is_behind_snapshot = self.state.applied_index <= self.raft.snapshot_index
        if not self.raft.compaction_due() or is_behind_snapshot:
            return
        effects = self.raft.compact(self.state.snapshot(), self.state.applied_index, now)
        self.run(effects, now)

    def run(self, effects: Sequence[Effect], now: float) -> None:
        """Run effects of the consensus core in their order."""
        for effect in effects:
            match effect:
                case PersistHardState() | PersistEntries() | PersistSnapshot():
                    self._output.emit(effect)
                case Send():
                    self._output.emit(self._to_member(effect))
                case Apply():
                    self._apply(effect.entry, now)
                case ApplySnapshot():
                    self.state = FleetState.restore(effect.snapshot.data)
                case LeadershipChanged():
                    self._output.emit(effect)
                    self._listener.leadership_changed(effect, now)

    def _to_member(self, effect: Send) -> SendToMember:
        address = self.raft.membership.addresses.get(effect.to, "")
        return SendToMember(effect.to, address, encode_consensus(effect.message))

    def _apply(self, entry: LogEntry, now: float) -> None:
        if entry.kind is not EntryKind.COMMAND:
            return
        previous_revision = self.state.revision
        result = self.state.apply(entry.index, entry.payload)
        self._listener.command_applied(
            AppliedCommand(entry, result.outcome, previous_revision), now
        )
