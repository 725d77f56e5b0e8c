"""Builders of records and messages that the tests of the leader duties share."""

from orchidpath.control.replica.control_effects import SendToNode
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import Command, encode_command
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import Message, RouterHeartbeat
from orchidpath.wire.records import RouterRecord, Stage, WorkerRecord


def apply_command(state: FleetState, command: Command) -> None:
    """Apply a command to the state as the next log entry."""
    state.apply(state.applied_index + 1, encode_command(command))


def sent_messages(output: ControlOutput) -> list[tuple[str, Message]]:
    """Take all effects of an output, each of which must send a message to a node.

    Returns node ids and messages, in the order of the effects.
    """
    messages: list[tuple[str, Message]] = []
    for effect in output.take_effects():
        assert isinstance(effect, SendToNode)
        messages.append((effect.node_id, effect.message))
    return messages


def router_record(router_id: str = "r1") -> RouterRecord:
    """Return the record with which a router registers itself."""
    return RouterRecord(router_id=router_id, address=f"{router_id}:1", http_address="h:1")


def router_heartbeat(
    router_id: str = "r1", adopted_revision: int = 0, sequence: int = 1
) -> RouterHeartbeat:
    """Return a heartbeat of the first incarnation of a router."""
    return RouterHeartbeat(
        record=router_record(router_id),
        incarnation="first",
        sequence=sequence,
        adopted_revision=adopted_revision,
        adopted_configuration_version=0,
    )


def worker_record(worker_id: str = "w1", incarnation: str = "first") -> WorkerRecord:
    """Return the record that a prefill worker announces."""
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service="chat",
        stage=Stage.PREFILL,
        url=f"http://{worker_id}",
    )
