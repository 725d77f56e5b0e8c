"""The leader's moves of workers between stages: cordon, command, uncordon; one leader at a time."""

import msgspec
from stage_builders import split_configuration

from orchidpath.control.leadership.stage_balancer import (
    COMMAND_REPEAT_SECONDS,
    MOVE_SECONDS,
    QUIET_PERIOD_SECONDS,
    TAKEOVER_SECONDS,
    URGENT_QUIET_PERIOD_SECONDS,
    StageBalancer,
)
from orchidpath.control.replica.control_effects import SendWorkerCommand
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.state.commands import (
    CordonWorker,
    SubmitConfiguration,
    WorkerChanged,
    encode_command,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.wire.backend import WorkerCommand, WorkerCommandReply
from orchidpath.wire.records import Stage, WorkerRecord

STEP_SECONDS = 0.25


class World:
    """A replicated state, one leader's balancer, and workers that obey when told to."""

    def __init__(self, prefill: int, decode: int) -> None:
        self.state = FleetState()
        self.now = 0.0
        self.confirms = True
        self.orders: list[WorkerCommand] = []
        self.apply(split_configuration())
        stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
        for number, stage in enumerate(stages):
            self.announce(f"w{number}", stage, 1)
        self.lead(1)

    def lead(self, term: int) -> None:
        self.output = ControlOutput()
        self.balancer = StageBalancer(term, self.state, lambda _now: {}, self.output, self.now)

    def apply(self, command: SubmitConfiguration | WorkerChanged | CordonWorker) -> None:
        self.state.apply(self.state.applied_index + 1, encode_command(command))

    def announce(self, worker_id: str, stage: Stage, sequence: int) -> None:
        record = WorkerRecord(
            worker_id=worker_id,
            incarnation="1",
            service="s",
            stage=stage,
            url=f"http://{worker_id}",
            models=("m",),
        )
        self.apply(WorkerChanged(record=record, sequence=sequence))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            confirmed = self.state.revision if self.confirms else 0
            self.balancer.tick(confirmed, self.now)
            for effect in self.output.take_effects():
                assert isinstance(effect, SendWorkerCommand)
                self.orders.append(effect.command)
            for command in self.output.take_proposals():
                assert isinstance(command, CordonWorker)
                self.apply(command)

    def obey(self, order: WorkerCommand) -> None:
        reply = WorkerCommandReply(
            accepted=True, highest_term=order.term, highest_sequence=order.sequence
        )
        self.balancer.command_answered(order, reply)
        assert order.stage is not None
        self.announce(order.worker_id, order.stage, 2)

    def cordoned(self) -> list[str]:
        return [worker.worker_id for worker in self.state.workers() if worker.cordoned]


def test_a_surplus_is_held_ordered_and_released() -> None:
    world = World(prefill=4, decode=5)
    world.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    assert len(world.cordoned()) == 3
    assert sorted({order.worker_id for order in world.orders}) == sorted(world.cordoned())
    for order in list(world.orders):
        world.obey(order)
    world.run(1.0)
    assert world.cordoned() == []
    stages = [worker.stage for worker in world.state.workers()]
    assert stages.count(Stage.DECODE) == 2


def test_a_new_leader_orders_nothing_while_an_order_may_be_on_its_way() -> None:
    world = World(prefill=4, decode=5)
    world.run(TAKEOVER_SECONDS - STEP_SECONDS)
    assert world.cordoned() == []
    assert world.orders == []


def test_no_order_goes_out_before_every_router_knows_of_the_hold() -> None:
    world = World(prefill=4, decode=5)
    world.confirms = False
    world.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    assert world.cordoned()
    assert world.orders == []


def test_an_order_without_an_answer_is_sent_again_under_the_same_fence() -> None:
    world = World(prefill=4, decode=3)
    world.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0 + 2 * COMMAND_REPEAT_SECONDS)
    assert len(world.orders) >= 2
    assert {order.term for order in world.orders} == {1}
    assert len({order.sequence for order in world.orders}) == len(world.orders)


def test_a_worker_that_never_moves_is_released() -> None:
    world = World(prefill=4, decode=3)
    world.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    assert world.cordoned() == ["w4"]
    world.run(MOVE_SECONDS)
    assert "w4" not in world.cordoned() or world.orders[-1].worker_id == "w4"


def test_a_successor_releases_whom_its_predecessor_held() -> None:
    world = World(prefill=4, decode=3)
    world.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    assert world.cordoned() == ["w4"]
    world.lead(2)
    world.orders.clear()
    world.run(TAKEOVER_SECONDS + STEP_SECONDS)
    assert world.cordoned() == []
    assert world.orders == []


def test_a_set_of_workers_that_still_changes_moves_nobody() -> None:
    world = World(prefill=4, decode=5)
    for number in range(20, 30):
        world.run(1.0)
        world.announce(f"w{number}", Stage.PREFILL, 1)
    assert world.cordoned() == []


def test_without_a_decode_worker_little_time_is_lost() -> None:
    world = World(prefill=3, decode=0)
    world.run(TAKEOVER_SECONDS)
    world.announce("w9", Stage.PREFILL, 1)
    world.run(URGENT_QUIET_PERIOD_SECONDS + 4 * STEP_SECONDS)
    assert world.orders
    assert world.orders[0].stage is Stage.DECODE


def test_a_leaving_worker_ends_its_move() -> None:
    world = World(prefill=4, decode=3)
    world.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    entry = world.state.find_worker("w4")
    assert entry is not None
    changed = msgspec.structs.replace(entry.record, incarnation="2", cordoned=False)
    world.apply(WorkerChanged(record=changed, sequence=1))
    world.run(1.0)
    assert len(world.orders) >= 1
