"""Effects that a control replica returns to its loop, besides those of the consensus core.

They are carried out strictly in list order, like :mod:`orchidpath.consensus.effects`: a message
that follows a ``Persist*`` effect is sent only after that record has been synced.
"""

import msgspec

from orchidpath.consensus.effects import (
    LeadershipChanged,
    PersistEntries,
    PersistHardState,
    PersistSnapshot,
)
from orchidpath.wire.backend import WorkerCommand
from orchidpath.wire.messages import ConsensusMessage, Message, PlanActionStatus, UpdateStatus


class SendToMember(msgspec.Struct, frozen=True):
    """Send a consensus message to a control replica at its wire address; it may be lost."""

    node_id: str
    address: str
    message: ConsensusMessage


class SendToNode(msgspec.Struct, frozen=True):
    """Send a message over the connection that the node has opened to this process."""

    node_id: str
    message: Message


class SendToConnected(msgspec.Struct, frozen=True):
    """Send a message to every process of the fleet that is connected to this one."""

    message: Message


class UpdateAnswered(msgspec.Struct, frozen=True):
    """The outcome of a configuration update that was submitted under ``key``."""

    key: int
    answer: UpdateStatus
    version: int = 0
    reason: str = ""


class ReadReady(msgspec.Struct, frozen=True):
    """The linearizable read requested under ``key`` may run now on the applied state."""

    key: int


class ReadFailed(msgspec.Struct, frozen=True):
    """The linearizable read requested under ``key`` cannot be answered by this process."""

    key: int


class PlanActionAnswered(msgspec.Struct, frozen=True):
    """The outcome of an action on a plan that was submitted under ``key``."""

    key: int
    answer: PlanActionStatus
    reason: str = ""


class SendWorkerCommand(msgspec.Struct, frozen=True):
    """Post a command to a worker at its HTTP base URL and pass its reply to the replica."""

    url: str
    command: WorkerCommand


class ProposalDropped(msgspec.Struct, frozen=True):
    """The leader did not propose a command, because the log can't represent it."""

    command_type: str
    reason: str


class LearnerRemoved(msgspec.Struct, frozen=True):
    """The leader has proposed to remove a learner without contact."""

    node_id: str


PersistEffect = PersistHardState | PersistEntries | PersistSnapshot

ControlEffect = (
    PersistEffect
    | LeadershipChanged
    | SendToMember
    | SendToNode
    | SendToConnected
    | UpdateAnswered
    | ReadReady
    | ReadFailed
    | PlanActionAnswered
    | SendWorkerCommand
    | ProposalDropped
    | LearnerRemoved
)
