"""Plans in a fleet without a network: replicated state, leaders and emulated workers."""

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


class PlanEnvironment:
    """One replicated state, the leader of the newest term, and workers that execute commands.

    ``check`` runs after every entry of the log. With ``random``, a command or its reply may be
    lost, and any command may arrive a second time later.
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
        for worker in workers:
            self.start_worker(worker)
        self.configure(wanted)
        self.fail_over()

    def apply(self, command: Command) -> Outcome:
        index = self.state.applied_index + 1
        outcome = self.state.apply(index, encode_command(command)).outcome
        # Every replica must reach the same state from a snapshot.
        assert FleetState.restore(self.state.snapshot()).snapshot() == self.state.snapshot()
        self.check()
        return outcome

    def configure(self, wanted: Service) -> None:
        configuration = Configuration(services=[wanted])
        version = self.state.configuration_version
        update = SubmitConfiguration(
            order_id=f"configuration-{version}",
            base_version=version,
            configuration=configuration,
            digest=configuration_digest(version, configuration),
        )
        outcome = self.apply(update)
        assert isinstance(outcome, UpdateResult)
        assert isinstance(outcome.outcome, UpdateAccepted)

    def start_worker(self, worker: WorkerRecord) -> None:
        self.cores[worker.worker_id] = BackendCore(worker, max_in_flight=8)
        self.sequences[worker.worker_id] = 0
        self.announce(worker.worker_id)

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
        """Run one tick of the leader and carry out its effects and proposals."""
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
        """Run until the plan has ended."""
        for _ in range(turns):
            if not self.plan.active:
                return
            self.turn()
        raise AssertionError(f"the plan does not end: {self.plan.progress}")

    def execute(self, command: WorkerCommand) -> WorkerCommandReply:
        """Deliver a command to its worker, which announces its new state."""
        core = self.cores[command.worker_id]
        before = core.record
        reply = core.execute(command, handles_outstanding=0)
        if reply.accepted and command.kind is WorkerCommandKind.SET_STAGE:
            self._check_stage_change(command)
            # A command whose reply was lost is repeated as a newer one; a worker that has the stage
            # already accepts it and changes nothing.
            if core.record.stage is not before.stage:
                self.switched.append(command.worker_id)
        if core.record != before:
            self.announce(command.worker_id)
        return reply

    def stages(self) -> dict[str, Stage]:
        return {worker_id: core.record.stage for worker_id, core in self.cores.items()}

    def serving(self, stage: Stage) -> int:
        return sum(
            1 for worker in self.state.workers() if worker.stage is stage and is_serving(worker)
        )

    def check(self) -> None:
        """Check the bounds of a running plan."""
        if self.state.plan is None:
            return
        plan = self.plan
        cordoned = {worker.worker_id for worker in self.state.workers() if worker.cordoned}
        steps = zip(plan.plan.steps, plan.progress.steps, strict=True)
        open_workers = {step.worker_id for step, progress in steps if progress.phase in OPEN_PHASES}
        assert cordoned <= open_workers
        assert len(open_workers) <= self.wanted.max_held_workers

    def check_serving(self) -> None:
        """Check that the source stage has its desired count and that no stage is empty."""
        step = self.plan.plan.steps[0]
        minimum = self.plan.plan.bounds_of(step.service).minimum(step.from_stage)
        assert self.serving(step.from_stage) >= minimum
        assert self.serving(Stage.PREFILL) > 0
        assert self.serving(Stage.DECODE) > 0

    def _send(self, driver: PlanDriver, command: WorkerCommand) -> None:
        lost = self.random is not None and self.random.random() < 0.2
        if command.worker_id in self.unreachable or lost:
            return
        reply = self.execute(command)
        reply_lost = self.random is not None and self.random.random() < 0.2
        if not reply_lost:
            driver.command_answered(command, reply)

    def _check_stage_change(self, command: WorkerCommand) -> None:
        """Check that a worker changes its stage only while no router sends requests to it."""
        worker = next(
            record for record in self.state.workers() if record.worker_id == command.worker_id
        )
        assert worker.cordoned, "stage changed while routers may send requests"
        cordoned_revisions = [
            progress.cordoned_revision
            for step, progress in zip(self.plan.plan.steps, self.plan.progress.steps, strict=True)
            if step.worker_id == command.worker_id
        ]
        assert self.confirmed_revision >= cordoned_revisions[0], (
            "a router may not know of the cordon"
        )
