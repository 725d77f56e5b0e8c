"""Commands of the replicated log, which are the only way to change the fleet's replicated state.

A command is encoded as a tagged msgpack map. New types, and new fields that have a default, can
therefore be added while older logs remain readable. The tag of a removed type is never reused.
"""

import hashlib

import msgspec

from orchidpath.circuit.transitions import CapacityTransition, CircuitTransition
from orchidpath.common.errors import OrchidpathError
from orchidpath.state.plans import Plan, StepPhase
from orchidpath.wire.compression import CompressionError, compressed, decompressed
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.framing import MAX_FRAME_BYTES
from orchidpath.wire.records import ControlMember, RouterRecord, WorkerRecord

MAX_COMMAND_BYTES = 64 * 1024 * 1024
"""Largest command that is decoded, in bytes before compression."""

FRAME_MARGIN_BYTES = 1024 * 1024
"""Space in a frame for the workers, routers and other fields beside a configuration."""

MAX_NEW_COMMAND_BYTES = MAX_FRAME_BYTES - FRAME_MARGIN_BYTES
"""Largest command that is appended, in bytes before compression.

The fleet view and the messages that contain its configuration then fit into a frame.
"""


class CommandEncodeError(OrchidpathError):
    """A command can't be appended: it is too large, or the log can't represent a value of it."""


class CommandDecodeError(OrchidpathError):
    """A committed command cannot be decoded.

    The replica must stop: if it skipped a command that replicas of a newer version apply, its
    state would diverge from theirs.
    """


class SubmitConfiguration(msgspec.Struct, frozen=True, kw_only=True, tag="submit_configuration"):
    """An operator's configuration update: a complete configuration built on ``base_version``.

    ``digest`` is the :func:`configuration_digest` of the content. It distinguishes a repeated
    update from another update that reuses the same id. ``document`` is the text from which an
    adapter made the configuration; it is stored and returned exactly as it was received, and is
    empty if the configuration was not made by an adapter.
    """

    order_id: str
    base_version: int
    configuration: Configuration
    digest: str
    document: bytes = b""


class RegisterRouter(msgspec.Struct, frozen=True, kw_only=True, tag="register_router"):
    """Registers a router, or changes its record."""

    record: RouterRecord


class RemoveRouter(
    msgspec.Struct, frozen=True, kw_only=True, tag="remove_router", omit_defaults=True
):
    """Removes a router from the registered routers.

    If ``left`` is set, the router has stated that it answers no further query, and is also removed
    from the history of the witness sets. Earlier versions ignore the field.
    """

    router_id: str
    left: bool = False


class WorkerChanged(msgspec.Struct, frozen=True, kw_only=True, tag="worker_changed"):
    """Registers a worker, or changes its record, after the worker's announcement.

    ``sequence`` is the sequence number of that announcement.
    """

    record: WorkerRecord
    sequence: int


class WorkerRemoved(msgspec.Struct, frozen=True, kw_only=True, tag="worker_gone"):
    """Removes a worker whose lease has expired, if ``incarnation`` is still its current one.

    ``sequence`` is the sequence number of the newest announcement that the leader received.
    Announcements up to that number that arrive later do not register the worker again.
    """

    worker_id: str
    incarnation: str
    sequence: int = 0


class CordonWorker(msgspec.Struct, frozen=True, kw_only=True, tag="hold_worker"):
    """Cordons a worker, so that it receives no new requests, or releases it.

    A cordon remains until it is released, also while the worker restarts or is not registered.
    """

    worker_id: str
    cordoned: bool = msgspec.field(name="held")


class CircuitChanged(msgspec.Struct, frozen=True, kw_only=True, tag="circuit_changed"):
    """Applies a transition to a worker's circuit."""

    transition: CircuitTransition


class CapacityChanged(msgspec.Struct, frozen=True, kw_only=True, tag="capacity_changed"):
    """Applies a transition to a failure domain's capacity circuit."""

    transition: CapacityTransition


