"""What the duties of a leader ask for: effects to carry out and commands to propose; pure."""

from orchidpath.control.replica.control_effects import (
    ControlEffect,
    SendToNode,
    SendWorkerCommand,
)
from orchidpath.state.commands import Command
from orchidpath.wire.backend import WorkerCommand
from orchidpath.wire.messages import Message


class LeaderOutput:
    """Collects effects and proposals in the order in which the duties ask for them.

    All duties of one leadership share one object; the replica takes what has accumulated after
    each event.
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

    def propose(self, command: Command) -> None:
        """Propose a command to the replicated log."""
        self._proposals.append(command)

    def propose_once(self, command: Command) -> None:
        """Propose a command unless an equal one already waits to be proposed."""
        if command not in self._proposals:
            self._proposals.append(command)

    def take_effects(self) -> list[ControlEffect]:
        """Return the effects collected since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def take_proposals(self) -> list[Command]:
        """Return the commands to propose collected since the last call."""
        proposals, self._proposals = self._proposals, []
        return proposals
