"""``orchidpath simulate``: simulates a fleet under faults in virtual time."""

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat

import click
import msgspec

from orchidpath.consensus.types import Guard
from orchidpath.control.leadership.confirmation import ConfirmationGuard
from orchidpath.routing.freshness import FreshnessGuard
from orchidpath.routing.request.guards import Guard as RequestGuard
from orchidpath.simulation.fleet_simulation import DisabledGuards
from orchidpath.simulation.requests.path_guards import PathGuard
from orchidpath.simulation.scenario import Scenario
from orchidpath.simulation.scenarios import ScenarioResult, run_scenario

ALL = "all"
GUARD_NAMES = {
    **{f"consensus.{guard.value}": guard for guard in Guard},
    **{f"freshness.{guard.value}": guard for guard in FreshnessGuard},
    **{f"confirmation.{guard.value}": guard for guard in ConfirmationGuard},
    **{f"request.{guard.value}": guard for guard in RequestGuard},
    **{f"path.{guard.value}": guard for guard in PathGuard},
}


class SimulationSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of the runs of one scenario over all its seeds."""

    scenario: Scenario
    seeds: int
    violations: tuple[ScenarioResult, ...]
    confirmed_updates: int = msgspec.field(name="confirmed_orders")
    fresh_checks: int
    virtual_seconds: float
    requests: int = 0
    requests_completed: int = 0


class SeedRange(click.ParamType[tuple[int, int]]):
    """Inclusive range of seeds, given as ``A..B`` or as one number."""

    name = "A..B"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, int]:
        """Return the first and the last seed; fail if the value is not a valid range."""
        if isinstance(value, tuple):
            return int(value[0]), int(value[1])
        first, _, last = str(value).partition("..")
        try:
            seeds = int(first), int(last or first)
        except ValueError:
            self.fail(f"{value!r} is not a range of seeds such as 0..99", param, ctx)
        if not 0 <= seeds[0] <= seeds[1]:
            self.fail(f"{value!r} is an empty range or begins below 0", param, ctx)
        return seeds


@click.command()
@click.option("--seeds", type=SeedRange(), default="0..9", show_default=True)
@click.option(
    "--scenario",
    type=click.Choice([ALL, *(scenario.value for scenario in Scenario)]),
    default=ALL,
    show_default=True,
)
@click.option(
    "--break",
    "broken",
    multiple=True,
    type=click.Choice(sorted(GUARD_NAMES)),
    help="Disable a guard, to verify that the checks detect its absence; several allowed.",
)
@click.option(
    "--jobs", default=1, show_default=True, help="Number of processes that share the seeds."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per scenario.")
def simulate(
    seeds: tuple[int, int], scenario: str, broken: tuple[str, ...], jobs: int, as_json: bool
) -> None:
    """Run fault scenarios over a range of seeds; exit with 1 if an invariant is violated.

    A seed gives the same run on every machine. Each violation is printed with the command that
    replays it.
    """
    scenarios = list(Scenario) if scenario == ALL else [Scenario(scenario)]
    failed = False
    for selected in scenarios:
        summary = _run_seeds(selected, seeds, broken, jobs)
        failed = failed or bool(summary.violations)
        if as_json:
            click.echo(msgspec.json.encode(summary).decode())
        else:
            _print(summary, broken)
    sys.exit(1 if failed else 0)


def _run_seeds(
    scenario: Scenario, seeds: tuple[int, int], broken: tuple[str, ...], jobs: int
) -> SimulationSummary:
    numbers = range(seeds[0], seeds[1] + 1)
    disabled = disabled_guards(broken)
    if jobs > 1:
        with ProcessPoolExecutor(jobs) as pool:
            results = list(pool.map(run_scenario, repeat(scenario), numbers, repeat(disabled)))
    else:
        results = [run_scenario(scenario, seed, disabled) for seed in numbers]
    return SimulationSummary(
        scenario=scenario,
        seeds=len(results),
        violations=tuple(result for result in results if result.violation),
        confirmed_updates=sum(result.confirmed_updates for result in results),
        fresh_checks=sum(result.fresh_checks for result in results),
        virtual_seconds=sum(result.virtual_seconds for result in results),
        requests=sum(result.requests.submitted for result in results if result.requests),
        requests_completed=sum(result.requests.completed for result in results if result.requests),
    )


def disabled_guards(names: tuple[str, ...]) -> DisabledGuards:
    """Return the guards with the given command-line names, grouped by component."""
    guards = [GUARD_NAMES[name] for name in names]
    return DisabledGuards(
        raft=frozenset(guard for guard in guards if isinstance(guard, Guard)),
        freshness=frozenset(guard for guard in guards if isinstance(guard, FreshnessGuard)),
        confirmation=frozenset(guard for guard in guards if isinstance(guard, ConfirmationGuard)),
        request=frozenset(guard for guard in guards if isinstance(guard, RequestGuard)),
        path=frozenset(guard for guard in guards if isinstance(guard, PathGuard)),
    )


def _print(summary: SimulationSummary, broken: tuple[str, ...]) -> None:
    options = "".join(f" --break {name}" for name in broken)
    for result in summary.violations:
        click.echo(f"{summary.scenario.value} seed {result.seed}: {result.violation}")
        click.echo(
            f"  replay: orchidpath simulate --scenario {summary.scenario.value} "
            f"--seeds {result.seed}{options}"
        )
    requests = ""
    if summary.requests:
        requests = f", {summary.requests_completed} of {summary.requests} requests completed"
    click.echo(
        f"{summary.scenario.value}: {summary.seeds} seeds, {len(summary.violations)} violated, "
        f"{summary.confirmed_updates} updates confirmed, {summary.fresh_checks} router checks, "
        f"{summary.virtual_seconds:.0f} virtual seconds{requests}"
    )
