"""The emulators as processes: ready line, graceful and immediate stop, invalid input."""

import contextlib
import signal
import subprocess
import sys
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from orchidpath.cli.emulator import emulator
from orchidpath.emulators.backend.backend_shell import CRASH_STATUS
from orchidpath.emulators.backend.injected_faults import Fault, FaultKind
from orchidpath.emulators.backend.reports import BackendReport
from orchidpath.emulators.process import EXIT_AT_ONCE_STATUS, ReadyLine
from orchidpath.wire.backend import PrefillRequest
from orchidpath.wire.records import WorkerStatus

START = "from orchidpath.cli.emulator import emulator; emulator()"
WORKER = ["worker", "--id", "w1", "--service", "s", "--stage", "prefill", "--model", "m"]


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        ([*WORKER, "--announce", "nowhere"], "'nowhere' is not an http address"),
        ([*WORKER, "--max-in-flight", "0"], "--max-in-flight"),
        ([*WORKER, "--host", "256.1.1.1"], "cannot listen"),
        (["caller", "--router", "127.0.0.1:1", "--mix", "BAD", "--for", "1"], "strems"),
    ],
)
def test_bad_input_is_reported_and_exits_with_2(
    arguments: list[str], message: str, tmp_path: Path
) -> None:
    bad = tmp_path / "mix.json"
    bad.write_text('{"strems": []}')
    given = [str(bad) if argument == "BAD" else argument for argument in arguments]
    result = CliRunner().invoke(emulator, given)
    assert result.exit_code == 2
    assert message in result.output
    assert "Traceback" not in result.output


@contextlib.contextmanager
def started(*arguments: str) -> Iterator[tuple[subprocess.Popen[str], ReadyLine]]:
    process = subprocess.Popen(
        [sys.executable, "-c", START, *arguments], stdout=subprocess.PIPE, text=True
    )
    with process:
        assert process.stdout is not None
        try:
            yield process, msgspec.json.decode(process.stdout.readline(), type=ReadyLine)
        finally:
            process.kill()


def exchange(url: str, value: object = None) -> bytes:
    body = None if value is None else msgspec.json.encode(value)
    with urllib.request.urlopen(url, data=body, timeout=10) as response:
        return bytes(response.read())


def is_draining(url: str) -> bool:
    report = msgspec.json.decode(exchange(f"{url}/v1/status"), type=BackendReport)
    return report.status is WorkerStatus.DRAINING


@pytest.mark.parametrize("arguments", [WORKER, ["service", "--id", "b1", "--service", "board"]])
def test_a_back_end_reports_its_address_and_shuts_down_gracefully(arguments: list[str]) -> None:
    with started(*arguments) as (process, line):
        assert line.ready == arguments[2]
        assert line.url.startswith("http://127.0.0.1:")
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=15) == 0


def test_a_second_signal_ends_the_graceful_shutdown() -> None:
    long_limits = ["--handle-lifetime-seconds", "600", "--drain-seconds", "600"]
    with started(*WORKER, *long_limits) as (process, line):
        dispatch = PrefillRequest(request_id="r", attempt_id="a", model="m", prompt="x")
        exchange(f"{line.url}/v1/prefill", dispatch)
        process.send_signal(signal.SIGTERM)
        while not is_draining(line.url):
            continue
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=15) == EXIT_AT_ONCE_STATUS


def test_an_injected_crash_ends_the_process() -> None:
    with started(*WORKER) as (process, line):
        with contextlib.suppress(OSError):
            exchange(f"{line.url}/v1/faults", Fault(kind=FaultKind.CRASH))
        assert process.wait(timeout=15) == CRASH_STATUS
