"""The deploy lock holds the packages that the deployed programs import, and no others."""

import ast
import subprocess
import sys
from collections.abc import Iterable
from importlib import metadata
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).parents[2]
OWN_DISTRIBUTION = "orchidpath"
OLDEST_PYTHON = {"python_version": "3.11", "python_full_version": "3.11.0", "extra": ""}
LIST_OWN_SOURCES = """
import sys
import control_program, router_program
for name, module in list(sys.modules.items()):
    path = getattr(module, "__file__", None)
    if path and path.startswith(sys.argv[1]) and "site-packages" not in path:
        print(path)
"""


def deployed_sources() -> list[Path]:
    """Return the source files of the project that the deployed programs load."""
    listing = subprocess.run(
        [sys.executable, "-c", LIST_OWN_SOURCES, str(ROOT)],
        env={"PYTHONPATH": str(ROOT / "platform")},
        capture_output=True,
        text=True,
        check=True,
    )
    return [Path(line) for line in listing.stdout.splitlines()]


def imported_packages(sources: Iterable[Path]) -> set[str]:
    names: set[str] = set()
    for source in sources:
        for node in ast.walk(ast.parse(source.read_text())):
            if isinstance(node, ast.Import):
                names.update(alias.name.partition(".")[0] for alias in node.names)
            elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
                names.add(node.module.partition(".")[0])
    return names


def with_dependencies(distributions: Iterable[str]) -> set[str]:
    pending = [canonicalize_name(name) for name in distributions]
    found: set[str] = set()
    while pending:
        name = pending.pop()
        if name in found:
            continue
        found.add(name)
        requirements = map(Requirement, metadata.requires(name) or ())
        pending += [
            canonicalize_name(requirement.name)
            for requirement in requirements
            if requirement.marker is None or requirement.marker.evaluate(OLDEST_PYTHON)
        ]
    return found


def locked_packages() -> set[str]:
    lines = (ROOT / "deploy/requirements.lock").read_text().splitlines()
    return {canonicalize_name(line.partition("==")[0]) for line in lines if line[:1].isalpha()}


def test_the_deploy_lock_holds_what_the_deployed_programs_import() -> None:
    sources = deployed_sources()
    assert ROOT / "src/orchidpath/router/process.py" in sources
    assert ROOT / "src/orchidpath/control/process.py" in sources
    by_package = metadata.packages_distributions()
    direct = {
        name for package in imported_packages(sources) for name in by_package.get(package, ())
    }
    assert with_dependencies(direct - {OWN_DISTRIBUTION}) == locked_packages()


def test_the_locked_versions_are_those_of_the_development_lock() -> None:
    development = (ROOT / "requirements-dev.lock").read_text().splitlines()
    deployed = (ROOT / "deploy/requirements.lock").read_text().splitlines()
    pinned = {line for line in deployed if line[:1].isalpha()}
    assert pinned
    assert pinned <= set(development)
