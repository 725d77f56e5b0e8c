"""Plans on a simulated fleet under faults: real control cores, routers' leases, workers' fences.

Operators change the desired split and confirm, halt, resume and cancel plans while control
processes are killed, frozen and partitioned, workers fall silent or restart, and commands to
workers are lost, late and doubled. What must hold (docs/design/plans.md): a worker changes its
stage only while no router that serves would give it a request; a plan cordons no more workers than
it may; and once the faults are over, nobody is left cordoned or draining, and the next plan reaches
the desired split.

Run ``python -m orchidpath.simulation.plan_simulation --seeds 0..99``.
"""

import argparse
import itertools
import sys

import msgspec

from orchidpath.emulators.backend.backend_core import BackendCore
from orchidpath.placement.planner import make_preview
from orchidpath.simulation.control_node import ControlNode
from orchidpath.simulation.fault_driver import FaultDriver
from orchidpath.simulation.fleet_checks import InvariantError
from orchidpath.simulation.fleet_simulation import (
    RECOVERY_SECONDS,
    DisabledGuards,
    FleetShape,
    FleetSimulation,
)
from orchidpath.simulation.scenario import Scenario
from orchidpath.simulation.scenarios import FAULT_TIME_SECONDS
from orchidpath.state.commands import SubmitConfiguration, configuration_digest
from orchidpath.state.fleet_state import FleetState
from orchidpath.state.plans import PlanStatus, is_serving
from orchidpath.wire.backend import (
    ANNOUNCE_PERIOD_SECONDS,
    Announcement,
    WorkerCommand,
    WorkerCommandKind,
    WorkerCommandReply,
)
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.messages import PlanAction, PlanActionRequest
from orchidpath.wire.records import Stage, WorkerRecord, WorkerStatus

SHAPE = FleetShape(controls=4, routers=6, zones=3, workers=0)
WORKERS = 9
MAX_CORDONED = 2
SERVICE = "chat"

LOST_ORDER_SHARE = 0.15
"""Share of orders, and of answers, that get lost."""

LATE_ORDER_SHARE = 0.1
"""Share of orders that come a second time, much later."""

LATEST_ORDER_SECONDS = 20.0
"""A late order is up to this old when it arrives."""

SPLIT_PERIOD_SECONDS = 9.0
"""Time between two changes of the desired split."""

PLAN_ACTION_PERIOD_SECONDS = 1.5
"""Time between two orders about plans."""

WORKER_FAULT_PERIOD_SECONDS = 6.0
"""Time between two workers that fall silent or restart."""

MAX_SILENCE_SECONDS = 8.0
"""A worker that falls silent wakes within this long; after 2 s it counts as lost."""

MAX_CONFIRM_ATTEMPTS = 5
"""After the faults an operator confirms this many times at most, a second apart."""

NO_GUARD_DISABLED = DisabledGuards()

CONVERGENCE_SECONDS = 120.0
"""A plan is over, whatever happened to it, within this long after the last fault."""


class PlanScenarioResult(msgspec.Struct, frozen=True, kw_only=True):
    """What came of one seed."""

    scenario: Scenario
    seed: int
    violation: str | None
    switches: int
    plans_ended: tuple[str, ...]


class PlanWorker:
    """One worker: announces itself through random routers and applies orders as the emulator does.

    Parameters
    ----------
    simulation
        The fleet that it belongs to.
    record
        How it announces itself at first.
    """

    def __init__(self, simulation: "PlanSimulation", record: WorkerRecord) -> None:
        self._simulation = simulation
        self._sequence = 0
        self._restarts = 0
        self._silent = False
        self._waiting: list[WorkerCommand] = []
        self.core = BackendCore(record, max_in_flight=8)
        simulation.fleet.environment.schedule(0.0, self._announce_forever)

    def fall_silent(self, duration_seconds: float) -> None:
        """Freeze the process: it announces nothing, and orders wait until it wakes."""
        self._silent = True
        self._simulation.fleet.environment.schedule(duration_seconds, self._wake)

    def restart(self) -> None:
        """Begin again as another incarnation in the part that it had."""
        self._restarts += 1
        record = msgspec.structs.replace(
            self.core.record,
            incarnation=f"{self.core.record.worker_id}-restarted-{self._restarts}",
            status=WorkerStatus.READY,
        )
        self._sequence = 0
        self._waiting.clear()
        self.core = BackendCore(record, max_in_flight=8)

    def execute(self, order: WorkerCommand) -> WorkerCommandReply | None:
        """Take an order and announce what has changed; no answer from a frozen process."""
        if self._silent:
            self._waiting.append(order)
            return None
        before = self.core.record
        reply = self.core.execute(order, handles_outstanding=0)
        if reply.accepted and order.kind is WorkerCommandKind.SET_STAGE:
            self._simulation.worker_switched(order.worker_id)
        if self.core.record != before:
            self._announce()
        return reply

    def _wake(self) -> None:
        self._silent = False
        waiting, self._waiting = self._waiting, []
        for order in waiting:
            self.execute(order)

    def _announce_forever(self) -> None:
        self._announce()
        self._simulation.fleet.environment.schedule(ANNOUNCE_PERIOD_SECONDS, self._announce_forever)

    def _announce(self) -> None:
        if self._silent:
            return
        self._sequence += 1
        router = self._simulation.fleet.environment.random.choice(self._simulation.fleet.routers)
        router.announce(Announcement(record=self.core.record, sequence=self._sequence))


