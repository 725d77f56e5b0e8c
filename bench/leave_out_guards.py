"""Leaves guards out of a copy of the sources, one at a time; the named tests must then fail.

The table is tests/guards/left_out.toml. The same tests are first run on an unchanged copy, where
they must pass. Prints a line a guard; the exit code is 1 if no test failed without a guard.
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
"""Exit code of pytest when tests ran and some failed; any other failure proves nothing."""
RUN_TIMEOUT_SECONDS = 300.0


FIRST_ADDRESS_NUMBER = 60
"""First number of the loopback addresses; each run has a number of its own."""


def exit_code(edits: Sequence[Edit], tests: Sequence[str], number: int) -> int:
    """Run tests on a copy of the sources with edits made; return pytest's exit code."""
    with tempfile.TemporaryDirectory(prefix="left-out-") as name:
        folder = Path(name)
        copy_with(edits, folder)
        paths = os.pathsep.join(str(folder / part) for part in ("src", "platform"))
        run = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *tests],
            cwd=folder,
            env={
                **os.environ,
                "PYTHONPATH": paths,
                "PYTEST_XDIST_WORKER": f"gw{FIRST_ADDRESS_NUMBER + number}",
            },
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
            check=False,
        )
    if run.returncode not in {0, TESTS_FAILED}:
        print(run.stdout[-2000:], run.stderr[-2000:], file=sys.stderr)
    return run.returncode


def main() -> int:
    """Try the named guards, or all; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="guards of the table; all when none is named")
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args()
    guards = {guard.name: guard for guard in read_guards()}
    unknown = [name for name in arguments.names if name not in guards]
    if unknown:
        parser.error(f"{', '.join(unknown)}: none of {', '.join(guards)}")
    chosen = [guards[name] for name in arguments.names or guards]
    tests = sorted({test for guard in chosen for test in guard.tests})
    if exit_code((), tests, 0) != 0:
        print("the tests do not pass with every guard in place", file=sys.stderr)
        return 1
    with ThreadPoolExecutor(arguments.jobs) as pool:
        runs = [
            pool.submit(exit_code, guard.edits, guard.tests, number)
            for number, guard in enumerate(chosen, start=1)
        ]
        noticed = [run.result() == TESTS_FAILED for run in runs]
    for guard, is_red in zip(chosen, noticed, strict=True):
        print(f"{'red' if is_red else 'NOT NOTICED'}  {guard.name}: {guard.rule}")
    return 0 if all(noticed) else 1


if __name__ == "__main__":
    sys.exit(main())
