"""Messages between the fleet's own processes: typed, tagged and msgpack encoded.

Every message says in its docstring who sends it and what a lost, late or duplicated one does.
Consensus messages live in :mod:`orchidpath.consensus.raft_messages`; control processes carry them
inside :class:`ConsensusMessage` so that this package does not depend on that one.
"""

from enum import StrEnum

import msgspec

from orchidpath.wire.backend import Announcement
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.configuration_delta import ConfigurationDelta
from orchidpath.wire.records import (
    CapacityRecord,
    CircuitRecord,
    ControlMember,
    FleetView,
    RouterRecord,
    Stage,
    WorkerRecord,
)


class ProcessRole(StrEnum):
    """Role of the process at the other end of a connection."""

    ROUTER = "router"
    CONTROL = "control"
    TOOL = "tool"


class Hello(msgspec.Struct, frozen=True, kw_only=True, tag="hello"):
    """First message in both directions of every connection.

    Sent by: both ends. Lost: the connection is not used and is closed after a bounded wait.
    """

    node_id: str
    incarnation: str
    role: ProcessRole
    address: str
    fleet: str


class WhoIsControl(msgspec.Struct, frozen=True, kw_only=True, tag="who_is_control"):
    """Asks any process for the control members; that is how three seed addresses are enough.

    Lost: asked again on the next try. Duplicated: answered twice, the same.
    """


class ControlMembers(msgspec.Struct, frozen=True, kw_only=True, tag="control_members"):
    """The control members and leader as the answering process knows them.

    Late: an answer with a lower term than one already known is ignored. ``may_vote`` is of the
    answering process: one without a disk never forms a fleet.
    """

    term: int
    leader_id: str
    members: tuple[ControlMember, ...]
    may_vote: bool = True


class ConsensusMessage(msgspec.Struct, frozen=True, kw_only=True, tag="consensus"):
    """One encoded message of the replicated log, between control processes.

    Lost, late, duplicated or reordered: the consensus core is built for each of them.
    """

    payload: bytes


class RouterHeartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="router_heartbeat"):
    """A router asks the leader to renew its lease and says what it has adopted.

    Sent by: routers, every ``ROUTER_HEARTBEAT_SECONDS``, to the leader. ``adopted_revision`` is
    the newest revision obeyed by every decision of this router from now on. Lost: the next one
    serves. Late or duplicated: harmless, ``sequence`` is echoed and the lease counts from the
    time the router sent that sequence.
    """

    record: RouterRecord
    incarnation: str
    sequence: int
    adopted_revision: int
    adopted_configuration_version: int


class RouterHeartbeatReply(msgspec.Struct, frozen=True, kw_only=True, tag="router_heartbeat_reply"):
    """The leader's answer, given only while it holds its own leader lease.

    ``revision`` is the newest committed revision; the router's lease is renewed only once it has
    adopted that revision. ``registered`` is false until the router is in the replicated roster.
    """

    term: int
    sequence: int
    revision: int
    registered: bool


class FleetUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="fleet_update"):
    """A newer fleet state, pushed by the leader or answered by a peer.

    With ``view`` set it is whole; otherwise it changes ``base_revision`` into ``revision`` by what
    is listed and nothing else: workers (a GONE one is removed), routers, and the witnesses and the
    configuration where they are not None. Lost: the heartbeat reply names a
    revision that the router lacks and it asks again. Late or duplicated: a revision not above the
    adopted one is ignored, so no router ever goes back.
    """

    revision: int
    configuration_version: int
    view: FleetView | None = None
    base_revision: int = 0
    workers: tuple[WorkerRecord, ...] = ()
    routers: tuple[RouterRecord, ...] = ()
    removed_routers: tuple[str, ...] = ()
    witnesses: tuple[str, ...] | None = None
    configuration: ConfigurationDelta | None = None


class FleetUpdateRequest(msgspec.Struct, frozen=True, kw_only=True, tag="fleet_update_request"):
    """A router asks for everything above ``adopted_revision``. Lost: asked again."""

    adopted_revision: int


class FreshnessQuery(msgspec.Struct, frozen=True, kw_only=True, tag="freshness_query"):
    """A router that does not hear the leader asks a witness router for its newest revision.

    Sent by: routers, to every witness, each ``ROUTER_HEARTBEAT_SECONDS`` while the leader is
    silent. Lost: that witness does not count this round.
    """

    router_id: str
    sequence: int
    adopted_revision: int


