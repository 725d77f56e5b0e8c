"""Outcomes of applied commands.

Every replica computes the same outcome for a command; the leader sends it to the client.
"""

from enum import StrEnum

import msgspec

from orchidpath.state.plans import PlanAnswer
from orchidpath.wire.records import CapacityRecord, CircuitRecord


class UpdateAccepted(msgspec.Struct, frozen=True, kw_only=True, tag="accepted"):
    """The update was accepted; its configuration has the version ``version``."""

    version: int


class UpdateConflict(msgspec.Struct, frozen=True, kw_only=True, tag="conflict"):
    """The update was rejected: it was not built on ``current_version``."""

    current_version: int


class UpdateIdReused(msgspec.Struct, frozen=True, kw_only=True, tag="order_id_reused"):
    """The update was rejected: its id belongs to an earlier update with other content."""

    current_version: int


UpdateOutcome = UpdateAccepted | UpdateConflict
"""An outcome that is stored under the id of its update."""


class UpdateRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The id and the digest of a configuration update, and its first outcome."""

    order_id: str
    digest: str
    outcome: UpdateOutcome


class UpdateResult(msgspec.Struct, frozen=True, kw_only=True, tag="order"):
    """Outcome of a submitted configuration; ``repeated`` is set if it was submitted before."""

    outcome: UpdateAccepted | UpdateConflict | UpdateIdReused
    repeated: bool = False


class Effect(StrEnum):
    """Effect of a command on the state."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    STALE = "stale"
    """The state has a newer sequence number, incarnation, generation, term or phase."""
    UNKNOWN = "unknown"
    """The command refers to an object that does not exist."""
    INVALID = "invalid"
    """The command violates a rule that the proposer should have checked."""


class RecordResult(msgspec.Struct, frozen=True, kw_only=True, tag="record"):
    """Outcome of a command about a worker, router, control replica, leader or plan step."""

    effect: Effect


class CircuitResult(msgspec.Struct, frozen=True, kw_only=True, tag="circuit"):
    """Outcome of a circuit's transition; ``record`` is the replicated record after it."""

    effect: Effect
    record: CircuitRecord | None = None


class CapacityResult(msgspec.Struct, frozen=True, kw_only=True, tag="capacity"):
    """Outcome of a capacity circuit's transition; ``record`` is the replicated record after it."""

    effect: Effect
    record: CapacityRecord | None = None


class PlanResult(msgspec.Struct, frozen=True, kw_only=True, tag="plan"):
    """Outcome of an operator's plan action; ``repeated`` is set if it was applied before."""

    answer: PlanAnswer
    reason: str = ""
    repeated: bool = False


Outcome = UpdateResult | RecordResult | CircuitResult | CapacityResult | PlanResult
"""Outcome of any command."""


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an applied log entry, and the counters of the state after it."""

    index: int
    revision: int
    circuits_sequence: int
    outcome: Outcome
