"""The operators' HTTP API, served by a fake control process with an in-memory replicated state."""

import asyncio
import io
import json
from collections.abc import AsyncIterator
from typing import Any

import prometheus_client
import pytest
from aiohttp.test_utils import TestClient, TestServer

from orchidpath.circuit.circuit_table import WorkerCircuitView
from orchidpath.consensus.types import Role
from orchidpath.control.api import responses
from orchidpath.control.api.control_access import ControlAccess, UnavailableError
from orchidpath.control.api.operator_api import create_operator_app
from orchidpath.control.api.operator_bodies import Accepted, StatusBody, SubmitResult, SubmitStatus
from orchidpath.state import commands
from orchidpath.state.commands import (
    Command,
    RegisterControlMember,
    RegisterRouter,
    SubmitConfiguration,
    WorkerChanged,
    encode_command,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import UpdateAccepted, UpdateConflict, UpdateResult
from orchidpath.wire.backend import Announcement, AnnouncementReply
from orchidpath.wire.records import (
    CircuitStatus,
    ControlMember,
    RouterRecord,
    Stage,
    WorkerRecord,
)

CONFIGURATION = {"services": [{"name": "stock", "kind": "plain"}]}
OTHER_CONFIGURATION = {"services": [{"name": "board", "kind": "plain"}]}
WAIT_SECONDS = 20.0
"""Upper bound of a wait, in seconds; no assertion depends on it."""
INVALID_CONFIGURATION = {"services": [{"name": "", "kind": "plain"}], "unknown": 1}


class FakeAccess(ControlAccess):
    """A fake control process that leads a fleet of its own; ``result`` overrides its outcomes."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.available = True
        self.ready = True
        self.result: SubmitResult | None = None
        self.failure: Exception | None = None
        self.proposed: list[SubmitConfiguration] = []
        self.announced: list[Announcement] = []
        self.views: tuple[WorkerCircuitView, ...] = ()

    def apply(self, command: Command) -> UpdateResult | None:
        outcome = self.state.apply(self.state.applied_index + 1, encode_command(command)).outcome
        return outcome if isinstance(outcome, UpdateResult) else None

    async def submit(self, update: SubmitConfiguration) -> SubmitResult:
        self.proposed.append(update)
        if self.failure is not None:
            raise self.failure
        if self.result is not None:
            return self.result
        await asyncio.sleep(0)
        applied = self.apply(update)
        assert applied is not None
        match applied.outcome:
            case UpdateAccepted(version=version):
                return SubmitResult(status=SubmitStatus.CONFIRMED, version=version)
            case UpdateConflict(current_version=current):
                return SubmitResult(status=SubmitStatus.CONFLICT, current_version=current)
            case reused:
                return SubmitResult(
                    status=SubmitStatus.ORDER_ID_REUSED, current_version=reused.current_version
                )

    async def read_state(self) -> FleetState:
        if not self.available:
            raise UnavailableError("no leader", retry_after_seconds=1.2)
        return self.state

    async def circuits(self) -> tuple[WorkerCircuitView, ...]:
        return self.views

    def status(self) -> StatusBody:
        return StatusBody(node_id="c1", role=Role.LEADER, term=4, leader_id="c1", ready=self.ready)

    async def forward_announcement(self, announcement: Announcement) -> AnnouncementReply:
        self.announced.append(announcement)
        return AnnouncementReply(accepted=self.available, announce_to=("127.0.0.1:9",))


@pytest.fixture
def access() -> FakeAccess:
    return FakeAccess()


Client = TestClient[Any, Any]


@pytest.fixture
async def client(access: FakeAccess) -> AsyncIterator[Client]:
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.Counter("sample", "A sample", registry=registry).inc()
    async with TestClient(TestServer(create_operator_app(access, registry))) as test_client:
        yield test_client


def update_body(order_id: str, base_version: int, configuration: object = CONFIGURATION) -> bytes:
    body = {"order_id": order_id, "base_version": base_version, "configuration": configuration}
    return json.dumps(body).encode()


async def put(client: Client, body: bytes) -> tuple[int, dict[str, Any]]:
    response = await client.put("/v1/configuration", data=io.BytesIO(body))
    return response.status, await response.json()


async def get(client: Client, path: str) -> tuple[int, dict[str, Any]]:
    response = await client.get(path)
    return response.status, await response.json()


async def test_an_update_is_confirmed_and_read_back(client: Client) -> None:
    assert await put(client, update_body("o1", 0)) == (
        200,
        {"order_id": "o1", "version": 1, "confirmed": True},
    )
    status, body = await get(client, "/v1/configuration")
    assert (status, body["version"]) == (200, 1)
    assert body["configuration"]["services"][0]["name"] == "stock"
    status, body = await get(client, "/v1/configuration/history")
    assert [(entry["version"], entry["order_id"]) for entry in body["history"]] == [(1, "o1")]


async def test_a_configuration_that_was_read_can_be_submitted(client: Client) -> None:
    await put(client, update_body("o1", 0))
    _, body = await get(client, "/v1/configuration")
    status, reply = await put(client, update_body("o2", body["version"], body["configuration"]))
    assert (status, reply["version"]) == (200, 2)


async def test_of_racing_updates_one_wins_and_the_others_get_the_current_version(
    client: Client,
) -> None:
    replies = await asyncio.gather(*(put(client, update_body(f"o{n}", 0)) for n in range(8)))
    assert sorted(status for status, _ in replies) == [200] + [409] * 7
    conflicts = [body for status, body in replies if status == 409]
    assert {body["error"]["code"] for body in conflicts} == {"version_conflict"}
    assert {body["current_version"] for body in conflicts} == {1}


async def test_a_repeated_update_gets_its_first_reply(client: Client, access: FakeAccess) -> None:
    first = await put(client, update_body("o1", 0))
    await put(client, update_body("o2", 1, OTHER_CONFIGURATION))
    # The same content with different white space.
    reformatted = json.dumps(json.loads(update_body("o1", 0)), indent=3).encode()
    assert await put(client, reformatted) == first
    assert access.state.configuration_version == 2


async def test_a_reused_update_id_is_rejected(client: Client, access: FakeAccess) -> None:
    await put(client, update_body("o1", 0))
    status, body = await put(client, update_body("o1", 1, OTHER_CONFIGURATION))
    assert (status, body["error"]["code"], body["current_version"]) == (409, "order_id_reused", 1)
    assert access.state.configuration.services[0].name == "stock"


async def test_an_invalid_configuration_is_never_proposed(
    client: Client, access: FakeAccess
) -> None:
    status, body = await put(client, update_body("o1", 0, INVALID_CONFIGURATION))
    assert (status, body["error"]["code"]) == (422, "invalid_configuration")
    assert [problem["path"] for problem in body["problems"]] == ["services[0].name", "unknown"]
    assert access.proposed == []
    assert access.state.configuration_version == 0
    # The id of a rejected update is not recorded, so the corrected update can use it.
    assert (await put(client, update_body("o1", 0)))[0] == 200


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"\xff",
        b"[" * 100_000,
        b'{"order_id": "o", "base_version": 0}',
        b'{"order_id": "o", "base_version": "0", "configuration": {}}',
        b'{"order_id": "o", "base_version": 0, "configuration": {}, "force": true}',
        update_body("", 0),
        update_body("a\nb", 0),
        update_body("o" * 201, 0),
        update_body("o", -1),
        update_body("o", 2**60),
    ],
)
async def test_a_malformed_update_is_rejected(
    client: Client, access: FakeAccess, body: bytes
) -> None:
    status, reply = await put(client, body)
    assert (status, reply["error"]["code"]) == (400, "malformed")
    assert access.proposed == []


async def test_an_accepted_update_that_is_not_confirmed_gets_202(
    client: Client, access: FakeAccess
) -> None:
    access.result = SubmitResult(status=SubmitStatus.ACCEPTED_NOT_CONFIRMED, version=3)
    assert await put(client, update_body("o1", 2)) == (
        202,
        {"order_id": "o1", "version": 3, "confirmed": False},
    )


@pytest.mark.parametrize("accepted", list(Accepted))
async def test_without_a_leader_the_reply_says_whether_the_update_was_accepted(
    client: Client, access: FakeAccess, accepted: Accepted
) -> None:
    access.result = SubmitResult(
        status=SubmitStatus.UNAVAILABLE, accepted=accepted, retry_after_seconds=1.5
    )
    response = await client.put("/v1/configuration", data=update_body("o1", 0))
    body = await response.json()
    assert (response.status, response.headers["Retry-After"]) == (503, "2")
    assert (body["error"]["code"], body["error"]["taken"]) == ("no_leader", accepted.value)


@pytest.mark.parametrize("failure", [UnavailableError("lost"), RuntimeError("fault")])
async def test_a_failed_submission_is_reported_as_unknown(
    client: Client, access: FakeAccess, failure: Exception
) -> None:
    access.failure = failure
    status, body = await put(client, update_body("o1", 0))
    assert (status, body["error"]["taken"]) == (503, "unknown")


async def test_updates_are_found_by_id(client: Client) -> None:
    await put(client, update_body("o1", 0))
    await put(client, update_body("o2", 0))
    assert await get(client, "/v1/orders/o1") == (
        200,
        {"order_id": "o1", "outcome": "accepted", "version": 1},
    )
    assert await get(client, "/v1/orders/o2") == (
        200,
        {"order_id": "o2", "outcome": "conflict", "current_version": 1},
    )
    status, body = await get(client, "/v1/orders/o3")
    assert (status, body["error"]["code"]) == (404, "unknown_order")


@pytest.mark.parametrize(
    "path", ["configuration", "configuration/history", "orders/o", "workers", "routers", "members"]
)
async def test_reads_need_a_leader(client: Client, access: FakeAccess, path: str) -> None:
    access.available = False
    response = await client.get(f"/v1/{path}")
    body = await response.json()
    assert (response.status, response.headers["Retry-After"]) == (503, "2")
    assert body["error"]["code"] == "no_leader"


def record(worker_id: str) -> WorkerRecord:
    return WorkerRecord(
        worker_id=worker_id,
        incarnation="a",
        service="stock",
        stage=Stage.PLAIN,
        url="http://127.0.0.1:1",
    )


@pytest.mark.parametrize("circuit", list(CircuitStatus))
async def test_workers_are_listed_with_their_circuits(
    client: Client, access: FakeAccess, circuit: CircuitStatus
) -> None:
    for worker_id in ("w1", "w2"):
        access.apply(WorkerChanged(record=record(worker_id), sequence=1))
    view = WorkerCircuitView(
        worker_id="w1",
        status=circuit,
        retry_after_ms=1500,
        health=0.25,
        in_flight=3,
        transient_failures=1,
        generation=2,
    )
    access.views = (view,)
    _, body = await get(client, "/v1/workers")
    listed = [
        (item["record"]["worker_id"], item["circuit"], item["retry_after_ms"], item["health"])
        for item in body["workers"]
    ]
    assert listed == [("w1", circuit.value, 1500, 0.25), ("w2", "available", 0, 0.5)]


async def test_routers_and_members_are_listed(client: Client, access: FakeAccess) -> None:
    router = RouterRecord(router_id="r1", address="127.0.0.1:1", http_address="127.0.0.1:2")
    member = ControlMember(node_id="c1", address="127.0.0.1:3")
    access.apply(RegisterRouter(record=router))
    access.apply(RegisterControlMember(member=member))
    _, routers = await get(client, "/v1/routers")
    assert [(item["record"]["router_id"], item["witness"]) for item in routers["routers"]] == [
        ("r1", True)
    ]
    _, members = await get(client, "/v1/members")
    assert (members["term"], members["leader_id"]) == (4, "c1")
    assert [item["node_id"] for item in members["members"]] == ["c1"]


def announcement(**changes: object) -> bytes:
    fields: dict[str, object] = {
        "worker_id": "w1",
        "incarnation": "a",
        "service": "stock",
        "stage": "plain",
        "url": "http://127.0.0.1:1",
    }
    return json.dumps({"record": fields | changes, "sequence": 7}).encode()


async def test_announcements_are_forwarded(client: Client, access: FakeAccess) -> None:
    response = await client.post("/v1/workers/announce", data=announcement())
    assert (response.status, await response.json()) == (
        200,
        {"accepted": True, "announce_to": ["127.0.0.1:9"]},
    )
    assert access.announced == [Announcement(record=record("w1"), sequence=7)]
    access.available = False
    response = await client.post("/v1/workers/announce", data=announcement())
    assert (response.status, response.headers["Retry-After"]) == (503, "1")


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        announcement(worker_id=""),
        announcement(incarnation=""),
        announcement(status="gone"),
        announcement(stage="other"),
        announcement(url="file:///x"),
        b'{"record": 1, "sequence": 1}',
    ],
)
async def test_malformed_announcements_are_rejected(
    client: Client, access: FakeAccess, body: bytes
) -> None:
    response = await client.post("/v1/workers/announce", data=body)
    assert (response.status, (await response.json())["error"]["code"]) == (400, "malformed")
    assert access.announced == []


async def test_probes_status_and_metrics(client: Client, access: FakeAccess) -> None:
    assert (await get(client, "/health/live"))[0] == 200
    assert (await get(client, "/health/ready"))[0] == 200
    access.ready = False
    assert (await get(client, "/health/live"))[0] == 200
    assert (await get(client, "/health/ready"))[0] == 503
    status, body = await get(client, "/v1/status")
    assert (status, body["node_id"], body["role"]) == (200, "c1", "leader")
    response = await client.get("/metrics")
    assert "sample_total 1.0" in await response.text()


async def test_every_error_has_the_common_form(
    client: Client, access: FakeAccess, monkeypatch: pytest.MonkeyPatch
) -> None:
    status, body = await get(client, "/nowhere")
    assert (status, body["error"]["code"]) == (404, "not_found")
    response = await client.delete("/v1/configuration")
    assert response.status == 405
    assert "PUT" in response.headers["Allow"]
    assert (await response.json())["error"]["code"] == "method_not_allowed"
    status, body = await put(client, b" " * (responses.MAX_BODY_BYTES + 1))
    assert (status, body["error"]["code"]) == (413, "too_large")
    monkeypatch.setattr(access, "status", lambda: 1 / 0)
    status, body = await get(client, "/v1/status")
    assert (status, body["error"]["code"]) == (500, "internal")


async def test_a_body_that_does_not_arrive_times_out(
    client: Client, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(responses, "BODY_TIMEOUT_SECONDS", 0.0)
    release_body = asyncio.Event()

    async def body() -> AsyncIterator[bytes]:
        yield b"{"
        await release_body.wait()

    async with asyncio.timeout(WAIT_SECONDS):
        response = await client.put("/v1/configuration", data=body())
    assert response.status == 408
    release_body.set()


async def test_an_update_that_the_log_cannot_hold_is_too_large(
    client: Client, access: FakeAccess, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(commands, "MAX_NEW_COMMAND_BYTES", 100)
    status, body = await put(client, update_body("o1", 0))
    assert (status, body["error"]["code"], body["order_id"]) == (413, "too_large", "o1")
    assert access.proposed == []
