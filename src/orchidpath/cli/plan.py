"""``orchidpath plan``: previews the planned stage changes, and confirms or controls a plan."""

import shlex
import uuid
from typing import NoReturn

import click
import msgspec

from orchidpath.cli.operator_exchange import control_option, echo_json, run_with_client
from orchidpath.common.daemon import ExitCode
from orchidpath.control.api.operator_client import (
    OperatorClient,
    PlanRefusedError,
    UpdateOutcomeUnknownError,
    UpdateRejectedError,
)
from orchidpath.control.api.plan_bodies import PlanActionReplyBody, PlanErrorBody
from orchidpath.placement.planner import PlanPreview, ServicePreview
from orchidpath.state.plans import PlanRecord
from orchidpath.wire.messages import PlanAction

_json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
_order_id_option = click.option(
    "--order-id", help="Identifier of this plan action; new by default."
)


@click.group()
def plan() -> None:
    """Show which workers would move to the desired state; confirm or control a plan."""


@plan.command()
@control_option
@_json_option
def show(control_addresses: tuple[str, ...], as_json: bool) -> None:
    """Print the workers that would move now, and the progress of the newest plan."""
    body = run_with_client(control_addresses, OperatorClient.plan)
    if as_json:
        echo_json(body)
        return
    if body.newest is not None:
        _show_progress(body.newest)
    _show_preview(body.preview)


_ACTION_HELP = {
    PlanAction.CONFIRM: (
        "Run the plan PLAN_ID; refused if it differs from the plan that would be made now."
    ),
    PlanAction.HALT: (
        "Begin no further step of the plan PLAN_ID; steps in progress run to completion."
    ),
    PlanAction.RESUME: "Continue the halted plan PLAN_ID.",
    PlanAction.CANCEL: (
        "End the plan PLAN_ID; workers that have not been switched keep their stage."
    ),
}
"""Help text of each plan action; each action is a separate command."""


def _add_plan_command(action: PlanAction, help_text: str) -> None:
    @plan.command(name=action.value, help=help_text)
    @click.argument("plan_id")
    @_order_id_option
    @control_option
    @_json_option
    @click.pass_context
    def order(
        ctx: click.Context,
        plan_id: str,
        order_id: str | None,
        control_addresses: tuple[str, ...],
        as_json: bool,
    ) -> None:
        _send_action(ctx, action, plan_id, order_id, control_addresses, as_json)


for _action, _help_text in _ACTION_HELP.items():
    _add_plan_command(_action, _help_text)


def _send_action(
    ctx: click.Context,
    action: PlanAction,
    plan_id: str,
    order_id: str | None,
    control_addresses: tuple[str, ...],
    as_json: bool,
) -> None:
    """Send a plan action; control applies an action with the same id only once."""
    order_id = order_id or str(uuid.uuid4())
    repeat = _repeat_command(action, plan_id, order_id, control_addresses)
    try:
        reply = run_with_client(
            control_addresses, lambda client: client.request_plan_action(action, plan_id, order_id)
        )
    except PlanRefusedError as error:
        _fail_refused(ctx, error.body, as_json)
    except UpdateRejectedError as error:
        click.echo(f"not accepted, nothing changed: {error}", err=True)
        ctx.exit(ExitCode.FAILED)
    except UpdateOutcomeUnknownError as error:
        click.echo(f"no answer, the action may have been accepted: {error}", err=True)
        click.echo(f"send the same action again: {repeat}", err=True)
        ctx.exit(ExitCode.FAILED)
    _report(reply, as_json)


def _report(reply: PlanActionReplyBody, as_json: bool) -> None:
    if as_json:
        echo_json(reply)
        return
    click.echo(f"{reply.action}: plan {reply.plan_id} (order id {reply.order_id})")


def _fail_refused(ctx: click.Context, body: PlanErrorBody, as_json: bool) -> NoReturn:
    if as_json:
        echo_json(body)
        ctx.exit(ExitCode.INVALID_INPUT)
    click.echo(f"refused ({body.error.code}): {body.error.message}", err=True)
    if body.preview is not msgspec.UNSET:
        click.echo("the plan that would be made now:")
        _show_preview(body.preview)
    ctx.exit(ExitCode.INVALID_INPUT)


def _show_progress(record: PlanRecord) -> None:
    progress = record.progress
    reason = f" ({progress.reason})" if progress.reason else ""
    click.echo(f"newest plan {record.plan.plan_id}: {progress.status}{reason}")
    for number, (step, state) in enumerate(
        zip(record.plan.steps, progress.steps, strict=True), start=1
    ):
        detail = f" ({state.reason})" if state.reason else ""
        click.echo(
            f"  {number}. {step.worker_id}: {step.from_stage} -> {step.to_stage}, "
            f"{state.phase}{detail}"
        )


def _show_preview(preview: PlanPreview) -> None:
    for refusal in preview.refusals:
        click.echo(f"{refusal.service}: nothing planned, {refusal.reason}: {refusal.message}")
    if preview.not_counted:
        click.echo(f"not counted, not serving now: {', '.join(preview.not_counted)}")
    if not preview.steps:
        click.echo("no worker would move")
        return
    click.echo(f"plan {preview.plan.plan_id}")
    click.echo(f"  made for configuration version {preview.plan.configuration_version}")
    for service in preview.services:
        _show_service(service)
    for number, step in enumerate(preview.steps, start=1):
        click.echo(
            f"  {number}. {step.step.worker_id} of {step.step.service}: "
            f"{step.step.from_stage} -> {step.step.to_stage} "
            f"(zone {step.zone or '-'}, failure domain {step.failure_domain}, "
            f"{step.ring_share:.2%} of the prefill ring)"
        )
    click.echo(f"confirm with: orchidpath plan confirm {preview.plan.plan_id}")


def _show_service(service: ServicePreview) -> None:
    click.echo(
        f"  {service.service}: prefill {service.prefill_before} -> {service.prefill_after}, "
        f"decode {service.decode_before} -> {service.decode_after}; "
        f"{service.moved_ring_share:.2%} of the prefill ring's keys move"
    )
    click.echo(
        f"    {service.cordoned_at_once} cordoned at once, "
        f"each for at most {service.max_cordoned_seconds:.0f} s; "
        f"at most {service.plan_seconds_at_most:.0f} s in total"
    )


def _repeat_command(
    action: PlanAction, plan_id: str, order_id: str, control: tuple[str, ...]
) -> str:
    command = ["orchidpath", "plan", action.value, plan_id, "--order-id", order_id]
    for address in control:
        command += ["--control", address]
    return shlex.join(command)
