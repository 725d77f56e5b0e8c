"""Commands to the platform's workers: each kind of reply, and a change of the leader."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web
from stage_builders import model_worker, split_configuration

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
from orchidpath.wire.records import Stage

WAIT_SECONDS = 10.0
LEASE_SECONDS = 3.0
"""The platform's `lease_ms`; two leaders must not command one worker within this time."""
STEP_SECONDS = 0.25
NOT_EXECUTED = {"X-Not-Executed": "1"}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def stage_command(term: int = 3) -> WorkerCommand:
    return WorkerCommand(
        term=term,
        sequence=1,
        worker_id="w0",
        incarnation="w0",
        kind=WorkerCommandKind.SET_STAGE,
        stage=Stage.DECODE,
    )


async def reply_to(handler: Handler) -> WorkerCommandReply | None:
    """Send one command to a worker on loopback and return the reply that the sender decodes."""
    app = web.Application()
    app.router.add_post("/order", handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    decoded: asyncio.Future[WorkerCommandReply | None] = asyncio.get_running_loop().create_future()
    sender = WorkerCommandSender(
        lambda _command, reply: decoded.set_result(reply), PlatformCommandFormat("front-z-0")
    )
    try:
        sender.send(f"http://127.0.0.1:{runner.addresses[0][1]}", stage_command())
        async with asyncio.timeout(WAIT_SECONDS):
            return await decoded
    finally:
        await sender.close()
        await runner.cleanup()


@pytest.mark.parametrize(
    ("status", "accepted"),
    [(200, True), (202, True), (400, False), (409, False), (412, False), (421, False)],
)
async def test_a_command_is_accepted_only_with_status_200_or_202(
    status: int, accepted: bool
) -> None:
    async def respond(_request: web.Request) -> web.StreamResponse:
        return web.Response(status=status)

    reply = await reply_to(respond)
    assert reply is not None
    assert reply.accepted is accepted


async def test_a_command_rejected_as_not_executed_is_not_accepted() -> None:
    async def respond(_request: web.Request) -> web.StreamResponse:
        return web.Response(status=503, headers=NOT_EXECUTED)

    reply = await reply_to(respond)
    assert reply is not None
    assert not reply.accepted


async def test_a_command_whose_reply_is_lost_has_an_unknown_outcome() -> None:
    async def abort_connection(request: web.Request) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.abort()
        return web.Response()

    assert await reply_to(abort_connection) is None


class Worker:
    """One worker: its id, its stage and the sequence of its newest announcement."""

    def __init__(self, worker_id: str, stage: Stage) -> None:
        self.worker_id = worker_id
        self.stage = stage
        self.sequence = 0


class Fleet:
    """A replicated state, its workers, and the balancer of the current leader."""

    def __init__(self, prefill: int, decode: int) -> None:
        self.state = FleetState()
        self.now = 0.0
        self.arrivals: list[tuple[float, str, WorkerCommand]] = []
        """Time, machine of the leader, and command, for each command that reached a worker."""
        self._apply(split_configuration())
        stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
        self.workers = {f"w{number}": Worker(f"w{number}", s) for number, s in enumerate(stages)}
        for worker in self.workers.values():
            self.announce(worker)
        self.lead("front-z-0", 1)

    def lead(self, machine: str, term: int) -> None:
        """Make a machine the leader of a new term, with a new balancer."""
        self.machine = machine
        self.output = ControlOutput()
        self.balancer = StageBalancer(term, self.state, lambda _now: {}, self.output, self.now)

    def announce(self, worker: Worker) -> None:
        worker.sequence += 1
        record = model_worker(worker.worker_id, worker.worker_id, worker.stage)
        self._apply(WorkerChanged(record=record, sequence=worker.sequence))

    def restart(self, worker_id: str) -> None:
        """Replace a worker by a new one, as a restart does on the platform."""
        old = self.workers.pop(worker_id)
        self._apply(WorkerRemoved(worker_id=worker_id, incarnation=worker_id, sequence=99))
        replacement = Worker(f"{worker_id}-again", old.stage)
        self.workers[replacement.worker_id] = replacement
        self.announce(replacement)

    def run(self, seconds: float, status: int | None, *, executes: bool = False) -> None:
        """Advance the simulated time, ticking the balancer and delivering its commands.

        Every command gets a reply with ``status``, or no reply if it is ``None``. If ``executes``
        is true, the worker executes the command, whether it replies or not.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.balancer.tick(self.state.revision, self.now)
            for command in self.output.take_proposals():
                assert isinstance(command, CordonWorker)
                self._apply(command)
            for effect in self.output.take_effects():
                assert isinstance(effect, SendWorkerCommand)
                self._deliver(effect.command, status, executes)

    def commanded_workers(self) -> list[str]:
        return [command.worker_id for _, _, command in self.arrivals]

    def _deliver(self, command: WorkerCommand, status: int | None, executes: bool) -> None:
        self.arrivals.append((self.now, self.machine, command))
        worker = self.workers.get(command.worker_id)
        if executes and worker is not None and command.stage is not None:
            worker.stage = command.stage
            self.announce(worker)
        if status is not None:
            form = PlatformCommandFormat(self.machine)
            self.balancer.command_answered(command, form.read_reply(command, status, b""))

    def _apply(
        self, command: SubmitConfiguration | WorkerChanged | CordonWorker | WorkerRemoved
    ) -> None:
        self.state.apply(self.state.applied_index + 1, encode_command(command))


UNTIL_FIRST_COMMAND_SECONDS = TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0


@pytest.mark.parametrize("status", [None, 409, 412, 421, 503])
def test_a_command_that_was_not_accepted_is_repeated_in_one_term(status: int | None) -> None:
    fleet = Fleet(prefill=4, decode=3)
    fleet.run(UNTIL_FIRST_COMMAND_SECONDS + 3 * COMMAND_REPEAT_SECONDS, status)
    commands = [command for _, _, command in fleet.arrivals]
    assert len(commands) >= 3
    assert {(command.worker_id, command.term, command.stage) for command in commands} == {
        (commands[0].worker_id, 1, Stage.PREFILL)
    }


def test_a_stage_change_ends_when_the_worker_announces_it_without_a_reply() -> None:
    fleet = Fleet(prefill=4, decode=3)
    fleet.run(UNTIL_FIRST_COMMAND_SECONDS + 5 * COMMAND_REPEAT_SECONDS, None, executes=True)
    assert len(fleet.arrivals) == 1
    assert not any(worker.cordoned for worker in fleet.state.workers())


def test_a_worker_restarted_in_a_stage_change_gets_no_command_of_its_former_incarnation() -> None:
    fleet = Fleet(prefill=4, decode=3)
    fleet.run(UNTIL_FIRST_COMMAND_SECONDS, None)
    (moved,) = set(fleet.commanded_workers())
    fleet.arrivals.clear()
    fleet.restart(moved)
    fleet.run(UNTIL_FIRST_COMMAND_SECONDS, None)
    assert moved not in fleet.commanded_workers()
    assert fleet.arrivals


@pytest.mark.parametrize("seconds_into_move", [0.25, 0.75, 1.25, 2.0])
def test_two_leaders_never_command_one_worker_within_the_lease(seconds_into_move: float) -> None:
    """A command of the former leader may arrive late when the leader changes in a stage change."""
    fleet = Fleet(prefill=4, decode=3)
    while not fleet.arrivals:
        fleet.run(STEP_SECONDS, None)
    fleet.run(seconds_into_move, None)
    last_command_time = fleet.arrivals[-1][0]
    fleet.lead("front-z-1", 2)
    fleet.run(2 * UNTIL_FIRST_COMMAND_SECONDS, None)
    commands_of_second = [
        (time, command) for time, machine, command in fleet.arrivals if machine == "front-z-1"
    ]
    assert commands_of_second
    assert commands_of_second[0][0] - last_command_time > LEASE_SECONDS
    assert {command.term for _, command in commands_of_second} == {2}
    # This also holds if the first leader's command arrived just before its sender's timeout.
    assert commands_of_second[0][0] - last_command_time > WORKER_COMMAND_TIMEOUT_SECONDS
