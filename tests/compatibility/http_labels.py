"""Maps each label of the corpus to a class; no other file of the corpus names the classes.

If a class is renamed or moved, only this module changes; the labels and the corpus do not.
"""

from enum import Enum
from types import ModuleType

import msgspec

import command_format
import configuration_format
import control_calls
import node_settings
import request_mapping
from command_format import CommandBody as PlatformCommandBody
from configuration_format import (
    Document,
    DocumentChange,
    DocumentEngine,
    DocumentLimits,
    DocumentModel,
    DocumentRoute,
    DocumentService,
    DocumentTarget,
    Policies,
    StagePolicy,
)
from control_calls import (
    InstanceBody,
    InstanceModel,
)
from node_settings import (
    Bounds,
    FaultTolerance,
    NodeSettings,
)
from orchidpath.common import settings
from orchidpath.common.settings import (
    ControlSettings,
    RouterSettings,
)
from orchidpath.consensus.types import (
    Role,
)
from orchidpath.control.api import operator_bodies, plan_bodies
from orchidpath.control.api.operator_bodies import (
    Accepted,
    ConfigurationBody,
    HealthBody,
    HistoryBody,
    MembersBody,
    OperatorError,
    OperatorErrorBody,
    OperatorErrorCode,
    RouterBody,
    RoutersBody,
    StatusBody,
    SubmitBody,
    SubmitReplyBody,
    SubmitResult,
    SubmitStatus,
    UpdateBody,
    UpdateOutcomeName,
    WorkerBody,
    WorkersBody,
)
from orchidpath.control.api.plan_bodies import (
    PlanActionBody,
    PlanActionReplyBody,
    PlanActionResult,
    PlanBody,
    PlanErrorBody,
)
from orchidpath.emulators.backend import injected_faults
from orchidpath.emulators.backend.injected_faults import (
    Fault,
    FaultKind,
    FaultReply,
)
from orchidpath.emulators.client import traffic_mix
from orchidpath.emulators.client.traffic_mix import (
    RatePoint,
    RateVariation,
    RequestBurst,
    TokenDistribution,
    TrafficKind,
    TrafficMix,
    TrafficStream,
)
from orchidpath.fleet import file
from orchidpath.fleet.file import (
    FleetFile,
    FleetWorker,
    Machine,
    ScriptedFault,
    ScriptedFaultKind,
)
from orchidpath.placement.planner import (
    PlanPreview,
    PlanRefusal,
    RefusalReason,
    ServicePreview,
    StepPreview,
)
from orchidpath.router.chat import chat_api
from orchidpath.router.chat.chat_api import (
    AssistantMessage,
    ChatChunk,
    ChatCompletion,
    ChatCompletionRequest,
    ChatMessage,
    ChunkChoice,
    CompletionChoice,
    ContentPart,
    DecisionTrace,
    Delta,
    ErrorAnswer,
    TraceEntry,
    Usage,
)
from orchidpath.router.observability import readiness
from orchidpath.router.observability.readiness import (
    Liveness,
    Readiness,
)
from orchidpath.state.configuration_checks.validation_problems import (
    Problem,
)
from orchidpath.state.plans import (
    Plan,
    PlanProgress,
    PlanRecord,
    PlanStatus,
    PlanStep,
    ServiceBounds,
    StepPhase,
    StepProgress,
)
from orchidpath.state.snapshot import (
    ConfigurationEntry,
)
from orchidpath.wire import backend, configuration, link_faults
from orchidpath.wire.backend import (
    Announcement,
    AnnouncementReply,
    CacheHandle,
    CallReply,
    CallRequest,
    CancelReply,
    DecodeFrame,
    DecodeRequest,
    ErrorBody,
    ErrorCode,
    ErrorEnvelope,
    FrameKind,
    PrefillReply,
    PrefillRequest,
    Ran,
    WorkerCommand,
    WorkerCommandKind,
    WorkerCommandReply,
)
from orchidpath.wire.configuration import (
    AdmissionPolicy,
    CircuitPolicy,
    Configuration,
    EdgeLimits,
    EngineProfile,
    ForwardRoute,
    PlacementPolicy,
    Repetition,
    RetryPolicy,
    Route,
    Service,
    ServiceKind,
    WeightedService,
)
from orchidpath.wire.link_faults import (
    Fate,
    LinkFault,
    LinkFaultFile,
    Verdict,
)
from orchidpath.wire.messages import (
    AttemptEffect,
    PlanAction,
)
from orchidpath.wire.records import (
    CircuitStatus,
    ControlMember,
    RouterRecord,
    Stage,
    WorkerRecord,
    WorkerStatus,
)
from request_mapping import (
    PrefillResultBody,
)

