"""What a control replica asks the loop around it to do, beyond the consensus core's effects.

Executed strictly in list order, like :mod:`orchidpath.consensus.effects`: a message that follows a
``Persist*`` effect leaves only after that record is synced.
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
    """Send a consensus message to a control replica at its wire address; loss is allowed."""

    node_id: str
    address: str
    message: ConsensusMessage


class SendToNode(msgspec.Struct, frozen=True):
    """Send a message over the connection that this node holds to this process."""

    node_id: str
    message: Message


class SendToConnected(msgspec.Struct, frozen=True):
    """Send a message to every process of the fleet that holds a connection to this one."""

    message: Message


class UpdateAnswered(msgspec.Struct, frozen=True):
    """The outcome of an update that this process was asked to submit under ``key``."""

    key: int
    answer: UpdateStatus
    version: int = 0
    reason: str = ""


class ReadReady(msgspec.Struct, frozen=True):
    """A linearizable read asked for under ``key`` may run now on the applied state."""

    key: int


class ReadFailed(msgspec.Struct, frozen=True):
    """A linearizable read asked for under ``key`` cannot be answered by this process."""

    key: int


class PlanActionAnswered(msgspec.Struct, frozen=True):
    """The outcome of an action on a plan that this process was asked to submit under ``key``."""

    key: int
    answer: PlanActionStatus
    reason: str = ""


class SendWorkerCommand(msgspec.Struct, frozen=True):
    """Post a command to a worker at its HTTP base address and pass its answer to the replica."""

    url: str
    command: WorkerCommand


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
)
