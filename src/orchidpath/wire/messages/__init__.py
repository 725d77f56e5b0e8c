"""Messages between the fleet's own processes: typed, tagged and msgpack encoded.

The docstring of a message states who sends it and what happens if it is lost, late or duplicated.
The messages are defined by subject in the modules that are imported here.
"""

from orchidpath.wire.messages.decision_messages import (
    PREFILL_DONE_SUFFIX,
    AttemptEffect,
    AttemptReport,
    AttemptReports,
    AttemptReportsReply,
    CandidateState,
    CapacityObserved,
    Choice,
    CircuitsView,
    CounterReport,
    DecisionReply,
    DecisionRequest,
    InFlightMark,
    PromptShape,
    Rejection,
    StageCandidates,
    WorkerTally,
)
from orchidpath.wire.messages.fleet_update_messages import (
    LEASE_DRIFT_SECONDS,
    ROUTER_HEARTBEAT_SECONDS,
    ROUTER_LEASE_SECONDS,
    FleetUpdate,
    FleetUpdateRequest,
    FreshnessQuery,
    FreshnessReply,
    RouterHeartbeat,
    RouterHeartbeatReply,
    RouterLeaving,
)
from orchidpath.wire.messages.membership_messages import (
    ConsensusMessage,
    ControlMembers,
    ForwardedAnnouncements,
    Hello,
    JoinRequest,
    ProcessRole,
    WhoIsControl,
)
from orchidpath.wire.messages.operator_messages import (
    ConfigurationUpdateReply,
    ConfigurationUpdateRequest,
    PlanAction,
    PlanActionReply,
    PlanActionRequest,
    PlanActionStatus,
    UpdateStatus,
)
from orchidpath.wire.messages.read_messages import (
    ReadIndexReply,
    ReadIndexRequest,
    WorkerCircuitsReply,
    WorkerCircuitsRequest,
)

__all__ = [
    "LEASE_DRIFT_SECONDS",
    "PREFILL_DONE_SUFFIX",
    "ROUTER_HEARTBEAT_SECONDS",
    "ROUTER_LEASE_SECONDS",
    "AttemptEffect",
    "AttemptReport",
    "AttemptReports",
    "AttemptReportsReply",
    "CandidateState",
    "CapacityObserved",
    "Choice",
    "CircuitsView",
    "ConfigurationUpdateReply",
    "ConfigurationUpdateRequest",
    "ConsensusMessage",
    "ControlMembers",
    "CounterReport",
    "DecisionReply",
    "DecisionRequest",
    "FleetUpdate",
    "FleetUpdateRequest",
    "ForwardedAnnouncements",
    "FreshnessQuery",
    "FreshnessReply",
    "Hello",
    "InFlightMark",
    "JoinRequest",
    "Message",
    "PlanAction",
    "PlanActionReply",
    "PlanActionRequest",
    "PlanActionStatus",
    "ProcessRole",
    "PromptShape",
    "ReadIndexReply",
    "ReadIndexRequest",
    "Rejection",
    "RouterHeartbeat",
    "RouterHeartbeatReply",
    "RouterLeaving",
    "StageCandidates",
    "UpdateStatus",
    "WhoIsControl",
    "WorkerCircuitsReply",
    "WorkerCircuitsRequest",
    "WorkerTally",
]

Message = (
    Hello
    | WhoIsControl
    | ControlMembers
    | ConsensusMessage
    | RouterHeartbeat
    | RouterHeartbeatReply
    | RouterLeaving
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
