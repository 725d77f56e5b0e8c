"""Builders of commands, and helpers that apply commands to the replicated state."""

from orchidpath.state.commands import (
    Command,
    RegisterRouter,
    SubmitConfiguration,
    WorkerChanged,
    configuration_digest,
    encode_command,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import Effect, Outcome, RecordResult
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.records import RouterRecord, Stage, WorkerRecord, WorkerStatus


def apply(state: FleetState, command: Command) -> Outcome:
    """Apply a command as the next log entry and return its outcome."""
    return state.apply(state.applied_index + 1, encode_command(command)).outcome


def effect(state: FleetState, command: Command) -> Effect:
    """Apply a command whose outcome is a :class:`RecordResult`, and return its effect."""
    outcome = apply(state, command)
    assert isinstance(outcome, RecordResult)
    return outcome.effect


def configuration_update(
    order_id: str, base_version: int, name: str = "cellar"
) -> SubmitConfiguration:
    """Return an update to a configuration that has one plain service."""
    configuration = Configuration(services=[Service(name=name, kind=ServiceKind.PLAIN)])
    return SubmitConfiguration(
        order_id=order_id,
        base_version=base_version,
        configuration=configuration,
        digest=configuration_digest(base_version, configuration),
    )


def worker(
    worker_id: str = "w1", incarnation: str = "a", status: WorkerStatus = WorkerStatus.READY
) -> WorkerRecord:
    """Return the record of a plain worker of the service ``cellar``."""
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service="cellar",
        stage=Stage.PLAIN,
        url="http://127.0.0.1:1",
        status=status,
    )


def announced(
    sequence: int, incarnation: str = "a", status: WorkerStatus = WorkerStatus.READY
) -> WorkerChanged:
    """Return the command for an announcement of the worker ``w1``."""
    return WorkerChanged(record=worker(incarnation=incarnation, status=status), sequence=sequence)


def registered(router_id: str, zone: str = "z1") -> RegisterRouter:
    """Return the command that registers a router."""
    record = RouterRecord(
        router_id=router_id, address="127.0.0.1:1", http_address="127.0.0.1:2", zone=zone
    )
    return RegisterRouter(record=record)


def restored(state: FleetState) -> FleetState:
    """Return the state that is restored from a snapshot of a state."""
    return FleetState.restore(state.snapshot())
