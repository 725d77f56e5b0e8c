"""Snapshot format of the replicated state.

A snapshot contains all data on which the outcome of a later command can depend. All lists have a
fixed order, so replicas that applied the same commands produce the same bytes.
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
"""Number of the snapshot format; incremented with a change that older versions cannot read."""


class SnapshotFormatError(OrchidpathError):
    """A snapshot is damaged, or its format is not supported by this version."""


class ConfigurationEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted configuration: its version, the id of its update and the update's digest."""

    version: int
    order_id: str
    digest: str


class SnapshotHeader(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a snapshot that is common to all formats."""

    format: int


class SnapshotBody(msgspec.Struct, frozen=True, kw_only=True):
    """The complete state after the log entry at ``applied_index``.

    The defaults are the state of a new fleet.
    """

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
    """Return the compressed bytes of a snapshot."""
    return compressed(_encoder.encode(body))


def decode_snapshot(data: bytes) -> SnapshotBody:
    """Return the state that a snapshot contains.

    Raises
    ------
    SnapshotFormatError
        The snapshot is damaged, or its format is not supported by this version.
    """
    try:
        data = decompressed(data, MAX_SNAPSHOT_BYTES)
        header = _header_decoder.decode(data)
        if header.format != SNAPSHOT_FORMAT:
            raise SnapshotFormatError(f"snapshot format {header.format} is not known")
        return _body_decoder.decode(data)
    except (CompressionError, msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise SnapshotFormatError(str(error)) from error