class RegisterControlMember(
    msgspec.Struct, frozen=True, kw_only=True, tag="register_control_member"
):
    """Registers a control replica, or changes its record."""

    member: ControlMember


class RemoveControlMember(msgspec.Struct, frozen=True, kw_only=True, tag="remove_control_member"):
    """Removes a control replica from the registered control replicas."""

    node_id: str


class LeaderStarted(msgspec.Struct, frozen=True, kw_only=True, tag="leader_started"):
    """Records the term of a new leader; it is the first command that a leader proposes.

    The state stores the highest term whose leader has committed this command.
    """

    term: int


class RevisionConfirmed(msgspec.Struct, frozen=True, kw_only=True, tag="revision_confirmed"):
    """Records that every serving router has applied ``revision`` or a newer one.

    Witness sets that were replaced at this revision or before it are no longer needed to confirm
    a later revision.
    """

    revision: int


class StartPlan(msgspec.Struct, frozen=True, kw_only=True, tag="start_plan"):
    """Starts a plan that an operator confirmed, unless its inputs have changed since.

    ``plan`` is absent if the leader has no plan with that id. The rejection is written to the log
    nevertheless, so that a late repetition can't start a plan that was reported as rejected.
    """

    order_id: str
    plan_id: str
    plan: Plan | None = None


class HaltPlan(msgspec.Struct, frozen=True, kw_only=True, tag="halt_plan"):
    """Halts a plan on an operator's request: no further step begins."""

    order_id: str
    plan_id: str


class ResumePlan(msgspec.Struct, frozen=True, kw_only=True, tag="resume_plan"):
    """Resumes a halted plan on an operator's request."""

    order_id: str
    plan_id: str


class CancelPlan(msgspec.Struct, frozen=True, kw_only=True, tag="cancel_plan"):
    """Cancels a plan on an operator's request: workers that have not switched keep their stage."""

    order_id: str
    plan_id: str


class AdvanceStep(msgspec.Struct, frozen=True, kw_only=True, tag="advance_step"):
    """Advances a step of a plan to ``phase``, if it is in the phase ``expected``.

    ``reason`` is set if the step is abandoned or rolled back. The worker's cordon changes in the
    same log entry as the phase.
    """

    plan_id: str
    step: int
    expected: StepPhase
    phase: StepPhase
    reason: str = ""


class StopPlan(msgspec.Struct, frozen=True, kw_only=True, tag="stop_plan"):
    """Stops a plan that the leader can no longer carry out."""

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
    """Return the compressed payload of the log entry for a command.

    Raises
    ------
    CommandEncodeError
        The command can't be appended to the log.
    """
    return compressed(_encode(command))


def check_command(command: Command) -> None:
    """Check that a command can be appended to the log; called before it is proposed.

    Raises
    ------
    CommandEncodeError
        The command can't be appended to the log.
    """
    _encode(command)


def _encode(command: Command) -> bytes:
    try:
        encoded = _encoder.encode(command)
    except (OverflowError, UnicodeEncodeError) as error:
        raise CommandEncodeError(str(error)) from error
    if len(encoded) > MAX_NEW_COMMAND_BYTES:
        raise CommandEncodeError(
            f"{len(encoded)} bytes in the log are more than {MAX_NEW_COMMAND_BYTES} bytes"
        )
    return encoded


def decode_command(payload: bytes) -> Command:
    """Return the command in the payload of a log entry.

    Raises
    ------
    CommandDecodeError
        The payload is damaged, or its command type does not exist in this version.
    """
    try:
        return _decoder.decode(decompressed(payload, MAX_COMMAND_BYTES))
    except (CompressionError, msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise CommandDecodeError(str(error)) from error


def configuration_digest(base_version: int, configuration: Configuration) -> str:
    """Return the SHA-256 digest of an update's content in hexadecimal digits.

    The digest is computed from the parsed configuration and ``base_version``. It therefore does
    not depend on white space, on the order of keys, or on whether defaults are written out.
    """
    content = msgspec.json.encode((base_version, configuration), order="deterministic")
    return hashlib.sha256(content).hexdigest()
