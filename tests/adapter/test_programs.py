"""The programs of the platform while they start."""

import os
import signal
import sys
from collections.abc import Iterator
from types import ModuleType
from typing import Any

import pytest

import run_control
import run_router
from orchidpath.cli.main import orchidpath as command_group

RELOAD_EXIT_CODE = 7
"""Exit code of the programs that stand in for the real ones."""


@pytest.fixture(autouse=True)
def _restore_reload_handler() -> Iterator[None]:
    former = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, former)


def program_that_gets_sighup() -> Any:
    """Return a module whose program gets SIGHUP before it has a handler for it."""
    module = ModuleType("program")

    def run() -> int:
        os.kill(os.getpid(), signal.SIGHUP)
        return RELOAD_EXIT_CODE

    module.run = run  # type: ignore[attr-defined]
    return module


@pytest.mark.parametrize(
    ("main", "name"), [(run_control.main, "control_program"), (run_router.main, "router_program")]
)
def test_sighup_does_not_end_a_program_that_starts(
    main: Any, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends because its settings change while it starts."""
    monkeypatch.setitem(sys.modules, name, program_that_gets_sighup())
    assert main() == RELOAD_EXIT_CODE


@pytest.mark.parametrize("name", ["control", "router"])
def test_sighup_is_ignored_once_a_daemon_command_is_found(name: str) -> None:
    command_group.get_command(
        command_group.make_context("orchidpath", ["--help"], resilient_parsing=True), name
    )
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
