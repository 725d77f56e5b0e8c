"""JSON bodies of the operators' HTTP API, and the result types that they are made from."""

from enum import StrEnum

import msgspec

from orchidpath.circuit.circuit_table import WorkerCircuitView
from orchidpath.common.errors import OrchidpathError
from orchidpath.consensus.types import Role
from orchidpath.state.configuration_checks.validation_problems import Problem
from orchidpath.state.outcomes import UpdateAccepted, UpdateRecord
from orchidpath.state.snapshot import ConfigurationEntry
from orchidpath.wire import announcements
from orchidpath.wire.backend import Announcement
from orchidpath.wire.configuration import Configuration
from orchidpath.wire.records import (
    CircuitStatus,
    ControlMember,
    RouterRecord,
    WorkerRecord,
)

MAX_VERSION = announcements.MAX_SEQUENCE
"""Upper bound on the version of a configuration."""

NEUTRAL_HEALTH = 0.5
"""Health of a worker without attempts (paper: neutral default)."""


class MalformedRequestError(OrchidpathError):
    """The body of a request does not have the documented form."""


class Accepted(StrEnum):
    """Whether an update or action whose outcome was not reported may have been accepted."""

    NO = "no"
    UNKNOWN = "unknown"


class SubmitStatus(StrEnum):
    """Status of a submitted update."""

    CONFIRMED = "confirmed"
    """Accepted, and confirmed to survive the failures that the fleet is designed for."""
    ACCEPTED_NOT_CONFIRMED = "taken_not_confirmed"
    """Committed, but not confirmed in time; the same update sent again waits for confirmation."""
    CONFLICT = "conflict"
    """Not built on the current version; nothing changed."""
    ORDER_ID_REUSED = "order_id_reused"
    """The id belongs to an update with other content; nothing changed."""
    UNAVAILABLE = "unavailable"
    """No leader answered; ``accepted`` says whether the update may have been accepted."""


class SubmitResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of submitting an update.

    ``version`` is set for accepted updates, ``current_version`` for rejected ones, ``accepted`` and
    ``retry_after_seconds`` when unavailable.
    """

    status: SubmitStatus
    version: int = 0
    current_version: int = 0
    accepted: Accepted = Accepted.UNKNOWN
    retry_after_seconds: float = 1.0


class OperatorErrorCode(StrEnum):
    """Stable error codes of the operators' API."""

    MALFORMED = "malformed"
    INVALID_CONFIGURATION = "invalid_configuration"
    VERSION_CONFLICT = "version_conflict"
    ORDER_ID_REUSED = "order_id_reused"
    NO_LEADER = "no_leader"
    NOT_READY = "not_ready"
    UNKNOWN_UPDATE = "unknown_order"
    PLAN_STALE = "plan_stale"
    PLAN_REFUSED = "plan_refused"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TOO_LARGE = "too_large"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    INTERNAL = "internal"


class OperatorError(msgspec.Struct, frozen=True, kw_only=True):
    """Code and message of an error; ``accepted`` is set where the outcome may be unknown."""

    code: OperatorErrorCode
    message: str
    accepted: Accepted | msgspec.UnsetType = msgspec.field(default=msgspec.UNSET, name="taken")


class OperatorErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Common JSON body of the error responses of the operators' API."""

    error: OperatorError
    order_id: str | msgspec.UnsetType = msgspec.UNSET
    current_version: int | msgspec.UnsetType = msgspec.UNSET
    problems: list[Problem] | msgspec.UnsetType = msgspec.UNSET


class SubmitBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Body of ``PUT /v1/configuration``; the configuration is left undecoded here."""

    order_id: str
    base_version: int
    configuration: msgspec.Raw


class SubmitReplyBody(msgspec.Struct, frozen=True, kw_only=True):
    """Response to an update that was accepted as ``version``."""

    order_id: str
    version: int
    confirmed: bool


class ConfigurationBody(msgspec.Struct, frozen=True, kw_only=True):
    """The current configuration and its version."""

    version: int
    configuration: Configuration


class HistoryBody(msgspec.Struct, frozen=True, kw_only=True):
    """The newest configurations, oldest first."""

    history: tuple[ConfigurationEntry, ...]


class UpdateOutcomeName(StrEnum):
    """Outcome of a decided update."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"


