"""JSON bodies of the operators' HTTP API, and the typed results behind them."""

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
"""Largest version of a configuration."""

NEUTRAL_HEALTH = 0.5
"""Health of a worker without attempts (paper: neutral default)."""


class MalformedRequestError(OrchidpathError):
    """A request's body does not have the documented form."""


class Accepted(StrEnum):
    """Whether an update or action that got no outcome was accepted."""

    NO = "no"
    UNKNOWN = "unknown"


class SubmitStatus(StrEnum):
    """How the submission of an update ended."""

    CONFIRMED = "confirmed"
    """Accepted and certain to outlast the failures that the fleet is built for."""
    ACCEPTED_NOT_CONFIRMED = "taken_not_confirmed"
    """Committed, but the wait for the confirmation ran out; send the same update again to ask."""
    CONFLICT = "conflict"
    """Not built on the current version; nothing changed."""
    ORDER_ID_REUSED = "order_id_reused"
    """The id belongs to an update with other content; nothing changed."""
    UNAVAILABLE = "unavailable"
    """No leader answered; ``accepted`` tells what is known of the update."""


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
    """What went wrong; ``accepted`` is given where an outcome is in question."""

    code: OperatorErrorCode
    message: str
    accepted: Accepted | msgspec.UnsetType = msgspec.field(default=msgspec.UNSET, name="taken")


class OperatorErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """The one JSON shape of every error of the operators' API."""

    error: OperatorError
    order_id: str | msgspec.UnsetType = msgspec.UNSET
    current_version: int | msgspec.UnsetType = msgspec.UNSET
    problems: list[Problem] | msgspec.UnsetType = msgspec.UNSET


class SubmitBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Body of ``PUT /v1/configuration``; the configuration is checked apart from the rest."""

    order_id: str
    base_version: int
    configuration: msgspec.Raw


class SubmitReplyBody(msgspec.Struct, frozen=True, kw_only=True):
    """An update was accepted as ``version``."""

    order_id: str
    version: int
    confirmed: bool


class ConfigurationBody(msgspec.Struct, frozen=True, kw_only=True):
    """The newest configuration and its version."""

    version: int
    configuration: Configuration


class HistoryBody(msgspec.Struct, frozen=True, kw_only=True):
    """The newest configurations, oldest first."""

    history: tuple[ConfigurationEntry, ...]


class UpdateOutcomeName(StrEnum):
    """Outcome of an update that was decided."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"


class UpdateBody(msgspec.Struct, frozen=True, kw_only=True):
    """The first outcome of an update: the version it became, or the one it conflicted with."""

    order_id: str
    outcome: UpdateOutcomeName
    version: int | msgspec.UnsetType = msgspec.UNSET
    current_version: int | msgspec.UnsetType = msgspec.UNSET


class StatusBody(msgspec.Struct, frozen=True, kw_only=True):
    """What one control process knows of itself, without asking any other."""

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
    """A worker in the view and its circuit, with the time until it may be tried again."""

    record: WorkerRecord
    circuit: CircuitStatus
    retry_after_ms: int
    health: float
    in_flight: int


class WorkersBody(msgspec.Struct, frozen=True, kw_only=True):
    """The workers in the view, by id."""

    revision: int
    workers: tuple[WorkerBody, ...]


class RouterBody(msgspec.Struct, frozen=True, kw_only=True):
    """A registered router, and whether it is a witness."""

    record: RouterRecord
    witness: bool


class RoutersBody(msgspec.Struct, frozen=True, kw_only=True):
    """The registered routers, by id."""

    revision: int
    routers: tuple[RouterBody, ...]


class MembersBody(msgspec.Struct, frozen=True, kw_only=True):
    """The registered control replicas, by id."""

    term: int
    leader_id: str
    members: tuple[ControlMember, ...]


class HealthBody(msgspec.Struct, frozen=True, kw_only=True):
    """The process is alive, or ready."""

    ready: bool
    reason: str = ""


_submit_decoder = msgspec.json.Decoder(SubmitBody)


def decode_submit(raw: bytes) -> SubmitBody:
    """Return the body of an update, with its configuration not yet checked.

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
    """Return a worker's announcement.

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
    """Return the first outcome of an update as it is shown."""
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
    """Return a worker with its circuit; one that is not in the circuits yet is available."""
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
