"""Simulation of plans on a fleet under faults.

It uses the real control cores, the leases of the routers and the command fences of the workers.
Operators change the desired split and confirm, halt, resume and cancel plans. At the same time,
control processes are killed, frozen and partitioned, workers freeze or restart, and commands to
workers are lost, delayed and duplicated.

Invariants (docs/design/plans.md): a worker changes its stage only while no router that serves would
send it a request; a plan never cordons more workers than its limit; and after the faults no worker
is left cordoned or draining, and the next plan reaches the desired split.

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

LOST_COMMAND_PROBABILITY = 0.15
"""Probability that a command to a worker, or its reply, is lost."""

DUPLICATED_COMMAND_PROBABILITY = 0.1
"""Probability that a command is delivered a second time, after a long delay."""

MAX_COMMAND_DELAY_SECONDS = 20.0
"""Upper bound of the delay of a duplicated command."""

SPLIT_PERIOD_SECONDS = 9.0
"""Average time between two changes of the desired split."""

PLAN_ACTION_PERIOD_SECONDS = 1.5
"""Average time between two plan actions."""

WORKER_FAULT_PERIOD_SECONDS = 6.0
"""Average time between two faults of workers; in each, a worker freezes or restarts."""

MAX_WORKER_FREEZE_SECONDS = 8.0
"""Longest time for which a worker freezes; without announcements for 2 s it counts as lost."""

MAX_CONFIRM_ATTEMPTS = 5
"""Largest number of confirmations of a plan after the faults, one per second."""

NO_GUARD_DISABLED = DisabledGuards()

CONVERGENCE_SECONDS = 120.0
"""Every plan must have ended, with any status, within this time after the last fault."""


class PlanScenarioResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one scenario with plans under one seed."""

    scenario: Scenario
    seed: int
    violation: str | None
    switches: int
    plans_ended: tuple[str, ...]


class PlanWorker:
    """One worker, which announces itself through random routers.

    It executes commands with the core of the worker emulator.

    Parameters
    ----------
    simulation
        The simulation that the worker belongs to.
    record
        Record in the first announcements of the worker.
    """

    def __init__(self, simulation: "PlanSimulation", record: WorkerRecord) -> None:
        self._simulation = simulation
        self._sequence = 0
        self._restarts = 0
        self._frozen = False
        self._deferred_commands: list[WorkerCommand] = []
        self.core = BackendCore(record, max_in_flight=8)
        simulation.fleet.environment.schedule(0.0, self._announce_periodically)

    def freeze(self, duration_seconds: float) -> None:
        """Freeze the worker: it announces nothing, and commands are deferred until it resumes."""
        self._frozen = True
        self._simulation.fleet.environment.schedule(duration_seconds, self._resume)

    def restart(self) -> None:
        """Restart as a new incarnation that keeps its stage."""
        self._restarts += 1
        record = msgspec.structs.replace(
            self.core.record,
            incarnation=f"{self.core.record.worker_id}-restarted-{self._restarts}",
            status=WorkerStatus.READY,
        )
        self._sequence = 0
        self._deferred_commands.clear()
        self.core = BackendCore(record, max_in_flight=8)

    def execute(self, command: WorkerCommand) -> WorkerCommandReply | None:
        """Execute a command and announce the record if it changed.

        Returns
        -------
        WorkerCommandReply or None
            The reply, or None if the worker is frozen; the command is then deferred.
        """
        if self._frozen:
            self._deferred_commands.append(command)
            return None
        before = self.core.record
        reply = self.core.execute(command, handles_outstanding=0)
        if reply.accepted and command.kind is WorkerCommandKind.SET_STAGE:
            self._simulation.worker_switched(command.worker_id)
        if self.core.record != before:
            self._announce()
        return reply

    def _resume(self) -> None:
        self._frozen = False
        commands, self._deferred_commands = self._deferred_commands, []
        for command in commands:
            self.execute(command)

    def _announce_periodically(self) -> None:
        self._announce()
        self._simulation.fleet.environment.schedule(
            ANNOUNCE_PERIOD_SECONDS, self._announce_periodically
        )

    def _announce(self) -> None:
        if self._frozen:
            return
        self._sequence += 1
        router = self._simulation.fleet.environment.random.choice(self._simulation.fleet.routers)
        router.announce(Announcement(record=self.core.record, sequence=self._sequence))