class FreshnessReply(msgspec.Struct, frozen=True, kw_only=True, tag="freshness_reply"):
    """A witness's newest adopted revision, with the newer state when the asker lacks it."""

    witness_id: str
    sequence: int
    adopted_revision: int
    update: FleetUpdate | None = None


class StageCandidates(msgspec.Struct, frozen=True, kw_only=True):
    """One stage of a decision: candidates in preference order (best first)."""

    stage: Stage
    candidates: tuple[str, ...]
    tried: tuple[str, ...] = ()


class PromptShape(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The prompt of an attempt: the key of its shared beginning, and the tokens of both parts."""

    prefix_key: int
    shared_tokens: int
    own_tokens: int


class DecisionRequest(msgspec.Struct, frozen=True, kw_only=True, tag="decision_request"):
    """Asks the leader to read the candidates' circuits fresh and register one attempt.

    Sent by: routers, one for each attempt. Lost or late: after a bounded wait the router decides
    from its last known state and its own observations. Duplicated: the attempt id makes
    registration happen once. With ``prompt`` the leader places the prompt, and may leave its read
    to the decode worker by choosing none for prefill; ``is_read`` says that it was read already.
    With ``may_wait`` the leader may answer that the request should ask again a little later.
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
    """The worker chosen for one leg; ``probe_generation`` is set when this attempt is its probe."""

    stage: Stage
    worker_id: str
    probe_generation: int | None = None


class Rejection(StrEnum):
    """Why no worker may be tried."""

    NONE = "none"
    CIRCUITS_OPEN = "circuits_open"
    SHARED_CAPACITY = "shared_capacity"
    EXHAUSTED = "exhausted"
    NOT_LEADER = "not_leader"
    POSTPONED = "postponed"
    """Ask again after ``retry_after_seconds``: the prompt's shared part is being read."""


class CandidateState(msgspec.Struct, frozen=True, kw_only=True):
    """A candidate as it was read for this decision; for the router's cache and for traces."""

    worker_id: str
    status: str
    health: float
    in_flight: int
    retry_after_seconds: float = 0.0


class DecisionReply(msgspec.Struct, frozen=True, kw_only=True, tag="decision_reply"):
    """The chosen workers, or why there is none and when to come back.

    ``expected_read_seconds`` is how long the prompt is expected to wait and be read; 0 when no
    prompt is to be read, or nothing is known.
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


PREFILL_DONE_SUFFIX = "#read"
"""An attempt id with this suffix, reported as neutral, says that the attempt's prompt was read.

How the attempt ended is reported later, once its KV cache was taken up.
"""


class AttemptReports(msgspec.Struct, frozen=True, kw_only=True, tag="attempt_reports"):
    """A batch of reports from a router to the leader.

    Lost: the in-flight TTL frees the mark and the router repeats unacknowledged reports.
    """

    sequence: int
    reports: tuple[AttemptReport, ...]


class AttemptReportsReply(msgspec.Struct, frozen=True, kw_only=True, tag="attempt_reports_reply"):
    """The leader has counted reports up to ``sequence``."""

    sequence: int
    term: int


class InFlightMark(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt still running on a worker, as the router that runs it knows."""

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
    """A router's own counters, sent once to each new leader so that it rebuilds its soft state."""

    term: int
    in_flight: tuple[InFlightMark, ...]
    tallies: tuple[WorkerTally, ...]


class CapacityObserved(msgspec.Struct, frozen=True, kw_only=True, tag="capacity_observed"):
    """A router has derived a throttle for a failure domain from refusals and delays."""

    failure_domain: str
    retry_after_seconds: float


class CircuitsView(msgspec.Struct, frozen=True, kw_only=True, tag="circuits_view"):
    """The agreed circuits, pushed by the leader on change: the routers' last known state.

    ``duration_seconds`` of each record is what remains of it as the leader sent this. Late or
    duplicated: one whose ``(term, sequence)`` is not above the newest taken is ignored.
    """

    term: int
    sequence: int
    circuits: tuple[CircuitRecord, ...]
    capacities: tuple[CapacityRecord, ...]


class ForwardedAnnouncements(
    msgspec.Struct, frozen=True, kw_only=True, tag="forwarded_announcements"
):
    """Workers' announcements, forwarded to the leader by the process that took them.

    Lost: the worker announces again. Late: the announcement's sequence decides.
    """

    announcements: tuple[Announcement, ...]


class UpdateStatus(StrEnum):
    """What became of an operator's order."""

    CONFIRMED = "confirmed"
    ACCEPTED_NOT_CONFIRMED = "taken_not_confirmed"
    CONFLICT = "conflict"
    ORDER_ID_REUSED = "order_id_reused"
    REJECTED = "not_taken"
    UNKNOWN = "unknown"


class ConfigurationUpdateRequest(msgspec.Struct, frozen=True, kw_only=True, tag="order_request"):
    """An operator's order, forwarded to the leader by the control process that took it.

    Lost: the forwarding process answers ``unknown``. Duplicated: the order id decides.
    """

    correlation: int
    order_id: str
    base_version: int
    configuration: Configuration
    digest: str
    document: bytes = b""


class ConfigurationUpdateReply(msgspec.Struct, frozen=True, kw_only=True, tag="order_reply"):
    """The outcome of a forwarded order. Late: nobody waits any more; the order id remembers."""

    correlation: int
    answer: UpdateStatus
    version: int = 0
    reason: str = ""


class PlanAction(StrEnum):
    """What an operator wants of a plan."""

    CONFIRM = "confirm"
    HALT = "halt"
    RESUME = "resume"
    CANCEL = "cancel"


class PlanActionStatus(StrEnum):
    """What became of an operator's order about a plan."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"
    ORDER_ID_REUSED = "order_id_reused"
    REJECTED = "not_taken"
    UNKNOWN = "unknown"


class PlanActionRequest(msgspec.Struct, frozen=True, kw_only=True, tag="plan_order_request"):
    """An order about a plan, forwarded to the leader by the control process that took it.

    Lost: the forwarding process answers ``unknown``. Duplicated: the order id decides.
    """

    correlation: int
    order_id: str
    action: PlanAction
    plan_id: str


class PlanActionReply(msgspec.Struct, frozen=True, kw_only=True, tag="plan_order_reply"):
    """The outcome of a forwarded order about a plan. Late: nobody waits; the id remembers."""

    correlation: int
    answer: PlanActionStatus
    reason: str = ""


class ReadIndexRequest(msgspec.Struct, frozen=True, kw_only=True, tag="read_index_request"):
    """A control process asks the leader up to where its own copy must be for a fresh read."""

    correlation: int


class ReadIndexReply(msgspec.Struct, frozen=True, kw_only=True, tag="read_index_reply"):
    """The index to wait for; ``available`` is false when the asked process may not say."""

    correlation: int
    available: bool
    index: int = 0


class WorkerCircuitsRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag="worker_circuits_request"
):
    """A control process asks the leader for the operators' view of the circuits."""

    correlation: int


class WorkerCircuitsReply(msgspec.Struct, frozen=True, kw_only=True, tag="worker_circuits_reply"):
    """The encoded views (:class:`orchidpath.circuit.circuit_table.WorkerCircuitView`)."""

    correlation: int
    available: bool
    payload: bytes = b""


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, tag="join_request"):
    """A control replica that is no member asks the leader to be added as a learner.

    Lost: asked again each second. Duplicated: adding twice changes nothing.
    """

    member: ControlMember


Message = (
    Hello
    | WhoIsControl
    | ControlMembers
    | ConsensusMessage
    | RouterHeartbeat
    | RouterHeartbeatReply
    | FleetUpdate
    | FleetUpdateRequest
    | FreshnessQuery
    | FreshnessReply
    | DecisionRequest
    | DecisionReply
    | AttemptReports
    | AttemptReportsReply
    | CounterReport
    | CapacityObserved
    | CircuitsView
    | ForwardedAnnouncements
    | ConfigurationUpdateRequest
    | ConfigurationUpdateReply
    | ReadIndexRequest
    | ReadIndexReply
    | WorkerCircuitsRequest
    | WorkerCircuitsReply
    | JoinRequest
    | PlanActionRequest
    | PlanActionReply
)
"""Any message on a connection between two processes of the fleet."""

ROUTER_HEARTBEAT_SECONDS = 0.5
"""Time between two heartbeats of a router to the leader."""

ROUTER_LEASE_SECONDS = 1.5
"""A router may serve for this long after it sent the heartbeat that was last answered."""

LEASE_DRIFT_SECONDS = 0.2
"""Added by the leader before it takes a router's lease as lapsed: clocks differ in speed."""
