"""The replicated log of one replica and the state that it is applied to; performs no I/O.

Effects of the consensus core are emitted in the order in which the core returned them: a record
that must be synced before a message is sent precedes that message
(:mod:`orchidpath.consensus.effects`).
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
from orchidpath.control.replica.control_effects import ProposalDropped, SendToMember
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import Command, CommandEncodeError, encode_command
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import Outcome
from orchidpath.wire.messages import ConsensusMessage


class AppliedCommand(msgspec.Struct, frozen=True):
    """A command that the state has applied, and the revision of the state before it."""

    entry: LogEntry
    outcome: Outcome
    previous_revision: int


class LogListener(Protocol):
    """Receives the events of a replicated log, in their order."""

    def command_applied(self, applied: AppliedCommand, now: float) -> None:
        """Handle a command that the state has just applied."""

    def leadership_changed(self, change: LeadershipChanged, now: float) -> None:
        """Handle a change of this replica's role or of the leader that it follows."""


class Proposal(msgspec.Struct, frozen=True):
    """A command that the leader has appended to its log, and the effects that are still to run."""

    index: int
    term: int
    effects: Sequence[Effect]


class ReplicatedLog:
    """Runs the consensus core and applies the committed entries to the state.

    Parameters
    ----------
    raft
        The consensus core, already restored from disk.
    output
        Collects the effects.
    listener
        Receives applied commands and changes of leadership.
    """

    def __init__(self, raft: RaftCore, output: ControlOutput, listener: LogListener) -> None:
        self.raft = raft
        self.state = FleetState()
        self._output = output
        self._listener = listener

    def tick(self, now: float) -> None:
        """Run what is due in the consensus core at ``now``."""
        self.run(self.raft.tick(now), now)

    def receive(self, message: ConsensusMessage, now: float) -> None:
        """Handle a consensus message of another replica; a damaged message is dropped."""
        decoded = decode_consensus(message)
        if decoded is not None:
            self.run(self.raft.receive(decoded, now), now)

    def append(self, command: Command, now: float) -> Proposal:
        """Append one command and return it with the effects that the caller must `run`.

        The caller first registers the returned index as pending. With a single voter, the command
        is committed and applied while the effects run.

        Raises
        ------
        CommandEncodeError
            The command can't be represented in the log; nothing was appended.
        NotLeaderError
            This replica is not the leader.
        """
        indexes, effects = self.raft.propose([encode_command(command)], now)
        return Proposal(indexes[0], self.raft.term, effects)

    def propose(self, commands: Sequence[Command], now: float) -> None:
        """Append commands whose outcome no caller waits for.

        A command that the log can't represent is dropped. If it ended the leader instead, the
        event that caused it would reach the next leader, and end that one too.

        Raises
        ------
        NotLeaderError
            This replica is not the leader.
        """
        payloads = []
        for command in commands:
            try:
                payloads.append(encode_command(command))
            except CommandEncodeError as error:
                self._output.emit(ProposalDropped(type(command).__name__, str(error)))
        if not payloads:
            return
        _, effects = self.raft.propose(payloads, now)
        self.run(effects, now)

    def propose_membership(self, membership: Membership, now: float) -> None:
        """Append a membership change.

        Raises
        ------
        MembershipChangeError
            The change is not safe yet.
        NotLeaderError
            This replica is not the leader.
        """
        _, effects = self.raft.propose_membership(membership, now)
        self.run(effects, now)

    def compact(self, now: float) -> None:
        """Replace the applied entries of the log by a snapshot of the state if that is due."""
        is_behind_snapshot = self.state.applied_index <= self.raft.snapshot_index
        if not self.raft.compaction_due() or is_behind_snapshot:
            return
        effects = self.raft.compact(self.state.snapshot(), self.state.applied_index, now)
        self.run(effects, now)

    def run(self, effects: Sequence[Effect], now: float) -> None:
        """Carry out effects of the consensus core in their order."""
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
