"""Scenarios with requests violate no invariant on fixed seeds; disabled guards are detected."""

import os
import subprocess
import sys
from functools import cache

import msgspec
import pytest

from orchidpath.cli.simulate import GUARD_NAMES, disabled_guards
from orchidpath.simulation.fleet_simulation import AGENCY, DisabledGuards
from orchidpath.simulation.requests.serving_fleet import RequestFleet
from orchidpath.simulation.scenario import Scenario
from orchidpath.simulation.scenarios import REQUESTS_PER_SECOND, ScenarioResult, run_scenario

SEEDS = {
    Scenario.WORKERS_CRASH: (0, 1, 2),
    Scenario.WORKERS_DRAIN: (0, 1, 2),
    Scenario.HANDLES_EXPIRE: (0,),
    Scenario.LINKS_SLOW: (0,),
    Scenario.CROWD: (0,),
    Scenario.CONTROL_LOST_UNDER_LOAD: (2,),
    Scenario.SERVICES_REPLACED: (0,),
    Scenario.MIXED_WITH_REQUESTS: (0, 1),
}

DETECTED_BY = {
    "request.promise_before_resend": (Scenario.WORKERS_CRASH, "run a second time"),
    "request.echo_checked_promise": (Scenario.WORKERS_CRASH, "caller received ran=no"),
    "request.promise_of_the_same_incarnation": (Scenario.WORKERS_CRASH, "run a second time"),
    "request.no_retry_after_commit": (Scenario.WORKERS_CRASH, "after content had reached"),
    "request.only_content_commits": (Scenario.WORKERS_CRASH, "committed without content"),
    "request.explicit_terminal": (Scenario.CONTROL_LOST_UNDER_LOAD, "looks complete"),
    "request.honest_ran": (Scenario.WORKERS_CRASH, "caller received ran=no"),
    "request.handle_bound_to_attempt": (Scenario.HANDLES_EXPIRE, "was used by"),
    "request.one_failure_a_worker": (Scenario.WORKERS_CRASH, "counted two failures"),
    "request.retry_budget": (Scenario.WORKERS_CRASH, "the budget allows"),
    "path.fresh_to_serve": (Scenario.WORKERS_DRAIN, "after its draining or end was known"),
    "path.status_before_send": (Scenario.WORKERS_DRAIN, "had announced that it is draining"),
    "path.draining_heard": (Scenario.WORKERS_DRAIN, "had announced that it is draining"),
    "path.pair_evidence": (Scenario.LINKS_SLOW, "that a cut link prevented"),
    "path.deadline_timer": (Scenario.WORKERS_DRAIN, "its deadline is"),
    "path.one_probe": (Scenario.WORKERS_CRASH, "both probe"),
    "path.strict_caller": (Scenario.WORKERS_CRASH, "run a second time"),
}
"""For each guard, the scenario that provokes the failure which the guard prevents, and a part of
the violation message."""

MAX_SEEDS = 20
"""Number of seeds tried per guard; a change in timing changes which seeds detect it."""

PROVOKED_ELSEWHERE = {
    # Emulated workers send guarantees only for their own attempts; tests/routing covers others.
    "request.promise_of_the_ordered_worker",
    # Redundant with the response reader, which posts no events of an exchange that it has closed.
    "request.events_of_this_attempt",
    # Requires a retry-after of a worker beyond the deadline; tests/routing covers this case.
    "request.wait_fits_deadline",
}


@cache
def result_of(scenario: Scenario, seed: int) -> ScenarioResult:
    return run_scenario(scenario, seed)


def test_every_scenario_with_requests_has_seeds() -> None:
    assert set(SEEDS) == set(REQUESTS_PER_SECOND)


@pytest.mark.parametrize(
    ("scenario", "seed"), [(scenario, seed) for scenario, seeds in SEEDS.items() for seed in seeds]
)
def test_scenario_with_requests_violates_no_invariant(scenario: Scenario, seed: int) -> None:
    result = result_of(scenario, seed)
    assert result.violation is None
    assert result.confirmed_updates > 0
    assert result.requests is not None
    assert result.requests.completed > 100
    assert result.requests.executions >= result.requests.completed
    assert result.requests.orders > result.requests.completed


def test_scenarios_provoke_their_faults() -> None:
    crash = result_of(Scenario.WORKERS_CRASH, 0).requests
    links = result_of(Scenario.LINKS_SLOW, 0).requests
    crowd = result_of(Scenario.CROWD, 0).requests
    assert crash is not None
    assert crash.retries > 0
    assert crash.broken > 0
    assert crash.probes > 0
    assert links is not None
    assert links.kv_transfers_interrupted > 0
    assert crowd is not None
    assert crowd.refused > 100


def test_every_request_guard_is_detected_here_or_listed_as_provoked_elsewhere() -> None:
    names = {name for name in GUARD_NAMES if name.startswith(("request.", "path."))}
    assert names == set(DETECTED_BY) | PROVOKED_ELSEWHERE


@pytest.mark.parametrize("name", sorted(DETECTED_BY))
def test_a_disabled_request_guard_is_detected(name: str) -> None:
    scenario, message = DETECTED_BY[name]
    for seed in range(MAX_SEEDS):
        violation = run_scenario(scenario, seed, disabled_guards((name,))).violation
        if violation is not None and message in violation:
            assert result_of(scenario, seed).violation is None
            return
    pytest.fail(f"disabled {name} was not detected by {MAX_SEEDS} seeds of {scenario.value}")


def test_a_seed_gives_the_same_run_whatever_the_hash_seed() -> None:
    code = (
        "from orchidpath.simulation.scenario import Scenario;"
        "from orchidpath.simulation.scenarios import run_scenario;"
        "print(run_scenario(Scenario.MIXED_WITH_REQUESTS, 1))"
    )
    here = repr(result_of(Scenario.MIXED_WITH_REQUESTS, 1))
    environment = {**os.environ, "PYTHONHASHSEED": "12345"}
    there = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True
    )
    assert there.stdout.strip() == here


def test_a_worker_is_usable_again_once_a_router_has_adopted_its_return() -> None:
    """A router may adopt a revision before any control process has shown it to the checks.

    The leader's lease ended right after it had pushed the revision (seed 918317 of an earlier
    revision of the code).
    """
    fleet = RequestFleet(1, AGENCY, DisabledGuards())
    fleet.start()
    router = fleet.serving[0]
    view = router.view
    assert view is not None
    worker = view.workers[0]
    key = (worker.worker_id, worker.incarnation)
    removal_revision = view.revision + 1
    fleet.requests.record_applied_view(removal_revision, view.workers[1:])
    fleet.requests.record_majority_adoption(removal_revision)
    assert key in fleet.requests._unusable
    router.on_view_adopted(msgspec.structs.replace(view, revision=removal_revision + 1))
    assert key not in fleet.requests._unusable