class UpdateBody(msgspec.Struct, frozen=True, kw_only=True):
    """First outcome of an update: its version, or the current version that it conflicted with."""

    order_id: str
    outcome: UpdateOutcomeName
    version: int | msgspec.UnsetType = msgspec.UNSET
    current_version: int | msgspec.UnsetType = msgspec.UNSET


class StatusBody(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one control process, from its own state only."""

    node_id: str
    role: Role
    term: int
    leader_id: str = ""
    ready: bool = False
    reason: str = ""
    commit_index: int = 0
    applied_index: int = 0
    revision: int = 0
    configuration_version: int = 0
    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()


class WorkerBody(msgspec.Struct, frozen=True, kw_only=True):
    """A worker in the view and its circuit; attempts are allowed after ``retry_after_ms``."""

    record: WorkerRecord
    circuit: CircuitStatus
    retry_after_ms: int
    health: float
    in_flight: int


class WorkersBody(msgspec.Struct, frozen=True, kw_only=True):
    """The workers in the view, ordered by id."""

    revision: int
    workers: tuple[WorkerBody, ...]


class RouterBody(msgspec.Struct, frozen=True, kw_only=True):
    """A registered router, and whether it is a witness."""

    record: RouterRecord
    witness: bool


class RoutersBody(msgspec.Struct, frozen=True, kw_only=True):
    """The registered routers, ordered by id."""

    revision: int
    routers: tuple[RouterBody, ...]


class MembersBody(msgspec.Struct, frozen=True, kw_only=True):
    """The registered control replicas, ordered by id."""

    term: int
    leader_id: str
    members: tuple[ControlMember, ...]


class HealthBody(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a liveness or readiness probe; ``reason`` says why it is not ready."""

    ready: bool
    reason: str = ""


_submit_decoder = msgspec.json.Decoder(SubmitBody)


def decode_submit(raw: bytes) -> SubmitBody:
    """Decode and check the body of an update, except its configuration.

    Raises
    ------
    MalformedRequestError
        The body does not have the documented form.
    """
    try:
        body = _submit_decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise MalformedRequestError(str(error)) from error
    _check_identifier(body.order_id, "order_id")
    if not 0 <= body.base_version <= MAX_VERSION:
        raise MalformedRequestError("base_version is out of range")
    return body


def decode_announcement(raw: bytes) -> Announcement:
    """Decode and check a worker's announcement.

    Raises
    ------
    MalformedRequestError
        The body does not have the documented form.
    """
    try:
        return announcements.decode_announcement(raw)
    except announcements.InvalidAnnouncementError as error:
        raise MalformedRequestError(str(error)) from error


def _check_identifier(value: str, name: str) -> None:
    if not announcements.is_identifier(value):
        raise MalformedRequestError(f"{name} must be {announcements.IDENTIFIER_FORM}")


def update_body(record: UpdateRecord) -> UpdateBody:
    """Return the response body for the first outcome of an update."""
    if isinstance(record.outcome, UpdateAccepted):
        return UpdateBody(
            order_id=record.order_id,
            outcome=UpdateOutcomeName.ACCEPTED,
            version=record.outcome.version,
        )
    return UpdateBody(
        order_id=record.order_id,
        outcome=UpdateOutcomeName.CONFLICT,
        current_version=record.outcome.current_version,
    )


def worker_body(record: WorkerRecord, view: WorkerCircuitView | None) -> WorkerBody:
    """Return a worker with its circuit; a worker without a circuit yet is listed as available."""
    if view is None:
        return WorkerBody(
            record=record,
            circuit=CircuitStatus.AVAILABLE,
            retry_after_ms=0,
            health=NEUTRAL_HEALTH,
            in_flight=0,
        )
    return WorkerBody(
        record=record,
        circuit=view.status,
        retry_after_ms=view.retry_after_ms,
        health=view.health,
        in_flight=view.in_flight,
    )
