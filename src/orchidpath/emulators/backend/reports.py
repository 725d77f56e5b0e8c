"""Status and execution reports of an emulated back end, for tests and checkers."""

from collections import deque

import msgspec

from orchidpath.emulators.backend.attempts import Phase
from orchidpath.wire.records import Stage, WorkerStatus

MAX_LOGGED_EXECUTIONS = 100_000
"""Maximum number of execution records held in memory."""


class ExecutionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The start of one prefill or execution; ``number`` counts from 1 within an incarnation."""

    number: int
    worker_id: str
    incarnation: str
    phase: Phase
    request_id: str
    attempt_id: str


class ExecutionList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/executions?after=NUMBER``."""

    worker_id: str
    incarnation: str
    executions: tuple[ExecutionRecord, ...]


class ExecutionLog:
    """The newest execution records of one incarnation.

    Parameters
    ----------
    worker_id, incarnation : str
        The worker and the incarnation that execute.
    maximum : int
        Maximum number of records held; the oldest are discarded first.
    """

    def __init__(
        self, worker_id: str, incarnation: str, maximum: int = MAX_LOGGED_EXECUTIONS
    ) -> None:
        self._worker_id = worker_id
        self._incarnation = incarnation
        self._records: deque[ExecutionRecord] = deque(maxlen=maximum)
        self._number = 0

    def add(self, phase: Phase, request_id: str, attempt_id: str) -> ExecutionRecord:
        """Record the start of one phase of an attempt and return the record."""
        self._number += 1
        record = ExecutionRecord(
            number=self._number,
            worker_id=self._worker_id,
            incarnation=self._incarnation,
            phase=phase,
            request_id=request_id,
            attempt_id=attempt_id,
        )
        self._records.append(record)
        return record

    def after(self, number: int) -> ExecutionList:
        """Return the retained records whose number is greater than ``number``."""
        return ExecutionList(
            worker_id=self._worker_id,
            incarnation=self._incarnation,
            executions=tuple(record for record in self._records if record.number > number),
        )


class BackendCounts(msgspec.Struct, kw_only=True):
    """Counters of one incarnation; none of them ever decreases."""

    frames: int = 0
    refused: int = 0
    cancelled: int = 0
    streams_interrupted: int = msgspec.field(default=0, name="streams_cut")
    cache_hits: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    handles_granted: int = 0
    handles_denied: int = 0
    kv_transfers_failed: int = msgspec.field(default=0, name="hand_overs_failed")
    orders_obeyed: int = 0
    orders_refused: int = 0


class BackendReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/status``.

    ``max_executions_by_request`` above 1 means that a request ran more than once on this worker;
    ``repeated_requests`` names such requests (bounded).
    """

    worker_id: str
    incarnation: str
    service: str
    stage: Stage
    status: WorkerStatus
    in_flight: int
    highest_in_flight: int
    handles_outstanding: int
    executions: int
    max_executions_by_request: int
    repeated_requests: tuple[str, ...]
    prefills: int = msgspec.field(name="prompt_reads")
    max_prefills_by_request: int = msgspec.field(name="max_prompt_reads_by_request")
    highest_term: int
    highest_sequence: int
    counts: BackendCounts
