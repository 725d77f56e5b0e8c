"""Runs the fault scenarios on simulated fleets and checks the invariants.

There is a scenario for each kind of fault, and mixed ones, whose faults are selected at random.
"""

import msgspec

from orchidpath.consensus.errors import ProtocolViolationError
from orchidpath.simulation.fault_driver import FaultDriver
from orchidpath.simulation.fault_period import FaultPeriod
from orchidpath.simulation.fleet_checks import InvariantError
from orchidpath.simulation.fleet_simulation import (
    AGENCY,
    FIVE_VOTERS,
    RECOVERY_SECONDS,
    VINBRUG,
    DisabledGuards,
    FleetSimulation,
)
from orchidpath.simulation.requests.backend_faults import RequestFaultDriver
from orchidpath.simulation.requests.path_checks import RequestCounts
from orchidpath.simulation.requests.serving_fleet import RequestFleet
from orchidpath.simulation.scenario import Scenario

FAULT_TIME_SECONDS = 40.0

LEADER_AGES_SECONDS = (61.0, 150.0)
"""Range of the age of the leader when a machine is replaced late: above every time-out."""

LONG_LEADER_AGE_SECONDS = 7200.0
"""The age in one seed of `SEEDS_PER_LONG_AGE`."""

SEEDS_PER_LONG_AGE = 100

ALSO_PLAYED_LATE = frozenset(
    {
        Scenario.DISK_LOSS,
        Scenario.SECOND_LOSS,
        Scenario.DISK_LOST_IN_POWER_FAILURE,
        Scenario.TWO_DISKS_LOST_IN_POWER_FAILURE,
        Scenario.RESTARTS,
    }
)
"""Scenarios that empty or restart machines: one seed of `SEEDS_PER_LATE_RUN` begins late."""

SEEDS_PER_LATE_RUN = 5
ORDER_PERIOD_SECONDS = 1.0
WORKER_CHANGE_PERIOD_SECONDS = 2.0

REQUESTS_PER_SECOND = {
    Scenario.WORKERS_CRASH: 25.0,
    Scenario.WORKERS_DRAIN: 20.0,
    Scenario.HANDLES_EXPIRE: 25.0,
    Scenario.LINKS_SLOW: 15.0,
    Scenario.CROWD: 15.0,
    Scenario.CONTROL_LOST_UNDER_LOAD: 20.0,
    Scenario.SERVICES_REPLACED: 15.0,
    Scenario.MIXED_WITH_REQUESTS: 8.0,
}
"""Scenarios with callers, and the request rate of the fleet in each."""

POWER_FAILURE_SCENARIOS = {
    Scenario.DISK_LOST_IN_POWER_FAILURE,
    Scenario.TWO_DISKS_LOST_IN_POWER_FAILURE,
}

WITNESSES_PARTITIONED = {Scenario.CONTROL_LOST_UNDER_LOAD, Scenario.MIXED_WITH_REQUESTS}
"""Scenarios in which witnesses may be unreachable.

The leader is partitioned or killed in them, so it may apply an update that no witness receives.
"""

REQUESTS_PER_SECOND_AFTERWARDS = 4.0
"""Request rate after the faults; sufficient to detect whether the fleet serves again."""

REQUEST_FAULT_TIME_SECONDS = 16.0
"""Scenarios with requests inject faults at a higher rate and for a shorter time."""


class ScenarioResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one scenario under one seed."""

    scenario: Scenario
    seed: int
    violation: str | None
    confirmed_updates: int
    configuration_version: int
    fresh_checks: int
    events: int
    virtual_seconds: float
    requests: RequestCounts | None = None


def run_scenario(
    scenario: Scenario, seed: int, disabled: DisabledGuards | None = None
) -> ScenarioResult:
    """Run one scenario under one seed and return the result.

    Even seeds use the shape `VINBRUG`, odd ones `AGENCY`; a scenario that loses two disks uses
    `FIVE_VOTERS`. A violation ends the run and is stored in the result.
    """
    shape = VINBRUG if seed % 2 == 0 else AGENCY
    if scenario is Scenario.TWO_DISKS_LOST_IN_POWER_FAILURE:
        shape = FIVE_VOTERS
    if scenario is Scenario.MACHINE_REPLACED_LATE:
        shape = AGENCY  # without a standby, only the new machine can replace the lost voter
    guards = disabled or DisabledGuards()
    has_requests = scenario in REQUESTS_PER_SECOND
    fleet = (RequestFleet if has_requests else FleetSimulation)(seed, shape, guards)
    violation = None
    try:
        if isinstance(fleet, RequestFleet):
            _run_with_requests(fleet, scenario)
        else:
            _run(fleet, scenario, seed)
    except (InvariantError, ProtocolViolationError) as error:
        violation = f"{type(error).__name__} at {fleet.environment.time:.3f} s: {error}"
    leader = fleet.leader()
    core = leader.core if leader is not None else None
    return ScenarioResult(
        scenario=scenario,
        seed=seed,
        violation=violation,
        confirmed_updates=fleet.history.confirmed_updates,
        configuration_version=core.state.configuration_version if core is not None else 0,
        fresh_checks=fleet.history.fresh_checks,
        events=fleet.environment.events_run,
        virtual_seconds=fleet.environment.time,
        requests=fleet.requests.counts if isinstance(fleet, RequestFleet) else None,
    )


def _run(fleet: FleetSimulation, scenario: Scenario, seed: int) -> None:
    environment = fleet.environment
    fleet.start()
    if scenario is Scenario.MACHINE_REPLACED_LATE:
        fleet.model_links()
        environment.run_until(environment.time + _leader_age_seconds(fleet, seed))
    if scenario in ALSO_PLAYED_LATE and seed % SEEDS_PER_LATE_RUN == SEEDS_PER_LATE_RUN - 1:
        environment.run_until(environment.time + environment.random.uniform(*LEADER_AGES_SECONDS))
    driver = FaultDriver(fleet)
    driver.begin(scenario)
    orders = FaultPeriod(fleet)
    environment.repeat(ORDER_PERIOD_SECONDS, orders.submit)
    environment.repeat(WORKER_CHANGE_PERIOD_SECONDS, orders.change_worker)
    environment.run_until(environment.time + FAULT_TIME_SECONDS)
    driver.stop()
    orders.stop()
    fleet.heal()
    environment.run_until(environment.time + RECOVERY_SECONDS)
    fleet.check_recovered()
    two_losses = {Scenario.SECOND_LOSS, Scenario.MACHINE_REPLACED_LATE}
    if scenario in two_losses and driver.second_losses == 0:
        raise InvariantError(
            "the voter that lost its disk was not replaced, so no second disk was lost"
        )
    if scenario in POWER_FAILURE_SCENARIOS and driver.power_failures == 0:
        raise InvariantError(
            "no power failure was injected: the voters were never fully replicated"
        )


def _leader_age_seconds(fleet: FleetSimulation, seed: int) -> float:
    if seed % SEEDS_PER_LONG_AGE == SEEDS_PER_LONG_AGE - 1:
        return LONG_LEADER_AGE_SECONDS
    return fleet.environment.random.uniform(*LEADER_AGES_SECONDS)


def _run_with_requests(fleet: RequestFleet, scenario: Scenario) -> None:
    environment = fleet.environment
    fleet.start()
    fleet.callers.requests_per_second = REQUESTS_PER_SECOND[scenario]
    fleet.requests.witnesses_reachable = scenario not in WITNESSES_PARTITIONED
    driver = FaultDriver(fleet)
    driver.begin(scenario)
    requests = RequestFaultDriver(fleet)
    _begin_request_faults(requests, scenario)
    orders = FaultPeriod(fleet)
    environment.repeat(ORDER_PERIOD_SECONDS, orders.submit)
    environment.run_until(environment.time + REQUEST_FAULT_TIME_SECONDS)
    driver.stop()
    requests.stop()
    fleet.callers.requests_per_second = REQUESTS_PER_SECOND_AFTERWARDS
    orders.stop()
    fleet.heal()
    environment.run_until(environment.time + RECOVERY_SECONDS)
    completed_before = fleet.requests.counts.completed
    fleet.check_recovered()
    if fleet.requests.counts.completed == completed_before:
        raise InvariantError("no request was completed after the faults ended")


def _begin_request_faults(driver: RequestFaultDriver, scenario: Scenario) -> None:
    begin = {
        Scenario.WORKERS_CRASH: driver.crash_workers,
        Scenario.WORKERS_DRAIN: driver.drain_workers,
        Scenario.HANDLES_EXPIRE: driver.expire_handles,
        Scenario.LINKS_SLOW: driver.slow_links,
        Scenario.CROWD: driver.overload,
        Scenario.CONTROL_LOST_UNDER_LOAD: driver.lose_control,
        Scenario.SERVICES_REPLACED: driver.replace_services,
        Scenario.MIXED_WITH_REQUESTS: driver.inject_random_fault,
    }
    begin[scenario]()
