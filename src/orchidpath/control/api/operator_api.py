"""HTTP API for operators and workers, served by every control process.

Endpoints; all bodies are JSON except those of the metrics:

- ``GET /v1/configuration``: the current configuration and its version.
- ``PUT /v1/configuration``: submit an update of the configuration.
- ``GET /v1/configuration/history``: the newest configurations.
- ``GET /v1/orders/{order_id}``: the first outcome of an update.
- ``GET /v1/status``: the status of this process.
- ``GET /v1/workers``, ``GET /v1/routers``, ``GET /v1/members``: the members of the fleet.
- ``POST /v1/workers/announce``: accept a worker's announcement.
- ``GET /health/live``, ``GET /health/ready``: liveness and readiness probes.
- ``GET /metrics``: metrics in the Prometheus text format.

Reads of the replicated state are linearizable: whichever control process serves a read, it reflects
every update that was confirmed before the read began. Every error body has the shape of
:class:`~orchidpath.control.api.operator_bodies.OperatorErrorBody`.
"""

import msgspec
import prometheus_client
import structlog
from aiohttp import web

from orchidpath.common.event_loop_turns import EventLoopTurns
from orchidpath.common.request_memory import RequestMemory
from orchidpath.control.api.control_access import ControlAccess
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
    SubmitReplyBody,
    SubmitResult,
    SubmitStatus,
    WorkersBody,
    decode_announcement,
    decode_submit,
    update_body,
    worker_body,
)
from orchidpath.control.api.responses import (
    MAX_ANNOUNCEMENT_BYTES,
    MAX_BODY_BYTES,
    REQUEST_MEMORY_BYTES,
    RESPONSE_TURNS,
    answer_errors,
    error_response,
    json_response,
    large_json_response,
    read_body,
)
from orchidpath.control.api.update_turns import UPDATE_TURNS, UpdateTurns, update_turn
from orchidpath.state.commands import (
    CommandEncodeError,
    SubmitConfiguration,
    check_command,
    configuration_digest,
)
from orchidpath.state.configuration_checks.validation import (
    InvalidConfigurationError,
    parse_configuration,
)
from orchidpath.wire.http_bodies import share_request_memory

_log = structlog.get_logger(__name__)


def create_operator_app(
    access: ControlAccess,
    registry: prometheus_client.CollectorRegistry = prometheus_client.REGISTRY,
) -> web.Application:
    """Return the web application that serves the operators' API.

    Parameters
    ----------
    access
        The control process that executes the requests.
    registry
        Registry whose metrics ``GET /metrics`` exposes.
    """
    memory = RequestMemory(REQUEST_MEMORY_BYTES)
    memory.permit(MAX_BODY_BYTES)
    app = web.Application(middlewares=[answer_errors])
    share_request_memory(app, memory)
    app[UPDATE_TURNS] = UpdateTurns()
    app[RESPONSE_TURNS] = EventLoopTurns()
    api = _OperatorApi(access, registry)
    app.router.add_get("/v1/configuration", api.get_configuration)
    app.router.add_put("/v1/configuration", api.put_configuration)
    app.router.add_get("/v1/configuration/history", api.get_history)
    app.router.add_get("/v1/orders/{order_id}", api.get_update)
    app.router.add_get("/v1/status", api.get_status)
    app.router.add_get("/v1/workers", api.get_workers)
    app.router.add_post("/v1/workers/announce", api.post_announcement)
    app.router.add_get("/v1/routers", api.get_routers)
    app.router.add_get("/v1/members", api.get_members)
    app.router.add_get("/health/live", api.get_live)
    app.router.add_get("/health/ready", api.get_ready)
    app.router.add_get("/metrics", api.get_metrics)
    return app


