"""Mutation test of the guards: removes each guard from a copy of the sources and runs its tests.

The guards and their tests are listed in tests/guards/left_out.toml. At least one test of a guard
must fail without it. All tests are first run on an unchanged copy, where they must pass. Prints one
line for each guard; the exit code is 1 if the removal of a guard made no test fail.
"""

import argparse
import os
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests" / "guards"))

from left_out_guards import Edit, copy_with, read_guards

TESTS_FAILED = 1
"""Exit code of pytest when tests ran and some failed.

Any other non-zero exit code does not show that a test detected the removed guard.
"""
RUN_TIMEOUT_SECONDS = 300.0


def exit_code(edits: Sequence[Edit], tests: Sequence[str]) -> int:
    """Apply edits to a copy of the sources, run tests on it, and return pytest's exit code."""
    with tempfile.TemporaryDirectory(prefix="left-out-") as name:
        folder = Path(name)
        copy_with(edits, folder)
        paths = os.pathsep.join(str(folder / part) for part in ("src", "platform"))
        run = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *tests],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": paths},
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
            check=False,
        )
    if run.returncode not in {0, TESTS_FAILED}:
        print(run.stdout[-2000:], run.stderr[-2000:], file=sys.stderr)
    return run.returncode


def main() -> int:
    """Check the guards named on the command line, or all guards, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "names", nargs="*", help="names of guards in the table; default: all guards"
    )
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args()
    guards = {guard.name: guard for guard in read_guards()}
    unknown = [name for name in arguments.names if name not in guards]
    if unknown:
        parser.error(f"unknown guard {', '.join(unknown)}; expected one of {', '.join(guards)}")
    chosen = [guards[name] for name in arguments.names or guards]
    tests = sorted({test for guard in chosen for test in guard.tests})
    if exit_code((), tests) != 0:
        print("the tests fail although no guard was removed", file=sys.stderr)
        return 1
    with ThreadPoolExecutor(arguments.jobs) as pool:
        runs = [pool.submit(exit_code, guard.edits, guard.tests) for guard in chosen]
        detected = [run.result() == TESTS_FAILED for run in runs]
    for guard, is_detected in zip(chosen, detected, strict=True):
        print(f"{'detected' if is_detected else 'NOT DETECTED'}  {guard.name}: {guard.rule}")
    return 0 if all(detected) else 1


if __name__ == "__main__":
    sys.exit(main())
