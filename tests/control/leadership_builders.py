"""Builders of records and messages, shared by the tests of the leader's duties."""

from orchidpath.control.replica.control_effects import SendToNode
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import Command, encode_command
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import Message, RouterHeartbeat
from orchidpath.wire.records import RouterRecord, Stage, WorkerRecord


def apply_command(state: FleetState, command: Command) -> None:
    """Apply a command as the next entry of the log."""
    state.apply(state.applied_index + 1, encode_command(command))


def sent_messages(output: ControlOutput) -> list[tuple[str, Message]]:
    """Take the effects of an output, all of which send a message to a node."""
    messages: list[tuple[str, Message]] = []
    for effect in output.take_effects():
        assert isinstance(effect, SendToNode)
        messages.append((effect.node_id, effect.message))
    return messages


def router_record(router_id: str = "r1") -> RouterRecord:
    """Return a router as it registers itself."""
    return RouterRecord(router_id=router_id, address=f"{router_id}:1", http_address="h:1")


def router_heartbeat(
    router_id: str = "r1", adopted_revision: int = 0, sequence: int = 1
) -> RouterHeartbeat:
    """Return a router's heartbeat."""
    return RouterHeartbeat(
        record=router_record(router_id),
        incarnation="first",
        sequence=sequence,
        adopted_revision=adopted_revision,
        adopted_configuration_version=0,
    )


def worker_record(worker_id: str = "w1", incarnation: str = "first") -> WorkerRecord:
    """Return a worker as it announces itself."""
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service="chat",
        stage=Stage.PREFILL,
        url=f"http://{worker_id}",
    )
