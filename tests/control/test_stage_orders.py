"""Orders to workers on the platform: each answer that a worker may give, and two holders."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web
from stage_builders import split_configuration

from command_format import PlatformCommandFormat
from orchidpath.control.leadership.stage_balancer import (
    COMMAND_REPEAT_SECONDS,
    QUIET_PERIOD_SECONDS,
    TAKEOVER_SECONDS,
    StageBalancer,
)
from orchidpath.control.replica.control_effects import SendWorkerCommand
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.control.worker_commands import WORKER_COMMAND_TIMEOUT_SECONDS, WorkerCommandSender
from orchidpath.state.commands import (
    CordonWorker,
    SubmitConfiguration,
    WorkerChanged,
    WorkerRemoved,
    encode_command,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.backend import WorkerCommand, WorkerCommandKind, WorkerCommandReply
from orchidpath.wire.records import Stage, WorkerRecord

WAIT_SECONDS = 10.0
LEASE_SECONDS = 3.0
"""The platform's `lease_ms`: two holders must not take turns at one worker within it."""
STEP_SECONDS = 0.25
NOT_RUN = {"X-Not-Executed": "1"}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def stage_order(term: int = 3) -> WorkerCommand:
    return WorkerCommand(
        term=term,
        sequence=1,
        worker_id="w0",
        incarnation="w0",
        kind=WorkerCommandKind.SET_STAGE,
        stage=Stage.DECODE,
    )