class PlanSimulation:
    """One fleet with plan workers.

    Parameters
    ----------
    seed
        Determines everything that happens.
    disabled
        Guards to leave out.
    """

    def __init__(self, seed: int, disabled: DisabledGuards) -> None:
        self.fleet = FleetSimulation(seed, SHAPE, disabled)
        self.switches = 0
        self.ended: dict[str, PlanStatus] = {}
        self.active = True
        self._numbers = itertools.count(1)
        self._random = self.fleet.environment.random
        for control in self.fleet.controls:
            control.on_worker_command = self._carry_order
        self.workers = {
            f"w{number}": PlanWorker(self, _first_record(number)) for number in range(WORKERS)
        }

    def run(self, scenario: Scenario) -> None:
        """Run a scenario of faults with operators at work, then check that all is well again."""
        environment = self.fleet.environment
        self.fleet.start()
        driver = FaultDriver(self.fleet)
        driver.begin(scenario)
        environment.repeat(SPLIT_PERIOD_SECONDS, self._change_split)
        environment.repeat(PLAN_ACTION_PERIOD_SECONDS, self._order_about_plan)
        environment.repeat(WORKER_FAULT_PERIOD_SECONDS, self._disturb_worker)
        environment.repeat(0.05, self._check_cordoned)
        environment.run_until(environment.time + FAULT_TIME_SECONDS)
        driver.stop()
        self.active = False
        self.fleet.heal()
        environment.run_until(environment.time + RECOVERY_SECONDS)
        self._finish()

    def worker_switched(self, worker_id: str) -> None:
        """Check that no router that serves would give the worker a request now."""
        self.switches += 1
        for router in self.fleet.routers:
            if not router.is_fresh() or router.view is None:
                continue
            for worker in router.view.workers:
                if worker.worker_id == worker_id and is_serving(worker):
                    raise InvariantError(f"{worker_id} switched while {router.address} uses it")

    def _finish(self) -> None:
        """Let what runs end, then one undisturbed plan reach the desired split."""
        environment = self.fleet.environment
        self._wait_until_over()
        for desired_prefill in (2, 6):
            self._submit_split(desired_prefill)
            environment.run_until(environment.time + 3.0)
            self._confirm_until_accepted()
            self._wait_until_over()
            self._check_settled(desired_prefill)

    def _confirm_until_accepted(self) -> None:
        """Confirm a few times: a control process that still catches up shows an older plan."""
        environment = self.fleet.environment
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            self._confirm()
            environment.run_until(environment.time + 1.0)
            state = self._state()
            plan = state.plan
            if plan and plan.plan.configuration_version == state.configuration_version:
                return

    def _wait_until_over(self) -> None:
        environment = self.fleet.environment
        deadline = environment.time + CONVERGENCE_SECONDS
        while True:
            state = self._state()
            plan = state.plan
            if plan is None or not plan.active:
                break
            if plan.progress.status is PlanStatus.HALTED:
                self._order(PlanAction.CANCEL, plan.plan.plan_id)
            if environment.time > deadline:
                raise InvariantError(f"the plan does not end: {plan.progress}")
            environment.run_until(environment.time + 1.0)
        environment.run_until(environment.time + LATEST_ORDER_SECONDS + 5.0)

    def _check_settled(self, desired_prefill: int) -> None:
        state = self._state()
        for worker in state.workers():
            if worker.cordoned or worker.status is not WorkerStatus.READY:
                raise InvariantError(f"left behind: {worker.worker_id} {worker.status}")
            if self.workers[worker.worker_id].core.record.stage is not worker.stage:
                raise InvariantError(f"{worker.worker_id} has another part than is agreed")
        if len(state.workers()) != WORKERS:
            raise InvariantError("a worker is missing")
        prefill = sum(1 for worker in state.workers() if worker.stage is Stage.PREFILL)
        if prefill != desired_prefill:
            plan = state.plan
            raise InvariantError(f"{prefill} of {desired_prefill}: {plan and plan.progress}")

    def _state(self) -> FleetState:
        leader = self.fleet.leader()
        if leader is None or leader.core is None:
            raise InvariantError("no leader after the faults ended")
        return leader.core.state

    def _check_cordoned(self) -> None:
        leader = self.fleet.leader()
        if leader is None or leader.core is None:
            return
        state = leader.core.state
        cordoned = [worker.worker_id for worker in state.workers() if worker.cordoned]
        if len(cordoned) > MAX_CORDONED:
            raise InvariantError(f"{len(cordoned)} held back at once: {cordoned}")
        plan = state.plan
        if plan is not None and not plan.active:
            self.ended[plan.plan.plan_id] = plan.progress.status
            if cordoned:
                raise InvariantError(f"held back by no plan: {cordoned}")

    def _disturb_worker(self) -> None:
        if not self.active:
            return
        worker = self.workers[self._random.choice(sorted(self.workers))]
        if self._random.random() < 0.3:
            worker.restart()
        else:
            worker.fall_silent(self._random.uniform(0.5, MAX_SILENCE_SECONDS))

    def _change_split(self) -> None:
        if self.active:
            self._submit_split(self._random.randint(2, 6))

    def _submit_split(self, prefill: int) -> None:
        leader = self.fleet.leader()
        if leader is None or leader.core is None:
            return
        service = Service(
            name=SERVICE,
            kind=ServiceKind.MODEL,
            models=["m"],
            prefill_workers=prefill,
            decode_workers=WORKERS - prefill,
            max_held_workers=MAX_CORDONED,
        )
        version = leader.core.state.configuration_version
        configuration = Configuration(services=[service])
        order = SubmitConfiguration(
            order_id=f"split-{next(self._numbers)}",
            base_version=version,
            configuration=configuration,
            digest=configuration_digest(version, configuration),
        )
        leader.submit(order, lambda *_: None)

    def _order_about_plan(self) -> None:
        if not self.active:
            return
        running = [one.core for one in self.fleet.controls if one.core is not None]
        plan = self._random.choice(running).state.plan if running else None
        if plan is None or not plan.active:
            self._confirm()
        elif plan.progress.status is PlanStatus.HALTED:
            action = self._random.choice((PlanAction.RESUME, PlanAction.CANCEL))
            self._order(action, plan.plan.plan_id)
        elif self._random.random() < 0.1:
            action = self._random.choice((PlanAction.HALT, PlanAction.CANCEL))
            self._order(action, plan.plan.plan_id)

    def _confirm(self) -> None:
        """Confirm what any control process shows, also one that lags behind."""
        running = [one.core for one in self.fleet.controls if one.core is not None]
        if running:
            preview = make_preview(self._random.choice(running).state.view())
            self._order(PlanAction.CONFIRM, preview.plan.plan_id)

    def _order(self, action: PlanAction, plan_id: str) -> None:
        number = next(self._numbers)
        request = PlanActionRequest(
            correlation=number, order_id=f"plan-order-{number}", action=action, plan_id=plan_id
        )
        if self.active:
            self._random.choice(self.fleet.controls).request_plan_action(request)
            return
        leader = self.fleet.leader()
        if leader is not None:
            leader.request_plan_action(request)

    def _carry_order(self, control: ControlNode, order: WorkerCommand) -> None:
        """Carry an order to its worker, lose it, or bring it a second time much later."""
        environment = self.fleet.environment
        worker = self.workers[order.worker_id]
        if self._random.random() < LATE_ORDER_SHARE:
            environment.schedule(
                self._random.uniform(0.0, LATEST_ORDER_SECONDS), lambda: _ignore(worker, order)
            )
        if self._random.random() < LOST_ORDER_SHARE:
            return
        epoch = control.epoch

        def arrive() -> None:
            reply = worker.execute(order)
            lost = self._random.random() < LOST_ORDER_SHARE or control.epoch != epoch
            if reply is None or lost:
                return
            delay_seconds = self._random.uniform(0.001, 0.05)
            control.after(delay_seconds, lambda: control.worker_command_answered(order, reply))

        environment.schedule(self._random.uniform(0.001, 0.05), arrive)


