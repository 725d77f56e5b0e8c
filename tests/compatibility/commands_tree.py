"""Names of the commands and their options, and exit codes of known errors."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import click
from click.testing import CliRunner

from orchidpath.cli.main import orchidpath
from orchidpath.common.daemon import ExitCode

VALID_CONFIGURATION = '[[services]]\nname = "s"\nkind = "plain"\n'
ANY_FILE = "FILE"
"""Stands in an order for the file of the case."""

CASES: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ("no command", "", ("nothing",)),
    ("unknown option", "", ("check", "--nothing")),
    ("help", "", ("--help",)),
    ("version", "", ("--version",)),
    ("valid file", VALID_CONFIGURATION, ("check", ANY_FILE)),
    ("invalid file", '[[services]]\nname = ""\nkind = "plain"\n', ("check", ANY_FILE)),
    ("unknown kind of file", "a = 1\n", ("check", ANY_FILE)),
    ("broken file", "a = \n", ("check", ANY_FILE)),
    ("missing file", "", ("check", "missing.toml")),
    ("reference", "", ("check", "--reference")),
    ("router, invalid settings", "node_id = 1\n", ("router", "-c", ANY_FILE)),
    ("router, missing settings", "", ("router", "-c", "missing.toml")),
    ("control, invalid settings", "node_id = 1\n", ("control", "-c", ANY_FILE)),
    ("fleet, invalid file", "fleet = 1\n", ("fleet", "run", ANY_FILE)),
    ("status, nobody answers", "", ("status", "--control", "127.0.0.1:1")),
    ("status, bad address", "", ("status", "--control", "nowhere:99999999")),
    ("configuration, nobody answers", "", ("config", "get", "--control", "127.0.0.1:1")),
    ("plan, nobody answers", "", ("plan", "show", "--control", "127.0.0.1:1")),
    ("replay, missing file", "", ("replay", "missing.jsonl")),
    ("caller, invalid mix", "a = 1\n", ("standin", "caller", ANY_FILE)),
)


def command_tree() -> dict[str, Any]:
    """Return the parameters of each command by the command's words."""
    with click.Context(orchidpath) as context:
        return dict(_commands("orchidpath", orchidpath, context))


def _commands(
    path: str, command: click.Command, context: click.Context
) -> list[tuple[str, list[dict[str, Any]]]]:
    found = [(path, [parameter(one) for one in command.params])]
    if isinstance(command, click.Group):
        for name in sorted(command.list_commands(context)):
            child = command.get_command(context, name)
            assert child is not None
            found += _commands(f"{path} {name}", child, context)
    return found


def parameter(one: click.Parameter) -> dict[str, Any]:
    """Return what the writer of an order must know of an option or an argument."""
    default = one.default
    plain = str | int | float | bool | None
    return {
        "kind": one.param_type_name,
        "names": [*one.opts, *one.secondary_opts] if isinstance(one, click.Option) else [],
        "type": one.type.name,
        "choices": list(one.type.choices) if isinstance(one.type, click.Choice) else [],
        "required": one.required,
        "takes": one.nargs,
        "repeated": one.multiple,
        "flag": isinstance(one, click.Option) and one.is_flag,
        "environment": one.envvar,
        "default": default if isinstance(default, plain) else None,
    }


def exit_codes() -> dict[str, Any]:
    """Return the exit code of each case, and the codes that commands may end with."""
    with TemporaryDirectory() as folder:
        cases = {name: _exit_code(Path(folder), content, order) for name, content, order in CASES}
    return {
        "success": ExitCode.OK.value,
        "failure": ExitCode.FAILED.value,
        "invalid input": ExitCode.INVALID_INPUT.value,
        "stopped before the end": ExitCode.STOPPED_HARD.value,
        "number of codes": len(ExitCode),
        "cases": cases,
    }


def _exit_code(folder: Path, content: str, order: tuple[str, ...]) -> int:
    path = folder / "case.toml"
    path.write_text(content)
    words = [str(path) if word == ANY_FILE else word for word in order]
    return CliRunner().invoke(orchidpath, words).exit_code
