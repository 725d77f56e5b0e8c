"""Operators' configuration updates and plan actions, forwarded to the leader."""

from enum import StrEnum

import msgspec

from orchidpath.wire.configuration import Configuration


class UpdateStatus(StrEnum):
    """Outcome of an operator's configuration update."""

    CONFIRMED = "confirmed"
    ACCEPTED_NOT_CONFIRMED = "taken_not_confirmed"
    CONFLICT = "conflict"
    ORDER_ID_REUSED = "order_id_reused"
    REJECTED = "not_taken"
    UNKNOWN = "unknown"


class ConfigurationUpdateRequest(msgspec.Struct, frozen=True, kw_only=True, tag="order_request"):
    """An operator's update, forwarded to the leader by the control process that received it.

    If the message is lost, the forwarding process times out and reports the outcome as unknown. If
    the message is duplicated, ``order_id`` makes it idempotent.
    """

    correlation: int
    order_id: str
    base_version: int
    configuration: Configuration
    digest: str
    document: bytes = b""


class ConfigurationUpdateReply(msgspec.Struct, frozen=True, kw_only=True, tag="order_reply"):
    """The outcome of a forwarded configuration update.

    Sent by: the leader. If the message is lost or late, the forwarding process reports the outcome
    as unknown and ignores a late reply; the replicated state stores the outcome under
    ``order_id``.
    """

    correlation: int
    answer: UpdateStatus
    version: int = 0
    reason: str = ""


class PlanAction(StrEnum):
    """An operator's action on a plan."""

    CONFIRM = "confirm"
    HALT = "halt"
    RESUME = "resume"
    CANCEL = "cancel"


class PlanActionStatus(StrEnum):
    """Outcome of an operator's plan action."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"
    ORDER_ID_REUSED = "order_id_reused"
    REJECTED = "not_taken"
    UNKNOWN = "unknown"


class PlanActionRequest(msgspec.Struct, frozen=True, kw_only=True, tag="plan_order_request"):
    """A plan action, forwarded to the leader by the control process that received it.

    If the message is lost, the forwarding process times out and reports the outcome as unknown. If
    the message is duplicated, ``order_id`` makes it idempotent.
    """

    correlation: int
    order_id: str
    action: PlanAction
    plan_id: str


class PlanActionReply(msgspec.Struct, frozen=True, kw_only=True, tag="plan_order_reply"):
    """The outcome of a forwarded plan action.

    Sent by: the leader. If the message is lost or late, the forwarding process reports the outcome
    as unknown and ignores a late reply; the replicated state stores the outcome under
    ``order_id``.
    """

    correlation: int
    answer: PlanActionStatus
    reason: str = ""
