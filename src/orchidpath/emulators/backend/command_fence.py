"""The fence of a worker's orders: an order from a deposed leader is refused."""

from orchidpath.wire.backend import WorkerCommand


class CommandFence:
    """The highest ``(term, sequence)`` that an incarnation has seen.

    The fence rises with every order that is addressed to this incarnation, also with one that is
    then refused for another reason: a lower one that arrives later must not be applied either way.
    """

    def __init__(self) -> None:
        self.term = 0
        self.sequence = 0

    def pass_order(self, order: WorkerCommand) -> bool:
        """Raise the fence to an order above it; tell whether the order was above it.

        Parameters
        ----------
        order : WorkerCommand
            An order addressed to this incarnation.

        Returns
        -------
        bool
            False for a repeated or older order, which must not be applied.
        """
        if (order.term, order.sequence) <= (self.term, self.sequence):
            return False
        self.term = order.term
        self.sequence = order.sequence
        return True
