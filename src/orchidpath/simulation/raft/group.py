"""Runs a simulated Raft group under faults, in virtual time; a seed determines the run.

``python -m orchidpath.simulation.raft.group --seeds 0..1000`` runs many seeds. A seed that violates
an invariant is printed with the command that replays the same run.
"""

import random as random_module
import sys
from collections.abc import Callable

import click
import msgspec

from orchidpath.consensus.errors import DamagedLogError, ProtocolViolationError
from orchidpath.consensus.types import Guard
from orchidpath.simulation.raft.fault_injection import FaultInjector
from orchidpath.simulation.raft.fault_plan import choose_fault_plan
from orchidpath.simulation.raft.invariants import History, InvariantViolationError
from orchidpath.simulation.raft.simulated_group import SimulatedGroup

DEFAULT_FAULT_SECONDS = 10.0
CONVERGENCE_SECONDS = 8.0
"""Time after the end of the faults within which the group must recover."""

COMMIT_SECONDS = 2.0
"""Entries proposed this long before the end of the run must be committed at its end."""

READ_INTERVAL_SECONDS = 0.15


class SeedResult(msgspec.Struct, frozen=True):
    """Outcome of one seed."""

    seed: int
    violation: str | None
    committed_index: int
    terms: int


class GroupRun:
    """The run of one seed: a group, its callers, and its faults.

    Parameters
    ----------
    seed
        Determines the whole run.
    disabled_guards
        Safety rules to disable, to verify that the checks detect it.
    fault_seconds
        How long faults are injected, in seconds; the group must then recover by itself.
    """

    def __init__(
        self,
        seed: int,
        disabled_guards: frozenset[Guard] = frozenset(),
        fault_seconds: float = DEFAULT_FAULT_SECONDS,
    ) -> None:
        self._random = random_module.Random(seed)
        self._plan = choose_fault_plan(self._random)
        self._fault_seconds = fault_seconds
        self._group = SimulatedGroup(self._plan, self._random, disabled_guards)
        self._injector = FaultInjector(self._group, self._plan, self._random)
        self._proposal_count = 0

    @property
    def time(self) -> float:
        """Virtual time in seconds."""
        return self._group.time

    @property
    def history(self) -> History:
        """History of the run so far."""
        return self._group.history

    def run(self) -> None:
        """Run the period with faults, then the recovery, and check the final state.

        Raises
        ------
        InvariantViolationError, ProtocolViolationError
            An invariant was violated, or the group did not recover.
        """
        self._group.start()
        self._repeat(self._plan.proposal_interval_seconds, self._propose)
        self._repeat(READ_INTERVAL_SECONDS, self._read)
        self._repeat(self._plan.interval_seconds, self._injector.inject)
        self._group.run_until(self._fault_seconds)
        self._group.end_faults()
        end = self._fault_seconds + CONVERGENCE_SECONDS
        self._group.run_until(end - COMMIT_SECONDS)
        proposed = [m.core.last_index for m in self._group.leaders() if m.core is not None]
        self._group.run_until(end)
        self._check_recovered(required_index=max(proposed, default=0))

    def _repeat(self, interval_seconds: float, action: Callable[[], None]) -> None:
        def run() -> None:
            action()
            self._group.schedule(self._random.uniform(0, 2 * interval_seconds), run)

        self._group.schedule(self._random.uniform(0, interval_seconds), run)

    def _propose(self) -> None:
        self._proposal_count += 1
        machine = self._random.choice(self._group.leaders() or self._group.machines)
        machine.propose(b"command %d" % self._proposal_count)

    def _read(self) -> None:
        self._random.choice(self._group.leaders() or self._group.machines).start_read()

    def _check_recovered(self, required_index: int) -> None:
        """Check that the group has recovered.

        One leader holds the lease, all entries up to `required_index` are committed, no
        acknowledged entry is lost, and every replica has caught up.
        """
        leaders = [m for m in self._group.leaders() if m.core and m.core.has_lease(m.now)]
        if len(leaders) != 1:
            raise InvariantViolationError(
                f"{len(leaders)} leaders with a lease after the faults ended, expected 1"
            )
        core = leaders[0].core
        if core is None or core.commit_index < required_index:
            raise InvariantViolationError(
                f"the leader did not commit up to entry {required_index} after the faults ended"
            )
        if core.commit_index < self._group.history.acknowledged_index:
            raise InvariantViolationError(
                "acknowledged entries are lost: acknowledged up to "
                f"{self._group.history.acknowledged_index}, committed up to {core.commit_index}"
            )
        for machine in self._group.machines:
            if machine.core is None or machine.core.commit_index < required_index:
                raise InvariantViolationError(
                    f"{machine.name} has not caught up to entry {required_index}"
                )


def run_seed(
    seed: int,
    disabled_guards: frozenset[Guard] = frozenset(),
    fault_seconds: float = DEFAULT_FAULT_SECONDS,
) -> SeedResult:
    """Run one seed and return its outcome."""
    run = GroupRun(seed, disabled_guards, fault_seconds)
    violation = None
    try:
        run.run()
    except (InvariantViolationError, ProtocolViolationError, DamagedLogError) as error:
        violation = f"{type(error).__name__} at {run.time:.3f} s: {error}"
    history = run.history
    return SeedResult(seed, violation, history.committed_index, len(history.leader_of_term))


@click.command()
@click.option("--seeds", required=True, help="First and last seed, as A..B.")
@click.option("--seconds", default=DEFAULT_FAULT_SECONDS, help="How long faults are injected.")
@click.option("--disable", multiple=True, type=click.Choice([guard.value for guard in Guard]))
def main(seeds: str, seconds: float, disable: tuple[str, ...]) -> None:
    """Run seeds A..B, both included, and print those that violate an invariant."""
    first, _, last = seeds.partition("..")
    guards = frozenset(Guard(value) for value in disable)
    failure_count = 0
    committed = 0
    terms = 0
    total = range(int(first), int(last or first) + 1)
    for seed in total:
        result = run_seed(seed, guards, seconds)
        committed += result.committed_index
        terms += result.terms
        if result.violation:
            failure_count += 1
            options = "".join(f" --disable {value}" for value in disable)
            click.echo(f"seed {seed}: {result.violation}")
            click.echo(
                "  replay: python -m orchidpath.simulation.raft.group "
                f"--seeds {seed}..{seed} --seconds {seconds}{options}"
            )
    click.echo(f"{len(total)} seeds, {failure_count} failed, {committed} entries, {terms} terms")
    sys.exit(1 if failure_count else 0)


if __name__ == "__main__":
    main()