MESSAGES: dict[str, type[msgspec.Struct]] = {
    "operators: error": OperatorError,
    "operators: error answer": OperatorErrorBody,
    "operators: problem": Problem,
    "operators: submit": SubmitBody,
    "operators: submit reply": SubmitReplyBody,
    "operators: configuration": ConfigurationBody,
    "configuration: configuration": Configuration,
    "configuration: service": Service,
    "configuration: engine profile": EngineProfile,
    "configuration: route": Route,
    "configuration: circuit policy": CircuitPolicy,
    "configuration: retry policy": RetryPolicy,
    "configuration: admission policy": AdmissionPolicy,
    "configuration: placement policy": PlacementPolicy,
    "configuration: forward route": ForwardRoute,
    "configuration: weighted service": WeightedService,
    "configuration: edge limits": EdgeLimits,
    "operators: history": HistoryBody,
    "operators: configuration entry": ConfigurationEntry,
    "operators: order": UpdateBody,
    "operators: status": StatusBody,
    "operators: worker": WorkerBody,
    "fleet: worker record": WorkerRecord,
    "operators: workers": WorkersBody,
    "operators: router": RouterBody,
    "fleet: router record": RouterRecord,
    "operators: routers": RoutersBody,
    "operators: members": MembersBody,
    "fleet: control member": ControlMember,
    "operators: health": HealthBody,
    "plans: plan": PlanBody,
    "plans: plan preview": PlanPreview,
    "plans: plan (item)": Plan,
    "plans: plan step": PlanStep,
    "plans: service bounds": ServiceBounds,
    "plans: step preview": StepPreview,
    "plans: service preview": ServicePreview,
    "plans: plan refusal": PlanRefusal,
    "plans: plan record": PlanRecord,
    "plans: plan progress": PlanProgress,
    "plans: step progress": StepProgress,
    "plans: plan order": PlanActionBody,
    "plans: plan order reply": PlanActionReplyBody,
    "plans: plan error": PlanErrorBody,
    "back end: error": ErrorBody,
    "back end: error envelope": ErrorEnvelope,
    "back end: cache handle": CacheHandle,
    "back end: prefill request": PrefillRequest,
    "back end: prefill reply": PrefillReply,
    "back end: decode request": DecodeRequest,
    "back end: decode frame": DecodeFrame,
    "back end: call request": CallRequest,
    "back end: call reply": CallReply,
    "back end: cancel reply": CancelReply,
    "back end: announcement": Announcement,
    "back end: announcement reply": AnnouncementReply,
    "back end: worker order": WorkerCommand,
    "back end: worker order reply": WorkerCommandReply,
    "chat: content part": ContentPart,
    "chat: chat message": ChatMessage,
    "chat: chat completion request": ChatCompletionRequest,
    "chat: delta": Delta,
    "chat: chunk choice": ChunkChoice,
    "chat: usage": Usage,
    "chat: trace entry": TraceEntry,
    "chat: decision trace": DecisionTrace,
    "chat: chat chunk": ChatChunk,
    "chat: assistant message": AssistantMessage,
    "chat: completion choice": CompletionChoice,
    "chat: chat completion": ChatCompletion,
    "chat: error answer": ErrorAnswer,
    "health: readiness": Readiness,
    "health: liveness": Liveness,
    "settings: router settings": RouterSettings,
    "settings: control settings": ControlSettings,
    "fleet file: machine": Machine,
    "fleet file: fleet worker": FleetWorker,
    "fleet file: scripted fault": ScriptedFault,
    "stand-in: fault": Fault,
    "fleet file: fleet file": FleetFile,
    "traffic: traffic mix": TrafficMix,
    "traffic: traffic stream": TrafficStream,
    "traffic: token distribution": TokenDistribution,
    "traffic: swing": RateVariation,
    "traffic: rate point": RatePoint,
    "traffic: crowd burst": RequestBurst,
    "link faults: link fault": LinkFault,
    "link faults: link fault file": LinkFaultFile,
    "stand-in: fault reply": FaultReply,
    "platform: stage policy": StagePolicy,
    "platform: policies": Policies,
    "platform: target": DocumentTarget,
    "platform: route": DocumentRoute,
    "platform: model": DocumentModel,
    "platform: engine": DocumentEngine,
    "platform: service": DocumentService,
    "platform: limits": DocumentLimits,
    "platform: document": Document,
    "platform: change": DocumentChange,
    "platform settings: bounds": Bounds,
    "platform settings: fault tolerance": FaultTolerance,
    "platform settings: node settings": NodeSettings,
    "platform: instance model": InstanceModel,
    "platform: instance": InstanceBody,
    "platform: prompt read": PrefillResultBody,
    "platform: order": PlatformCommandBody,
}
"""Every JSON message and document, and the structs that they contain."""

ENUMERATIONS: dict[str, type[Enum]] = {
    "operators: taken": Accepted,
    "operators: error code": OperatorErrorCode,
    "configuration: service kind": ServiceKind,
    "configuration: repetition": Repetition,
    "operators: order outcome name": UpdateOutcomeName,
    "operators: role": Role,
    "fleet: stage": Stage,
    "fleet: worker status": WorkerStatus,
    "fleet: circuit status": CircuitStatus,
    "plans: refusal reason": RefusalReason,
    "plans: plan status": PlanStatus,
    "plans: step phase": StepPhase,
    "orders: plan action": PlanAction,
    "back end: ran": Ran,
    "back end: error code": ErrorCode,
    "back end: frame kind": FrameKind,
    "back end: order kind": WorkerCommandKind,
    "orders: attempt effect": AttemptEffect,
    "fleet file: scripted fault kind": ScriptedFaultKind,
    "stand-in: fault kind": FaultKind,
    "traffic: traffic kind": TrafficKind,
}
"""Every enumeration that occurs in a message or document."""

MODULES: tuple[ModuleType, ...] = (
    operator_bodies,
    plan_bodies,
    backend,
    chat_api,
    readiness,
    settings,
    file,
    injected_faults,
    traffic_mix,
    configuration,
    link_faults,
    configuration_format,
    node_settings,
    control_calls,
    request_mapping,
    command_format,
)
"""Modules in which every message type must have a label."""

NOT_WRITTEN: dict[type, str] = {
    SubmitResult: "result of a call inside the process; the answers pin what it becomes",
    PlanActionResult: "result of a call inside the process; the answers pin what it becomes",
    SubmitStatus: "part of such a result",
    Verdict: "result of a function inside the process",
    Fate: "part of a result inside the process",
}
"""Types of those modules that are never written to a file or a connection, with the reason."""
