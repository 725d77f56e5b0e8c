"""Messages of decisions and of their outcomes: requests, reports, counters and circuits."""

from enum import StrEnum

import msgspec

from orchidpath.wire.records import CapacityRecord, CircuitRecord, Stage

PREFILL_DONE_SUFFIX = "#read"
"""An attempt id with this suffix, reported as neutral, means that the attempt's prefill is done.

The outcome of the attempt is reported later, after the KV transfer.
"""


class StageCandidates(msgspec.Struct, frozen=True, kw_only=True):
    """One stage of a decision: candidates in preference order (best first)."""

    stage: Stage
    candidates: tuple[str, ...]
    tried: tuple[str, ...] = ()


class PromptShape(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Prompt of an attempt: key and tokens of its shared prefix, and the tokens after it."""

    prefix_key: int
    shared_tokens: int
    own_tokens: int


class DecisionRequest(msgspec.Struct, frozen=True, kw_only=True, tag="decision_request"):
    """Requests that the leader check the candidates' circuits and register one attempt.

    Sent by: routers, one for each attempt. Lost or late: after a timeout the router decides from
    its last known state and its own observations. Duplicated: the attempt id is registered once.
    With ``prompt`` the leader places the prefill; it chooses no prefill worker where the decode
    worker is to prefill the prompt itself. ``is_read`` is set if the prefill is done already. With
    ``may_wait`` the leader may postpone the decision.
    """

    correlation: int
    request_id: str
    attempt_id: str
    service: str
    per_stage: tuple[StageCandidates, ...] = msgspec.field(name="legs")
    prompt: PromptShape | None = None
    is_read: bool = False
    may_wait: bool = False


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The worker chosen for one stage; ``probe_generation`` is set if the attempt is its probe."""

    stage: Stage
    worker_id: str
    probe_generation: int | None = None


class Rejection(StrEnum):
    """Why no worker was chosen."""

    NONE = "none"
    CIRCUITS_OPEN = "circuits_open"
    SHARED_CAPACITY = "shared_capacity"
    EXHAUSTED = "exhausted"
    NOT_LEADER = "not_leader"
    POSTPONED = "postponed"
    """Retry after ``retry_after_seconds``: the shared prefix is being prefilled."""


class CandidateState(msgspec.Struct, frozen=True, kw_only=True):
    """A candidate's state at this decision; for the router's cache and for traces."""

    worker_id: str
    status: str
    health: float
    in_flight: int
    retry_after_seconds: float = 0.0


class DecisionReply(msgspec.Struct, frozen=True, kw_only=True, tag="decision_reply"):
    """The chosen workers, or why there is none and when to retry.

    ``expected_read_seconds`` is the expected time for queueing and prefill; 0 if there is no
    prefill, or nothing is known.
    """

    correlation: int
    term: int
    choices: tuple[Choice, ...] = ()
    rejection: Rejection = msgspec.field(default=Rejection.NONE, name="denial")
    retry_after_seconds: float = 0.0
    states: tuple[CandidateState, ...] = ()
    expected_read_seconds: float = 0.0


class AttemptEffect(StrEnum):
    """Effect of one attempt on one worker (paper: failures are classified by effect)."""

    SUCCESS = "success"
    REQUEST = "request"
    THROTTLE = "throttle"
    TRANSIENT = "transient"
    CONFIGURATION = "configuration"
    GATEWAY = "gateway"


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How one attempt ended for one worker. The attempt id makes a repeated report harmless."""

    request_id: str
    attempt_id: str
    worker_id: str
    effect: AttemptEffect
    probe_generation: int | None = None


class AttemptReports(msgspec.Struct, frozen=True, kw_only=True, tag="attempt_reports"):
    """A batch of reports from a router to the leader.

    Lost: the router repeats unacknowledged reports, and the in-flight entry expires.
    """

    sequence: int
    reports: tuple[AttemptReport, ...]


class AttemptReportsReply(msgspec.Struct, frozen=True, kw_only=True, tag="attempt_reports_reply"):
    """Acknowledges the reports up to ``sequence``."""

    sequence: int
    term: int


class InFlightMark(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt in flight on a worker, as its router reports it."""

    request_id: str
    attempt_id: str
    worker_id: str
    age_seconds: float


class WorkerTally(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A router's own counts for a worker over the health window."""

    worker_id: str
    successes: int
    failures: int
    consecutive_transients: int


class CounterReport(msgspec.Struct, frozen=True, kw_only=True, tag="counter_report"):
    """A router's own counters, sent once to each new leader to rebuild its soft state."""

    term: int
    in_flight: tuple[InFlightMark, ...]
    tallies: tuple[WorkerTally, ...]


class CapacityObserved(msgspec.Struct, frozen=True, kw_only=True, tag="capacity_observed"):
    """A router has derived a throttle for a failure domain from rejections and delays."""

    failure_domain: str
    retry_after_seconds: float


class CircuitsView(msgspec.Struct, frozen=True, kw_only=True, tag="circuits_view"):
    """The agreed circuits, pushed by the leader on change: the routers' last known state.

    ``duration_seconds`` of each record is what remained when the leader sent this. Late or
    duplicated: one whose ``(term, sequence)`` is not above the newest applied one is ignored.
    """

    term: int
    sequence: int
    circuits: tuple[CircuitRecord, ...]
    capacities: tuple[CapacityRecord, ...]