class _OperatorApi:
    """Request handlers of the operators' API."""

    def __init__(
        self, access: ControlAccess, registry: prometheus_client.CollectorRegistry
    ) -> None:
        self._access = access
        self._registry = registry

    async def get_configuration(self, request: web.Request) -> web.Response:
        """``GET /v1/configuration``: 200 ``{"version", "configuration"}``; 503 without a leader."""
        state = await self._access.read_state()
        return await large_json_response(
            request,
            lambda: ConfigurationBody(
                version=state.configuration_version, configuration=state.configuration
            ),
        )

    async def put_configuration(self, request: web.Request) -> web.Response:
        """``PUT /v1/configuration`` with ``{"order_id", "base_version", "configuration"}``.

        - 200 ``{"order_id", "version", "confirmed": true}``: accepted and confirmed.
        - 202 with ``"confirmed": false``: accepted; the same update sent again waits for the
          confirmation.
        - 400 ``malformed`` and 422 ``invalid_configuration`` with every problem and its
          path: nothing was proposed.
        - 413 ``too_large``: the configuration is too large for the log; nothing was proposed.
        - 409 ``version_conflict`` or ``order_id_reused``, with ``current_version``: rejected.
        - 503 ``no_leader`` with ``Retry-After``; ``taken`` is ``no`` or ``unknown``. A client sends
          an update of unknown outcome again unchanged: its ``order_id`` ensures that it takes
          effect at most once.
        """
        raw = await read_body(request)
        async with update_turn(request, len(raw)):
            return await self._submit(raw)

    async def _submit(self, raw: bytes) -> web.Response:
        body = decode_submit(raw)
        try:
            configuration = parse_configuration(bytes(body.configuration))
        except InvalidConfigurationError as error:
            return _invalid_configuration(error, body.order_id)
        update = SubmitConfiguration(
            order_id=body.order_id,
            base_version=body.base_version,
            configuration=configuration,
            digest=configuration_digest(body.base_version, configuration),
        )
        try:
            check_command(update)
        except CommandEncodeError as error:
            return error_response(
                413, OperatorErrorCode.TOO_LARGE, str(error), order_id=body.order_id
            )
        try:
            result = await self._access.submit(update)
        except Exception as error:  # noqa: BLE001
            # The update may already be in the Raft log, whatever failed: its outcome is unknown.
            _log.exception("submit_failed", order_id=body.order_id, error=str(error))
            result = SubmitResult(status=SubmitStatus.UNAVAILABLE, accepted=Accepted.UNKNOWN)
        return _submit_response(body.order_id, result)

    async def get_history(self, request: web.Request) -> web.Response:
        """``GET /v1/configuration/history``: 200 ``{"history": [{"version", ...}]}``."""
        state = await self._access.read_state()
        return await large_json_response(request, lambda: HistoryBody(history=state.history()))

    async def get_update(self, request: web.Request) -> web.Response:
        """``GET /v1/orders/{order_id}``: 200 with the first outcome; 404 ``unknown_order``.

        404 means that no update of this id had been decided when the request was served, or that
        its outcome is no longer among the retained ones. An update that is still being submitted
        may be accepted later.
        """
        order_id = request.match_info["order_id"]
        state = await self._access.read_state()
        record = state.find_update(order_id)
        if record is None:
            message = "no order of this id is remembered"
            return error_response(404, OperatorErrorCode.UNKNOWN_UPDATE, message, order_id=order_id)
        return json_response(update_body(record))

    async def get_status(self, request: web.Request) -> web.Response:
        """``GET /v1/status``: 200 with the local status of this process; contacts no other one."""
        return json_response(self._access.status())

    async def get_workers(self, request: web.Request) -> web.Response:
        """``GET /v1/workers``: 200 ``{"revision", "workers": [...]}`` with each worker's circuit.

        ``circuit`` is ``available``, ``cooldown``, ``half_open``, ``rate_limited`` or
        ``quarantined``; ``retry_after_ms`` is the time until the worker may get attempts again.
        """
        circuits = {view.worker_id: view for view in await self._access.circuits()}
        state = await self._access.read_state()
        return await large_json_response(
            request,
            lambda: WorkersBody(
                revision=state.revision,
                workers=tuple(
                    worker_body(record, circuits.get(record.worker_id))
                    for record in state.workers()
                ),
            ),
        )

    async def get_routers(self, request: web.Request) -> web.Response:
        """``GET /v1/routers``: 200 ``{"revision", "routers": [{"record", "witness"}]}``."""
        state = await self._access.read_state()
        return await large_json_response(
            request,
            lambda: RoutersBody(
                revision=state.revision,
                routers=tuple(
                    RouterBody(record=record, witness=record.router_id in state.witnesses)
                    for record in state.routers()
                ),
            ),
        )

    async def get_members(self, request: web.Request) -> web.Response:
        """``GET /v1/members``: 200 ``{"term", "leader_id", "members": [...]}``."""
        state = await self._access.read_state()
        status = self._access.status()
        members = tuple(
            msgspec.structs.replace(member, voter=member.node_id in status.voters)
            for member in state.control_members()
        )
        return json_response(
            MembersBody(term=status.term, leader_id=status.leader_id, members=members)
        )

    async def post_announcement(self, request: web.Request) -> web.Response:
        """``POST /v1/workers/announce`` with an announcement: 200, or 503 if it is not accepted."""
        announcement = decode_announcement(await read_body(request, MAX_ANNOUNCEMENT_BYTES))
        reply = await self._access.forward_announcement(announcement)
        response = json_response(reply, status=200 if reply.accepted else 503)
        if not reply.accepted:
            response.headers["Retry-After"] = "1"
        return response

    async def get_live(self, request: web.Request) -> web.Response:
        """``GET /health/live``: 200 as long as the process serves requests."""
        return json_response(HealthBody(ready=self._access.status().ready))

    async def get_ready(self, request: web.Request) -> web.Response:
        """``GET /health/ready``: 200 if the process can serve operators, else 503."""
        status = self._access.status()
        body = HealthBody(ready=status.ready, reason=status.reason)
        return json_response(body, status=200 if status.ready else 503)

    async def get_metrics(self, request: web.Request) -> web.Response:
        """``GET /metrics``: 200 with the metrics in the Prometheus text format."""
        return web.Response(
            body=prometheus_client.generate_latest(self._registry),
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )


