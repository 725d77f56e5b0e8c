"""Outcomes of applied commands.

Every replica reaches the same outcome for the same command; the leader replies with it.
"""

from enum import StrEnum

import msgspec

from orchidpath.state.plans import PlanAnswer
from orchidpath.wire.records import CapacityRecord, CircuitRecord


class UpdateAccepted(msgspec.Struct, frozen=True, kw_only=True, tag="accepted"):
    """The update's configuration became ``version``."""

    version: int


class UpdateConflict(msgspec.Struct, frozen=True, kw_only=True, tag="conflict"):
    """The update was not built on the version of its time, ``current_version``; it was rejected."""

    current_version: int


class UpdateIdReused(msgspec.Struct, frozen=True, kw_only=True, tag="order_id_reused"):
    """The id belongs to an update with other content; this one was rejected."""

    current_version: int


UpdateOutcome = UpdateAccepted | UpdateConflict
"""The outcome that is remembered under an update's id."""


class UpdateRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A remembered configuration update and its first outcome."""

    order_id: str
    digest: str
    outcome: UpdateOutcome


class UpdateResult(msgspec.Struct, frozen=True, kw_only=True, tag="order"):
    """Outcome of a submitted configuration; ``repeated`` if it was submitted before."""

    outcome: UpdateAccepted | UpdateConflict | UpdateIdReused
    repeated: bool = False


class Effect(StrEnum):
    """Effect of a command on the state."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    STALE = "stale"
    """Superseded by something newer: a sequence, an incarnation, a generation or a term."""
    UNKNOWN = "unknown"
    """Names something that does not exist."""
    INVALID = "invalid"
    """Violates a rule that its sender should have checked."""


class RecordResult(msgspec.Struct, frozen=True, kw_only=True, tag="record"):
    """Outcome of a command about a worker, router, control member or leader."""

    effect: Effect


class CircuitResult(msgspec.Struct, frozen=True, kw_only=True, tag="circuit"):
    """Outcome of a circuit's transition; ``record`` is the agreed record after it."""

    effect: Effect
    record: CircuitRecord | None = None


class CapacityResult(msgspec.Struct, frozen=True, kw_only=True, tag="capacity"):
    """Outcome of a capacity circuit's transition; ``record`` is the agreed record after it."""

    effect: Effect
    record: CapacityRecord | None = None


class PlanResult(msgspec.Struct, frozen=True, kw_only=True, tag="plan"):
    """Outcome of an operator's action on a plan; ``repeated`` if it was applied before."""

    answer: PlanAnswer
    reason: str = ""
    repeated: bool = False


Outcome = UpdateResult | RecordResult | CircuitResult | CapacityResult | PlanResult
"""Outcome of any command."""


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one applied log entry, with the counters as they stand after it."""

    index: int
    revision: int
    circuits_sequence: int
    outcome: Outcome
