"""Fencing of worker commands: a command from a deposed leader is refused."""

from orchidpath.wire.backend import WorkerCommand


class CommandFence:
    """The highest ``(term, sequence)`` of the commands that one worker incarnation received.

    Every newer command addressed to this incarnation raises the fence, even if the command is then
    refused for another reason: an older command that arrives later must not be applied.
    """

    def __init__(self) -> None:
        self.term = 0
        self.sequence = 0

    def advance(self, command: WorkerCommand) -> bool:
        """Raise the fence to a newer command and return whether the command was newer.

        Parameters
        ----------
        command : WorkerCommand
            A command addressed to this incarnation.

        Returns
        -------
        bool
            False for a repeated or older command, which must not be applied.
        """
        if (command.term, command.sequence) <= (self.term, self.sequence):
            return False
        self.term = command.term
        self.sequence = command.sequence
        return True
