"""Results of the circuit table: decisions, and the operators' view of a worker."""

import msgspec

from orchidpath.circuit.transitions import CircuitTransition
from orchidpath.wire.messages import DecisionReply
from orchidpath.wire.records import CircuitStatus


class Decided(msgspec.Struct, frozen=True):
    """The decision is made and, when it has choices, the attempt is registered in flight."""

    reply: DecisionReply


class NeedsTransition(msgspec.Struct, frozen=True):
    """Commit this through the log, call ``apply_circuit`` and request the decision again."""

    transition: CircuitTransition


class WorkerCircuitView(msgspec.Struct, frozen=True, kw_only=True):
    """One worker's circuit as operators see it (paper, deployments view)."""

    worker_id: str
    status: CircuitStatus
    retry_after_ms: int
    health: float
    in_flight: int
    transient_failures: int
    generation: int
    probe_owner: str = ""
