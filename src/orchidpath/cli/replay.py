"""``orchidpath replay``: replays a decision log under another policy and prints differences."""

from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

import click
import msgspec

from orchidpath.cli.configuration_file import load_configuration
from orchidpath.common.daemon import ExitCode
from orchidpath.routing.decision_log import MAX_LINE_BYTES
from orchidpath.tools.decision_replay import DifferenceKind, ReplayPolicy, ReplayResult, replay_log

MAX_SHOWN = 200
"""Number of differences, and of damaged lines, that are printed; JSON output holds all."""


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--policy",
    "policy_file",
    type=click.Path(path_type=Path),
    help="Configuration, TOML or JSON, whose circuit policy and load bound are tried; omitted "
    "values have their defaults.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def replay(ctx: click.Context, file: Path, policy_file: Path | None, as_json: bool) -> None:
    """Replay the decision log FILE and show the outcomes that would differ under --policy.

    Without --policy the log is checked against its own policy. Reports of other routers are not
    in the log; their effects on circuits are copied as recorded. Exits with 1 if a line is
    damaged, or if the log's own policy does not reproduce a recorded decision.
    """
    policy = _read_policy(policy_file) if policy_file is not None else None
    with file.open("rb") as content:
        result = replay_log(read_lines(content), policy)
    if as_json:
        click.echo(msgspec.json.encode(result).decode())
    else:
        _print(result)
    unexplained = (each.kind is DifferenceKind.UNEXPLAINED for each in result.differences)
    if result.damaged or any(unexplained):
        ctx.exit(ExitCode.FAILED)


def read_lines(content: BinaryIO) -> Iterator[bytes]:
    """Yield the lines of a file, each truncated to ``MAX_LINE_BYTES + 1`` bytes."""
    while line := content.readline(MAX_LINE_BYTES + 1):
        rest = line
        while rest and not rest.endswith(b"\n"):
            rest = content.readline(MAX_LINE_BYTES)
        yield line


def _read_policy(path: Path) -> ReplayPolicy:
    configuration = load_configuration(path)
    return ReplayPolicy(
        circuit=configuration.circuit,
        load_bound_factor=configuration.admission.load_bound_factor,
    )


def _print(result: ReplayResult) -> None:
    for damaged in result.damaged[:MAX_SHOWN]:
        click.echo(f"line {damaged.line}: damaged: {damaged.problem}", err=True)
    for each in result.differences[:MAX_SHOWN]:
        click.echo(
            f"line {each.line} {each.time} {each.subject}: {each.kind.value}: "
            f"log {each.recorded}, replay {each.replayed}"
        )
    hidden = max(len(result.differences) - MAX_SHOWN, 0) + max(len(result.damaged) - MAX_SHOWN, 0)
    if hidden:
        click.echo(f"{hidden} more are not shown; --json prints all")
    click.echo(
        f"{result.decisions} decisions: {result.compared} compared, {result.agreed} as the log's "
        f"policy explains, {result.decided_by_router} decided by the router, "
        f"{result.not_determined} not determined"
    )
    click.echo(
        f"{result.reports} reports, {result.inherited} states taken over, "
        f"{result.dropped_lines} lines dropped by the router, {len(result.damaged)} damaged, "
        f"{len(result.differences)} differences"
    )
