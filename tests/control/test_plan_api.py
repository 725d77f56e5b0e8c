"""The HTTP API for plans and its client, served from an in-memory replicated state."""

from collections.abc import AsyncIterator

import prometheus_client
import pytest
from aiohttp.test_utils import TestServer
from update_builders import configuration_update

from orchidpath.circuit.circuit_table import WorkerCircuitView
from orchidpath.consensus.types import Role
from orchidpath.control.api.control_access import ControlAccess, PlanAccess, UnavailableError
from orchidpath.control.api.operator_api import create_operator_app
from orchidpath.control.api.operator_bodies import OperatorErrorCode, StatusBody, SubmitResult
from orchidpath.control.api.operator_client import (
    OperatorClient,
    PlanRefusedError,
    UpdateOutcomeUnknownError,
    UpdateRejectedError,
)
from orchidpath.control.api.plan_api import add_plan_routes
from orchidpath.control.api.plan_bodies import PlanActionResult
from orchidpath.control.replica.pending_plan_actions import plan_command
from orchidpath.state.commands import (
    Command,
    SubmitConfiguration,
    WorkerChanged,
    encode_command,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import PlanResult
from orchidpath.state.plans import PlanStatus
from orchidpath.wire.backend import Announcement, AnnouncementReply
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.messages import PlanAction, PlanActionRequest, PlanActionStatus
from orchidpath.wire.records import Stage, WorkerRecord


class FakeAccess(ControlAccess, PlanAccess):
    """A fake control process that leads the fleet; replies and reads can be made to fail."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.available = True
        self.result: PlanActionResult | None = None
        self.fails = False

    def apply(self, command: Command) -> object:
        return self.state.apply(self.state.applied_index + 1, encode_command(command)).outcome

    async def request_plan_action(
        self, order_id: str, action: PlanAction, plan_id: str
    ) -> PlanActionResult:
        if self.fails:
            raise RuntimeError("lost")
        if self.result is not None:
            return self.result
        request = PlanActionRequest(
            correlation=1, order_id=order_id, action=action, plan_id=plan_id
        )
        outcome = self.apply(plan_command(request, self.state))
        assert isinstance(outcome, PlanResult)
        answer = PlanActionStatus(outcome.answer.value)
        return PlanActionResult(answer=answer, reason=outcome.reason)

    async def read_state(self) -> FleetState:
        if not self.available:
            raise UnavailableError("no leader")
        return self.state

    async def submit(self, update: SubmitConfiguration) -> SubmitResult:
        raise NotImplementedError

    async def circuits(self) -> tuple[WorkerCircuitView, ...]:
        return ()

    def status(self) -> StatusBody:
        return StatusBody(node_id="c", role=Role.LEADER, term=1)

    async def forward_announcement(self, announcement: Announcement) -> AnnouncementReply:
        raise NotImplementedError


def announce(access: FakeAccess, worker_id: str, stage: Stage) -> None:
    worker = WorkerRecord(
        worker_id=worker_id, incarnation="1", service="chat", stage=stage, url="http://w"
    )
    access.apply(WorkerChanged(record=worker, sequence=1))


@pytest.fixture
def access() -> FakeAccess:
    fake = FakeAccess()
    for number in range(4):
        announce(fake, f"w{number}", Stage.PREFILL if number < 3 else Stage.DECODE)
    service = Service(
        name="chat", kind=ServiceKind.MODEL, models=["m"], prefill_workers=2, decode_workers=2
    )
    fake.apply(configuration_update("c", 0, Configuration(services=[service])))
    return fake


@pytest.fixture
async def client(access: FakeAccess) -> AsyncIterator[OperatorClient]:
    app = create_operator_app(access, prometheus_client.CollectorRegistry())
    add_plan_routes(app, access)
    async with TestServer(app) as server, OperatorClient([str(server.make_url("/"))]) as operator:
        yield operator


async def test_a_previewed_plan_can_be_confirmed_halted_and_resumed(
    access: FakeAccess, client: OperatorClient
) -> None:
    before = await client.plan()
    assert before.newest is None
    plan_id = before.preview.plan.plan_id
    assert len(before.preview.steps) == 1
    for _ in range(2):
        reply = await client.request_plan_action(PlanAction.CONFIRM, plan_id, "one")
        assert (reply.plan_id, reply.order_id) == (plan_id, "one")
    statuses = []
    for action in (PlanAction.HALT, PlanAction.RESUME, PlanAction.CANCEL):
        await client.request_plan_action(action, plan_id, f"order-{action}")
        newest = (await client.plan()).newest
        assert newest is not None
        statuses.append(newest.progress.status)
    assert statuses == [PlanStatus.HALTED, PlanStatus.RUNNING, PlanStatus.CANCELLED]


async def test_a_stale_plan_is_rejected_with_the_current_preview(
    access: FakeAccess, client: OperatorClient
) -> None:
    before = await client.plan()
    announce(access, "w9", Stage.PREFILL)
    with pytest.raises(PlanRefusedError) as rejection:
        await client.request_plan_action(PlanAction.CONFIRM, before.preview.plan.plan_id, "one")
    body = rejection.value.body
    assert body.error.code is OperatorErrorCode.PLAN_STALE
    assert body.preview == (await client.plan()).preview
    assert body.preview != before.preview
    assert access.state.plan is None


async def test_a_rejection_states_its_reason(client: OperatorClient) -> None:
    with pytest.raises(PlanRefusedError, match="not running") as rejection:
        await client.request_plan_action(PlanAction.HALT, "none", "one")
    assert rejection.value.body.error.code is OperatorErrorCode.PLAN_REFUSED
    with pytest.raises(PlanRefusedError) as rejection:
        await client.request_plan_action(PlanAction.CANCEL, "none", "one")
    assert rejection.value.body.error.code is OperatorErrorCode.ORDER_ID_REUSED


async def test_an_action_of_unknown_outcome_is_never_reported_as_rejected(
    access: FakeAccess, client: OperatorClient
) -> None:
    access.result = PlanActionResult(answer=PlanActionStatus.REJECTED)
    with pytest.raises(UpdateRejectedError):
        await client.request_plan_action(PlanAction.CONFIRM, "any", "one")
    access.result = PlanActionResult(answer=PlanActionStatus.UNKNOWN)
    with pytest.raises(UpdateOutcomeUnknownError):
        await client.request_plan_action(PlanAction.CONFIRM, "any", "one")
    access.fails = True
    with pytest.raises(UpdateOutcomeUnknownError):
        await client.request_plan_action(PlanAction.CONFIRM, "any", "one")


async def test_malformed_plan_actions_are_rejected(client: OperatorClient) -> None:
    with pytest.raises(PlanRefusedError) as rejection:
        await client.request_plan_action(PlanAction.CONFIRM, "", "one")
    assert rejection.value.body.error.code is OperatorErrorCode.MALFORMED
