"""Responses of the operators' API, served by a control process with preset results."""

import msgspec
import prometheus_client
from aiohttp import ClientResponse
from aiohttp.test_utils import TestClient, TestServer

from orchidpath.circuit.circuit_table import WorkerCircuitView
from orchidpath.consensus.types import Role
from orchidpath.control.api.control_access import ControlAccess, PlanAccess, UnavailableError
from orchidpath.control.api.operator_api import create_operator_app
from orchidpath.control.api.operator_bodies import Accepted, StatusBody, SubmitResult, SubmitStatus
from orchidpath.control.api.plan_api import add_plan_routes
from orchidpath.control.api.plan_bodies import PlanActionResult
from orchidpath.state.commands import SubmitConfiguration
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.backend import Announcement, AnnouncementReply
from orchidpath.wire.messages import PlanAction, PlanActionStatus

KEPT_HEADERS = ("Content-Type", "Retry-After", "Allow")
TEXT = "any text"
"""Placeholder for a text for people, whose wording may change."""

ORDER = b'{"order_id":"o1","base_version":0,"configuration":{}}'
PLAN_ORDER = b'{"plan_id":"p1","order_id":"o1"}'
INVALID_ORDER = b'{"order_id":"o1","base_version":0,"configuration":{"unknown":1}}'
ANNOUNCEMENT = (
    b'{"record":{"worker_id":"w1","incarnation":"1","service":"s","stage":"plain",'
    b'"url":"http://127.0.0.1:9"},"sequence":1}'
)


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """One response of the API, without the texts for people."""

    request: str
    status: int
    headers: dict[str, str]
    body: str


class TellingAccess(ControlAccess, PlanAccess):
    """A control process without state, whose results a test sets."""

    def __init__(self) -> None:
        self.available = True
        self.submitted = SubmitResult(status=SubmitStatus.CONFIRMED, version=3)
        self.planned = PlanActionResult(answer=PlanActionStatus.ACCEPTED)

    async def submit(self, update: SubmitConfiguration) -> SubmitResult:
        return self.submitted

    async def request_plan_action(
        self, order_id: str, action: PlanAction, plan_id: str
    ) -> PlanActionResult:
        return self.planned

    async def read_state(self) -> FleetState:
        if not self.available:
            raise UnavailableError("no leader", retry_after_seconds=1.2)
        return FleetState()

    async def circuits(self) -> tuple[WorkerCircuitView, ...]:
        return ()

    def status(self) -> StatusBody:
        return StatusBody(node_id="c1", role=Role.LEADER, term=4, ready=self.available)

    async def forward_announcement(self, announcement: Announcement) -> AnnouncementReply:
        return AnnouncementReply(accepted=self.available, announce_to=("127.0.0.1:9",))


SUBMIT_RESULTS = {
    "confirmed": SubmitResult(status=SubmitStatus.CONFIRMED, version=3),
    "taken, not confirmed": SubmitResult(status=SubmitStatus.ACCEPTED_NOT_CONFIRMED, version=3),
    "conflict": SubmitResult(status=SubmitStatus.CONFLICT, current_version=5),
    "order id reused": SubmitResult(status=SubmitStatus.ORDER_ID_REUSED, current_version=5),
    "unavailable, not taken": SubmitResult(
        status=SubmitStatus.UNAVAILABLE, accepted=Accepted.NO, retry_after_seconds=2.5
    ),
    "unavailable, perhaps taken": SubmitResult(status=SubmitStatus.UNAVAILABLE),
}
PLAN_RESULTS = {
    "accepted": PlanActionResult(answer=PlanActionStatus.ACCEPTED),
    "stale": PlanActionResult(answer=PlanActionStatus.STALE),
    "order id reused": PlanActionResult(answer=PlanActionStatus.ORDER_ID_REUSED),
    "refused": PlanActionResult(answer=PlanActionStatus.REFUSED, reason="why"),
    "not taken": PlanActionResult(answer=PlanActionStatus.REJECTED, reason="why"),
    "unknown": PlanActionResult(answer=PlanActionStatus.UNKNOWN, reason="why"),
}
REQUESTS = (
    ("GET", "/v1/configuration", b""),
    ("GET", "/v1/configuration/history", b""),
    ("GET", "/v1/orders/o1", b""),
    ("GET", "/v1/status", b""),
    ("GET", "/v1/workers", b""),
    ("GET", "/v1/routers", b""),
    ("GET", "/v1/members", b""),
    ("GET", "/v1/plan", b""),
    ("POST", "/v1/workers/announce", ANNOUNCEMENT),
    ("POST", "/v1/workers/announce", b"{}"),
    ("PUT", "/v1/configuration", b"{}"),
    ("PUT", "/v1/configuration", INVALID_ORDER),
    ("POST", "/v1/plan/confirm", b"{}"),
    ("GET", "/health/live", b""),
    ("GET", "/health/ready", b""),
    ("GET", "/v1/nothing", b""),
    ("DELETE", "/v1/configuration", b""),
)


async def operator_answers() -> list[Answer]:
    """Return the responses to each request and to each result of an update or a plan action."""
    access = TellingAccess()
    app = create_operator_app(access, prometheus_client.CollectorRegistry())
    add_plan_routes(app, access)
    answers = []
    async with TestClient(TestServer(app)) as client:
        for available in (True, False):
            access.available = available
            for method, path, body in REQUESTS:
                response = await client.request(method, path, data=body)
                name = f"{method} {path} {body.decode()}"
                answers.append(await _answer(name if available else f"{name}, no leader", response))
        access.available = True
        for name, result in SUBMIT_RESULTS.items():
            access.submitted = result
            response = await client.put("/v1/configuration", data=ORDER)
            answers.append(await _answer(f"PUT /v1/configuration, {name}", response))
        for name, planned in PLAN_RESULTS.items():
            access.planned = planned
            for action in PlanAction:
                path = f"/v1/plan/{action.value}"
                response = await client.post(path, data=PLAN_ORDER)
                answers.append(await _answer(f"POST {path}, {name}", response))
    return answers


async def _answer(request: str, response: ClientResponse) -> Answer:
    raw = await response.read()
    headers = {name: response.headers[name] for name in KEPT_HEADERS if name in response.headers}
    return Answer(
        request=request, status=response.status, headers=headers, body=_without_texts(raw).decode()
    )


def _without_texts(raw: bytes) -> bytes:
    """Return a JSON body in which :data:`TEXT` replaces the texts for people."""
    body = msgspec.json.decode(raw)
    if isinstance(body, dict) and "error" in body:
        body["error"]["message"] = TEXT
        for problem in body.get("problems", []):
            problem["message"] = TEXT
    return msgspec.json.encode(body)
