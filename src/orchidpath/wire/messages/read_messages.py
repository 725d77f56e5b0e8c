"""Reads that a control process needs the leader for."""

import msgspec


class ReadIndexRequest(msgspec.Struct, frozen=True, kw_only=True, tag="read_index_request"):
    """A control process queries the leader for the log index that a fresh read must wait for."""

    correlation: int


class ReadIndexReply(msgspec.Struct, frozen=True, kw_only=True, tag="read_index_reply"):
    """The index to wait for; ``available`` is false if the receiver is no leader with authority."""

    correlation: int
    available: bool
    index: int = 0


class WorkerCircuitsRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag="worker_circuits_request"
):
    """A control process queries the leader for the operators' view of the circuits."""

    correlation: int


class WorkerCircuitsReply(msgspec.Struct, frozen=True, kw_only=True, tag="worker_circuits_reply"):
    """The encoded views (:class:`orchidpath.circuit.circuit_table.WorkerCircuitView`)."""

    correlation: int
    available: bool
    payload: bytes = b""
