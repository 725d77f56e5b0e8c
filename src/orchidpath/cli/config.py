"""``orchidpath config``: reads and submits configurations."""

import shlex
import uuid
from pathlib import Path
from typing import NoReturn

import click
import msgspec

from orchidpath.cli.configuration_file import load_configuration
from orchidpath.cli.operator_exchange import control_option, echo_json, run_with_client
from orchidpath.common.daemon import ExitCode
from orchidpath.control.api.operator_bodies import OperatorErrorBody, SubmitReplyBody
from orchidpath.control.api.operator_client import (
    OperatorClient,
    UpdateOutcomeUnknownError,
    UpdateRefusedError,
    UpdateRejectedError,
)


@click.group()
def config() -> None:
    """Read and submit the fleet's configuration."""


@config.command()
@control_option
def get(control_addresses: tuple[str, ...]) -> None:
    """Print the newest configuration and its version."""
    echo_json(run_with_client(control_addresses, OperatorClient.configuration))


@config.command()
@control_option
def history(control_addresses: tuple[str, ...]) -> None:
    """Print the most recently accepted configurations, oldest first."""
    echo_json(run_with_client(control_addresses, OperatorClient.history))


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--base", type=int, required=True, help="Version on which the file is based.")
@click.option("--order-id", help="Identifier of this update; new by default.")
@control_option
@click.pass_context
def put(
    ctx: click.Context,
    file: Path,
    base: int,
    order_id: str | None,
    control_addresses: tuple[str, ...],
) -> None:
    """Submit a complete configuration based on version BASE.

    The order id is printed first. If the answer is lost, send the same update again with the same
    id: it takes effect only once, and any control process returns the outcome of the first attempt.
    """
    configuration = load_configuration(file)
    order_id = order_id or str(uuid.uuid4())
    click.echo(f"order id: {order_id}")
    repeat = _repeat_command(file, base, order_id, control_addresses)
    try:
        reply = run_with_client(
            control_addresses, lambda client: client.submit(order_id, base, configuration)
        )
    except UpdateRefusedError as error:
        _fail_refused(ctx, error.body)
    except UpdateRejectedError as error:
        click.echo(f"not accepted, nothing changed: {error}", err=True)
        ctx.exit(ExitCode.FAILED)
    except UpdateOutcomeUnknownError as error:
        click.echo(f"no answer, the update may have been accepted: {error}", err=True)
        click.echo(f"send the same update again: {repeat}", err=True)
        ctx.exit(ExitCode.FAILED)
    _report(reply, repeat)


def _report(reply: SubmitReplyBody, repeat: str) -> None:
    if reply.confirmed:
        click.echo(f"confirmed as version {reply.version}")
        return
    click.echo(f"accepted as version {reply.version}, not confirmed yet")
    click.echo(f"query the confirmation by sending the same update again: {repeat}")


def _fail_refused(ctx: click.Context, body: OperatorErrorBody) -> NoReturn:
    click.echo(f"refused ({body.error.code}): {body.error.message}", err=True)
    if body.current_version is not msgspec.UNSET:
        click.echo(f"current version: {body.current_version}", err=True)
    if body.problems is not msgspec.UNSET:
        for problem in body.problems:
            click.echo(f"{problem.path or 'configuration'}: {problem.message}", err=True)
    ctx.exit(ExitCode.INVALID_INPUT)


def _repeat_command(file: Path, base: int, order_id: str, control: tuple[str, ...]) -> str:
    command = ["orchidpath", "config", "put", str(file), "--base", str(base)]
    command += ["--order-id", order_id]
    for address in control:
        command += ["--control", address]
    return shlex.join(command)
