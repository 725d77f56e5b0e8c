"""``orchidpath emulator``: runs emulated model workers, plain services and callers.

An option that sets one field of a settings struct has the name and the default of that field.
"""

import asyncio
import random
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click
import msgspec

from orchidpath.cli.http_addresses import read_addresses
from orchidpath.emulators.backend.backend_shell import BackendSettings, BackendShell
from orchidpath.emulators.client.caller import CallerSettings
from orchidpath.emulators.client.caller_report import CallerProgress, CallerSummary
from orchidpath.emulators.client.return_policy import ReturnPolicy
from orchidpath.emulators.client.traffic_mix import TrafficMix, TrafficMixError, decode_traffic_mix
from orchidpath.emulators.plain_service import PlainService, ServiceTiming
from orchidpath.emulators.process import run_backend, run_callers
from orchidpath.emulators.worker.engine_model import WorkerTiming
from orchidpath.emulators.worker.model_worker import ModelWorker
from orchidpath.wire.records import Stage, WorkerRecord

T = TypeVar("T")
Command = TypeVar("Command", bound=Callable[..., None])

ValueType = click.FloatRange | click.IntRange

INCARNATION_BYTES = 8

VIOLATION_STATUS = 1
"""Exit status of the caller command if any answer was wrong."""

POSITIVE = click.FloatRange(min=0, min_open=True)
NOT_NEGATIVE = click.FloatRange(min=0)
COUNT = click.IntRange(min=1)


class InputError(click.ClickException):
    """Unusable input, reported in one line with exit code 2."""

    exit_code = 2


def field_option(
    kind: type[msgspec.Struct], field: str, value_type: ValueType, help_text: str
) -> Callable[[Command], Command]:
    """Return the option that sets one field of a settings struct.

    Parameters
    ----------
    kind : type
        Settings struct that holds the field.
    field : str
        Name of the field.
    value_type : ValueType
        Type and bounds that the value is checked against.
    help_text : str
        Text shown by ``--help``.

    Returns
    -------
    callable
        Decorator that adds the option to a command.
    """
    default = next(found.default for found in msgspec.structs.fields(kind) if found.name == field)
    name = "--" + field.replace("_", "-")
    return click.option(name, type=value_type, default=default, show_default=True, help=help_text)


def make_struct(kind: type[T], options: dict[str, object]) -> T:
    """Build a struct from the options that have the names of its fields."""
    names = {name for name in kind.__struct_fields__ if name in options}  # type: ignore[attr-defined]
    return msgspec.convert({name: options[name] for name in names}, type=kind)


def backend_options(command: Command) -> Command:
    """Add the options that all emulated back ends share."""
    options = [
        click.option("--id", "worker_id", required=True, help="Worker id, unique in the fleet."),
        click.option("--service", required=True, help="Service that the worker belongs to."),
        click.option("--host", default="127.0.0.1", show_default=True, help="IP address."),
        field_option(BackendSettings, "port", click.IntRange(0, 65535), "0: any free port."),
        click.option("--zone", default="", help="Zone that is announced."),
        click.option("--failure-domain", default="", help="Failure domain that is announced."),
        click.option(
            "--announce",
            multiple=True,
            metavar="URL",
            callback=read_addresses,
            help="HTTP address of a router or control process; several allowed.",
        ),
        field_option(BackendSettings, "drain_seconds", NOT_NEGATIVE, "Longest drain at SIGTERM."),
        click.option(
            "--execution-log",
            default="",
            metavar="FILE",
            help="Append a JSON line before every execution; survives a killed process.",
        ),
    ]
    for option in reversed(options):
        command = option(command)
    return command


def timing_options(command: Command) -> Command:
    """Add the options for the speeds and capacities of a model worker."""
    described: list[tuple[str, ValueType, str]] = [
        (
            "prefill_tokens_per_second",
            POSITIVE,
            "Uncached prompt tokens prefilled per second.",
        ),
        ("prefill_overhead_seconds", NOT_NEGATIVE, "Fixed time of every prefill, in seconds."),
        ("decode_tokens_per_second", POSITIVE, "Decode speed of a single stream."),
        ("batch_slowdown", NOT_NEGATIVE, "Share by which each further stream slows all."),
        ("kv_bytes_per_token", COUNT, "Size of the KV cache per prompt token."),
        ("link_bytes_per_second", POSITIVE, "Bandwidth of the KV transfer."),
        ("max_in_flight", COUNT, "Concurrent attempts; more are refused as overloaded."),
        ("cache_capacity_tokens", COUNT, "Capacity of the prefix cache."),
        (
            "handle_lifetime_seconds",
            POSITIVE,
            "Seconds after which an unused handle expires.",
        ),
        ("transfer_timeout_seconds", POSITIVE, "Longest wait for a KV transfer, in seconds."),
        ("tokens_per_frame", COUNT, "Tokens in each frame of a stream."),
    ]
    for field, value_type, help_text in reversed(described):
        command = field_option(WorkerTiming, field, value_type, help_text)(command)
    return command


