"""``orchidpath fleet``: runs a complete fleet on this machine, for development."""

import asyncio
import shutil
import signal
import tempfile
from pathlib import Path
from random import SystemRandom

import click
import msgspec

from orchidpath.common.daemon import ExitCode
from orchidpath.common.errors import OrchidpathError
from orchidpath.fleet.file import FleetFile, load_fleet
from orchidpath.fleet.runner import FleetRunner
from orchidpath.fleet.summary import FleetSummary


@click.group()
def fleet() -> None:
    """Run a complete fleet on this machine, for development."""


@fleet.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--for",
    "for_seconds",
    type=click.FloatRange(min=0, min_open=True),
    help="Seconds of traffic; without it the run ends with Ctrl-C.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON.")
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    help="Keep logs and data here; by default a temporary folder, removed after success.",
)
@click.pass_context
def run(
    ctx: click.Context, file: Path, for_seconds: float | None, as_json: bool, folder: Path | None
) -> None:
    """Run the fleet of FILE with its traffic and faults, and check the answers of its callers.

    Exits with 0 only if every request was either answered, or refused with an accurate statement
    that it did not run and when to retry, and no request ran twice.
    """
    fleet_file = load_fleet(file)
    run_folder = folder or Path(tempfile.mkdtemp(prefix="orchidpath-fleet-"))
    try:
        summary = asyncio.run(_run(fleet_file, run_folder, for_seconds, as_json))
    except OrchidpathError:
        click.echo(f"logs: {run_folder / 'logs'}", err=True)
        raise
    _print_summary(summary, as_json)
    if summary.failures:
        click.echo(f"logs: {summary.log_folder}", err=True)
        ctx.exit(ExitCode.FAILED)
    if folder is None:
        shutil.rmtree(run_folder, ignore_errors=True)


async def _run(
    fleet_file: FleetFile, folder: Path, for_seconds: float | None, as_json: bool
) -> FleetSummary:
    def report(line: str) -> None:
        click.echo(line, err=as_json)

    runner = FleetRunner(fleet_file, folder, for_seconds, report, SystemRandom())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, runner.stop)
    return await runner.run()


def _print_summary(summary: FleetSummary, as_json: bool) -> None:
    encoded = msgspec.json.encode(summary)
    if as_json:
        click.echo(encoded.decode())
        return
    click.echo(
        f"{summary.requests} requests in {summary.seconds:.0f} s, {summary.answered} answered, "
        f"{summary.executions_twice} executions repeated, {summary.broken_streams} streams broken"
    )
    for error in summary.errors:
        click.echo(f"{error.count} {error.outcome} {error.code} ran={error.ran or '-'}")
    for failure in summary.failures:
        click.echo(f"failure: {failure}")
    click.echo("run succeeded" if not summary.failures else "run failed")
