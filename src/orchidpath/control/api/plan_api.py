"""HTTP API for stage-change plans, served by every control process.

A plan is a list of steps, each of which moves one worker to another stage.

- ``GET /v1/plan``: a preview of the plan that would be made now, and the newest plan with its
  progress.
- ``POST /v1/plan/confirm``, ``halt``, ``resume``, ``cancel``: actions on a plan.

The preview is computed from the replicated state alone, so every control process returns the same
one.
"""

import msgspec
import structlog
from aiohttp import web

from orchidpath.control.api.control_access import PlanAccess, UnavailableError
from orchidpath.control.api.operator_bodies import Accepted, OperatorError, OperatorErrorCode
from orchidpath.control.api.plan_bodies import (
    PlanActionBody,
    PlanActionReplyBody,
    PlanActionResult,
    PlanBody,
    PlanErrorBody,
    decode_plan_action,
)
from orchidpath.control.api.responses import json_response, read_body
from orchidpath.placement.planner import PlanPreview, make_preview
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.messages import PlanAction, PlanActionStatus

RETRY_AFTER_SECONDS = 1
"""Value of ``Retry-After`` when no leader answered."""

_log = structlog.get_logger(__name__)


def add_plan_routes(app: web.Application, access: PlanAccess) -> None:
    """Add the endpoints to the operators' application; its middleware handles their exceptions."""
    api = _PlanApi(access)
    app.router.add_get("/v1/plan", api.get_plan)
    app.router.add_post("/v1/plan/confirm", api.post_confirm)
    app.router.add_post("/v1/plan/halt", api.post_halt)
    app.router.add_post("/v1/plan/resume", api.post_resume)
    app.router.add_post("/v1/plan/cancel", api.post_cancel)


class _PlanApi:
    """Request handlers of the API for plans."""

    def __init__(self, access: PlanAccess) -> None:
        self._access = access
        self._cached_preview: PlanPreview | None = None

    async def get_plan(self, request: web.Request) -> web.Response:
        """``GET /v1/plan``: 200 ``{"preview", "newest"}``; 503 without a leader."""
        state = await self._access.read_state()
        return json_response(PlanBody(preview=self._preview_of(state), newest=state.plan))

    async def post_confirm(self, request: web.Request) -> web.Response:
        """``POST /v1/plan/confirm``: start a plan; see `_request_action` for the responses."""
        return await self._request_action(request, PlanAction.CONFIRM)

    async def post_halt(self, request: web.Request) -> web.Response:
        """``POST /v1/plan/halt``: start no further step of a plan until it is resumed."""
        return await self._request_action(request, PlanAction.HALT)

    async def post_resume(self, request: web.Request) -> web.Response:
        """``POST /v1/plan/resume``: continue a halted plan."""
        return await self._request_action(request, PlanAction.RESUME)

    async def post_cancel(self, request: web.Request) -> web.Response:
        """``POST /v1/plan/cancel``: cancel a plan that is not over."""
        return await self._request_action(request, PlanAction.CANCEL)

    async def _request_action(self, request: web.Request, action: PlanAction) -> web.Response:
        """``POST /v1/plan/{action}`` with ``{"plan_id", "order_id"}``.

        - 200: accepted. A repetition of the request gets the first outcome.
        - 409 ``plan_stale`` with the current ``preview``, or ``order_id_reused``.
        - 422 ``plan_refused`` with the reason.
        - 503 ``no_leader``; ``taken`` is ``no`` or ``unknown``.
        """
        body = decode_plan_action(await read_body(request))
        try:
            result = await self._access.request_plan_action(body.order_id, action, body.plan_id)
        except Exception as error:  # noqa: BLE001
            # The action may already be in the Raft log, whatever failed: its outcome is unknown.
            _log.exception("plan_order_failed", order_id=body.order_id, error=str(error))
            reason = "the order failed inside the server"
            result = PlanActionResult(answer=PlanActionStatus.UNKNOWN, reason=reason)
        return await self._response(body, action, result)

    async def _response(
        self, body: PlanActionBody, action: PlanAction, result: PlanActionResult
    ) -> web.Response:
        match result.answer:
            case PlanActionStatus.ACCEPTED:
                reply = PlanActionReplyBody(
                    plan_id=body.plan_id, order_id=body.order_id, action=action
                )
                return json_response(reply)
            case PlanActionStatus.STALE:
                message = "this is not what would be done now; nothing changed"
                preview = await self._preview()
                return _error(409, OperatorErrorCode.PLAN_STALE, message, body, preview=preview)
            case PlanActionStatus.ORDER_ID_REUSED:
                message = "the order id was taken by another order; nothing changed"
                return _error(409, OperatorErrorCode.ORDER_ID_REUSED, message, body)
            case PlanActionStatus.REFUSED:
                return _error(422, OperatorErrorCode.PLAN_REFUSED, result.reason, body)
            case PlanActionStatus.REJECTED | PlanActionStatus.UNKNOWN:
                is_unknown = result.answer is PlanActionStatus.UNKNOWN
                accepted = Accepted.UNKNOWN if is_unknown else Accepted.NO
                code = OperatorErrorCode.NO_LEADER
                response = _error(503, code, result.reason, body, accepted=accepted)
                response.headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
                return response

    async def _preview(self) -> PlanPreview | msgspec.UnsetType:
        try:
            state = await self._access.read_state()
        except UnavailableError:
            return msgspec.UNSET  # the action is rejected as stale also without a preview
        return self._preview_of(state)

    def _preview_of(self, state: FleetState) -> PlanPreview:
        """Return the preview of a state; it is costly and so computed once for each revision."""
        if self._cached_preview is None or self._cached_preview.plan.revision != state.revision:
            self._cached_preview = make_preview(state.view())
        return self._cached_preview


def _error(
    status: int,
    code: OperatorErrorCode,
    message: str,
    request: PlanActionBody,
    *,
    accepted: Accepted | msgspec.UnsetType = msgspec.UNSET,
    preview: PlanPreview | msgspec.UnsetType = msgspec.UNSET,
) -> web.Response:
    body = PlanErrorBody(
        error=OperatorError(code=code, message=message, accepted=accepted),
        order_id=request.order_id,
        preview=preview,
    )
    return json_response(body, status=status)
