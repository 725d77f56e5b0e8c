"""Messages for reads that a control process cannot serve without the leader.

If a request or its reply is lost, the requesting process times out and reports the read as
unavailable (``READ_TIMEOUT_SECONDS``, :mod:`orchidpath.control.api.local_access`). Late and
duplicated replies are ignored: no call waits for their ``correlation`` any more.
"""

import msgspec


class ReadIndexRequest(msgspec.Struct, frozen=True, kw_only=True, tag="read_index_request"):
    """Requests the log index that a control process must have applied before a linearizable read.

    Sent by: control processes, to the leader.
    """

    correlation: int


class ReadIndexReply(msgspec.Struct, frozen=True, kw_only=True, tag="read_index_reply"):
    """The log index to wait for before the read.

    ``available`` is false if the replying process is not a leader with authority.
    """

    correlation: int
    available: bool
    index: int = 0


class WorkerCircuitsRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag="worker_circuits_request"
):
    """Requests the operators' view of the circuits.

    Sent by: control processes, to the leader, which alone has the current counters.
    """

    correlation: int


class WorkerCircuitsReply(msgspec.Struct, frozen=True, kw_only=True, tag="worker_circuits_reply"):
    """The encoded views (:class:`orchidpath.circuit.circuit_table.WorkerCircuitView`).

    ``available`` is false if the replying process is not a leader with authority.
    """

    correlation: int
    available: bool
    payload: bytes = b""