def _ignore(worker: PlanWorker, order: WorkerCommand) -> None:
    worker.execute(order)


def _first_record(number: int) -> WorkerRecord:
    return WorkerRecord(
        worker_id=f"w{number}",
        incarnation=f"w{number}-1",
        service=SERVICE,
        stage=Stage.PREFILL if number < WORKERS // 2 else Stage.DECODE,
        url=f"http://w{number}",
        models=("m",),
        zone=f"z{number % SHAPE.zones}",
        failure_domain=f"w{number}",
    )


def run_plan_scenario(
    scenario: Scenario, seed: int, disabled: DisabledGuards = NO_GUARD_DISABLED
) -> PlanScenarioResult:
    """Run one scenario of faults with plans under one seed."""
    simulation = PlanSimulation(seed, disabled)
    violation = None
    try:
        simulation.run(scenario)
    except InvariantError as error:
        violation = str(error)
    return PlanScenarioResult(
        scenario=scenario,
        seed=seed,
        violation=violation,
        switches=simulation.switches,
        plans_ended=tuple(status.value for status in simulation.ended.values()),
    )


def main() -> None:
    """Run scenarios over seeds and print what came of each; exit 1 on a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0..9", help="as A..B")
    parser.add_argument("--scenario", default="mixed", choices=[one.value for one in Scenario])
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("..")
    failed = False
    for seed in range(int(first), int(last or first) + 1):
        result = run_plan_scenario(Scenario(arguments.scenario), seed)
        failed = failed or result.violation is not None
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
