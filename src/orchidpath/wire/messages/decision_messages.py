"""Messages about routing decisions and their outcomes: requests, reports, counters, circuits."""

from enum import StrEnum

import msgspec

from orchidpath.wire.records import CapacityRecord, CircuitRecord, Stage

PREFILL_DONE_SUFFIX = "#read"
"""Suffix of an attempt id in a neutral report: the prefill of that attempt is done.

The outcome of the attempt itself is reported later, after the KV transfer.
"""


class StageCandidates(msgspec.Struct, frozen=True, kw_only=True):
    """Candidates for one stage of a decision, in order of preference (best first)."""

    stage: Stage
    candidates: tuple[str, ...]
    tried: tuple[str, ...] = ()


class PromptShape(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Size of an attempt's prompt.

    ``prefix_key`` identifies the prefix that the prompt shares with other prompts,
    ``shared_tokens`` is the length of that prefix in tokens, and ``own_tokens`` is the number of
    tokens after it.
    """

    prefix_key: int
    shared_tokens: int
    own_tokens: int


class DecisionRequest(msgspec.Struct, frozen=True, kw_only=True, tag="decision_request"):
    """Requests that the leader choose workers for one attempt and register it as in flight.

    The leader chooses from the candidates by the state of their circuits.

    Sent by: routers, one for each attempt. If the message is lost or late, the router times out
    and decides from its last known state and its own observations. If the message is duplicated,
    the leader registers the attempt id once.

    If ``prompt`` is set, the leader also places the prefill; it chooses no prefill worker if the
    decode worker is to prefill the prompt itself. ``is_read`` is set if the prefill is already
    done. If ``may_wait`` is set, the leader may postpone the decision.
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
    """The worker chosen for one stage of an attempt.

    If the attempt is the probe of the worker's half-open circuit, ``probe_generation`` is the
    generation of that circuit.
    """

    stage: Stage
    worker_id: str
    probe_generation: int | None = None


class Rejection(StrEnum):
    """Reason why no worker was chosen."""

    NONE = "none"
    CIRCUITS_OPEN = "circuits_open"
    SHARED_CAPACITY = "shared_capacity"
    EXHAUSTED = "exhausted"
    NOT_LEADER = "not_leader"
    POSTPONED = "postponed"
    """Retry after ``retry_after_seconds``: the shared prefix is being prefilled."""


class CandidateState(msgspec.Struct, frozen=True, kw_only=True):
    """State of a candidate at the time of a decision; used in the router's cache and in traces."""

    worker_id: str
    status: str
    health: float
    in_flight: int
    retry_after_seconds: float = 0.0


class DecisionReply(msgspec.Struct, frozen=True, kw_only=True, tag="decision_reply"):
    """The chosen workers, or the reason why none was chosen and the time before a retry.

    Sent by: the leader; a control process that is not the leader replies with ``NOT_LEADER``. If
    the message is lost or late, the router decides without it; when a late reply arrives, the
    router reports each chosen worker that it did not use as neutral, which removes the in-flight
    entry and releases the probe. If the message is duplicated, the second one is ignored.

    ``expected_read_seconds`` is the expected time for queueing and prefill; 0 if there is no
    prefill or no estimate.
    """

    correlation: int
    term: int
    choices: tuple[Choice, ...] = ()
    rejection: Rejection = msgspec.field(default=Rejection.NONE, name="denial")
    retry_after_seconds: float = 0.0
    states: tuple[CandidateState, ...] = ()
    expected_read_seconds: float = 0.0


class AttemptEffect(StrEnum):
    """Effect of one attempt on one worker (paper: failures are classified by their effect)."""

    SUCCESS = "success"
    REQUEST = "request"
    THROTTLE = "throttle"
    TRANSIENT = "transient"
    CONFIGURATION = "configuration"
    GATEWAY = "gateway"


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Outcome of one attempt on one worker; the attempt id makes repeated reports idempotent."""

    request_id: str
    attempt_id: str
    worker_id: str
    effect: AttemptEffect
    probe_generation: int | None = None


class AttemptReports(msgspec.Struct, frozen=True, kw_only=True, tag="attempt_reports"):
    """A batch of attempt reports.

    Sent by: routers, to the leader. If the message is lost, the router sends the same batch again
    after ``REPEAT_SECONDS`` (:mod:`orchidpath.router.fleet_link.report_queue`). If the router
    drops the batch, the in-flight entries of its attempts expire. If the message is duplicated or
    late, the attempt id and the worker id of each report make it idempotent.
    """

    sequence: int
    reports: tuple[AttemptReport, ...]


class AttemptReportsReply(msgspec.Struct, frozen=True, kw_only=True, tag="attempt_reports_reply"):
    """Acknowledges exactly the batch with this ``sequence``, not the batches before it.

    Sent by: the leader. If the message is lost, the router sends that batch again. If the message
    is late or duplicated, it changes nothing.
    """

    sequence: int
    term: int


class InFlightMark(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt that is in flight on a worker, as reported by its router."""

    request_id: str
    attempt_id: str
    worker_id: str
    age_seconds: float


class WorkerTally(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Attempts of one router on a worker that succeeded or failed within the health window."""

    worker_id: str
    successes: int
    failures: int
    consecutive_transients: int


class CounterReport(msgspec.Struct, frozen=True, kw_only=True, tag="counter_report"):
    """A router's own counters, from which a new leader rebuilds its soft state.

    Sent by: routers, once for each term of a leader. If the message is lost, the leader's soft
    state lacks this router's earlier attempts. If the message is duplicated, the leader ignores
    the second one; if the message is late, the leader ignores it unless ``term`` is its own.
    """

    term: int
    in_flight: tuple[InFlightMark, ...]
    tallies: tuple[WorkerTally, ...]


class CapacityObserved(msgspec.Struct, frozen=True, kw_only=True, tag="capacity_observed"):
    """Reports that a router derived a throttle of a failure domain from rejections and delays.

    Sent by: routers, to the leader. If the message is lost, the router reports the throttle again
    the next time it derives one. If the message is late or duplicated, the leader ignores it while
    the domain's capacity circuit is open.
    """

    failure_domain: str
    retry_after_seconds: float


class CircuitsView(msgspec.Struct, frozen=True, kw_only=True, tag="circuits_view"):
    """The circuits as agreed through the replicated log: the routers' last known state.

    Sent by: the leader, when a circuit changes or a router is new. If the message is lost, a later
    one replaces it: the leader also sends it every ``CIRCUITS_REPEAT_SECONDS``
    (:mod:`orchidpath.control.leadership.circuits_publisher`). If the message is late or duplicated,
    the router ignores it: its ``(term, sequence)`` is not above that of the newest view applied.

    ``duration_seconds`` of each record is the time that remained when the leader sent the message.
    """

    term: int
    sequence: int
    circuits: tuple[CircuitRecord, ...]
    capacities: tuple[CapacityRecord, ...]
