"""Commands of the replicated log: every change of the fleet's shared state is one of them.

A command is encoded as a tagged msgpack map, so new kinds and new fields with defaults can be
added without breaking logs that were written before. Retired tags are never used again.
"""

import hashlib

import msgspec

from orchidpath.circuit.transitions import CapacityTransition, CircuitTransition
from orchidpath.common.errors import OrchidpathError
from orchidpath.state.plans import Plan, StepPhase
from orchidpath.wire.compression import CompressionError, compressed, decompressed
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.records import ControlMember, RouterRecord, WorkerRecord

MAX_COMMAND_BYTES = 64 * 1024 * 1024
"""Largest command in bytes, before compression."""


class CommandDecodeError(OrchidpathError):
    """A committed command cannot be read.

    A replica that meets one must stop: skipping a command that newer replicas understand would
    make its state differ from theirs.
    """


class SubmitConfiguration(msgspec.Struct, frozen=True, kw_only=True, tag="submit_configuration"):
    """An operator's configuration update: a complete configuration built on ``base_version``.

    ``digest`` is :func:`configuration_digest` of the content; it distinguishes a repeated update
    from another update that reuses the same id. ``document`` is the text from which an adapter
    made the configuration, if one did: it is stored and returned as it was sent.
    """

    order_id: str
    base_version: int
    configuration: Configuration
    digest: str
    document: bytes = b""


class RegisterRouter(msgspec.Struct, frozen=True, kw_only=True, tag="register_router"):
    """Registers a router, or changes its record."""

    record: RouterRecord


class RemoveRouter(msgspec.Struct, frozen=True, kw_only=True, tag="remove_router"):
    """Removes a router."""

    router_id: str


class WorkerChanged(msgspec.Struct, frozen=True, kw_only=True, tag="worker_changed"):
    """A worker announced itself or a change; ``sequence`` is that of its announcement."""

    record: WorkerRecord
    sequence: int


class WorkerRemoved(msgspec.Struct, frozen=True, kw_only=True, tag="worker_gone"):
    """A worker's lease has expired; it concerns that incarnation only.

    ``sequence`` is that of the newest announcement that the leader received: announcements up to
    that one, arriving late, do not register the worker again.
    """

    worker_id: str
    incarnation: str
    sequence: int = 0


class CordonWorker(msgspec.Struct, frozen=True, kw_only=True, tag="hold_worker"):
    """Cordons a worker, so that it gets no new requests, or releases it.

    The cordon outlasts a restart or an absence of the worker, until it is released.
    """

    worker_id: str
    cordoned: bool = msgspec.field(name="held")


class CircuitChanged(msgspec.Struct, frozen=True, kw_only=True, tag="circuit_changed"):
    """A worker's circuit makes a transition."""

    transition: CircuitTransition


class CapacityChanged(msgspec.Struct, frozen=True, kw_only=True, tag="capacity_changed"):
    """A failure domain's capacity circuit makes a transition."""

    transition: CapacityTransition


class RegisterControlMember(
    msgspec.Struct, frozen=True, kw_only=True, tag="register_control_member"
):
    """Registers a control replica, or changes its record."""

    member: ControlMember


class RemoveControlMember(msgspec.Struct, frozen=True, kw_only=True, tag="remove_control_member"):
    """Removes a control replica from the registered ones."""

    node_id: str


class LeaderStarted(msgspec.Struct, frozen=True, kw_only=True, tag="leader_started"):
    """The first command of a leader; it records the highest term whose leader has committed."""

    term: int


class RevisionConfirmed(msgspec.Struct, frozen=True, kw_only=True, tag="revision_confirmed"):
    """Every serving router has applied ``revision`` or a newer one.

    Witness sets that were in force before it no longer count for a later confirmation.
    """

    revision: int


class StartPlan(msgspec.Struct, frozen=True, kw_only=True, tag="start_plan"):
    """An operator confirms a plan; it starts only if nothing that it was computed from changed.

    Without ``plan``, the leader knows none of that id. The rejection is logged all the same, so
    that a repetition that arrives late can't start a plan that was reported as rejected.
    """

    order_id: str
    plan_id: str
    plan: Plan | None = None


class HaltPlan(msgspec.Struct, frozen=True, kw_only=True, tag="halt_plan"):
    """An operator halts a plan: no further step begins."""

    order_id: str
    plan_id: str


class ResumePlan(msgspec.Struct, frozen=True, kw_only=True, tag="resume_plan"):
    """An operator resumes a halted plan."""

    order_id: str
    plan_id: str


class CancelPlan(msgspec.Struct, frozen=True, kw_only=True, tag="cancel_plan"):
    """An operator cancels a plan: workers that have not switched yet keep their stage."""

    order_id: str
    plan_id: str


class AdvanceStep(msgspec.Struct, frozen=True, kw_only=True, tag="advance_step"):
    """The leader advances a step from the phase ``expected``.

    ``reason`` is set if the step is abandoned or rolled back. The cordon on the worker changes
    with the phase, in the same entry.
    """

    plan_id: str
    step: int
    expected: StepPhase
    phase: StepPhase
    reason: str = ""


class StopPlan(msgspec.Struct, frozen=True, kw_only=True, tag="stop_plan"):
    """The leader stops a plan that can't be carried out any more."""

    plan_id: str
    reason: str


PlanActionCommand = StartPlan | HaltPlan | ResumePlan | CancelPlan
"""An operator's action on a plan."""

Command = (
    SubmitConfiguration
    | RegisterRouter
    | RemoveRouter
    | WorkerChanged
    | WorkerRemoved
    | CordonWorker
    | CircuitChanged
    | CapacityChanged
    | RegisterControlMember
    | RemoveControlMember
    | LeaderStarted
    | RevisionConfirmed
    | StartPlan
    | HaltPlan
    | ResumePlan
    | CancelPlan
    | AdvanceStep
    | StopPlan
)
"""Any command of the replicated log."""

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return the payload of a log entry that carries a command."""
    return compressed(_encoder.encode(command))


def decode_command(payload: bytes) -> Command:
    """Return the command in the payload of a log entry.

    Raises
    ------
    CommandDecodeError
        The payload is damaged, or of a kind that this version does not know.
    """
    try:
        return _decoder.decode(decompressed(payload, MAX_COMMAND_BYTES))
    except (CompressionError, msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise CommandDecodeError(str(error)) from error


def configuration_digest(base_version: int, configuration: Configuration) -> str:
    """Return the SHA-256 digest of an update's content in hexadecimal digits.

    It is computed over the parsed configuration, so white space, the order of keys and defaults
    that were left out make no difference.
    """
    content = msgspec.json.encode((base_version, configuration), order="deterministic")
    return hashlib.sha256(content).hexdigest()