@click.group()
def emulator() -> None:
    """Run an emulated worker, service or caller against a fleet."""


@emulator.command()
@backend_options
@click.option(
    "--stage",
    type=click.Choice([Stage.PREFILL.value, Stage.DECODE.value]),
    required=True,
    help="Initial stage; the leader can change it by command.",
)
@click.option("--model", "models", multiple=True, required=True, help="Model; several allowed.")
@timing_options
def worker(**options: object) -> None:
    """Run an emulated model worker.

    Prints one JSON line with its address once it listens. POST a fault to /v1/faults to inject
    it, for example {"kind": "go_dark", "seconds": 5}.
    """
    record = _make_record(options)
    settings = make_struct(BackendSettings, options)
    timing = make_struct(WorkerTiming, options)
    _run(lambda: ModelWorker(record, settings, timing))


@emulator.command()
@backend_options
@field_option(ServiceTiming, "median_seconds", POSITIVE, "Median latency.")
@field_option(ServiceTiming, "sigma", NOT_NEGATIVE, "Spread of the log-normal latency.")
@field_option(ServiceTiming, "maximum_seconds", POSITIVE, "Longest latency.")
@field_option(ServiceTiming, "max_in_flight", COUNT, "Concurrent calls; more are refused.")
def service(**options: object) -> None:
    """Run an emulated worker of a plain service."""
    record = _make_record({**options, "stage": Stage.PLAIN.value})
    settings = make_struct(BackendSettings, options)
    timing = make_struct(ServiceTiming, options)
    _run(lambda: PlainService(record, settings, timing, random.Random(record.worker_id)))


@emulator.command()
@click.option(
    "--router",
    "routers",
    multiple=True,
    required=True,
    metavar="URL",
    callback=read_addresses,
    help="HTTP address of a router; several allowed.",
)
@click.option(
    "--mix",
    "mix_file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    required=True,
    help="Traffic mix, .toml or .json.",
)
@click.option("--for", "for_seconds", type=POSITIVE, required=True, help="Seconds of traffic.")
@field_option(CallerSettings, "seed", click.IntRange(), "Seed of the traffic.")
@click.option("--run-id", default="", help="Prefix of every request id; random by default.")
@field_option(CallerSettings, "timeout_seconds", POSITIVE, "Longest wait for an answer.")
@field_option(CallerSettings, "drain_seconds", NOT_NEGATIVE, "Longest drain at the end.")
@field_option(
    ReturnPolicy,
    "max_returns",
    click.IntRange(min=0),
    "Retries of a refused or unanswered request.",
)
@click.option("--history", default="", metavar="FILE", help="Append a JSON line for each request.")
@click.option("--json", "as_json", is_flag=True, help="One JSON line a second and a summary.")
def caller(mix_file: Path, run_id: str, as_json: bool, **options: object) -> None:
    """Send a traffic mix to routers and verify every answer.

    Exits with 1 if any answer had wrong content, or was incomplete but ended like a complete one.
    """
    options["mix"] = _read_mix(mix_file)
    options["run_id"] = run_id or secrets.token_hex(INCARNATION_BYTES)
    options["returns"] = make_struct(ReturnPolicy, options)
    settings = make_struct(CallerSettings, options)
    write = _write_json if as_json else _write_progress
    try:
        summary = asyncio.run(run_callers(settings, write))
    except OSError as problem:
        raise InputError(f"cannot write the history: {problem}") from problem
    _write_json(summary)
    if summary.violations:
        raise SystemExit(VIOLATION_STATUS)


def _make_record(options: dict[str, object]) -> WorkerRecord:
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    return make_struct(WorkerRecord, {**options, "incarnation": incarnation, "url": ""})


def _run(make: Callable[[], BackendShell]) -> None:
    try:
        asyncio.run(run_backend(make, click.echo))
    except OSError as problem:
        raise InputError(f"cannot listen or write the log: {problem}") from problem


def _read_mix(mix_file: Path) -> TrafficMix:
    try:
        return decode_traffic_mix(mix_file.read_bytes(), mix_file.suffix == ".toml")
    except TrafficMixError as problem:
        raise InputError(f"{mix_file}: {problem}") from problem


def _write_json(report: CallerProgress | CallerSummary) -> None:
    click.echo(msgspec.json.encode(report).decode())


def _write_progress(progress: CallerProgress) -> None:
    counts = progress.outcomes
    click.echo(
        f"{progress.second} s: {progress.due} due, {progress.outstanding} outstanding, "
        f"{counts.answered} answered, {counts.refused} refused, {counts.broken} broken, "
        f"{counts.wrong_content + counts.incomplete_but_clean} violations"
    )
