"""A fleet's plan part without a network: the replicated state, leaders and stand-ins' cores."""

from collections.abc import Callable, Iterable
from random import Random

import msgspec

from orchidpath.control.leadership.plan_driver import PlanDriver
from orchidpath.control.replica.control_effects import SendWorkerCommand
from orchidpath.control.replica.control_output import ControlOutput
from orchidpath.emulators.backend.backend_core import BackendCore
from orchidpath.placement.planner import make_preview
from orchidpath.state.commands import (
    Command,
    StartPlan,
    SubmitConfiguration,
    WorkerChanged,
    WorkerRemoved,
    configuration_digest,
    encode_command,
)
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.outcomes import Outcome, PlanResult, UpdateAccepted, UpdateResult
from orchidpath.state.plans import (
    OPEN_PHASES,
    PlanAnswer,
    PlanRecord,
    PlanStatus,
    StepPhase,
    is_serving,
)
from orchidpath.wire.backend import WorkerCommand, WorkerCommandKind, WorkerCommandReply
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

SERVICE = "chat"
TURN_SECONDS = 0.2


def record(
    worker_id: str,
    stage: Stage,
    zone: str = "",
    domain: str = "",
    incarnation: str = "1",
    service: str = SERVICE,
) -> WorkerRecord:
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service=service,
        stage=stage,
        url=f"http://{worker_id}",
        models=("m",),
        zone=zone,
        failure_domain=domain or worker_id,
    )


def service(prefill: int, decode: int, max_cordoned: int = 1, name: str = SERVICE) -> Service:
    return Service(
        name=name,
        kind=ServiceKind.MODEL,
        models=["m"],
        prefill_workers=prefill,
        decode_workers=decode,
        max_held_workers=max_cordoned,
    )


