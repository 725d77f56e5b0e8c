"""``orchidpath status``: prints the status that each control process reports."""

import click

from orchidpath.cli.operator_exchange import control_option, echo_json, run_with_client
from orchidpath.common.daemon import ExitCode
from orchidpath.control.api.operator_bodies import StatusBody
from orchidpath.control.api.operator_client import OperatorClient


@click.command()
@control_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def status(ctx: click.Context, control_addresses: tuple[str, ...], as_json: bool) -> None:
    """Print the status reported by each control process; exit with 1 if none answers."""
    statuses = run_with_client(control_addresses, OperatorClient.statuses)
    if as_json:
        echo_json(statuses)
    else:
        for address, body in statuses.items():
            click.echo(_line(address, body))
    if not any(statuses.values()):
        ctx.exit(ExitCode.FAILED)


def _line(address: str, body: StatusBody | None) -> str:
    if body is None:
        return f"{address}: no answer"
    readiness = "ready" if body.ready else f"not ready ({body.reason})"
    return (
        f"{address}: {body.node_id} {body.role} term {body.term}, {readiness}, "
        f"leader {body.leader_id or 'unknown'}, configuration version "
        f"{body.configuration_version}, revision {body.revision}"
    )
