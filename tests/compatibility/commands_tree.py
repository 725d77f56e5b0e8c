"""Names of the commands and of their options, and the exit codes of known errors."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import click
from click.testing import CliRunner

from orchidpath.cli.main import orchidpath
from orchidpath.common.daemon import ExitCode

VALID_CONFIGURATION = '[[services]]\nname = "s"\nkind = "plain"\n'
ANY_FILE = "FILE"
"""Placeholder, in the arguments of a case, for the path of the file with the case's content."""

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
    """Return the parameters of each command, by the full name of the command."""
    with click.Context(orchidpath) as context:
        return dict(_commands("orchidpath", orchidpath, context))


def _commands(
    path: str, command: click.Command, context: click.Context
) -> list[tuple[str, list[dict[str, Any]]]]:
    found = [(path, [parameter(param) for param in command.params])]
    if isinstance(command, click.Group):
        for name in sorted(command.list_commands(context)):
            child = command.get_command(context, name)
            assert child is not None
            found += _commands(f"{path} {name}", child, context)
    return found


def parameter(param: click.Parameter) -> dict[str, Any]:
    """Return the properties of an option or an argument on which its users depend."""
    default = param.default
    plain = str | int | float | bool | None
    return {
        "kind": param.param_type_name,
        "names": [*param.opts, *param.secondary_opts] if isinstance(param, click.Option) else [],
        "type": param.type.name,
        "choices": list(param.type.choices) if isinstance(param.type, click.Choice) else [],
        "required": param.required,
        "takes": param.nargs,
        "repeated": param.multiple,
        "flag": isinstance(param, click.Option) and param.is_flag,
        "environment": param.envvar,
        "default": default if isinstance(default, plain) else None,
    }


def exit_codes() -> dict[str, Any]:
    """Return the exit code of each case, and the exit codes that commands define."""
    with TemporaryDirectory() as folder:
        cases = {
            name: _exit_code(Path(folder), content, arguments) for name, content, arguments in CASES
        }
    return {
        "success": ExitCode.OK.value,
        "failure": ExitCode.FAILED.value,
        "invalid input": ExitCode.INVALID_INPUT.value,
        "stopped before the end": ExitCode.STOPPED_HARD.value,
        "number of codes": len(ExitCode),
        "cases": cases,
    }


def _exit_code(folder: Path, content: str, arguments: tuple[str, ...]) -> int:
    path = folder / "case.toml"
    path.write_text(content)
    command_line = [str(path) if argument == ANY_FILE else argument for argument in arguments]
    return CliRunner().invoke(orchidpath, command_line).exit_code
