"""What the parts of a replica ask for: effects to carry out and commands to propose; pure."""

from collections.abc import Iterable
from typing import Self

from orchidpath.control.replica.control_effects import (
    ControlEffect,
    SendToNode,
    SendWorkerCommand,
)
from orchidpath.state.commands import Command
from orchidpath.wire.backend import WorkerCommand
from orchidpath.wire.messages import Message


class ControlOutput:
    """Collects effects and proposals in the order in which they are asked for.

    The parts of a replica share one object, and the duties of one leadership another. The replica
    moves what the duties asked for behind its own effects at fixed points of each turn.
    """

    def __init__(self) -> None:
        self._effects: list[ControlEffect] = []
        self._proposals: list[Command] = []

    def send(self, node_id: str, message: Message) -> None:
        """Send a message over the connection that a node holds to this process."""
        self._effects.append(SendToNode(node_id, message))

    def command_worker(self, url: str, command: WorkerCommand) -> None:
        """Post a command to the worker at an HTTP base address."""
        self._effects.append(SendWorkerCommand(url, command))

    def emit(self, effect: ControlEffect) -> None:
        """Ask for an effect of any other kind."""
        self._effects.append(effect)

    def emit_all(self, effects: Iterable[ControlEffect]) -> None:
        """Ask for effects in their order."""
        self._effects.extend(effects)

    def propose(self, command: Command) -> None:
        """Propose a command to the replicated log."""
        self._proposals.append(command)

    def propose_once(self, command: Command) -> None:
        """Propose a command unless an equal one already waits to be proposed."""
        if command not in self._proposals:
            self._proposals.append(command)

    @property
    def has_proposals(self) -> bool:
        """Whether a command waits to be proposed."""
        return bool(self._proposals)

    def discard_proposals(self) -> None:
        """Forget the commands that wait to be proposed."""
        self._proposals.clear()

    def move_from(self, other: Self) -> None:
        """Take over what another output has collected, behind what this one has."""
        self._effects.extend(other.take_effects())
        self._proposals.extend(other.take_proposals())

    def take_effects(self) -> list[ControlEffect]:
        """Return the effects collected since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def take_proposals(self) -> list[Command]:
        """Return the commands to propose collected since the last call."""
        proposals, self._proposals = self._proposals, []
        return proposals
