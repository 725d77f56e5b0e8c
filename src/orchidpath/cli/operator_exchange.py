"""Shared parts of the operator commands: the ``--control`` option and requests to control."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import click
import msgspec

from orchidpath.cli.http_addresses import read_addresses
from orchidpath.control.api.operator_client import OperatorClient

ResultT = TypeVar("ResultT")
FunctionT = TypeVar("FunctionT", bound=Callable[..., Any])


def control_option(function: FunctionT) -> FunctionT:
    """Add the ``--control`` option to a command."""
    option = click.option(
        "--control",
        "control_addresses",
        multiple=True,
        required=True,
        envvar="ORCHIDPATH_CONTROL",
        metavar="URL",
        callback=read_addresses,
        help="HTTP address of a control process; repeat the option to give several, tried in turn.",
    )
    return option(function)


def run_with_client(
    control_addresses: tuple[str, ...], exchange: Callable[[OperatorClient], Awaitable[ResultT]]
) -> ResultT:
    """Call ``exchange`` with a client of the control processes and return its result."""

    async def run() -> ResultT:
        async with OperatorClient(control_addresses) as client:
            return await exchange(client)

    return asyncio.run(run())


def echo_json(value: object) -> None:
    """Print a typed value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
