"""``orchidpath check``: checks settings, fleet and configuration files for every problem."""

from enum import StrEnum
from pathlib import Path
from typing import Any

import click

from orchidpath.common.daemon import ExitCode
from orchidpath.common.settings import ControlSettings, RouterSettings
from orchidpath.common.settings_errors import SettingProblem, SettingsError
from orchidpath.common.settings_file import convert_settings, read_table


class FileKind(StrEnum):
    """Kinds of files that operators write."""

    ROUTER = "router"
    CONTROL = "control"
    FLEET = "fleet"
    CONFIGURATION = "configuration"


_DISTINGUISHING_KEYS = (
    (FileKind.FLEET, frozenset({"machines", "workers", "traffic"})),
    (FileKind.CONFIGURATION, frozenset({"services", "routes"})),
    (FileKind.CONTROL, frozenset({"data_folder", "formation_members", "target_voters"})),
    (FileKind.ROUTER, frozenset({"node_id", "wire_address", "http_address", "seeds"})),
)
"""Top-level keys that identify each kind of file; the first kind with a matching key applies."""


def recognise(table: dict[str, Any]) -> FileKind | None:
    """Return the kind that a decoded file's top-level keys identify, or None."""
    for kind, keys in _DISTINGUISHING_KEYS:
        if keys & table.keys():
            return kind
    return None


def check_file(path: Path, kind: FileKind | None) -> FileKind:
    """Check one file.

    Parameters
    ----------
    path
        File to check.
    kind
        Kind of the file; None recognises the kind by the file's top-level keys.

    Returns
    -------
    FileKind
        The kind of the valid file.

    Raises
    ------
    SettingsError
        The file is invalid; the error holds every problem found.
    """
    table = read_table(path)
    kind = kind or recognise(table)
    file = str(path)
    match kind:
        case FileKind.ROUTER:
            convert_settings(table, file, RouterSettings)
        case FileKind.CONTROL:
            convert_settings(table, file, ControlSettings)
        case FileKind.CONFIGURATION:
            _check_configuration(table, file)
        case FileKind.FLEET:
            _check_fleet(table, file)
        case None:
            message = f"kind of file not recognised; specify --kind {'|'.join(FileKind)}"
            raise SettingsError([SettingProblem(file=file, path="", message=message)])
    return kind


def _check_configuration(table: dict[str, Any], file: str) -> None:
    from orchidpath.cli.configuration_file import convert_configuration

    convert_configuration(table, file)


def _check_fleet(table: dict[str, Any], file: str) -> None:
    from orchidpath.fleet.file import convert_fleet

    convert_fleet(table, file)


def _print_reference(ctx: click.Context, _parameter: click.Parameter, is_requested: bool) -> None:
    if not is_requested or ctx.resilient_parsing:
        return
    from orchidpath.tools.settings_reference import settings_reference

    click.echo(settings_reference(), nl=False)
    ctx.exit()


@click.command()
@click.option(
    "--reference",
    is_flag=True,
    is_eager=True,
    expose_value=False,
    callback=_print_reference,
    help="Print the settings reference (the content of docs/settings-reference.md) and exit.",
)
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--kind",
    "kind_name",
    type=click.Choice([kind.value for kind in FileKind]),
    help="Kind of all files; by default each file's kind is recognised by its content.",
)
@click.pass_context
def check(ctx: click.Context, files: tuple[Path, ...], kind_name: str | None) -> None:
    """Check settings files, fleet files and configurations; print every problem found."""
    kind = FileKind(kind_name) if kind_name else None
    problems: list[SettingProblem] = []
    for path in files:
        try:
            found = check_file(path, kind)
        except SettingsError as error:
            problems += error.problems
        else:
            click.echo(f"{path}: valid {found} file")
    for problem in problems:
        click.echo(str(problem), err=True)
    if problems:
        ctx.exit(ExitCode.INVALID_INPUT)
