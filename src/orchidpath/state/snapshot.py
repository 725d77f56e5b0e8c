"""Snapshot format of the replicated state.

Everything that decides a later outcome is in it; everything is in a fixed order, so replicas that
applied the same commands write the same bytes.
"""

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.state.outcomes import UpdateRecord
from orchidpath.state.plans import AbandonedWorker, PlanActionRecord, PlanRecord
from orchidpath.state.witnesses import WitnessSet
from orchidpath.state.workers import DeadIncarnation, WorkerEntry
from orchidpath.wire.compression import CompressionError, compressed, decompressed
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.records import (
    CapacityRecord,
    CircuitRecord,
    ControlMember,
    RouterRecord,
)

MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024
"""Largest snapshot in bytes, before compression."""

SNAPSHOT_FORMAT = 1
"""Incremented with every change that an older version could not read."""


class SnapshotFormatError(OrchidpathError):
    """A snapshot is damaged, or of a format that this version does not know."""


class ConfigurationEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted configuration: its version, the update's id and the content's digest."""

    version: int
    order_id: str
    digest: str


class SnapshotHeader(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a snapshot that is the same in all formats."""

    format: int


class SnapshotBody(msgspec.Struct, frozen=True, kw_only=True):
    """The complete state after the log entry at ``applied_index``; by default a new fleet's."""

    format: int = SNAPSHOT_FORMAT
    applied_index: int = 0
    leader_term: int = 0
    revision: int = 0
    confirmed_revision: int = 0
    circuits_sequence: int = 0
    configuration_version: int = 0
    configuration: Configuration = Configuration()
    document: bytes = b""
    history: list[ConfigurationEntry] = []
    orders: list[UpdateRecord] = []
    workers: list[WorkerEntry] = []
    dead_incarnations: list[DeadIncarnation] = []
    cordoned_workers: list[str] = msgspec.field(default_factory=list, name="held_workers")
    routers: list[RouterRecord] = []
    witness_sets: list[WitnessSet] = []
    circuits: list[CircuitRecord] = []
    capacities: list[CapacityRecord] = []
    control_members: list[ControlMember] = []
    plan: PlanRecord | None = None
    plan_orders: list[PlanActionRecord] = []
    plan_abandoned: list[AbandonedWorker] = []


_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(SnapshotHeader)
_body_decoder = msgspec.msgpack.Decoder(SnapshotBody)


def encode_snapshot(body: SnapshotBody) -> bytes:
    """Return a snapshot's bytes."""
    return compressed(_encoder.encode(body))


def decode_snapshot(data: bytes) -> SnapshotBody:
    """Return the state in a snapshot.

    Raises
    ------
    SnapshotFormatError
        The snapshot is damaged or of another format.
    """
    try:
        data = decompressed(data, MAX_SNAPSHOT_BYTES)
        header = _header_decoder.decode(data)
        if header.format != SNAPSHOT_FORMAT:
            raise SnapshotFormatError(f"snapshot format {header.format} is not known")
        return _body_decoder.decode(data)
    except (CompressionError, msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise SnapshotFormatError(str(error)) from error
