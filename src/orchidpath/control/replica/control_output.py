"""Collects the effects and proposals that the parts of a replica produce; performs no I/O."""

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
    """Collects effects and proposals in the order in which they are added.

    The parts of a replica share one object, and the duties of one leadership share another. At
    fixed points of each turn the replica appends the content of the second to the first.
    """

    def __init__(self) -> None:
        self._effects: list[ControlEffect] = []
        self._proposals: list[Command] = []

    def send(self, node_id: str, message: Message) -> None:
        """Add a message to send over the connection that a node has opened to this process."""
        self._effects.append(SendToNode(node_id, message))

    def command_worker(self, url: str, command: WorkerCommand) -> None:
        """Add a command to post to the worker at an HTTP base URL."""
        self._effects.append(SendWorkerCommand(url, command))

    def emit(self, effect: ControlEffect) -> None:
        """Add an effect of any kind."""
        self._effects.append(effect)

    def emit_all(self, effects: Iterable[ControlEffect]) -> None:
        """Add effects in their order."""
        self._effects.extend(effects)

    def propose(self, command: Command) -> None:
        """Add a command to propose to the replicated log."""
        self._proposals.append(command)

    def propose_once(self, command: Command) -> None:
        """Add a command to propose unless an equal one is already pending here."""
        if command not in self._proposals:
            self._proposals.append(command)

    @property
    def has_proposals(self) -> bool:
        """Whether any command to propose is pending."""
        return bool(self._proposals)

    def discard_proposals(self) -> None:
        """Drop the commands that have not been taken yet."""
        self._proposals.clear()

    def move_from(self, other: Self) -> None:
        """Take the effects and proposals of another output and append them to these."""
        self._effects.extend(other.take_effects())
        self._proposals.extend(other.take_proposals())

    def take_effects(self) -> list[ControlEffect]:
        """Return and clear the effects collected since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def take_proposals(self) -> list[Command]:
        """Return and clear the commands to propose collected since the last call."""
        proposals, self._proposals = self._proposals, []
        return proposals