async def answer_to(handler: Handler) -> WorkerCommandReply | None:
    """Send one order to a worker on loopback and return what the sender makes of its answer."""
    app = web.Application()
    app.router.add_post("/order", handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    answered: asyncio.Future[WorkerCommandReply | None] = asyncio.get_running_loop().create_future()
    sender = WorkerCommandSender(
        lambda _order, reply: answered.set_result(reply), PlatformCommandFormat("front-z-0")
    )
    try:
        sender.send(f"http://127.0.0.1:{runner.addresses[0][1]}", stage_order())
        async with asyncio.timeout(WAIT_SECONDS):
            return await answered
    finally:
        await sender.close()
        await runner.cleanup()


@pytest.mark.parametrize(
    ("status", "accepted"),
    [(200, True), (202, True), (400, False), (409, False), (412, False), (421, False)],
)
async def test_only_a_worker_that_says_so_has_taken_an_order(status: int, accepted: bool) -> None:
    async def answer(_request: web.Request) -> web.StreamResponse:
        return web.Response(status=status)

    reply = await answer_to(answer)
    assert reply is not None
    assert reply.accepted is accepted


async def test_an_order_refused_as_not_executed_was_not_taken() -> None:
    async def answer(_request: web.Request) -> web.StreamResponse:
        return web.Response(status=503, headers=NOT_RUN)

    reply = await answer_to(answer)
    assert reply is not None
    assert not reply.accepted


async def test_an_order_whose_answer_is_lost_may_have_been_taken() -> None:
    async def break_off(request: web.Request) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.abort()
        return web.Response()

    assert await answer_to(break_off) is None


class Worker:
    """One worker and the orders that reached it, as its platform counts them.

    ``obeys`` is whether an order takes effect; the answer may be lost all the same.
    """

    def __init__(self, worker_id: str, stage: Stage) -> None:
        self.worker_id = worker_id
        self.stage = stage
        self.sequence = 0


class Fleet:
    """A replicated state, its workers, and one balancer for each leader that it has had."""

    def __init__(self, prefill: int, decode: int) -> None:
        self.state = FleetState()
        self.now = 0.0
        self.arrivals: list[tuple[float, str, WorkerCommand]] = []
        """When an order reached a worker, from which machine."""
        self._apply(split_configuration())
        stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
        self.workers = {f"w{number}": Worker(f"w{number}", s) for number, s in enumerate(stages)}
        for worker in self.workers.values():
            self.announce(worker)
        self.lead("front-z-0", 1)

    def lead(self, machine: str, term: int) -> None:
        """Have a machine lead from now on."""
        self.machine = machine
        self.output = ControlOutput()
        self.balancer = StageBalancer(term, self.state, lambda _now: {}, self.output, self.now)

    def announce(self, worker: Worker) -> None:
        worker.sequence += 1
        record = WorkerRecord(
            worker_id=worker.worker_id,
            incarnation=worker.worker_id,
            service="s",
            stage=worker.stage,
            url=f"http://{worker.worker_id}",
            models=("m",),
        )
        self._apply(WorkerChanged(record=record, sequence=worker.sequence))

    def restart(self, worker_id: str) -> None:
        """Have a worker come back as a new one that has forgotten every order."""
        old = self.workers.pop(worker_id)
        self._apply(WorkerRemoved(worker_id=worker_id, incarnation=worker_id, sequence=99))
        fresh = Worker(f"{worker_id}-again", old.stage)
        self.workers[fresh.worker_id] = fresh
        self.announce(fresh)

    def run(self, seconds: float, status: int | None, *, obeys: bool = False) -> None:
        """Let time pass; every order is answered with a status, or its answer is lost."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.balancer.tick(self.state.revision, self.now)
            for command in self.output.take_proposals():
                assert isinstance(command, CordonWorker)
                self._apply(command)
            for effect in self.output.take_effects():
                assert isinstance(effect, SendWorkerCommand)
                self._reach(effect.command, status, obeys)

    def ordered(self) -> list[str]:
        return [order.worker_id for _, _, order in self.arrivals]

    def _reach(self, order: WorkerCommand, status: int | None, obeys: bool) -> None:
        self.arrivals.append((self.now, self.machine, order))
        worker = self.workers.get(order.worker_id)
        if obeys and worker is not None and order.stage is not None:
            worker.stage = order.stage
            self.announce(worker)
        if status is not None:
            form = PlatformCommandFormat(self.machine)
            self.balancer.command_answered(order, form.read_answer(order, status, b""))

    def _apply(
        self, command: SubmitConfiguration | WorkerChanged | CordonWorker | WorkerRemoved
    ) -> None:
        self.state.apply(self.state.applied_index + 1, encode_command(command))


UNTIL_FIRST_ORDER_SECONDS = TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0


@pytest.mark.parametrize("status", [None, 409, 412, 421, 503])
def test_an_order_that_was_not_taken_is_sent_again_under_one_fence(status: int | None) -> None:
    fleet = Fleet(prefill=4, decode=3)
    fleet.run(UNTIL_FIRST_ORDER_SECONDS + 3 * COMMAND_REPEAT_SECONDS, status)
    orders = [order for _, _, order in fleet.arrivals]
    assert len(orders) >= 3
    assert {(order.worker_id, order.term, order.stage) for order in orders} == {
        (orders[0].worker_id, 1, Stage.PREFILL)
    }


def test_an_order_that_was_taken_without_an_answer_ends_the_move() -> None:
    fleet = Fleet(prefill=4, decode=3)
    fleet.run(UNTIL_FIRST_ORDER_SECONDS + 5 * COMMAND_REPEAT_SECONDS, None, obeys=True)
    assert len(fleet.arrivals) == 1
    assert not any(worker.cordoned for worker in fleet.state.workers())


def test_a_worker_that_restarts_in_its_move_gets_no_order_meant_for_the_one_before() -> None:
    fleet = Fleet(prefill=4, decode=3)
    fleet.run(UNTIL_FIRST_ORDER_SECONDS, None)
    (moved,) = set(fleet.ordered())
    fleet.arrivals.clear()
    fleet.restart(moved)
    fleet.run(UNTIL_FIRST_ORDER_SECONDS, None)
    assert moved not in fleet.ordered()
    assert fleet.arrivals


@pytest.mark.parametrize("seconds_into_move", [0.25, 0.75, 1.25, 2.0])
def test_two_machines_never_order_one_worker_within_the_lease(seconds_into_move: float) -> None:
    """The leader changes at any moment of a move; the order before it may be slow to arrive."""
    fleet = Fleet(prefill=4, decode=3)
    while not fleet.arrivals:
        fleet.run(STEP_SECONDS, None)
    fleet.run(seconds_into_move, None)
    last_of_first = fleet.arrivals[-1][0]
    fleet.lead("front-z-1", 2)
    fleet.run(2 * UNTIL_FIRST_ORDER_SECONDS, None)
    of_second = [(time, order) for time, machine, order in fleet.arrivals if machine == "front-z-1"]
    assert of_second
    assert of_second[0][0] - last_of_first > LEASE_SECONDS
    assert {order.term for _, order in of_second} == {2}
    # Also if the first machine's order only arrived when its sender gave it up.
    assert of_second[0][0] - last_of_first > WORKER_COMMAND_TIMEOUT_SECONDS