def _submit_response(order_id: str, result: SubmitResult) -> web.Response:
    """Return the response to an update: 200, 202, 409 or 503, see `put_configuration`."""
    match result.status:
        case SubmitStatus.CONFIRMED | SubmitStatus.ACCEPTED_NOT_CONFIRMED:
            confirmed = result.status is SubmitStatus.CONFIRMED
            body = SubmitReplyBody(order_id=order_id, version=result.version, confirmed=confirmed)
            return json_response(body, status=200 if confirmed else 202)
        case SubmitStatus.CONFLICT:
            return error_response(
                409,
                OperatorErrorCode.VERSION_CONFLICT,
                "the order was not built on the current version; nothing changed",
                order_id=order_id,
                current_version=result.current_version,
            )
        case SubmitStatus.ORDER_ID_REUSED:
            return error_response(
                409,
                OperatorErrorCode.ORDER_ID_REUSED,
                "the order id was taken by an order with other content; nothing changed",
                order_id=order_id,
                current_version=result.current_version,
            )
        case SubmitStatus.UNAVAILABLE:
            return error_response(
                503,
                OperatorErrorCode.NO_LEADER,
                "no leader answered; send the same order again",
                accepted=result.accepted,
                order_id=order_id,
                retry_after_seconds=result.retry_after_seconds,
            )


def _invalid_configuration(error: InvalidConfigurationError, order_id: str) -> web.Response:
    body = OperatorErrorBody(
        error=OperatorError(
            code=OperatorErrorCode.INVALID_CONFIGURATION,
            message="the configuration is not valid; nothing changed",
        ),
        order_id=order_id,
        problems=error.problems,
    )
    return json_response(body, status=422)