class PlanSimulation:
    """One simulated fleet whose workers execute the commands of plans.

    Parameters
    ----------
    seed
        Determines the whole run.
    disabled
        Guards to disable.
    """

    def __init__(self, seed: int, disabled: DisabledGuards) -> None:
        self.fleet = FleetSimulation(seed, SHAPE, disabled)
        self.switches = 0
        self.ended: dict[str, PlanStatus] = {}
        self.active = True
        self._numbers = itertools.count(1)
        self._random = self.fleet.environment.random
        for control in self.fleet.controls:
            control.on_worker_command = self._deliver_command
        self.workers = {
            f"w{number}": PlanWorker(self, _initial_record(number)) for number in range(WORKERS)
        }

    def run(self, scenario: Scenario) -> None:
        """Run a fault scenario while operators act on plans, then check the final state.

        Raises
        ------
        InvariantError
            An invariant of plans was violated during the faults or after them.
        """
        environment = self.fleet.environment
        self.fleet.start()
        driver = FaultDriver(self.fleet)
        driver.begin(scenario)
        environment.repeat(SPLIT_PERIOD_SECONDS, self._change_split)
        environment.repeat(PLAN_ACTION_PERIOD_SECONDS, self._act_on_plan)
        environment.repeat(WORKER_FAULT_PERIOD_SECONDS, self._inject_worker_fault)
        environment.repeat(0.05, self._check_cordoned)
        environment.run_until(environment.time + FAULT_TIME_SECONDS)
        driver.stop()
        self.active = False
        self.fleet.heal()
        environment.run_until(environment.time + RECOVERY_SECONDS)
        self._check_recovered()

    def worker_switched(self, worker_id: str) -> None:
        """Check that no router that serves would currently send a request to the worker."""
        self.switches += 1
        for router in self.fleet.routers:
            if not router.is_fresh() or router.view is None:
                continue
            for worker in router.view.workers:
                if worker.worker_id == worker_id and is_serving(worker):
                    raise InvariantError(f"{worker_id} switched while {router.address} uses it")

    def _check_recovered(self) -> None:
        """Wait for the current plan to end, then check that plans without faults reach their split.

        Two plans are run, one for each of two desired splits.
        """
        environment = self.fleet.environment
        self._wait_until_plan_ended()
        for desired_prefill in (2, 6):
            self._submit_split(desired_prefill)
            environment.run_until(environment.time + 3.0)
            self._confirm_until_accepted()
            self._wait_until_plan_ended()
            self._check_settled(desired_prefill)

    def _confirm_until_accepted(self) -> None:
        """Confirm the plan, several times if needed.

        A control process that is still catching up may show an older plan.
        """
        environment = self.fleet.environment
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            self._confirm()
            environment.run_until(environment.time + 1.0)
            state = self._state()
            plan = state.plan
            if plan and plan.plan.configuration_version == state.configuration_version:
                return

    def _wait_until_plan_ended(self) -> None:
        environment = self.fleet.environment
        deadline = environment.time + CONVERGENCE_SECONDS
        while True:
            state = self._state()
            plan = state.plan
            if plan is None or not plan.active:
                break
            if plan.progress.status is PlanStatus.HALTED:
                self._submit_plan_action(PlanAction.CANCEL, plan.plan.plan_id)
            if environment.time > deadline:
                raise InvariantError(f"the plan does not end: {plan.progress}")
            environment.run_until(environment.time + 1.0)
        environment.run_until(environment.time + MAX_COMMAND_DELAY_SECONDS + 5.0)

    def _check_settled(self, desired_prefill: int) -> None:
        state = self._state()
        for worker in state.workers():
            if worker.cordoned or worker.status is not WorkerStatus.READY:
                raise InvariantError(
                    f"{worker.worker_id} was left behind cordoned or not ready: {worker.status}"
                )
            if self.workers[worker.worker_id].core.record.stage is not worker.stage:
                raise InvariantError(
                    f"{worker.worker_id} runs another stage than the committed one, {worker.stage}"
                )
        if len(state.workers()) != WORKERS:
            raise InvariantError(
                "the fleet state has a different number of workers than the simulation"
            )
        prefill = sum(1 for worker in state.workers() if worker.stage is Stage.PREFILL)
        if prefill != desired_prefill:
            plan = state.plan
            raise InvariantError(
                f"{prefill} prefill workers instead of {desired_prefill}: {plan and plan.progress}"
            )

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
            raise InvariantError(f"{len(cordoned)} workers cordoned at the same time: {cordoned}")
        plan = state.plan
        if plan is not None and not plan.active:
            self.ended[plan.plan.plan_id] = plan.progress.status
            if cordoned:
                raise InvariantError(f"workers cordoned without an active plan: {cordoned}")

    def _inject_worker_fault(self) -> None:
        if not self.active:
            return
        worker = self.workers[self._random.choice(sorted(self.workers))]
        if self._random.random() < 0.3:
            worker.restart()
        else:
            worker.freeze(self._random.uniform(0.5, MAX_WORKER_FREEZE_SECONDS))

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

    def _act_on_plan(self) -> None:
        if not self.active:
            return
        running = [control.core for control in self.fleet.controls if control.core is not None]
        plan = self._random.choice(running).state.plan if running else None
        if plan is None or not plan.active:
            self._confirm()
        elif plan.progress.status is PlanStatus.HALTED:
            action = self._random.choice((PlanAction.RESUME, PlanAction.CANCEL))
            self._submit_plan_action(action, plan.plan.plan_id)
        elif self._random.random() < 0.1:
            action = self._random.choice((PlanAction.HALT, PlanAction.CANCEL))
            self._submit_plan_action(action, plan.plan.plan_id)

    def _confirm(self) -> None:
        """Confirm the plan that a random control process shows, which may lag behind."""
        running = [control.core for control in self.fleet.controls if control.core is not None]
        if running:
            preview = make_preview(self._random.choice(running).state.view())
            self._submit_plan_action(PlanAction.CONFIRM, preview.plan.plan_id)

    def _submit_plan_action(self, action: PlanAction, plan_id: str) -> None:
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

    def _deliver_command(self, control: ControlNode, command: WorkerCommand) -> None:
        """Deliver a command to its worker; it may be lost, or delivered again much later."""
        environment = self.fleet.environment
        worker = self.workers[command.worker_id]
        if self._random.random() < DUPLICATED_COMMAND_PROBABILITY:
            environment.schedule(
                self._random.uniform(0.0, MAX_COMMAND_DELAY_SECONDS),
                lambda: _execute_late(worker, command),
            )
        if self._random.random() < LOST_COMMAND_PROBABILITY:
            return
        epoch = control.epoch

        def deliver() -> None:
            reply = worker.execute(command)
            lost = self._random.random() < LOST_COMMAND_PROBABILITY or control.epoch != epoch
            if reply is None or lost:
                return
            delay_seconds = self._random.uniform(0.001, 0.05)
            control.after(delay_seconds, lambda: control.worker_command_answered(command, reply))

        environment.schedule(self._random.uniform(0.001, 0.05), deliver)


def _execute_late(worker: PlanWorker, command: WorkerCommand) -> None:
    """Execute a duplicated command; its reply is dropped."""
    worker.execute(command)


def _initial_record(number: int) -> WorkerRecord:
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
    """Run one fault scenario with plans under one seed and return the result."""
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
    """Run a scenario under a range of seeds and print each result as JSON.

    The exit status is 1 if an invariant was violated.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0..9", help="as A..B")
    parser.add_argument(
        "--scenario", default="mixed", choices=[scenario.value for scenario in Scenario]
    )
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
