"""Results of the circuit table: decisions, and the view of a worker's circuit for operators."""

import msgspec

from orchidpath.circuit.transitions import CircuitTransition
from orchidpath.wire.messages import DecisionReply
from orchidpath.wire.records import CircuitStatus


class Decided(msgspec.Struct, frozen=True):
    """A completed decision. If the reply has choices, the attempt is registered as in flight."""

    reply: DecisionReply


class NeedsTransition(msgspec.Struct, frozen=True):
    """A decision that first requires a transition.

    The caller commits the transition through the log, passes the agreed record to
    ``apply_circuit`` and requests the decision again.
    """

    transition: CircuitTransition


class WorkerCircuitView(msgspec.Struct, frozen=True, kw_only=True):
    """Circuit of one worker, as shown to operators (paper, deployments view)."""

    worker_id: str
    status: CircuitStatus
    retry_after_ms: int
    health: float
    in_flight: int
    transient_failures: int
    generation: int
    probe_owner: str = ""
