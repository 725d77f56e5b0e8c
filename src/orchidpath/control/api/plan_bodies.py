"""JSON bodies of the operators' API for plans."""

import msgspec

from orchidpath.control.api.operator_bodies import (
    MalformedRequestError,
    OperatorError,
)
from orchidpath.placement.planner import PlanPreview
from orchidpath.state.plans import PlanRecord
from orchidpath.wire.announcements import IDENTIFIER_FORM, is_identifier
from orchidpath.wire.messages import PlanAction, PlanActionStatus


class PlanBody(msgspec.Struct, frozen=True, kw_only=True):
    """A preview of the plan that would be made now, and the newest started plan with progress."""

    preview: PlanPreview
    newest: PlanRecord | None = None


class PlanActionBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Body of ``POST /v1/plan/{action}``."""

    plan_id: str
    order_id: str


class PlanActionReplyBody(msgspec.Struct, frozen=True, kw_only=True):
    """Response to an accepted action on a plan."""

    plan_id: str
    order_id: str
    action: PlanAction


class PlanActionResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an action on a plan, and the reason of a rejection."""

    answer: PlanActionStatus
    reason: str = ""


class PlanErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Error response of the API for plans; ``preview`` is the plan that would be made now."""

    error: OperatorError
    order_id: str | msgspec.UnsetType = msgspec.UNSET
    preview: PlanPreview | msgspec.UnsetType = msgspec.UNSET


_action_decoder = msgspec.json.Decoder(PlanActionBody)


def decode_plan_action(raw: bytes) -> PlanActionBody:
    """Decode and check the body of an action on a plan.

    Raises
    ------
    MalformedRequestError
        The body does not have the documented form.
    """
    try:
        body = _action_decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise MalformedRequestError(str(error)) from error
    for name in ("plan_id", "order_id"):
        value = getattr(body, name)
        if not is_identifier(value):
            message = f"{name} must be {IDENTIFIER_FORM}"
            raise MalformedRequestError(message)
    return body
