"""A leader changes the stage of a worker in three steps: cordon, command, uncordon."""

import msgspec
from stage_builders import model_worker, split_configuration

from orchidpath.control.leadership.stage_balancer import (
    BALANCE_PERIOD_SECONDS,
    COMMAND_REPEAT_SECONDS,
    CORDON_SECONDS,
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
from orchidpath.wire.records import Stage

STEP_SECONDS = 0.25


class BalancerEnvironment:
    """A replicated state, the balancer of one leadership, and workers that execute on request."""

    def __init__(self, prefill: int, decode: int) -> None:
        self.state = FleetState()
        self.now = 0.0
        self.confirms = True
        self.commands: list[WorkerCommand] = []
        self.proposed: list[CordonWorker] = []
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
        record = model_worker(worker_id, "1", stage)
        self.apply(WorkerChanged(record=record, sequence=sequence))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            confirmed = self.state.revision if self.confirms else 0
            self.balancer.tick(confirmed, self.now)
            for effect in self.output.take_effects():
                assert isinstance(effect, SendWorkerCommand)
                self.commands.append(effect.command)
            for command in self.output.take_proposals():
                assert isinstance(command, CordonWorker)
                self.proposed.append(command)
                self.apply(command)

    def execute(self, command: WorkerCommand) -> None:
        reply = WorkerCommandReply(
            accepted=True, highest_term=command.term, highest_sequence=command.sequence
        )
        self.balancer.command_answered(command, reply)
        assert command.stage is not None
        self.announce(command.worker_id, command.stage, 2)

    def cordoned(self) -> list[str]:
        return [worker.worker_id for worker in self.state.workers() if worker.cordoned]


def test_surplus_workers_are_cordoned_commanded_and_uncordoned() -> None:
    environment = BalancerEnvironment(prefill=4, decode=5)
    environment.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    assert len(environment.cordoned()) == 3
    assert sorted({command.worker_id for command in environment.commands}) == sorted(
        environment.cordoned()
    )
    for command in list(environment.commands):
        environment.execute(command)
    environment.run(1.0)
    assert environment.cordoned() == []
    stages = [worker.stage for worker in environment.state.workers()]
    assert stages.count(Stage.DECODE) == 2


def test_a_new_leader_sends_no_command_while_an_earlier_one_may_be_in_transit() -> None:
    environment = BalancerEnvironment(prefill=4, decode=5)
    environment.run(TAKEOVER_SECONDS - STEP_SECONDS)
    assert environment.cordoned() == []
    assert environment.commands == []


def test_no_command_is_sent_before_the_cordon_is_confirmed() -> None:
    """The run ends within ``CORDON_SECONDS``, after which a command is sent in any case."""
    environment = BalancerEnvironment(prefill=4, decode=5)
    environment.confirms = False
    environment.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    assert environment.cordoned()
    assert environment.commands == []


def test_a_command_without_a_reply_is_repeated_in_the_same_term() -> None:
    environment = BalancerEnvironment(prefill=4, decode=3)
    environment.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0 + 2 * COMMAND_REPEAT_SECONDS)
    assert len(environment.commands) >= 2
    assert {command.term for command in environment.commands} == {1}
    assert len({command.sequence for command in environment.commands}) == len(environment.commands)


def test_a_worker_that_never_changes_its_stage_is_uncordoned() -> None:
    environment = BalancerEnvironment(prefill=4, decode=3)
    environment.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    assert environment.cordoned() == ["w4"]
    release = CordonWorker(worker_id="w4", cordoned=False)
    environment.run(MOVE_SECONDS - 1.5)
    assert release not in environment.proposed
    assert {command.worker_id for command in environment.commands} == {"w4"}
    # A worker may be chosen for the next move in the tick in which this one is released.
    environment.run(1.5 + BALANCE_PERIOD_SECONDS)
    assert release in environment.proposed


def test_a_command_is_sent_once_the_cordon_was_not_confirmed_for_long() -> None:
    environment = BalancerEnvironment(prefill=4, decode=3)
    environment.confirms = False
    while not environment.cordoned():
        environment.run(STEP_SECONDS)
    environment.run(CORDON_SECONDS - STEP_SECONDS)
    assert environment.commands == []
    environment.run(2 * STEP_SECONDS + BALANCE_PERIOD_SECONDS)
    assert {command.worker_id for command in environment.commands} == {"w4"}


def test_a_new_leader_uncordons_workers_cordoned_by_its_predecessor() -> None:
    environment = BalancerEnvironment(prefill=4, decode=3)
    environment.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    assert environment.cordoned() == ["w4"]
    environment.lead(2)
    environment.commands.clear()
    environment.run(TAKEOVER_SECONDS + STEP_SECONDS)
    assert environment.cordoned() == []
    assert environment.commands == []


def test_no_worker_is_moved_while_the_set_of_workers_changes() -> None:
    environment = BalancerEnvironment(prefill=4, decode=5)
    for number in range(20, 30):
        environment.run(1.0)
        environment.announce(f"w{number}", Stage.PREFILL, 1)
    assert environment.cordoned() == []


def test_without_a_decode_worker_the_quiet_period_is_short() -> None:
    environment = BalancerEnvironment(prefill=3, decode=0)
    environment.run(TAKEOVER_SECONDS)
    environment.announce("w9", Stage.PREFILL, 1)
    environment.run(URGENT_QUIET_PERIOD_SECONDS + 4 * STEP_SECONDS)
    assert environment.commands
    assert environment.commands[0].stage is Stage.DECODE


def test_a_restarted_worker_ends_its_stage_change() -> None:
    environment = BalancerEnvironment(prefill=4, decode=3)
    environment.run(TAKEOVER_SECONDS + QUIET_PERIOD_SECONDS + 1.0)
    entry = environment.state.find_worker("w4")
    assert entry is not None
    changed = msgspec.structs.replace(entry.record, incarnation="2", cordoned=False)
    environment.apply(WorkerChanged(record=changed, sequence=1))
    environment.commands.clear()
    environment.run(COMMAND_REPEAT_SECONDS + BALANCE_PERIOD_SECONDS)
    assert {command.incarnation for command in environment.commands} == {"2"}
    switched = msgspec.structs.replace(changed, stage=Stage.PREFILL)
    environment.apply(WorkerChanged(record=switched, sequence=2))
    environment.run(1.0)
    assert environment.cordoned() == []