class PlanWorld:
    """One replicated state, the leader of the newest term, and workers that obey orders.

    ``check`` is run after every command. An order may be lost, its answer may be lost, and any
    order may come a second time later, as ``random`` has it.
    """

    def __init__(
        self, workers: Iterable[WorkerRecord], wanted: Service, random: Random | None = None
    ) -> None:
        self.state = FleetState()
        self.now = 100.0
        self.term = 0
        self.random = random
        self.wanted = wanted
        self.cores: dict[str, BackendCore] = {}
        self.sequences: dict[str, int] = {}
        self.unreachable: set[str] = set()
        self.confirms = True
        self.confirmed_revision = 0
        self.in_flight: dict[str, int] = {}
        self.sent: list[SendWorkerCommand] = []
        self.switched: list[str] = []
        self.on_event: Callable[[], None] = lambda: None
        self.configurations = 0
        for one in workers:
            self.start_worker(one)
        self.configure(wanted)
        self.fail_over()

    def apply(self, command: Command) -> Outcome:
        index = self.state.applied_index + 1
        outcome = self.state.apply(index, encode_command(command)).outcome
        # Every replica must get here from a snapshot, too.
        assert FleetState.restore(self.state.snapshot()).snapshot() == self.state.snapshot()
        self.check()
        return outcome

    def configure(self, wanted: Service) -> None:
        configuration = Configuration(services=[wanted])
        version = self.state.configuration_version
        order = SubmitConfiguration(
            order_id=f"configuration-{version}",
            base_version=version,
            configuration=configuration,
            digest=configuration_digest(version, configuration),
        )
        outcome = self.apply(order)
        assert isinstance(outcome, UpdateResult)
        assert isinstance(outcome.outcome, UpdateAccepted)

    def start_worker(self, one: WorkerRecord) -> None:
        self.cores[one.worker_id] = BackendCore(one, max_in_flight=8)
        self.sequences[one.worker_id] = 0
        self.announce(one.worker_id)

    def restart_worker(self, worker_id: str) -> None:
        old = self.cores[worker_id].record
        new = msgspec.structs.replace(
            old, incarnation=old.incarnation + "+", status=WorkerStatus.READY
        )
        self.start_worker(new)

    def lose_worker(self, worker_id: str) -> None:
        incarnation = self.cores[worker_id].record.incarnation
        self.apply(
            WorkerRemoved(
                worker_id=worker_id, incarnation=incarnation, sequence=self.sequences[worker_id]
            )
        )

    def announce(self, worker_id: str) -> None:
        self.sequences[worker_id] += 1
        announced = self.cores[worker_id].record
        self.apply(WorkerChanged(record=announced, sequence=self.sequences[worker_id]))

    def fail_over(self) -> None:
        self.term += 1
        self.output = ControlOutput()
        self.driver = PlanDriver(self.term, self.state, lambda _now: self.in_flight, self.output)

    def confirm_plan(self, order_id: str = "order") -> PlanResult:
        plan = make_preview(self.state.view()).plan
        outcome = self.apply(StartPlan(order_id=order_id, plan_id=plan.plan_id, plan=plan))
        assert isinstance(outcome, PlanResult)
        return outcome

    def start_plan(self) -> None:
        assert self.confirm_plan().answer is PlanAnswer.ACCEPTED

    @property
    def plan(self) -> PlanRecord:
        assert self.state.plan is not None
        return self.state.plan

    def status(self) -> PlanStatus:
        return self.plan.progress.status

    def phase(self, position: int) -> StepPhase:
        return self.plan.progress.steps[position].phase

    def turn(self) -> None:
        """Let the leader look once and what it asks for happen."""
        self.now += TURN_SECONDS
        if self.confirms:
            self.confirmed_revision = self.state.revision
        driver, output = self.driver, self.output
        driver.tick(self.confirmed_revision, self.now)
        for effect in output.take_effects():
            assert isinstance(effect, SendWorkerCommand)
            self.on_event()
            self.sent.append(effect)
            self._send(driver, effect.command)
        for command in output.take_proposals():
            self.on_event()
            self.apply(command)
        if self.random is not None and self.sent and self.random.random() < 0.3:
            self.execute(self.random.choice(self.sent).command)  # a late duplicate

    def run(self, turns: int = 600) -> None:
        """Run until the plan is over."""
        for _ in range(turns):
            if not self.plan.active:
                return
            self.turn()
        raise AssertionError(f"the plan does not end: {self.plan.progress}")

    def execute(self, order: WorkerCommand) -> WorkerCommandReply:
        """Let an order reach its worker, which announces what it has become."""
        core = self.cores[order.worker_id]
        before = core.record
        reply = core.execute(order, handles_outstanding=0)
        if reply.accepted and order.kind is WorkerCommandKind.SET_STAGE:
            self._check_switch(order)
            # An order that was taken and whose answer was lost is given again, as a newer one: a
            # worker that plays the part already accepts it and changes nothing.
            if core.record.stage is not before.stage:
                self.switched.append(order.worker_id)
        if core.record != before:
            self.announce(order.worker_id)
        return reply

    def stages(self) -> dict[str, Stage]:
        return {one: core.record.stage for one, core in self.cores.items()}

    def serving(self, stage: Stage) -> int:
        return sum(1 for one in self.state.workers() if one.stage is stage and is_serving(one))

    def check(self) -> None:
        """Check the bounds that hold while a plan runs and no worker is lost."""
        if self.state.plan is None:
            return
        plan = self.plan
        cordoned = {one.worker_id for one in self.state.workers() if one.cordoned}
        steps = zip(plan.plan.steps, plan.progress.steps, strict=True)
        open_workers = {step.worker_id for step, one in steps if one.phase in OPEN_PHASES}
        assert cordoned <= open_workers
        assert len(open_workers) <= self.wanted.max_held_workers

    def check_serving(self) -> None:
        """Check that the giving stage keeps its desired count and none is empty."""
        step = self.plan.plan.steps[0]
        minimum = self.plan.plan.bounds_of(step.service).minimum(step.from_stage)
        assert self.serving(step.from_stage) >= minimum
        assert self.serving(Stage.PREFILL) > 0
        assert self.serving(Stage.DECODE) > 0

    def _send(self, driver: PlanDriver, order: WorkerCommand) -> None:
        lost = self.random is not None and self.random.random() < 0.2
        if order.worker_id in self.unreachable or lost:
            return
        reply = self.execute(order)
        answer_lost = self.random is not None and self.random.random() < 0.2
        if not answer_lost:
            driver.command_answered(order, reply)

    def _check_switch(self, order: WorkerCommand) -> None:
        """Check that a worker changes its part only while every router leaves it alone."""
        worker = next(one for one in self.state.workers() if one.worker_id == order.worker_id)
        assert worker.cordoned, "switched while routers may give it requests"
        held_revisions = [
            progress.cordoned_revision
            for step, progress in zip(self.plan.plan.steps, self.plan.progress.steps, strict=True)
            if step.worker_id == order.worker_id
        ]
        assert self.confirmed_revision >= held_revisions[0], "a router may not know of the hold"
